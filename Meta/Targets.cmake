# A library of the workspace: its sources beside this call, its public headers
# under include/.
function(mastichold_library aName)
  cmake_parse_arguments(A "" "" "SOURCES;USES" ${ARGN})
  add_library(${aName} STATIC ${A_SOURCES})
  target_include_directories(${aName} PUBLIC include PRIVATE .)
  target_link_libraries(${aName} PUBLIC ${A_USES})
endfunction()

# A program: a daemon, a stand-in or a tool.
function(mastichold_program aName)
  cmake_parse_arguments(A "" "" "SOURCES;USES" ${ARGN})
  add_executable(${aName} ${A_SOURCES})
  target_include_directories(${aName} PRIVATE .)
  target_link_libraries(${aName} PRIVATE ${A_USES})
endfunction()

# A Boost.Test program, registered with CTest under its own name.
function(mastichold_test aName)
  cmake_parse_arguments(A "" "" "SOURCES;USES" ${ARGN})
  add_executable(${aName} ${A_SOURCES})
  target_link_libraries(${aName} PRIVATE ${A_USES} Boost::unit_test_framework)
  target_compile_definitions(${aName} PRIVATE
    MASTICHOLD_SOURCE_DIRECTORY="${PROJECT_SOURCE_DIR}")
  add_test(NAME ${aName} COMMAND ${aName} --log_level=test_suite)
  set_tests_properties(${aName} PROPERTIES TIMEOUT 240)
endfunction()

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

# A Boost.Test program, registered with CTest under its own name; with CASES,
# each of these test cases is registered by itself, so that they run beside each
# other.
function(mastichold_test aName)
  cmake_parse_arguments(A "" "" "SOURCES;USES;CASES" ${ARGN})
  add_executable(${aName} ${A_SOURCES})
  add_dependencies(tests ${aName})
  target_link_libraries(${aName} PRIVATE ${A_USES} Boost::unit_test_framework)
  target_compile_definitions(${aName} PRIVATE
    MASTICHOLD_SOURCE_DIRECTORY="${PROJECT_SOURCE_DIR}")
  if(NOT A_CASES)
    add_test(NAME ${aName} COMMAND ${aName} --log_level=test_suite)
    set_tests_properties(${aName} PROPERTIES TIMEOUT 240)
  endif()
  foreach(case IN LISTS A_CASES)
    add_test(NAME ${aName}.${case}
             COMMAND ${aName} --log_level=test_suite --run_test=${case})
    set_tests_properties(${aName}.${case} PROPERTIES TIMEOUT 900)
  endforeach()
endfunction()

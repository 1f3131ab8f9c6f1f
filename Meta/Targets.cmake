# Defines a static library with its sources in the current directory and its
# public headers in include/.
function(mastichold_library aName)
  cmake_parse_arguments(A "" "" "SOURCES;USES" ${ARGN})
  add_library(${aName} STATIC ${A_SOURCES})
  target_include_directories(${aName} PUBLIC include PRIVATE .)
  target_link_libraries(${aName} PUBLIC ${A_USES})
endfunction()

# Defines an executable: a daemon, a stand-in service or a command-line tool.
function(mastichold_program aName)
  cmake_parse_arguments(A "" "" "SOURCES;USES" ${ARGN})
  add_executable(${aName} ${A_SOURCES})
  target_include_directories(${aName} PRIVATE .)
  target_link_libraries(${aName} PRIVATE ${A_USES})
endfunction()

# Defines a Boost.Test program and registers it with CTest. With CASES, each
# listed test case becomes a test of its own, so that they can run in parallel.
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

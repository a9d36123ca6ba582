# Functions that declare the library and the tests of a package in one line each.

# Adds the library dandelionstall_NAME from the sources under src/, with its public headers under include/.
function(add_package name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  add_library(dandelionstall_${name} STATIC ${sources})
  target_include_directories(dandelionstall_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_link_libraries(dandelionstall_${name} PUBLIC ${ARG_LINK})
endfunction()

# Adds one Criterion test program for each test_*.cpp under tests/ of the current package.
function(add_package_tests)
  if(NOT DANDELIONSTALL_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB_RECURSE tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/test_*.cpp)
  foreach(source ${tests})
    get_filename_component(target ${source} NAME_WE)
    add_executable(${target} ${source})
    target_include_directories(${target} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src ${CMAKE_CURRENT_SOURCE_DIR}/tests)
    target_link_libraries(${target} PRIVATE ${ARG_LINK} PkgConfig::CRITERION rapidcheck)
    add_test(NAME ${target} COMMAND ${target} --verbose=0 -j4)
    # Seed of the property tests; RapidCheck prints it with each failure.
    set_tests_properties(${target} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261203" TIMEOUT 240)
  endforeach()
endfunction()

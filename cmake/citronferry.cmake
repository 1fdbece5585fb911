# Warnings and sanitizers shared by every target of the project.
add_library(citronferry_options INTERFACE)
target_compile_options(citronferry_options INTERFACE -Wall -Wextra -Wpedantic -Werror
  # Option structs are built with designated initialisers that leave defaults in place.
  -Wno-missing-field-initializers
  # g++ 12 reports overlaps in std::string operations that cannot happen (GCC bug 105329).
  -Wno-restrict)
target_compile_definitions(citronferry_options INTERFACE
  QT_NO_KEYWORDS QT_NO_CAST_FROM_ASCII BOOST_LOG_DYN_LINK)
target_include_directories(citronferry_options INTERFACE
  ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
if(CITRONFERRY_SANITIZE)
  target_compile_options(citronferry_options INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
  target_link_options(citronferry_options INTERFACE -fsanitize=address,undefined)
endif()

# citronferry_module(NAME SOURCES ... DEPS ...) adds the static library of one module.
function(citronferry_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  if(ARG_SOURCES)
    add_library(cf_${name} STATIC ${ARG_SOURCES})
    target_link_libraries(cf_${name} PUBLIC citronferry_options ${ARG_DEPS})
  else()
    add_library(cf_${name} INTERFACE)
    target_link_libraries(cf_${name} INTERFACE citronferry_options ${ARG_DEPS})
  endif()
endfunction()

# citronferry_test(NAME SOURCES ... DEPS ...) adds one GoogleTest program and registers it with CTest.
function(citronferry_test name)
  if(NOT CITRONFERRY_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE citronferry_options ${ARG_DEPS} GTest::gtest_main)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

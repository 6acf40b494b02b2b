# Functions that declare targets with the project's common options. Each
# directory lists only target names and files.

function(walnutwing_warnings TARGET)
  target_compile_options(${TARGET} PRIVATE -Wall -Wextra -Wshadow)
  if(WALNUTWING_WERROR)
    target_compile_options(${TARGET} PRIVATE -Werror)
  endif()
endfunction()

# walnutwing_library(NAME SOURCES a.cc b.cc DEPENDS other)
function(walnutwing_library NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${NAME} STATIC ${ARG_SOURCES})
  target_link_libraries(${NAME} PUBLIC ${ARG_DEPENDS})
  walnutwing_warnings(${NAME})
endfunction()

# walnutwing_test(NAME DEPENDS lib): builds NAME.cc with GoogleTest's main.
function(walnutwing_test NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  if(WALNUTWING_ROUTER_ONLY)
    return()
  endif()
  add_executable(${NAME} ${NAME}.cc)
  target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS} GTest::gtest GTest::gtest_main)
  walnutwing_warnings(${NAME})
  add_test(NAME ${NAME} COMMAND ${NAME})
  set_tests_properties(${NAME} PROPERTIES TIMEOUT 300)
endfunction()

# Defines WALNUTWING_DOCS_DIR for a test that compares the code with docs/.
function(walnutwing_test_docs NAME)
  if(WALNUTWING_ROUTER_ONLY)
    return()
  endif()
  target_compile_definitions(${NAME} PRIVATE
    WALNUTWING_DOCS_DIR="${CMAKE_SOURCE_DIR}/docs")
endfunction()

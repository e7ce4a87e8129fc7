# Functions and compiler flags for all targets of the workspace.

add_library(zb_flags INTERFACE)
target_compile_options(zb_flags INTERFACE -Wall -Wextra -Wpedantic -Werror -Wshadow -Wnon-virtual-dtor
  -Wno-restrict) # GCC 12 has false positives at std::string concatenation (GCC bug 105651)
target_include_directories(zb_flags INTERFACE ${PROJECT_SOURCE_DIR}/include ${PROJECT_SOURCE_DIR}/libs)
if(ZB_SANITIZE)
  target_compile_options(zb_flags INTERFACE -fsanitize=address,undefined -fno-omit-frame-pointer)
  target_link_options(zb_flags INTERFACE -fsanitize=address,undefined)
endif()

# zb_library(NAME [DEPS lib...]): a library of all .cpp files of the folder NAME; its headers are
# included as "NAME/header.h".
function(zb_library NAME)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${NAME}/*.cpp)
  add_library(zb_${NAME} STATIC ${sources})
  target_link_libraries(zb_${NAME} PUBLIC zb_flags ${ARG_DEPS})
endfunction()

# zb_test(NAME [DEPS lib...] [ARGS word...]): builds tests/NAME.cpp as a Criterion program and
# registers it as one CTest test.
function(zb_test NAME)
  cmake_parse_arguments(ARG "" "" "DEPS;ARGS" ${ARGN})
  add_executable(${NAME} ${NAME}.cpp)
  target_link_libraries(${NAME} PRIVATE zb_flags ${ARG_DEPS} PkgConfig::CRITERION)
  add_test(NAME ${NAME} COMMAND ${NAME} -j4 ${ARG_ARGS}
           WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
  set_tests_properties(${NAME} PROPERTIES TIMEOUT 300)
endfunction()

# zb_bench(NAME [DEPS lib...]): builds bench/NAME.cpp as a program, which is run by hand or by a
# test with a time limit.
function(zb_bench NAME)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  add_executable(${NAME} ${NAME}.cpp)
  target_link_libraries(${NAME} PRIVATE zb_flags ${ARG_DEPS} benchmark::benchmark)
endfunction()

# zb_process_test(NAME [ARGS word...]): a test that starts the daemons. It runs serially, so that
# other tests do not take its CPU time.
function(zb_process_test NAME)
  cmake_parse_arguments(ARG "" "" "ARGS" ${ARGN})
  add_executable(${NAME} ${NAME}.cpp)
  target_link_libraries(${NAME} PRIVATE zb_flags zb_standins PkgConfig::CRITERION)
  target_compile_definitions(${NAME} PRIVATE ZB_BINARIES="${CMAKE_RUNTIME_OUTPUT_DIRECTORY}"
                                             ZB_SOURCES="${PROJECT_SOURCE_DIR}")
  add_dependencies(${NAME} zinniabarrow zinniabarrow_standin)
  add_test(NAME ${NAME} COMMAND ${NAME} -j1 ${ARG_ARGS} WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
  set_tests_properties(${NAME} PROPERTIES TIMEOUT 400 RUN_SERIAL ON)
endfunction()

# Compile and link flags shared by all targets of this project.
add_library(godwit-flags INTERFACE)
# g++ 12 reports false maybe-uninitialized warnings for std::variant and LEAF; higher optimization
# levels report more of them.
target_compile_options(godwit-flags INTERFACE -Wall -Wextra -Werror -Wno-maybe-uninitialized)
target_compile_definitions(godwit-flags INTERFACE
  BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_DISABLE_CONCEPTS)
if(GODWIT_SANITIZE)
  target_compile_options(godwit-flags INTERFACE -fsanitize=${GODWIT_SANITIZE} -fno-omit-frame-pointer)
  target_link_options(godwit-flags INTERFACE -fsanitize=${GODWIT_SANITIZE})
  target_compile_options(godwit-flags INTERFACE -Wno-tsan)
endif()
target_link_libraries(godwit-flags INTERFACE Threads::Threads)

if(GODWIT_TESTS)
  find_package(Catch2 2.13 REQUIRED)
  include(Catch)

  # The Catch2 main function, compiled once for all test programs.
  add_library(godwit-test-main STATIC ${CMAKE_SOURCE_DIR}/cmake/testmain.cpp)
  target_link_libraries(godwit-test-main PUBLIC godwit-flags)
endif()

# Adds the targets of a module folder: src/*.cpp -> library godwit-NAME, tests/*.cpp -> test program
# godwit-NAME-tests, each bench/X.cpp -> program X. DEPENDS lists the libraries to link.
function(godwit_module name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
  file(GLOB tests CONFIGURE_DEPENDS tests/*.cpp)
  file(GLOB benches CONFIGURE_DEPENDS bench/*.cpp)
  add_library(godwit-${name} STATIC ${sources})
  target_include_directories(godwit-${name} PUBLIC include)
  target_link_libraries(godwit-${name} PUBLIC godwit-flags ${ARG_DEPENDS})
  if(NOT GODWIT_TESTS)
    return()
  endif()
  if(tests)
    add_executable(godwit-${name}-tests ${tests})
    # Tests of all modules may include the virtual clock from modules/ports/tests.
    target_include_directories(godwit-${name}-tests PRIVATE src tests
      ${CMAKE_SOURCE_DIR}/modules/ports/tests)
    target_link_libraries(godwit-${name}-tests PRIVATE godwit-${name} godwit-test-main)
    # Registers each test case with CTest, so that cases run in parallel and are reported by name.
    catch_discover_tests(godwit-${name}-tests TEST_PREFIX ${name}/ PROPERTIES TIMEOUT 300)
  endif()
  foreach(bench ${benches})
    get_filename_component(program ${bench} NAME_WE)
    add_executable(${program} ${bench})
    target_include_directories(${program} PRIVATE src)
    target_link_libraries(${program} PRIVATE godwit-${name})
  endforeach()
endfunction()

# Debian ships easylogging++ as a source file, which is compiled here. The storage is initialized in
# that file, so that programs need not call the initialization macro.
find_file(EASYLOGGING_SOURCE easylogging++.cc REQUIRED)
add_library(easylogging STATIC ${EASYLOGGING_SOURCE})
set_source_files_properties(${EASYLOGGING_SOURCE} PROPERTIES LANGUAGE CXX)
target_compile_definitions(easylogging
  PUBLIC ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE
  PRIVATE AUTO_INITIALIZE_EASYLOGGINGPP)
target_compile_options(easylogging PRIVATE -w)
if(GODWIT_SANITIZE)
  target_compile_options(easylogging PRIVATE -fsanitize=${GODWIT_SANITIZE} -fno-omit-frame-pointer)
endif()
target_link_libraries(easylogging PUBLIC Threads::Threads)

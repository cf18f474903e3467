# Options and helper functions that every part of the tree uses.

add_library(BriarbendOptions INTERFACE)
target_compile_options(BriarbendOptions INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror)
target_link_libraries(BriarbendOptions INTERFACE Threads::Threads)
if(BRIARBEND_ADDRESS_SANITIZER)
    target_compile_options(BriarbendOptions INTERFACE -fsanitize=address,undefined -fno-omit-frame-pointer)
    target_link_options(BriarbendOptions INTERFACE -fsanitize=address,undefined)
endif()
if(BRIARBEND_THREAD_SANITIZER)
    target_compile_options(BriarbendOptions INTERFACE -fsanitize=thread -fno-omit-frame-pointer)
    target_link_options(BriarbendOptions INTERFACE -fsanitize=thread)
endif()

if(BRIARBEND_ADDRESS_SANITIZER OR BRIARBEND_THREAD_SANITIZER)
    # GCC's manual says that sanitizers raise false positives of warnings that follow values through inlined code, and advises against -Werror
    # with them. These two are raised inside Asio's coroutine frames and the standard library; the plain build keeps them as errors.
    target_compile_options(BriarbendOptions INTERFACE -Wno-error=mismatched-new-delete -Wno-error=maybe-uninitialized)
endif()

# Adds every folder directly below the current one that has a CMakeLists.txt.
function(briarbend_add_subfolders)
    file(GLOB subfolders CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*/CMakeLists.txt)
    foreach(subfolder IN LISTS subfolders)
        get_filename_component(folder ${subfolder} DIRECTORY)
        add_subdirectory(${folder})
    endforeach()
endfunction()

# briarbend_library(LibX DEPENDS ...): builds every source of the current folder into one static library.
function(briarbend_library name)
    cmake_parse_arguments(ARGUMENT "EXPORTED" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/Libraries> $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/briarbend>)
    target_link_libraries(${name} PUBLIC ${ARGUMENT_DEPENDS} PRIVATE $<BUILD_INTERFACE:BriarbendOptions>)
    if(ARGUMENT_EXPORTED)
        install(TARGETS ${name} EXPORT BriarbendTargets DESTINATION ${CMAKE_INSTALL_LIBDIR})
        install(DIRECTORY . DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/briarbend/${name} FILES_MATCHING PATTERN "*.h")
    endif()
endfunction()

# briarbend_program(name DEPENDS ...): builds every source of the current folder into one program.
function(briarbend_program name)
    cmake_parse_arguments(ARGUMENT "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${ARGUMENT_DEPENDS} BriarbendOptions)
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# briarbend_test(name [LABELS ...] [TIMEOUT seconds] DEPENDS ...): one GoogleTest program from the current folder's sources.
function(briarbend_test name)
    cmake_parse_arguments(ARGUMENT "SERIAL" "TIMEOUT" "DEPENDS;LABELS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
    target_link_libraries(${name} PRIVATE ${ARGUMENT_DEPENDS} GTest::gmock_main rapidcheck BriarbendOptions)
    if(NOT ARGUMENT_TIMEOUT)
        set(ARGUMENT_TIMEOUT 60)
    endif()
    set(properties TIMEOUT ${ARGUMENT_TIMEOUT} ENVIRONMENT "RC_PARAMS=seed=20261204")
    if(ARGUMENT_SERIAL)
        list(APPEND properties RUN_SERIAL ON)
    endif()
    if(ARGUMENT_LABELS)
        list(APPEND properties LABELS "${ARGUMENT_LABELS}")
    endif()
    include(GoogleTest)
    gtest_discover_tests(${name} DISCOVERY_TIMEOUT 60 PROPERTIES ${properties})
endfunction()

# Precompiles the Asio and Beast headers, which take most of the time of each file that includes them.
function(briarbend_precompile_network target)
    # g++ 12 inlines only one of the paired allocation functions of Asio's coroutine frames and then takes them for mismatched.
    target_compile_options(${target} PRIVATE $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)
    target_precompile_headers(${target} PRIVATE <boost/asio.hpp> <boost/beast/core.hpp> <boost/beast/http.hpp>)
endfunction()

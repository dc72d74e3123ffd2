# Build rules shared by every library, program and test of the project.

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json unit_test_framework)
find_package(OpenSSL REQUIRED)
find_library(LOG4CXX_LIBRARY log4cxx REQUIRED)
find_library(GFLAGS_LIBRARY gflags REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_library(ZLIB_LIBRARY z REQUIRED)

add_library(limpet_options INTERFACE)
target_compile_options(limpet_options INTERFACE
    -Wall -Wextra -Wpedantic -Werror -Wshadow -Wno-missing-field-initializers)
target_compile_definitions(limpet_options INTERFACE
    BOOST_ASIO_SEPARATE_COMPILATION
    BOOST_BEAST_SEPARATE_COMPILATION
    BOOST_ASIO_NO_DEPRECATED)
# GCC 12 takes the deallocation of coroutine frames for a mismatched one.
target_compile_options(limpet_options INTERFACE
    $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)
# GCC 12 reports overlaps within std::string that cannot occur.
target_compile_options(limpet_options INTERFACE
    $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict>)
# Debug information doubles the build time of the Asio and Beast parts, so
# only line tables are kept.
target_compile_options(limpet_options INTERFACE -g1)

if(LIMPET_SANITIZE)
    target_compile_options(limpet_options INTERFACE
        -fsanitize=address,undefined -fno-sanitize-recover=all
        -fno-omit-frame-pointer)
    target_link_options(limpet_options INTERFACE -fsanitize=address,undefined)
endif()
if(LIMPET_SANITIZE_THREAD)
    target_compile_options(limpet_options INTERFACE
        -fsanitize=thread -Wno-tsan)
    target_link_options(limpet_options INTERFACE -fsanitize=thread)
endif()

# limpet_library(NAME DEPS ...): the library in the current folder, with
# include/, src/*.cpp and, as the test program NAME_test, test/*.cpp.
function(limpet_library name)
    cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
    add_library(limpet_${name} STATIC ${sources})
    target_include_directories(limpet_${name} PUBLIC include PRIVATE src)
    # Code generated from schema/ by scripts/generate.
    if(EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/generated)
        target_include_directories(limpet_${name} PRIVATE generated)
    endif()
    target_link_libraries(limpet_${name} PUBLIC limpet_options)
    foreach(dep ${ARG_DEPS})
        target_link_libraries(limpet_${name} PUBLIC ${dep})
    endforeach()
    file(GLOB tests CONFIGURE_DEPENDS test/*.cpp)
    if(tests)
        add_executable(${name}_test ${tests})
        target_include_directories(${name}_test PRIVATE src test)
        target_compile_definitions(${name}_test PRIVATE BOOST_TEST_DYN_LINK)
        target_link_libraries(${name}_test
            limpet_${name} Boost::unit_test_framework)
        add_test(NAME ${name} COMMAND ${name}_test)
    endif()
endfunction()

# limpet_program(NAME SOURCES ... DEPS ...): a program named NAME.
function(limpet_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE
        limpet_options ${ARG_DEPS} ${GFLAGS_LIBRARY})
    set_target_properties(${name} PROPERTIES
        RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

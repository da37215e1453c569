# Compile options of all packages, and a helper that makes a library of every source in a folder.

add_library(crocusreach_options INTERFACE)
target_compile_options(crocusreach_options INTERFACE -Wall -Wextra -Wpedantic
    -Wnon-virtual-dtor -Wold-style-cast -Woverloaded-virtual -Wnull-dereference -Wno-missing-field-initializers)
if(CROCUSREACH_WERROR)
    target_compile_options(crocusreach_options INTERFACE -Werror)
endif()
if(CROCUSREACH_SANITIZE)
    target_compile_options(crocusreach_options INTERFACE -fsanitize=address,undefined
        -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
    target_link_options(crocusreach_options INTERFACE -fsanitize=address,undefined)
endif()

function(crocusreach_library name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(${name} STATIC ${sources})
    target_link_libraries(${name} PRIVATE crocusreach_options ${ARGN})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR})
endfunction()

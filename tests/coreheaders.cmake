# Compiles each core header alone, with no include path but the workspace, and fails if it pulls in
# a header of a library for input or output. Guards against a dependency of the core on the runtime.
file(GLOB HEADERS ${ROOT}/core/*.h)
list(LENGTH HEADERS count)
if(count EQUAL 0)
    message(FATAL_ERROR "no core headers found")
endif()
foreach(header ${HEADERS})
    execute_process(COMMAND ${COMPILER} -std=c++20 -I${ROOT} -fsyntax-only -MD -MF ${DEPENDENCIES} -x c++ ${header}
        RESULT_VARIABLE status ERROR_VARIABLE errors)
    if(NOT status EQUAL 0)
        message(FATAL_ERROR "${header} does not compile alone: ${errors}")
    endif()
    file(READ ${DEPENDENCIES} includes)
    if(includes MATCHES "(glib|gio|libsoup|grpc|protobuf|prometheus|boost/log|sys/socket|netinet|fstream|iostream)")
        message(FATAL_ERROR "${header} includes ${CMAKE_MATCH_1}")
    endif()
endforeach()
message(STATUS "${count} core headers compile alone")

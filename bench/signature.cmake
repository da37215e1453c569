# Fails if two runs of the signature differ. Guards against decisions that depend on addresses,
# hash order of pointers or the real clock.
execute_process(COMMAND ${BINARY} OUTPUT_VARIABLE first RESULT_VARIABLE firstStatus)
execute_process(COMMAND ${BINARY} OUTPUT_VARIABLE second RESULT_VARIABLE secondStatus)
if(NOT firstStatus EQUAL 0 OR NOT secondStatus EQUAL 0)
    message(FATAL_ERROR "the signature run failed")
endif()
if(NOT first STREQUAL second)
    message(FATAL_ERROR "two runs differ:\n${first}\n${second}")
endif()
message(STATUS "${first}")

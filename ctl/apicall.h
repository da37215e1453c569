#pragma once

#include "formats/jsonreader.h"
#include "options.h"

#include <string>

// Calls of the administration API at the first instance that can answer.

namespace crocusreach::ctl {

struct ApiCall
{
    std::string method;
    std::string path; // with its query part
    std::string body;
    std::string contentType = "application/json";
    std::string changeId; // of a change; the same for every try
    std::string expectedRevision; // If-Match
};

struct ApiReply
{
    unsigned status = 0; // 0: no instance answered
    Json body;
    std::string failure; // if there is no body
    bool outcomeUnknown = false; // a try of a change may have taken effect
};

// Tries the addresses in turn. A change whose outcome is unknown is tried again with its change id
// until the timeout.
auto callAny(const Options &options, const ApiCall &call) -> ApiReply;

// One try at one address.
auto callOne(const Options &options, const ApiCall &call, const std::string &address) -> ApiReply;

} // namespace crocusreach::ctl

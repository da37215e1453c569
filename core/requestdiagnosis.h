#pragma once

#include "finding.h"
#include "forwardmessages.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

// The most likely place of one request's fault, from what the log of the instance that took the
// request says.

namespace crocusreach::forward {

// What one instance's log says of a request, and of the time of the request's end.
struct RequestHistory
{
    std::optional<CallSummary> summary; // absent if the log has no line of the request's end
    std::vector<SendFailureReport> failedSends; // in the order in which they failed
    std::set<std::string, std::less<>> unreachableChannels; // to the store
    std::set<std::string, std::less<>> evacuated; // failure domains
    std::optional<Duration> sinceRoutesChanged;
    std::optional<Duration> sinceLeafRemoved; // any leaf
};

// The sentence says "not known" where the evidence doesn't tell the place.
auto diagnoseRequest(const RequestHistory &history) -> Finding;

} // namespace crocusreach::forward

#pragma once

#include "finding.h"
#include "forwardmessages.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

// Finds the most likely location of one request's fault from the log of the instance that received
// the request.

namespace crocusreach::forward {

// What the log of one instance contains about a request and about the time of its end.
struct RequestHistory
{
    std::optional<CallSummary> summary; // absent if the log has no line of the request's end
    std::vector<SendFailureReport> failedSends; // in the order in which they failed
    std::set<std::string, std::less<>> unreachableChannels; // to the store
    std::set<std::string, std::less<>> evacuated; // failure domains
    std::optional<Duration> sinceRoutesChanged;
    std::optional<Duration> sinceLeafRemoved; // any leaf
};

// The description says "not known" if the log doesn't show the location.
auto diagnoseRequest(const RequestHistory &history) -> Finding;

} // namespace crocusreach::forward

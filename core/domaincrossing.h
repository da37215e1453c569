#pragma once

#include "types.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

// Decides how many of a service's requests may leave this instance's failure domain. Handles the
// load where the leafs of the own domain are too few for a while, with several hundred instances
// that decide by themselves. docs/design/leaving-the-domain.md compares the alternatives.

namespace crocusreach::forward {

struct CrossingLimits
{
    bool isEnabled = false; // otherwise another domain has a fixed cost
    // A request stays in its domain up to this much expected latency above that of a leaf in
    // another domain, unless it belongs to the share that may leave.
    Duration maxCost = std::chrono::milliseconds(40);
    Duration roundTrip = std::chrono::milliseconds(3); // between two domains
    // Price of the bytes that an answer takes through the link, as latency a KiB.
    Duration costPerKib = std::chrono::microseconds(200);
};

// What this instance knows of one service.
struct CrossingState
{
    double share = 0; // of the requests that may leave
    std::optional<TimePoint> updatedAt;
    bool isReported = false; // the log has said that requests leave
    TimePoint reportedAt = {};
};

struct DomainCrossing
{
    std::unordered_map<std::string, CrossingState> services;
};

// The expected latencies at the time of a send, without a price for leaving.
struct CrossingView
{
    std::optional<Duration> near; // of the best leaf of the own domain; absent if none is usable
    // The mean over the leafs of other domains. The least of many leafs would look better than the
    // least of a few by chance alone.
    std::optional<Duration> far;
    Duration typicalLatency = {};
    Duration price = {}; // of leaving
};

// Requests of a service begin to leave the domain, or no longer do.
struct CrossingChanged
{
    std::string service;
    double share = 0;
    bool leaves = false;
};

// What a leaf of another domain has to be faster by for the share to grow.
auto crossingPrice(const CrossingLimits &limits, double answerBytes) -> Duration;

// Extra cost of other domains for one request. The draw is from 0 to 1; below the share, the
// request may leave.
auto crossingCost(const CrossingState &state, const CrossingLimits &limits, double draw)
        -> Duration;

// Adjusts the share at a send. It depends on elapsed time, not on the number of sends, so that
// the sum over all instances reacts alike whatever their number.
auto updateCrossing(CrossingState &state, const CrossingView &view, TimePoint now) -> void;

// A change that is to be logged, at most once per interval.
auto takeCrossingChange(CrossingState &state, std::string_view service, TimePoint now)
        -> std::optional<CrossingChanged>;

// Adds an answer to the moving average of a route's answers.
auto recordAnswerBytes(double &average, std::size_t bytes) -> void;

// The greatest share of all services.
auto greatestShare(const DomainCrossing &crossing) -> double;

} // namespace crocusreach::forward

#pragma once

#include "latency.h"
#include "types.h"

#include <optional>

// When a slow leaf request is hedged, that is, sent a second time.

namespace crocusreach {

// Completed requests needed before a leaf's quantile is used.
constexpr double minHedgeSamples = 20;
constexpr double hedgeQuantile = 0.95;
// An earlier hedge would mostly race with replies that are already on their way.
constexpr Duration minHedgeDelay = std::chrono::milliseconds(1);

// Time after which an attempt at the leaf is hedged: the 95th percentile of its completed requests.
// Empty if there were too few of them, or if the time left is too short for a hedge to help.
auto hedgeDelay(const LatencyHistogram &latency, Duration timeLeft) -> std::optional<Duration>;

} // namespace crocusreach

#pragma once

#include "latency.h"
#include "types.h"

#include <optional>

// When a leaf request that takes long is sent a second time.

namespace crocusreach {

// Complete requests that must have been seen before a leaf's quantile is used.
constexpr double minHedgeSamples = 20;
constexpr double hedgeQuantile = 0.95;
// A hedge before this would mostly race with replies that are already on their way.
constexpr Duration minHedgeDelay = std::chrono::milliseconds(1);

// Time after which an attempt at the leaf is hedged: the 95th percentile of its complete requests.
// Empty while too few have been seen, or if the time left is too short for a hedge to help.
auto hedgeDelay(const LatencyHistogram &latency, Duration timeLeft) -> std::optional<Duration>;

} // namespace crocusreach

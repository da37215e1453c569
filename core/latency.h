#pragma once

#include "types.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstdint>
#include <tuple>
#include <vector>

// Observed service times of one leaf. Old observations lose weight.

namespace crocusreach {

using LatencyAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using LatencyCounts = boost::histogram::histogram<std::tuple<LatencyAxis>,
                                                  boost::histogram::dense_storage<float>>;

// Quantiles at the last update; meaningless unless valid.
struct LatencySummary
{
    bool valid = false; // there were enough recent observations
    Duration p10 = {};
    Duration p50 = {};
    Duration p99 = {};
};

// Takes about 500 bytes, whatever the number of observations. Neighbouring buckets differ by about
// 15 %.
struct LatencyHistogram
{
    LatencyCounts counts;
    double totalWeight = 0; // sum of the counts
    TimePoint decayedAt = {};
    std::uint32_t observationsSinceSummary = 0; // observations that the summary doesn't include
    LatencySummary summary;
};

auto makeLatencyHistogram() -> LatencyHistogram;

auto record(LatencyHistogram &histogram, Duration latency, TimePoint now) -> void;

// The upper edge of the bucket that holds this quantile; zero if nothing was recorded.
auto quantile(const LatencyHistogram &histogram, double fraction) -> Duration;

// The summary, updated if enough was recorded or enough time has passed since the last one.
auto summarize(LatencyHistogram &histogram, TimePoint now) -> const LatencySummary &;

} // namespace crocusreach

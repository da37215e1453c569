#include "latency.h"

#include <algorithm>
#include <cmath>

namespace crocusreach {

namespace {

constexpr int bucketCount = 96;
constexpr double minLatencyMicroseconds = 20;
constexpr double maxLatencyMicroseconds = 20e6;
// A count loses half of its weight in this time. With a shorter time, a leaf that gets one request
// per second would never have valid quantiles.
constexpr auto halfLife = std::chrono::seconds(30);
// With less total weight a p99 is mostly noise.
constexpr double minSummaryWeight = 20;
// The quantiles are recomputed once per this many observations, which spreads the cost of a scan
// of all buckets.
constexpr std::uint32_t observationsPerSummary = 32;

auto decay(LatencyHistogram &histogram, TimePoint now) -> bool
{
    if (now - histogram.decayedAt < halfLife)
        return false;
    const auto halvings = (now - histogram.decayedAt) / halfLife;
    const auto factor = std::exp2(-static_cast<double>(std::min<std::int64_t>(halvings, 64)));
    for (auto &&count : histogram.counts)
        count *= static_cast<float>(factor);
    histogram.totalWeight *= factor;
    histogram.decayedAt = now;
    return true;
}

auto microseconds(double value) -> Duration
{
    return Duration(static_cast<Duration::rep>(value));
}

auto updateSummary(LatencyHistogram &histogram) -> void
{
    histogram.observationsSinceSummary = 0;
    histogram.summary.valid = histogram.totalWeight >= minSummaryWeight;
    histogram.summary.p10 = quantile(histogram, 0.10);
    histogram.summary.p50 = quantile(histogram, 0.50);
    histogram.summary.p99 = quantile(histogram, 0.99);
}

} // namespace

auto makeLatencyHistogram() -> LatencyHistogram
{
    auto histogram = LatencyHistogram{LatencyCounts(
            LatencyAxis(bucketCount, minLatencyMicroseconds, maxLatencyMicroseconds))};
    return histogram;
}

auto record(LatencyHistogram &histogram, Duration latency, TimePoint now) -> void
{
    if (histogram.totalWeight == 0)
        histogram.decayedAt = now;
    decay(histogram, now);
    histogram.counts(std::max(1.0, static_cast<double>(latency.count())));
    histogram.totalWeight += 1;
    ++histogram.observationsSinceSummary;
}

auto quantile(const LatencyHistogram &histogram, double fraction) -> Duration
{
    if (histogram.totalWeight <= 0)
        return {};
    const auto &axis = histogram.counts.axis();
    const auto wanted = fraction * histogram.totalWeight;
    auto sum = 0.0;
    for (auto index = -1; index < axis.size(); ++index) {
        sum += static_cast<double>(histogram.counts.at(index));
        if (sum >= wanted)
            return microseconds(axis.value(index + 1));
    }
    return microseconds(maxLatencyMicroseconds);
}

auto summarize(LatencyHistogram &histogram, TimePoint now) -> const LatencySummary &
{
    const auto decayed = decay(histogram, now);
    const auto becomesValid = !histogram.summary.valid && histogram.totalWeight >= minSummaryWeight;
    if (decayed || becomesValid || histogram.observationsSinceSummary >= observationsPerSummary)
        updateSummary(histogram);
    return histogram.summary;
}

} // namespace crocusreach

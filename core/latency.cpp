#include "latency.h"

#include <algorithm>
#include <cmath>

namespace crocusreach {

namespace {

constexpr int bucketCount = 96;
constexpr double shortestMicroseconds = 20;
constexpr double longestMicroseconds = 20e6;
// A count loses half of its weight in this time. A shorter time would leave a leaf that gets one
// request a second without known quantiles.
constexpr auto halfLife = std::chrono::seconds(30);
// Below this weight a p99 is mostly chance.
constexpr double knownWeight = 20;
// The quantiles are recomputed once per this many observations, which spreads the cost of a scan
// of all buckets.
constexpr std::uint32_t summaryInterval = 32;

auto fade(LatencyHistogram &histogram, TimePoint now) -> bool
{
    if (now - histogram.fadedAt < halfLife)
        return false;
    const auto halvings = (now - histogram.fadedAt) / halfLife;
    const auto factor = std::exp2(-static_cast<double>(std::min<std::int64_t>(halvings, 64)));
    for (auto &&count : histogram.counts)
        count *= static_cast<float>(factor);
    histogram.total *= factor;
    histogram.fadedAt = now;
    return true;
}

auto microseconds(double value) -> Duration
{
    return Duration(static_cast<Duration::rep>(value));
}

auto update(LatencyHistogram &histogram) -> void
{
    histogram.sinceSummary = 0;
    histogram.summary.known = histogram.total >= knownWeight;
    histogram.summary.p10 = quantile(histogram, 0.10);
    histogram.summary.p50 = quantile(histogram, 0.50);
    histogram.summary.p99 = quantile(histogram, 0.99);
}

} // namespace

auto makeLatencyHistogram() -> LatencyHistogram
{
    auto histogram = LatencyHistogram{
            LatencyCounts(LatencyAxis(bucketCount, shortestMicroseconds, longestMicroseconds))};
    return histogram;
}

auto record(LatencyHistogram &histogram, Duration latency, TimePoint now) -> void
{
    if (histogram.total == 0)
        histogram.fadedAt = now;
    fade(histogram, now);
    histogram.counts(std::max(1.0, static_cast<double>(latency.count())));
    histogram.total += 1;
    ++histogram.sinceSummary;
}

auto quantile(const LatencyHistogram &histogram, double fraction) -> Duration
{
    if (histogram.total <= 0)
        return {};
    const auto &axis = histogram.counts.axis();
    const auto wanted = fraction * histogram.total;
    auto sum = 0.0;
    for (auto index = -1; index < axis.size(); ++index) {
        sum += static_cast<double>(histogram.counts.at(index));
        if (sum >= wanted)
            return microseconds(axis.value(index + 1));
    }
    return microseconds(longestMicroseconds);
}

auto summarize(LatencyHistogram &histogram, TimePoint now) -> const LatencySummary &
{
    const auto faded = fade(histogram, now);
    const auto becomesKnown = !histogram.summary.known && histogram.total >= knownWeight;
    if (faded || becomesKnown || histogram.sinceSummary >= summaryInterval)
        update(histogram);
    return histogram.summary;
}

} // namespace crocusreach

#include "hedging.h"

#include <algorithm>

namespace crocusreach {

auto hedgeDelay(const LatencyHistogram &latency, Duration timeLeft) -> std::optional<Duration>
{
    if (latency.totalWeight < minHedgeSamples)
        return {};
    const auto delay = std::max(quantile(latency, hedgeQuantile), minHedgeDelay);
    const auto median = quantile(latency, 0.5);
    if (delay + median >= timeLeft)
        return {};
    return delay;
}

} // namespace crocusreach

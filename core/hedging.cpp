#include "hedging.h"

#include <algorithm>

namespace crocusreach {

auto hedgeDelay(const LatencyHistogram &latency, Duration timeLeft) -> std::optional<Duration>
{
    if (latency.total < hedgeSamples)
        return {};
    const auto delay = std::max(quantile(latency, hedgeQuantile), shortestHedgeDelay);
    const auto typical = quantile(latency, 0.5);
    if (delay + typical >= timeLeft)
        return {};
    return delay;
}

} // namespace crocusreach

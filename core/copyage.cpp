#include "copyage.h"

#include <algorithm>

namespace crocusreach::forward {

namespace {

// Shorter timeouts count as this one: the store would be asked without a pause to keep them.
constexpr Duration minTimeout = std::chrono::seconds(1);
// Time for two calls to the store: the first one may be lost.
constexpr Duration refreshReserve = std::chrono::milliseconds(1200);
// An instance asks the store itself at this age at the latest. Entries of leafs that run expire in
// an outage of the store of a few seconds, and an instance must know of the outage to keep them.
constexpr Duration maxRefreshAge = std::chrono::milliseconds(2400);
// A watch may hear nothing though changes are made, without a sign, if it begins while the store
// drops its history.
constexpr Duration maxStoreWait = std::chrono::milliseconds(1800);
} // namespace

auto copyAgeLimits(const ChangeTimeouts &timeouts) -> CopyAgeLimits
{
    const auto shortest = std::max(
            minTimeout, std::min({timeouts.routes, timeouts.evacuation, timeouts.drain}));
    auto limits = CopyAgeLimits();
    const auto latestCall = shortest - std::min(refreshReserve, shortest * 3 / 5);
    limits.outdated = shortest;
    limits.refresh = std::min(maxRefreshAge, latestCall);
    limits.storeWait = std::min(maxStoreWait, latestCall);
    // Without a fault, a copy read through a relay is at most as old as the relay's wait and its
    // probe interval together.
    limits.relayWait = limits.refresh * 2 / 5;
    limits.probe = limits.refresh / 4;
    limits.relayCopy = limits.refresh * 7 / 10;
    return limits;
}

} // namespace crocusreach::forward

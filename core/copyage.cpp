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
// Changes often come in bursts, which each instance then reads in one reply.
constexpr Duration minCrowdedPause = std::chrono::milliseconds(300);
constexpr Duration maxCrowdedPause = std::chrono::milliseconds(1000);
// An entry expires after three missing reports of its leaf, which come about every second.
constexpr Duration minExpiryTime = std::chrono::seconds(3);
// Time until a lost call to the store has been repeated.
constexpr Duration lostCallTime = std::chrono::milliseconds(800);
// Time from the decision to send a request until the request reaches the leaf.
constexpr Duration sendingTime = std::chrono::milliseconds(300);
// A removed leaf is used for this much less than the drain timeout, however recent the copy was.
constexpr Duration minRemovalDelay = std::chrono::milliseconds(1500);

} // namespace

auto copyAgeLimits(const ChangeTimeouts &timeouts) -> CopyAgeLimits
{
    const auto shortest = std::max(
            minTimeout, std::min({timeouts.routes, timeouts.evacuation, timeouts.drain}));
    auto limits = CopyAgeLimits();
    const auto latestCall = shortest - std::min(refreshReserve, shortest * 3 / 5);
    limits.outdated = shortest;
    limits.refresh = std::min(maxRefreshAge, latestCall);
    limits.expiry = std::max(minExpiryTime, limits.refresh + lostCallTime);
    limits.storeWait = std::min(maxStoreWait, latestCall);
    limits.crowdedPause = std::clamp(latestCall - limits.refresh, minCrowdedPause, maxCrowdedPause);
    // Without a fault, a copy read through a relay is at most as old as the relay's wait and its
    // probe interval together.
    limits.relayWait = limits.refresh * 2 / 5;
    limits.probe = limits.refresh / 4;
    limits.relayCopy = limits.refresh * 7 / 10;
    return limits;
}

auto lastUseOf(TimePoint entrySeenAt, TimePoint removalKnownAt, Duration drainTimeout) -> TimePoint
{
    const auto latest = std::min(entrySeenAt + drainTimeout - sendingTime,
                                 removalKnownAt + drainTimeout - minRemovalDelay);
    return std::max(removalKnownAt, latest);
}

auto lastUseAfterOutage(TimePoint outageEndedAt, TimePoint entrySeenAt, TimePoint removalKnownAt,
                        Duration drainTimeout) -> TimePoint
{
    const auto returned = std::min(outageEndedAt + entryReturnTimeout,
                                   entrySeenAt + drainTimeout - sendingTime);
    return std::max(returned, lastUseOf(entrySeenAt, removalKnownAt, drainTimeout));
}

} // namespace crocusreach::forward

#include "lifecycle.h"

#include <algorithm>
#include <array>

namespace crocusreach::forward {

namespace {

// The balancer checks each second whether an instance is ready and takes it out of service after
// two failed checks. A connection that it has opened by then may still carry a request a little
// later.
constexpr Duration balancerDetectionTime = std::chrono::milliseconds(3300);
// Once the balancer sends no new requests, the instance exits as soon as none is open. Requests
// that arrive after this further delay are refused.
constexpr Duration refusalDelay = std::chrono::milliseconds(200);
// The process exits this long before the balancer would kill it.
constexpr Duration exitMargin = std::chrono::milliseconds(300);
// Time between the last answers and the exit, in which the answers are written.
constexpr Duration answerWriteTime = std::chrono::milliseconds(250);

auto idleCloseAt(const Lifecycle &lifecycle) -> TimePoint
{
    const auto halfGracePeriod = lifecycle.settings.gracePeriod / 2;
    return *lifecycle.stopRequestedAt
           + std::min(balancerDetectionTime, Duration(halfGracePeriod * 5 / 4));
}

auto latestExitAt(const Lifecycle &lifecycle) -> TimePoint
{
    return *lifecycle.stopRequestedAt + lifecycle.settings.gracePeriod - exitMargin;
}

} // namespace

auto answersUntil(const Lifecycle &lifecycle) -> std::optional<TimePoint>
{
    if (!lifecycle.stopRequestedAt)
        return {};
    return latestExitAt(lifecycle) - answerWriteTime;
}

auto requestStop(Lifecycle &lifecycle, TimePoint now) -> void
{
    if (!lifecycle.stopRequestedAt)
        lifecycle.stopRequestedAt = now;
}

auto toString(ServingState state) -> std::string_view
{
    static constexpr auto names = std::to_array<std::string_view>(
            {"serving", "state_unknown", "stopping", "leafs_unreachable"});
    return names.at(static_cast<std::size_t>(state));
}

auto servingStateOf(Lifecycle &lifecycle, bool canServe, bool canReachLeafs) -> ServingState
{
    lifecycle.wasReady = lifecycle.wasReady || canServe;
    if (lifecycle.stopRequestedAt)
        return ServingState::Stopping;
    if (!lifecycle.wasReady)
        return ServingState::StateUnknown;
    return canReachLeafs ? ServingState::Serving : ServingState::LeafsUnreachable;
}

auto shouldAnnounceClose(const Lifecycle &lifecycle) -> bool
{
    return lifecycle.stopRequestedAt.has_value();
}

auto shouldCloseIdle(const Lifecycle &lifecycle, TimePoint now) -> bool
{
    return lifecycle.stopRequestedAt && now >= idleCloseAt(lifecycle);
}

auto shouldRefuseNew(const Lifecycle &lifecycle, TimePoint now) -> bool
{
    return lifecycle.stopRequestedAt && now >= idleCloseAt(lifecycle) + refusalDelay;
}

auto canExit(const Lifecycle &lifecycle, std::size_t openRequests, TimePoint now) -> bool
{
    if (!lifecycle.stopRequestedAt)
        return false;
    return (openRequests == 0 && now >= idleCloseAt(lifecycle)) || now >= latestExitAt(lifecycle);
}

auto nextTickAt(const Lifecycle &lifecycle, TimePoint now) -> std::optional<TimePoint>
{
    if (!lifecycle.stopRequestedAt)
        return {};
    for (const auto at : std::to_array({idleCloseAt(lifecycle), latestExitAt(lifecycle)})) {
        if (now < at)
            return at;
    }
    return now;
}

} // namespace crocusreach::forward

#include "lifecycle.h"

#include <algorithm>
#include <array>

namespace crocusreach::forward {

namespace {

// The balancer asks each second whether an instance is ready and takes it out after two misses.
// A connection that it has opened by then still brings a request a little later.
constexpr Duration balancerTime = std::chrono::milliseconds(3300);
// Time after that in which the instance ends as soon as no request is open.
constexpr Duration refusalDelay = std::chrono::milliseconds(200);
// The process must be gone before it is killed.
constexpr Duration exitMargin = std::chrono::milliseconds(300);

auto idleCloseAt(const Lifecycle &lifecycle) -> TimePoint
{
    const auto longest = lifecycle.settings.grace / 2;
    return *lifecycle.stopRequestedAt + std::min(balancerTime, Duration(longest * 5 / 4));
}

auto lastExitAt(const Lifecycle &lifecycle) -> TimePoint
{
    return *lifecycle.stopRequestedAt + lifecycle.settings.grace - exitMargin;
}

} // namespace

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

auto servingStateOf(Lifecycle &lifecycle, bool canServe, bool reachesLeafs) -> ServingState
{
    lifecycle.readyOnce = lifecycle.readyOnce || canServe;
    if (lifecycle.stopRequestedAt)
        return ServingState::Stopping;
    if (!lifecycle.readyOnce)
        return ServingState::StateUnknown;
    return reachesLeafs ? ServingState::Serving : ServingState::LeafsUnreachable;
}

auto announcesClose(const Lifecycle &lifecycle) -> bool
{
    return lifecycle.stopRequestedAt.has_value();
}

auto closesIdle(const Lifecycle &lifecycle, TimePoint now) -> bool
{
    return lifecycle.stopRequestedAt && now >= idleCloseAt(lifecycle);
}

auto refusesNew(const Lifecycle &lifecycle, TimePoint now) -> bool
{
    return lifecycle.stopRequestedAt && now >= idleCloseAt(lifecycle) + refusalDelay;
}

auto mayExit(const Lifecycle &lifecycle, std::size_t openRequests, TimePoint now) -> bool
{
    if (!lifecycle.stopRequestedAt)
        return false;
    return (openRequests == 0 && now >= idleCloseAt(lifecycle)) || now >= lastExitAt(lifecycle);
}

auto nextTickAt(const Lifecycle &lifecycle, TimePoint now) -> std::optional<TimePoint>
{
    if (!lifecycle.stopRequestedAt)
        return {};
    for (const auto at : std::to_array({idleCloseAt(lifecycle), lastExitAt(lifecycle)})) {
        if (now < at)
            return at;
    }
    return now;
}

} // namespace crocusreach::forward

#pragma once

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

// Readiness of an instance behind a balancer, and its graceful shutdown: it stops without cutting
// off a request.

namespace crocusreach::forward {

struct LifecycleSettings
{
    // The balancer kills the process this long after it was asked to stop.
    Duration gracePeriod = std::chrono::seconds(6);
};

struct Lifecycle
{
    LifecycleSettings settings;
    std::optional<TimePoint> stopRequestedAt;
    bool wasReady = false;
};

auto requestStop(Lifecycle &lifecycle, TimePoint now) -> void;

enum class ServingState : std::uint8_t { Serving, StateUnknown, Stopping, LeafsUnreachable };

auto toString(ServingState state) -> std::string_view;

// Serving once the instance has been able to serve requests, until a stop is requested, while leafs
// can be reached. A later loss of the store doesn't make the instance unready: it serves with the
// last known state.
auto servingStateOf(Lifecycle &lifecycle, bool canServe, bool canReachLeafs) -> ServingState;

// Once a stop is requested, the time until which every request must be answered: the process exits
// a little later. Absent before.
auto answersUntil(const Lifecycle &lifecycle) -> std::optional<TimePoint>;

// True from the stop request on: answers announce that their connection will be closed.
auto shouldAnnounceClose(const Lifecycle &lifecycle) -> bool;

// True once the balancer sends no new requests. Idle connections are then closed.
auto shouldCloseIdle(const Lifecycle &lifecycle, TimePoint now) -> bool;

// True a little later. New requests are then refused as not run, since a balancer that has too few
// other instances goes on sending them.
auto shouldRefuseNew(const Lifecycle &lifecycle, TimePoint now) -> bool;

// True once all requests have ended and no new ones are expected, or the grace period is nearly
// over.
auto canExit(const Lifecycle &lifecycle, std::size_t openRequests, TimePoint now) -> bool;

// The next time at which one of the results above may change.
auto nextTickAt(const Lifecycle &lifecycle, TimePoint now) -> std::optional<TimePoint>;

} // namespace crocusreach::forward

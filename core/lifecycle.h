#pragma once

#include "types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

// When an instance behind a balancer is ready, and how it stops without cutting off a request.

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

// Serving as soon as requests can be served, until a stop is asked for, and while leafs can be
// reached. A later loss of the store doesn't make the instance unready: it serves with what it
// knows.
auto servingStateOf(Lifecycle &lifecycle, bool canServe, bool canReachLeafs) -> ServingState;

// Answers announce the end of their connection from the stop request on.
auto shouldAnnounceClose(const Lifecycle &lifecycle) -> bool;

// Idle connections are closed once the balancer sends nothing new.
auto shouldCloseIdle(const Lifecycle &lifecycle, TimePoint now) -> bool;

// A while later, new requests are refused as not run. A balancer that has too few other instances
// goes on sending them.
auto shouldRefuseNew(const Lifecycle &lifecycle, TimePoint now) -> bool;

// True once all requests have ended and no new ones can come, or the grace time is nearly over.
auto canExit(const Lifecycle &lifecycle, std::size_t openRequests, TimePoint now) -> bool;

// The next time at which one of the answers above may change.
auto nextTickAt(const Lifecycle &lifecycle, TimePoint now) -> std::optional<TimePoint>;

} // namespace crocusreach::forward

#pragma once

#include "forwarder.h"

#include <string_view>
#include <vector>

// What the forwarder does with its queue of waiting calls.

namespace crocusreach::forward {

// Number of calls that wait, where the call given counts only if it waits by now.
auto waitingCalls(const Forwarder &forwarder, const Call &call) -> std::size_t;

// Takes over which services the call waits for after an attempt that made this many sends.
auto updateWaiting(Forwarder &forwarder, const Call &call, std::uint32_t sends) -> void;

// The waiting calls that may make progress, in their order. A call is left out only if no leaf of
// the services that it waits for can take a send now.
auto callsToAdvance(Forwarder &forwarder, TimePoint now) -> std::vector<CallId>;

// Whether a new call may have to wait. If the queue is full, a call of a tenant with more waiting
// calls may be refused for it.
struct QueuePlace
{
    bool isFree = true;
    std::optional<CallId> replaced;
};

auto findPlace(const Forwarder &forwarder, const ForwardRequest &request, std::uint32_t priority,
               const std::optional<TenantNumber> &tenant) -> QueuePlace;

// Refuses the replaced call as not run if the queue is over its bounds.
auto refuseReplaced(Forwarder &forwarder, const QueuePlace &place, TimePoint now,
                    std::vector<ForwardAction> &actions) -> void;

} // namespace crocusreach::forward

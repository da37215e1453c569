#pragma once

#include "forwarder.h"

// When a part of a call is sent to a leaf: first attempts, retries and hedges.

namespace crocusreach::forward {

// Makes the attempts that are due: first attempts, retries and hedges. Parts that can't be sent any
// more fail. If a part finds no free connection, the call waits for one.
auto sendDueParts(Forwarder &forwarder, Call &call, TimePoint now,
                  std::vector<ForwardAction> &actions) -> void;

// Removes an ended send from the lists of its leaf and its part.
auto detachSend(Forwarder &forwarder, const Send &send) -> void;

// Reports a send of the call that has failed, or that gets no answer in time.
auto reportFailedSend(Forwarder &forwarder, const Call &call, const Send &send, RetryReason reason,
                      const ConnectionLoss &connection, TimePoint now,
                      std::vector<ForwardAction> &actions) -> void;

auto addTimer(Forwarder &forwarder, TimePoint at, TimerKind kind, std::uint64_t id) -> void;

// True if a leaf of the service may be sent the call's request before the call must end.
auto canSendInTime(Forwarder &forwarder, const Call &call, std::string_view service, TimePoint now)
        -> bool;

// Decides again on waiting calls at the time when the leaf can be used again. Only the earliest
// such timer of a leaf is kept.
auto addLeafTimer(Forwarder &forwarder, LeafNumber index, TimePoint at) -> void;
auto endLeafTimer(Forwarder &forwarder, LeafNumber index, TimePoint now) -> void;

} // namespace crocusreach::forward

#pragma once

#include "dispatchstate.h"
#include "types.h"

#include <cstdint>

// Answers leaf requests and chooses the next request that is sent to a leaf.

namespace crocusreach {

// Refuses a request that was never queued.
auto refuse(DispatchState &state, const LeafRequest &request, Reason reason,
            DispatchActions &actions) -> void;

// Refuses a waiting attempt: removes it from the queue and answers it with Outcome::NotRun.
auto refuseWaiting(DispatchState &state, std::uint32_t index, Reason reason, TimePoint now,
                   DispatchActions &actions) -> void;

// Refuses all waiting attempts of a leaf.
auto refuseAllWaiting(DispatchState &state, LeafState &leaf, Reason reason, TimePoint now,
                      DispatchActions &actions) -> void;

// Answers an attempt that was sent and got no reply from the target, with Outcome::Unknown.
auto answerUnknown(DispatchState &state, const Attempt &attempt, Reason reason, TimePoint now,
                   DispatchActions &actions) -> void;

// Removes an attempt that no longer runs, and frees its slot and its connection.
auto release(DispatchState &state, std::uint32_t index) -> void;

// Puts an attempt into its leaf's queue.
auto enqueueAttempt(DispatchState &state, std::uint32_t index, TimePoint now) -> void;

// The deadline of a request at its target: never after the end of the lease.
auto targetDeadline(const DispatchState &state, const LeafRequest &request) -> TimePoint;

// Why a request can't be served in time by this leaf; Reason::None if it can. queuedAhead is the
// number of waiting requests that are sent before it.
auto timeRefusalReason(const DispatchState &state, LeafState &leaf, const LeafRequest &request,
                       std::size_t queuedAhead, TimePoint now) -> Reason;

// Sends waiting requests as long as the limits allow it.
auto sendWaiting(DispatchState &state, std::uint32_t leafIndex, TimePoint now,
                 DispatchActions &actions) -> void;

// Sends a probe, unless the leaf has no connection for probes. If a probe is outstanding, a
// RestartCheck or SilentCheck is sent after it.
auto sendProbe(DispatchState &state, LeafState &leaf, ProbeKind kind, TimePoint now,
               DispatchActions &actions) -> void;

} // namespace crocusreach

#pragma once

#include "sendschedule.h"
#include "types.h"

#include <cstdint>
#include <optional>

// What a leaf states about itself in its answers. A statement is that of one process of the leaf:
// its successor under the same id starts without any.

namespace crocusreach::forward {

struct LeafStatements
{
    std::optional<TimePoint> leavesAt; // it is about to exit, and gets no requests from then on
    std::optional<double> rateLimit; // requests a second that it takes from all instances together
    SendSchedule schedule; // of this instance's sends while there is a limit
    TimePoint pausedUntil = {}; // it wants no requests of this instance until then
};

// What this instance may use of a rate limit that is stated for all instances together.
struct RateShare
{
    std::uint32_t instances = 1; // upper bound of the running instances
    double phase = 0; // of the schedule; 0 to 1, spread over the instances
};

// Applies the rate limit of an answer; empty if the leaf no longer states one. Returns whether the
// limit has changed.
auto applyRateLimit(LeafStatements &statements, std::optional<double> perSecond,
                    const RateShare &share, TimePoint now) -> bool;

// Applies the pause that a leaf asks for when it refuses a request.
auto applyPause(LeafStatements &statements, Duration pause, TimePoint now) -> void;

// The earliest time at which the leaf's rate limit and its pause allow a send.
auto nextSendAt(const LeafStatements &statements, TimePoint now) -> TimePoint;

// True if the leaf has stated that it is about to exit. It still serves for the drain timeout.
auto isLeaving(const LeafStatements &statements) -> bool;

// True once the drain timeout of a leaving leaf is over.
auto hasLeft(const LeafStatements &statements, TimePoint now) -> bool;

} // namespace crocusreach::forward

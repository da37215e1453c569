#pragma once

#include "types.h"

#include <cstdint>

// Spreads this instance's sends to a leaf that states a limit on the requests a second from all
// instances together. Time is divided into slots at this instance's share of the limit, and each
// slot is good for one send in its first second. Slots don't add up, and their phases differ
// between instances: otherwise all instances could use what they have saved at the same moment, and
// with many instances one request from each already exceeds a low limit.

namespace crocusreach::forward {

struct SendSchedule
{
    double rate = 0; // slots a second
    double position = 0; // at positionAt: the number of the slot, and the part of it that is over
    TimePoint positionAt = {};
    std::int64_t lastUsedSlot = 0;
};

// A schedule whose first slot begins after the given fraction of the time between two slots.
auto startSchedule(double rate, double phase, TimePoint now) -> SendSchedule;

// Changes the rate. The part of the current slot that is over stays over.
auto changeRate(SendSchedule &schedule, double rate, TimePoint now) -> void;

// The earliest time at which a send is due: now if a slot can be used.
auto nextSendAt(const SendSchedule &schedule, TimePoint now) -> TimePoint;

// The number of sends that the slots allow between two times, both included.
auto sendsBetween(const SendSchedule &schedule, TimePoint from, TimePoint until) -> double;

// Records a send in the current slot.
auto useSlot(SendSchedule &schedule, TimePoint now) -> void;

} // namespace crocusreach::forward

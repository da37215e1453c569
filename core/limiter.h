#pragma once

#include "types.h"

#include <cstdint>
#include <vector>

// The bounded queue of one leaf's shares, ordered by deadline, and the decision to shed early.

namespace crocusreach {

struct WaitingEntry
{
    TimePoint deadline = {};
    std::uint32_t attempt = 0; // index of the waiting attempt
};

// The earliest deadline is last, so that removing it moves no other entry.
struct WaitingQueue
{
    std::vector<WaitingEntry> entries;
};

auto enqueue(WaitingQueue &queue, WaitingEntry entry) -> void;

// Removes the entry; false if it isn't waiting.
auto removeEntry(WaitingQueue &queue, WaitingEntry entry) -> bool;

// Number of entries that are sent before a new one with this deadline.
auto entriesBefore(const WaitingQueue &queue, TimePoint deadline) -> std::size_t;

// What decides whether one more request can be served in time.
struct LoadEstimate
{
    std::size_t queuedAhead = 0; // requests that will be sent first
    std::uint32_t running = 0;
    std::uint32_t concurrencyLimit = 0;
    Duration minServiceTime = {}; // nearly all requests take at least this long; zero if unknown
    Duration medianServiceTime = {};
};

// Reason::None if the deadline can be met, Overloaded if the wait is too long, DeadlineTooShort if
// it could not be met even without a wait. A request to an idle leaf is never refused: otherwise no
// new service times would be observed.
auto deadlineRefusalReason(const LoadEstimate &load, TimePoint deadline, TimePoint now) -> Reason;

} // namespace crocusreach

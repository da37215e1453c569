#include "limiter.h"

#include <algorithm>

namespace crocusreach {

namespace {

// First position whose deadline isn't later than the given one.
template <typename Entries>
auto positionOf(Entries &entries, TimePoint deadline)
{
    return std::lower_bound(
            entries.begin(), entries.end(), deadline,
            [](const WaitingEntry &entry, TimePoint value) { return entry.deadline > value; });
}

} // namespace

auto enqueue(WaitingQueue &queue, WaitingEntry entry) -> void
{
    queue.entries.insert(positionOf(queue.entries, entry.deadline), entry);
}

auto removeEntry(WaitingQueue &queue, WaitingEntry entry) -> bool
{
    auto position = positionOf(queue.entries, entry.deadline);
    while (position != queue.entries.end() && position->deadline == entry.deadline) {
        if (position->attempt == entry.attempt) {
            queue.entries.erase(position);
            return true;
        }
        ++position;
    }
    return false;
}

auto entriesBefore(const WaitingQueue &queue, TimePoint deadline) -> std::size_t
{
    return static_cast<std::size_t>(queue.entries.end() - positionOf(queue.entries, deadline));
}

auto deadlineRefusalReason(const LoadEstimate &load, TimePoint deadline, TimePoint now) -> Reason
{
    if (load.running == 0)
        return Reason::None;
    if (now + load.minServiceTime > deadline)
        return Reason::DeadlineTooShort;
    if (load.queuedAhead == 0 && load.running < load.concurrencyLimit)
        return Reason::None;
    const auto rounds = static_cast<std::int64_t>(load.queuedAhead + 1);
    const auto wait = load.medianServiceTime * rounds / std::max(1U, load.concurrencyLimit);
    return now + wait + load.minServiceTime > deadline ? Reason::Overloaded : Reason::None;
}

} // namespace crocusreach

#include "timers.h"

#include <algorithm>
#include <bit>

namespace crocusreach {

namespace {

constexpr std::uint32_t none = 0xffffffff;
// A bucket spans 1,024 us.
constexpr int bucketShift = 10;

auto bucketNumber(TimePoint time) -> std::int64_t
{
    return time.time_since_epoch().count() >> bucketShift;
}

auto bucketIndex(std::int64_t bucket) -> std::uint32_t
{
    return static_cast<std::uint32_t>(bucket & (timerBucketCount - 1));
}

auto link(TimerWheel &wheel, std::uint32_t index, std::uint32_t bucket) -> void
{
    auto &node = wheel.nodes[index];
    node.bucket = bucket;
    node.previous = none;
    node.next = wheel.heads[bucket];
    node.armed = true;
    if (node.next != none)
        wheel.nodes[node.next].previous = index;
    wheel.heads[bucket] = index;
    wheel.occupied[bucket / 64] |= std::uint64_t(1) << (bucket % 64);
}

auto unlink(TimerWheel &wheel, std::uint32_t index) -> void
{
    auto &node = wheel.nodes[index];
    if (node.previous != none)
        wheel.nodes[node.previous].next = node.next;
    else
        wheel.heads[node.bucket] = node.next;
    if (node.next != none)
        wheel.nodes[node.next].previous = node.previous;
    if (wheel.heads[node.bucket] == none)
        wheel.occupied[node.bucket / 64] &= ~(std::uint64_t(1) << (node.bucket % 64));
    node.armed = false;
}

// The first occupied bucket at or after the position.
auto firstOccupied(const TimerWheel &wheel) -> std::optional<std::int64_t>
{
    const auto start = bucketIndex(wheel.position);
    constexpr auto words = timerBucketCount / 64;
    // The word of the start is examined twice: first its later bits, at the end its earlier ones.
    for (std::size_t step = 0; step <= words; ++step) {
        const auto word = (start / 64 + step) % words;
        auto bits = wheel.occupied[word];
        if (step == 0)
            bits &= ~std::uint64_t(0) << (start % 64);
        if (step == words)
            bits &= ~(~std::uint64_t(0) << (start % 64));
        if (bits == 0)
            continue;
        const auto found = static_cast<std::uint32_t>(word * 64)
                           + static_cast<std::uint32_t>(std::countr_zero(bits));
        return wheel.position + bucketIndex(std::int64_t(found) - start);
    }
    return std::nullopt;
}

auto dueInBucket(const TimerWheel &wheel, std::uint32_t bucket, TimePoint now)
        -> std::optional<std::uint32_t>
{
    for (auto index = wheel.heads[bucket]; index != none; index = wheel.nodes[index].next) {
        if (wheel.nodes[index].due <= now)
            return index;
    }
    return std::nullopt;
}

// Moves timers that were due beyond the wheel's span when they were armed.
auto rearmAll(TimerWheel &wheel, std::uint32_t bucket) -> void
{
    // The list is detached first, because a timer may be put into the same bucket again, for the
    // next turn of the wheel.
    auto index = wheel.heads[bucket];
    wheel.heads[bucket] = none;
    wheel.occupied[bucket / 64] &= ~(std::uint64_t(1) << (bucket % 64));
    while (index != none) {
        auto &node = wheel.nodes[index];
        const auto next = node.next;
        node.armed = false;
        arm(wheel, index, node.due);
        index = next;
    }
}

} // namespace

auto arm(TimerWheel &wheel, std::uint32_t index, TimePoint due) -> void
{
    if (wheel.heads.empty())
        wheel.heads.assign(timerBucketCount, none);
    if (index >= wheel.nodes.size())
        wheel.nodes.resize(index + 1);
    if (wheel.nodes[index].armed)
        unlink(wheel, index);
    const auto latest = wheel.position + static_cast<std::int64_t>(timerBucketCount) - 1;
    wheel.nodes[index].due = due;
    link(wheel, index, bucketIndex(std::clamp(bucketNumber(due), wheel.position, latest)));
}

auto disarm(TimerWheel &wheel, std::uint32_t index) -> void
{
    if (index < wheel.nodes.size() && wheel.nodes[index].armed)
        unlink(wheel, index);
}

auto nextDue(const TimerWheel &wheel) -> std::optional<TimePoint>
{
    const auto bucket = firstOccupied(wheel);
    if (!bucket)
        return std::nullopt;
    auto earliest = TimePoint(Duration((*bucket + 1) << bucketShift));
    for (auto index = wheel.heads[bucketIndex(*bucket)]; index != none;
         index = wheel.nodes[index].next)
        earliest = std::min(earliest, wheel.nodes[index].due);
    return earliest;
}

auto popDue(TimerWheel &wheel, TimePoint now) -> std::optional<std::uint32_t>
{
    const auto current = bucketNumber(now);
    for (auto bucket = firstOccupied(wheel); bucket && *bucket <= current;
         bucket = firstOccupied(wheel)) {
        wheel.position = *bucket;
        if (const auto index = dueInBucket(wheel, bucketIndex(*bucket), now)) {
            unlink(wheel, *index);
            return index;
        }
        if (*bucket == current)
            return std::nullopt;
        wheel.position = *bucket + 1;
        rearmAll(wheel, bucketIndex(*bucket));
    }
    wheel.position = std::max(wheel.position, current);
    return std::nullopt;
}

} // namespace crocusreach

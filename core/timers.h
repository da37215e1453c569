#pragma once

#include "types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

// A timing wheel with one timer per small index. Arming and disarming take constant time, so that
// a timer that rarely fires costs little.

namespace crocusreach {

struct TimerNode
{
    TimePoint due = {};
    std::uint32_t previous = 0;
    std::uint32_t next = 0;
    std::uint32_t bucket = 0;
    bool armed = false;
};

constexpr std::size_t timerBucketCount = 4096;

struct TimerWheel
{
    std::vector<TimerNode> nodes; // by index
    std::vector<std::uint32_t> heads; // one list per bucket; empty until the first use
    std::array<std::uint64_t, timerBucketCount / 64> occupied = {}; // one bit per bucket
    std::int64_t position = 0; // earliest bucket, counted from time zero, that may hold timers
};

// Sets the timer of an index, replacing the one that it had.
auto arm(TimerWheel &wheel, std::uint32_t index, TimePoint due) -> void;

auto disarm(TimerWheel &wheel, std::uint32_t index) -> void;

// A time no later than the earliest due time. It is earlier only if the earliest due time is more
// than about four seconds ahead.
auto nextDue(const TimerWheel &wheel) -> std::optional<TimePoint>;

// Disarms one timer that is due and returns its index.
auto popDue(TimerWheel &wheel, TimePoint now) -> std::optional<std::uint32_t>;

} // namespace crocusreach

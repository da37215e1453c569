#pragma once

#include "types.h"

#include <array>
#include <cstdint>

// Limits how often requests to one service are sent more than once, so that repeats can't multiply
// an overload. Each instance bounds its own repeats by its own requests; the sum over all instances
// then stays within the service's budget whatever their number is.

namespace crocusreach::forward {

// Bounds over all instances, from the settings.
struct RepeatLimits
{
    double ratio = 0.2; // repeats for each request
    double slack = 0; // repeats on top of that, in one window
    Duration window = std::chrono::seconds(10);
};

constexpr std::size_t budgetBuckets = 20;

// Requests and repeats, in buckets of a twentieth of the window. Repeats are kept for one bucket
// longer, so that they are counted for at least a window and requests for at most one.
struct RepeatBudget
{
    std::array<std::uint32_t, budgetBuckets> requests = {};
    std::array<std::uint32_t, budgetBuckets + 1> repeats = {};
    std::int64_t position = 0; // bucket of the latest time seen, counted from time zero
    std::uint32_t requestSum = 0;
    std::uint32_t repeatSum = 0;
};

auto noteRequest(RepeatBudget &budget, const RepeatLimits &limits, TimePoint now) -> void;

// Why a request is sent once more.
enum class RepeatUse : std::uint8_t {
    Retry, // the earlier attempt has failed
    Hedge, // the earlier attempt takes long; a part of the budget is kept for retries
};

// Counts a repeat if the budget has room for it. Returns whether it has.
auto tryRepeat(RepeatBudget &budget, const RepeatLimits &limits, RepeatUse use,
               std::uint32_t instances, TimePoint now) -> bool;

} // namespace crocusreach::forward

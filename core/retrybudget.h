#pragma once

#include "types.h"

#include <array>
#include <cstdint>

// Limits how often requests to one service are sent more than once, so that repeats can't multiply
// an overload. Each instance bounds its own repeats by its own requests; the sum over all instances
// then stays within the service's budget whatever their number is.

namespace crocusreach::forward {

// Bounds over all instances, from the settings.
struct RetryLimits
{
    double ratio = 0.2; // repeats for each request
    double slack = 0; // repeats on top of that, in one window
    Duration window = std::chrono::seconds(10);
};

constexpr std::size_t budgetBucketCount = 20;

// Requests and repeats, in buckets of a twentieth of the window. Repeats are kept for one bucket
// longer, so that they are counted for at least a window and requests for at most one.
struct RetryBudget
{
    std::array<std::uint32_t, budgetBucketCount> requests = {};
    std::array<std::uint32_t, budgetBucketCount + 1> extraAttempts = {};
    std::int64_t currentBucket = 0; // bucket of the latest time seen, counted from time zero
    std::uint32_t requestSum = 0;
    std::uint32_t extraAttemptSum = 0;
};

auto recordRequest(RetryBudget &budget, const RetryLimits &limits, TimePoint now) -> void;

// Why a request is sent once more.
enum class RetryKind : std::uint8_t {
    Retry, // the earlier attempt has failed
    Hedge, // the earlier attempt takes long; a part of the budget is kept for retries
};

// Counts a repeat if the budget has room for it. Returns whether it has.
auto tryConsume(RetryBudget &budget, const RetryLimits &limits, RetryKind kind,
                std::uint32_t instances, TimePoint now) -> bool;

} // namespace crocusreach::forward

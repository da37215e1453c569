#pragma once

#include "types.h"

#include <array>
#include <cstdint>

// Retry budget of a service. Limits extra attempts, that is retries and hedges, so that they can't
// multiply an overload. Each instance bounds its extra attempts by its own requests; the sum over
// all instances then stays within the service's budget, whatever their number is.

namespace crocusreach::forward {

// Limits over all instances, from the settings.
struct RetryLimits
{
    double ratio = 0.2; // extra attempts for each request
    double slack = 0; // extra attempts on top of that, in one window
    Duration window = std::chrono::seconds(10);
};

constexpr std::size_t budgetBucketCount = 20;

// Counts of requests and extra attempts, in buckets of a twentieth of the window. Extra attempts
// are kept for one bucket longer, so that they are counted for at least a window and requests for
// at most one.
struct RetryBudget
{
    std::array<std::uint32_t, budgetBucketCount> requests = {};
    std::array<std::uint32_t, budgetBucketCount + 1> extraAttempts = {};
    std::int64_t currentBucket = 0; // number of the latest bucket, counted from time zero
    std::uint32_t requestSum = 0;
    std::uint32_t extraAttemptSum = 0;
};

auto recordRequest(RetryBudget &budget, const RetryLimits &limits, TimePoint now) -> void;

// Kind of an extra attempt.
enum class RetryKind : std::uint8_t {
    Retry, // the earlier attempt has failed
    Hedge, // the earlier attempt still runs; part of the budget is reserved for retries
};

// Counts an extra attempt if the budget has room for it. Returns whether it has.
auto tryConsume(RetryBudget &budget, const RetryLimits &limits, RetryKind kind,
                std::uint32_t instances, TimePoint now) -> bool;

} // namespace crocusreach::forward

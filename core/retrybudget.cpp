#include "retrybudget.h"

#include <algorithm>
#include <utility>

namespace crocusreach::forward {

namespace {

// Fraction of the configured ratio and slack that is used. The rest covers windows that hold fewer
// requests than the one that justified their extra attempts: where traffic ends within a window, a
// quarter of it may lie outside.
constexpr double usedFraction = 0.75;
// Fraction of the instance's budget that hedges may use.
constexpr double hedgeFraction = 0.85;

// The count of the bucket at a position; the counts are in a ring buffer.
template <std::size_t size>
auto bucketAt(std::array<std::uint32_t, size> &ring, std::int64_t position) -> std::uint32_t &
{
    return ring.at(static_cast<std::size_t>(position) % size);
}

// Clears the buckets that have left the window.
auto advance(RetryBudget &budget, const RetryLimits &limits, TimePoint now) -> void
{
    const auto width = limits.window / static_cast<std::int64_t>(budgetBucketCount);
    const auto position = now.time_since_epoch() / width;
    const auto ringSize = static_cast<std::int64_t>(budgetBucketCount + 1);
    const auto first = std::max(budget.currentBucket + 1, position - ringSize + 1);
    for (auto bucket = first; bucket <= position; ++bucket) {
        budget.requestSum -= std::exchange(bucketAt(budget.requests, bucket), 0);
        budget.extraAttemptSum -= std::exchange(bucketAt(budget.extraAttempts, bucket), 0);
    }
    budget.currentBucket = std::max(position, budget.currentBucket);
}

} // namespace

auto recordRequest(RetryBudget &budget, const RetryLimits &limits, TimePoint now) -> void
{
    advance(budget, limits, now);
    ++bucketAt(budget.requests, budget.currentBucket);
    ++budget.requestSum;
}

auto tryConsume(RetryBudget &budget, const RetryLimits &limits, RetryKind kind,
                std::uint32_t instances, TimePoint now) -> bool
{
    advance(budget, limits, now);
    const auto slack = limits.slack / std::max(1U, instances);
    auto allowed = usedFraction * (limits.ratio * budget.requestSum + slack);
    if (kind == RetryKind::Hedge)
        allowed *= hedgeFraction;
    if (budget.extraAttemptSum + 1 > allowed)
        return false;
    ++bucketAt(budget.extraAttempts, budget.currentBucket);
    ++budget.extraAttemptSum;
    return true;
}

} // namespace crocusreach::forward

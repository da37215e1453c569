#include "repeatbudget.h"

#include <algorithm>
#include <utility>

namespace crocusreach::forward {

namespace {

// Of the stated ratio and slack. The rest covers windows that hold fewer requests than the one that
// justified their repeats: where traffic ends within a window, a quarter of it may lie outside.
constexpr double usedShare = 0.75;
// Of the instance's own budget, the part that hedges may use.
constexpr double hedgeShare = 0.85;

// Counts in rings, each bucket at its position modulo the ring's size.
template <std::size_t size>
auto bucketAt(std::array<std::uint32_t, size> &ring, std::int64_t position) -> std::uint32_t &
{
    return ring.at(static_cast<std::size_t>(position) % size);
}

// Empties the buckets that lie outside the window as of now.
auto advance(RepeatBudget &budget, const RepeatLimits &limits, TimePoint now) -> void
{
    const auto width = limits.window / static_cast<std::int64_t>(budgetBuckets);
    const auto position = now.time_since_epoch() / width;
    const auto most = static_cast<std::int64_t>(budgetBuckets + 1);
    const auto first = std::max(budget.position + 1, position - most + 1);
    for (auto bucket = first; bucket <= position; ++bucket) {
        budget.requestSum -= std::exchange(bucketAt(budget.requests, bucket), 0);
        budget.repeatSum -= std::exchange(bucketAt(budget.repeats, bucket), 0);
    }
    budget.position = std::max(position, budget.position);
}

} // namespace

auto noteRequest(RepeatBudget &budget, const RepeatLimits &limits, TimePoint now) -> void
{
    advance(budget, limits, now);
    ++bucketAt(budget.requests, budget.position);
    ++budget.requestSum;
}

auto tryRepeat(RepeatBudget &budget, const RepeatLimits &limits, RepeatUse use,
               std::uint32_t instances, TimePoint now) -> bool
{
    advance(budget, limits, now);
    const auto slack = limits.slack / std::max(1U, instances);
    auto allowed = usedShare * (limits.ratio * budget.requestSum + slack);
    if (use == RepeatUse::Hedge)
        allowed *= hedgeShare;
    if (budget.repeatSum + 1 > allowed)
        return false;
    ++bucketAt(budget.repeats, budget.position);
    ++budget.repeatSum;
    return true;
}

} // namespace crocusreach::forward

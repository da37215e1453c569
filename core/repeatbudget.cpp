#include "repeatbudget.h"

#include <algorithm>
#include <utility>

namespace crocusreach::forward {

namespace {

// Of the stated ratio and slack. The rest covers requests that are counted at other times than
// here, since a repeat may arrive in a later window than its request.
constexpr double usedShare = 0.85;
// Of the instance's own budget, the part that hedges may use.
constexpr double hedgeShare = 0.8;

auto advance(RepeatBudget &budget, const RepeatLimits &limits, TimePoint now) -> std::size_t
{
    const auto width = limits.window / static_cast<std::int64_t>(budgetBuckets);
    const auto position = now.time_since_epoch() / width;
    const auto steps = std::clamp<std::int64_t>(position - budget.position, 0, budgetBuckets);
    for (std::int64_t step = 1; step <= steps; ++step) {
        const auto index = static_cast<std::size_t>(budget.position + step) % budgetBuckets;
        budget.requestSum -= std::exchange(budget.requests.at(index), 0);
        budget.repeatSum -= std::exchange(budget.repeats.at(index), 0);
    }
    budget.position = std::max(position, budget.position);
    return static_cast<std::size_t>(budget.position) % budgetBuckets;
}

} // namespace

auto noteRequest(RepeatBudget &budget, const RepeatLimits &limits, TimePoint now) -> void
{
    ++budget.requests.at(advance(budget, limits, now));
    ++budget.requestSum;
}

auto tryRepeat(RepeatBudget &budget, const RepeatLimits &limits, RepeatUse use,
               std::uint32_t instances, TimePoint now) -> bool
{
    const auto index = advance(budget, limits, now);
    const auto slack = limits.slack / std::max(1U, instances);
    auto allowed = usedShare * (limits.ratio * budget.requestSum + slack);
    if (use == RepeatUse::Hedge)
        allowed *= hedgeShare;
    if (budget.repeatSum + 1 > allowed)
        return false;
    ++budget.repeats.at(index);
    ++budget.repeatSum;
    return true;
}

} // namespace crocusreach::forward

#include "leafstatements.h"

#include <algorithm>

namespace crocusreach::forward {

namespace {

// Fraction of a stated limit that the instances use together, as another one may have started.
constexpr double usedLimitFraction = 0.9;
// Requests a second. A leaf that takes fewer still gets these, to learn when it takes more.
constexpr double minRateLimit = 0.25;
// Requests a second. No leaf serves as many, and the numbers of the slots stay exact.
constexpr double maxRateLimit = 1e6;

// A leaf that asks for a longer pause is asked again after this time, so that a wrong value doesn't
// take it out of service for good.
constexpr Duration maxPause = std::chrono::minutes(10);

auto ownRate(double perSecond, const RateShare &share) -> double
{
    return std::clamp(usedLimitFraction * perSecond, minRateLimit, maxRateLimit)
           / std::max(1U, share.instances);
}

} // namespace

auto applyRateLimit(LeafStatements &statements, std::optional<double> perSecond,
                    const RateShare &share, TimePoint now) -> bool
{
    const auto isNew = perSecond && !statements.rateLimit;
    const auto changed = statements.rateLimit != perSecond;
    statements.rateLimit = perSecond;
    if (isNew)
        statements.schedule = startSchedule(ownRate(*perSecond, share), share.phase, now);
    else if (perSecond)
        changeRate(statements.schedule, ownRate(*perSecond, share), now);
    return changed;
}

auto applyPause(LeafStatements &statements, Duration pause, TimePoint now) -> void
{
    statements.pausedUntil = std::max(statements.pausedUntil, now + std::min(pause, maxPause));
}

auto nextSendAt(const LeafStatements &statements, TimePoint now) -> TimePoint
{
    const auto from = std::max(now, statements.pausedUntil);
    return statements.rateLimit ? nextSendAt(statements.schedule, from) : from;
}

auto isLeaving(const LeafStatements &statements) -> bool
{
    return statements.leavesAt.has_value();
}

auto hasLeft(const LeafStatements &statements, TimePoint now) -> bool
{
    return statements.leavesAt && *statements.leavesAt <= now;
}

} // namespace crocusreach::forward

#include "statistics.h"

namespace crocusreach {

namespace {

auto addBreakdown(LatencyBreakdown &sum, const LatencyBreakdown &breakdown) -> void
{
    sum.network += breakdown.network;
    sum.queued += breakdown.queued;
    sum.connecting += breakdown.connecting;
    sum.target += breakdown.target;
    sum.unanswered += breakdown.unanswered;
}

template <typename Counts>
auto addCounts(Counts &sum, const Counts &counts) -> void
{
    for (std::size_t index = 0; index < sum.size(); ++index)
        sum[index] += counts[index];
}

auto recordAttempt(AttemptStatistics &sums, const AttemptTrace &attempt) -> void
{
    ++sums.attempts;
    sums.merged += attempt.merged ? 1 : 0;
    sums.hedges += attempt.hedge ? 1 : 0;
    sums.retries += attempt.retry ? 1 : 0;
    sums.cold += attempt.cold ? 1 : 0;
    sums.elapsed += attempt.elapsed;
    addBreakdown(sums.breakdown, attempt.breakdown);
    ++sums.reasons[static_cast<std::size_t>(attempt.reason)];
}

// Sums of one service or target over all periods.
template <typename Id, typename Statistics>
auto sumPeriods(const RollingStatistics &statistics,
                std::unordered_map<Id, Statistics> StatisticsPeriod::*map, Id id) -> Statistics
{
    auto sums = Statistics();
    for (const auto &period : statistics.periods) {
        const auto found = (period.*map).find(id);
        if (found != (period.*map).end())
            add(sums, found->second);
    }
    return sums;
}

} // namespace

auto currentPeriod(RollingStatistics &statistics, TimePoint now) -> StatisticsPeriod &
{
    auto &periods = statistics.periods;
    if (periods.empty() || now - periods.back().start >= statisticsPeriod)
        periods.emplace_back().start = now;
    while (periods.size() > maxStatisticsPeriods
           || now - periods.front().start >= statisticsPeriod * (maxStatisticsPeriods + 1))
        periods.pop_front();
    return periods.back();
}

auto recordAttempt(RollingStatistics &statistics, ServiceId service, const AttemptTrace &attempt,
                   TimePoint now) -> void
{
    auto &period = currentPeriod(statistics, now);
    recordAttempt(period.services[service].attempts, attempt);
    recordAttempt(period.leafs[attempt.leaf], attempt);
}

auto add(AttemptStatistics &sums, const AttemptStatistics &other) -> void
{
    sums.attempts += other.attempts;
    sums.merged += other.merged;
    sums.hedges += other.hedges;
    sums.retries += other.retries;
    sums.cold += other.cold;
    sums.elapsed += other.elapsed;
    addBreakdown(sums.breakdown, other.breakdown);
    addCounts(sums.reasons, other.reasons);
}

auto add(ServiceStatistics &sums, const ServiceStatistics &other) -> void
{
    sums.queries += other.queries;
    sums.complete += other.complete;
    sums.partial += other.partial;
    sums.refused += other.refused;
    sums.restarts += other.restarts;
    sums.shardsAsked += other.shardsAsked;
    sums.shardsAnswered += other.shardsAnswered;
    sums.elapsed += other.elapsed;
    sums.deadline += other.deadline;
    add(sums.attempts, other.attempts);
    addCounts(sums.refusals, other.refusals);
    addCounts(sums.missing, other.missing);
}

auto sumOf(const RollingStatistics &statistics, ServiceId service) -> ServiceStatistics
{
    return sumPeriods(statistics, &StatisticsPeriod::services, service);
}

auto sumOf(const RollingStatistics &statistics, LeafId leaf) -> AttemptStatistics
{
    return sumPeriods(statistics, &StatisticsPeriod::leafs, leaf);
}

} // namespace crocusreach

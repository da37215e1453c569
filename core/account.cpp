#include "account.h"

namespace crocusreach {

namespace {

auto addParts(TimeParts &sum, const TimeParts &parts) -> void
{
    sum.network += parts.network;
    sum.queued += parts.queued;
    sum.connecting += parts.connecting;
    sum.target += parts.target;
    sum.unanswered += parts.unanswered;
}

template <typename Counts>
auto addCounts(Counts &sum, const Counts &counts) -> void
{
    for (std::size_t index = 0; index < sum.size(); ++index)
        sum[index] += counts[index];
}

auto addAttempt(AccountSums &sums, const AttemptAccount &attempt) -> void
{
    ++sums.attempts;
    sums.merged += attempt.merged ? 1 : 0;
    sums.hedges += attempt.hedge ? 1 : 0;
    sums.retries += attempt.retry ? 1 : 0;
    sums.cold += attempt.cold ? 1 : 0;
    sums.elapsed += attempt.elapsed;
    addParts(sums.parts, attempt.parts);
    ++sums.reasons[static_cast<std::size_t>(attempt.reason)];
}

// Adds up what the periods kept for one id, by service or by target.
template <typename Id, typename Sums>
auto sumPeriods(const RollingAccounts &accounts, std::unordered_map<Id, Sums> AccountPeriod::*map,
                Id id) -> Sums
{
    auto sums = Sums();
    for (const auto &period : accounts.periods) {
        const auto found = (period.*map).find(id);
        if (found != (period.*map).end())
            add(sums, found->second);
    }
    return sums;
}

} // namespace

auto currentPeriod(RollingAccounts &accounts, TimePoint now) -> AccountPeriod &
{
    auto &periods = accounts.periods;
    if (periods.empty() || now - periods.back().start >= accountPeriod)
        periods.emplace_back().start = now;
    while (periods.size() > accountPeriods
           || now - periods.front().start >= accountPeriod * (accountPeriods + 1))
        periods.pop_front();
    return periods.back();
}

auto addAttempt(RollingAccounts &accounts, ServiceId service, const AttemptAccount &attempt,
                TimePoint now) -> void
{
    auto &period = currentPeriod(accounts, now);
    addAttempt(period.services[service].attempts, attempt);
    addAttempt(period.leafs[attempt.leaf], attempt);
}

auto add(AccountSums &sums, const AccountSums &other) -> void
{
    sums.attempts += other.attempts;
    sums.merged += other.merged;
    sums.hedges += other.hedges;
    sums.retries += other.retries;
    sums.cold += other.cold;
    sums.elapsed += other.elapsed;
    addParts(sums.parts, other.parts);
    addCounts(sums.reasons, other.reasons);
}

auto add(ServiceSums &sums, const ServiceSums &other) -> void
{
    sums.queries += other.queries;
    sums.complete += other.complete;
    sums.partial += other.partial;
    sums.refused += other.refused;
    sums.restarts += other.restarts;
    sums.shardsAsked += other.shardsAsked;
    sums.shardsAnswered += other.shardsAnswered;
    sums.spent += other.spent;
    sums.deadline += other.deadline;
    add(sums.attempts, other.attempts);
    addCounts(sums.refusals, other.refusals);
    addCounts(sums.missing, other.missing);
}

auto sumOf(const RollingAccounts &accounts, ServiceId service) -> ServiceSums
{
    return sumPeriods(accounts, &AccountPeriod::services, service);
}

auto sumOf(const RollingAccounts &accounts, LeafId leaf) -> AccountSums
{
    return sumPeriods(accounts, &AccountPeriod::leafs, leaf);
}

} // namespace crocusreach

#include "reachability.h"

#include <algorithm>
#include <optional>
#include <set>

namespace crocusreach::forward {

namespace {

// Leafs stall for up to 200 ms, but not several of a domain at once.
constexpr Duration domainSilenceTimeout = std::chrono::milliseconds(250);
constexpr std::size_t minOverdueLeafs = 2;
constexpr std::size_t minOverdueSends = 3;
constexpr Duration suspectDuration = std::chrono::seconds(1);
// Without an answer to a probe, requests try again after this time: the other domains may be down,
// and then the requests that this instance's own domain can serve are worth serving.
constexpr Duration isolationDuration = std::chrono::seconds(15);
// Minimum number of domains. With two, the other one is as likely to be down as this instance is to
// be isolated.
constexpr std::size_t minDomainsForIsolation = 3;
constexpr Duration trialInterval = std::chrono::milliseconds(150);

// True if all domains are suspect, apart from the excepted one, if any.
auto areAllSuspect(const Reachability &reachability, std::optional<std::string_view> except,
                   TimePoint now) -> bool
{
    return std::all_of(reachability.domains.begin(), reachability.domains.end(),
                       [&](const auto &item) {
                           return except == item.first || now < item.second.suspectUntil;
                       });
}

auto isOnlyOwnDomainReachable(const Reachability &reachability, TimePoint now) -> bool
{
    return reachability.domains.size() >= minDomainsForIsolation
           && areAllSuspect(reachability, reachability.ownDomain, now);
}

} // namespace

auto recordDomainSend(Reachability &reachability, std::string_view domain, TimePoint now) -> void
{
    const auto found = reachability.domains.find(domain);
    if (found == reachability.domains.end())
        reachability.domains.emplace(domain, DomainState{now, {}});
}

auto recordDomainAnswer(Reachability &reachability, std::string_view domain, TimePoint now) -> void
{
    if (domain != reachability.ownDomain && now < reachability.isolatedUntil) {
        reachability.isolatedUntil = {};
        for (auto &[name, state] : reachability.domains)
            state.suspectUntil = {};
    }
    const auto found = reachability.domains.find(domain);
    if (found != reachability.domains.end())
        found->second = {now, {}};
}

auto updateReachability(Reachability &reachability, std::span<const OverdueSend> overdue,
                        TimePoint now) -> void
{
    auto confirmed = false;
    for (auto &[domain, state] : reachability.domains) {
        if (now - state.lastAnswerAt < domainSilenceTimeout)
            continue;
        auto sends = std::size_t(0);
        auto leafs = std::set<std::size_t>();
        for (const auto &send : overdue) {
            if (send.domain != domain)
                continue;
            ++sends;
            leafs.insert(send.leaf);
        }
        if (sends < minOverdueSends || leafs.size() < minOverdueLeafs)
            continue;
        state.suspectUntil = std::max(state.suspectUntil, now + suspectDuration);
        confirmed = true;
    }
    if (!confirmed || !isOnlyOwnDomainReachable(reachability, now))
        return;
    reachability.isolatedUntil = now + isolationDuration;
    for (auto &[domain, state] : reachability.domains) {
        if (domain != reachability.ownDomain)
            state.suspectUntil = reachability.isolatedUntil;
    }
}

auto isSuspect(const Reachability &reachability, std::string_view domain, TimePoint now) -> bool
{
    const auto found = reachability.domains.find(domain);
    return found != reachability.domains.end() && now < found->second.suspectUntil;
}

auto isCutOff(const Reachability &reachability, TimePoint now) -> bool
{
    return !reachability.domains.empty() && areAllSuspect(reachability, {}, now);
}

auto isIsolated(const Reachability &reachability, TimePoint now) -> bool
{
    return now < reachability.isolatedUntil;
}

auto tryStartTrial(Reachability &reachability, TimePoint now) -> bool
{
    if (now < reachability.nextTrialAt)
        return false;
    reachability.nextTrialAt = now + trialInterval;
    return true;
}

} // namespace crocusreach::forward

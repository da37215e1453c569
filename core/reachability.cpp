#include "reachability.h"

#include <algorithm>
#include <optional>
#include <set>

namespace crocusreach::forward {

namespace {

// Leafs stand still for up to 200 ms, though not several of a domain at once.
constexpr Duration silenceOfDomain = std::chrono::milliseconds(250);
constexpr std::size_t leastLeafs = 2;
constexpr std::size_t leastSends = 3;
constexpr Duration suspicionTime = std::chrono::seconds(1);
// Without an answer to a probe, requests try again after this time: the other domains may be lost,
// and what the own one can serve is worth serving.
constexpr Duration isolationTime = std::chrono::seconds(15);
// With two domains, the other one is as likely to be lost itself.
constexpr std::size_t leastDomains = 3;
constexpr Duration trialInterval = std::chrono::milliseconds(150);

// All domains but the one that is left out, if any.
auto allSuspect(const Reachability &reachability, std::optional<std::string_view> except,
                TimePoint now) -> bool
{
    return std::all_of(reachability.domains.begin(), reachability.domains.end(),
                       [&](const auto &item) {
                           return except == item.first || now < item.second.suspectUntil;
                       });
}

auto reachesOwnOnly(const Reachability &reachability, TimePoint now) -> bool
{
    return reachability.domains.size() >= leastDomains
           && allSuspect(reachability, reachability.ownDomain, now);
}

} // namespace

auto noteDomainSend(Reachability &reachability, std::string_view domain, TimePoint now) -> void
{
    const auto found = reachability.domains.find(domain);
    if (found == reachability.domains.end())
        reachability.domains.emplace(domain, DomainState{now, {}});
}

auto noteDomainAnswer(Reachability &reachability, std::string_view domain, TimePoint now) -> void
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
        if (now - state.lastAnswerAt < silenceOfDomain)
            continue;
        auto sends = std::size_t(0);
        auto leafs = std::set<std::size_t>();
        for (const auto &send : overdue) {
            if (send.domain != domain)
                continue;
            ++sends;
            leafs.insert(send.leaf);
        }
        if (sends < leastSends || leafs.size() < leastLeafs)
            continue;
        state.suspectUntil = std::max(state.suspectUntil, now + suspicionTime);
        confirmed = true;
    }
    if (!confirmed || !reachesOwnOnly(reachability, now))
        return;
    reachability.isolatedUntil = now + isolationTime;
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
    return !reachability.domains.empty() && allSuspect(reachability, {}, now);
}

auto isIsolated(const Reachability &reachability, TimePoint now) -> bool
{
    return now < reachability.isolatedUntil;
}

auto takeTrial(Reachability &reachability, TimePoint now) -> bool
{
    if (now < reachability.nextTrial)
        return false;
    reachability.nextTrial = now + trialInterval;
    return true;
}

} // namespace crocusreach::forward

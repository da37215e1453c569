#include "reachability.h"

#include <algorithm>
#include <set>

namespace crocusreach::forward {

namespace {

// Leafs stand still for up to 200 ms, though not several of a domain at once.
constexpr Duration silenceOfDomain = std::chrono::milliseconds(250);
constexpr std::size_t leastLeafs = 2;
constexpr std::size_t leastSends = 3;
constexpr Duration suspicionTime = std::chrono::seconds(1);
// The balancer gives an instance new connections until it was unready twice, a second apart.
constexpr Duration isolationTime = std::chrono::seconds(3);
constexpr Duration trialInterval = std::chrono::milliseconds(150);

} // namespace

auto noteDomainSend(Reachability &reachability, std::string_view domain, TimePoint now) -> void
{
    const auto found = reachability.domains.find(domain);
    if (found == reachability.domains.end())
        reachability.domains.emplace(domain, DomainState{now, {}});
}

auto noteDomainAnswer(Reachability &reachability, std::string_view domain, TimePoint now) -> void
{
    const auto found = reachability.domains.find(domain);
    if (found != reachability.domains.end())
        found->second = {now, {}};
}

auto updateReachability(Reachability &reachability, std::span<const OverdueSend> overdue,
                        std::string_view ownDomain, TimePoint now) -> void
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
    if (!confirmed || !isIsolated(reachability, ownDomain, now))
        return;
    for (auto &[domain, state] : reachability.domains) {
        if (domain != ownDomain)
            state.suspectUntil = now + isolationTime;
    }
}

auto isSuspect(const Reachability &reachability, std::string_view domain, TimePoint now) -> bool
{
    const auto found = reachability.domains.find(domain);
    return found != reachability.domains.end() && now < found->second.suspectUntil;
}

auto isCutOff(const Reachability &reachability, TimePoint now) -> bool
{
    return !reachability.domains.empty()
           && std::all_of(reachability.domains.begin(), reachability.domains.end(),
                          [now](const auto &item) { return now < item.second.suspectUntil; });
}

auto isIsolated(const Reachability &reachability, std::string_view ownDomain, TimePoint now) -> bool
{
    constexpr std::size_t leastDomains = 3;
    return reachability.domains.size() >= leastDomains
           && std::all_of(reachability.domains.begin(), reachability.domains.end(),
                          [&](const auto &item) {
                              return item.first == ownDomain || now < item.second.suspectUntil;
                          });
}

auto takeTrial(Reachability &reachability, TimePoint now) -> bool
{
    if (now < reachability.nextTrial)
        return false;
    reachability.nextTrial = now + trialInterval;
    return true;
}

} // namespace crocusreach::forward

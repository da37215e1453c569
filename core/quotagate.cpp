#include "quotagate.h"

#include <algorithm>
#include <utility>

namespace crocusreach::forward {

namespace {

// A peer that didn't reply is not asked for this time if there is another one.
constexpr Duration avoidTime = std::chrono::seconds(1);
// Requests are refused without a question for at most this time, as the quota may be raised.
constexpr Duration maxLocalDenial = std::chrono::milliseconds(250);
// Of one tenant. Bounds the memory of requests that wait for a reply.
constexpr std::size_t maxWaiting = 200;
// Replies that came too late for their grants to be used, before the requests are refused.
constexpr std::uint32_t maxLateReplies = 2;

// Bounds the number of log lines about one tenant.
constexpr Duration limitReportTime = std::chrono::seconds(5);

// Whom to ask.
struct Responder
{
    std::string address;
    bool isThisInstance = false;
};

auto respondersFor(const QuotaGate &gate, std::string_view tenant) -> std::vector<Responder>
{
    const auto &list = gate.granter.peers;
    const auto responsible = responsibleFor(list, hashName(tenant));
    auto responders = std::vector<Responder>();
    for (const auto &position : {responsible.owner, responsible.deputy}) {
        if (!position)
            continue;
        const auto &peer = list.peers[*position];
        responders.push_back({peer.address, peer.name == gate.granter.instance});
    }
    return responders;
}

auto isAvoided(const QuotaGate &gate, const Responder &responder, TimePoint now) -> bool
{
    const auto found = gate.avoidedPeers.find(responder.address);
    return !responder.isThisInstance && found != gate.avoidedPeers.end() && now < found->second;
}

// The oldest request of those that wait.
auto takeFirst(QuotaGate &gate, WaitingTenant &waiting) -> QuotaRequest
{
    auto request = std::move(waiting.requests.front());
    waiting.requests.pop_front();
    gate.held.erase(request.event.call);
    return request;
}

auto grantRequests(QuotaGate &gate, WaitingTenant &waiting, std::uint32_t count,
                   TimePoint validUntil, std::vector<QuotaDecision> &decisions) -> void
{
    for (; count > 0 && !waiting.requests.empty(); --count) {
        decisions.emplace_back(QuotaGranted{takeFirst(gate, waiting), validUntil});
        ++gate.counters.granted;
    }
}

auto denyRequest(QuotaGate &gate, WaitingTenant &waiting, const Tenant &tenant,
                 QuotaRequest &&request, TimePoint now, std::vector<QuotaDecision> &decisions)
        -> void
{
    const auto after = std::max(Duration(), waiting.nextReturnAt - now);
    // Callers that are refused together return one after the other.
    const auto interval = std::chrono::duration<double>(1 / tenant.ratePerSecond);
    waiting.nextReturnAt
            = std::max(now, waiting.nextReturnAt) + std::chrono::ceil<Duration>(interval);
    waiting.nextReturnAt = std::min(waiting.nextReturnAt, now + gate.granter.limits.window);
    decisions.emplace_back(QuotaDenied{std::move(request), after});
    ++gate.counters.denied;
    if (!waiting.lastDenialAt)
        decisions.emplace_back(TenantLimitChanged{tenant.name, true, 0});
    waiting.lastDenialAt = now;
    ++waiting.denied;
}

auto denyRequests(QuotaGate &gate, WaitingTenant &waiting, const Tenant &tenant,
                  const QuotaGrant &grant, TimePoint now, std::vector<QuotaDecision> &decisions)
        -> void
{
    waiting.deniedUntil = now + std::min(grant.emptyFor, maxLocalDenial);
    waiting.nextReturnAt = now + grant.retryAfter;
    while (!waiting.requests.empty())
        denyRequest(gate, waiting, tenant, takeFirst(gate, waiting), now, decisions);
}

auto giveUp(QuotaGate &gate, WaitingTenant &waiting, std::uint32_t count,
            std::vector<QuotaDecision> &decisions) -> void
{
    for (; count > 0 && !waiting.requests.empty(); --count)
        decisions.emplace_back(QuotaUnknown{takeFirst(gate, waiting)});
}

// A tenant counts as limited until requests were granted for a while without a denial.
auto noteUnlimited(WaitingTenant &waiting, const Tenant &tenant, TimePoint now,
                   std::vector<QuotaDecision> &decisions) -> void
{
    if (!waiting.lastDenialAt || now - *waiting.lastDenialAt < limitReportTime)
        return;
    waiting.lastDenialAt.reset();
    decisions.emplace_back(
            TenantLimitChanged{tenant.name, false, std::exchange(waiting.denied, 0)});
}

auto useGrant(QuotaGate &gate, WaitingTenant &waiting, const Tenant &tenant,
              const QuotaGrant &grant, std::uint32_t wanted, TimePoint askedAt, TimePoint now,
              std::vector<QuotaDecision> &decisions) -> void
{
    grantRequests(gate, waiting, grant.granted, askedAt + gate.granter.limits.grantValidity,
                  decisions);
    noteUnlimited(waiting, tenant, now, decisions);
    if (grant.granted < wanted)
        denyRequests(gate, waiting, tenant, grant, now, decisions);
}

// Asks for all requests that wait. Responders before the first one were asked in vain.
auto ask(QuotaGate &gate, WaitingTenant &waiting, const Tenant &tenant, std::size_t first,
         std::uint32_t lateReplies, TimePoint now, std::vector<QuotaDecision> &decisions) -> void
{
    const auto responders = respondersFor(gate, tenant.name);
    for (auto rank = first; rank < responders.size() && !waiting.requests.empty(); ++rank) {
        const auto &responder = responders[rank];
        const auto isLast = rank + 1 == responders.size();
        if (!isLast && isAvoided(gate, responder, now))
            continue;
        const auto wanted = static_cast<std::uint32_t>(waiting.requests.size());
        if (responder.isThisInstance) {
            const auto grant = grantTokens(gate.granter, tenant, wanted, now);
            if (!grant.isReady)
                continue;
            return useGrant(gate, waiting, tenant, grant, wanted, now, now, decisions);
        }
        const auto number = ++gate.lastQuestion;
        waiting.question
                = QuotaQuestion{number, wanted, now, responder.address, isLast, lateReplies};
        gate.questions.emplace(number, tenant.name);
        ++gate.counters.questions;
        decisions.emplace_back(AskForTokens{number, responder.address, tenant.name, wanted});
        return;
    }
    giveUp(gate, waiting, static_cast<std::uint32_t>(waiting.requests.size()), decisions);
}

} // namespace

auto holdRequest(QuotaGate &gate, const Tenant &tenant, QuotaRequest &&request, TimePoint now,
                 std::vector<QuotaDecision> &decisions) -> void
{
    auto &waiting = gate.tenants[tenant.name];
    if (now < waiting.deniedUntil) {
        ++gate.counters.deniedLocally;
        return denyRequest(gate, waiting, tenant, std::move(request), now, decisions);
    }
    if (waiting.requests.size() >= maxWaiting) {
        decisions.emplace_back(QuotaUnknown{std::move(request)});
        return;
    }
    gate.held.emplace(request.event.call, tenant.name);
    waiting.requests.push_back(std::move(request));
    if (!waiting.question)
        ask(gate, waiting, tenant, 0, 0, now, decisions);
}

auto takeReply(QuotaGate &gate, std::uint64_t number, const std::optional<QuotaGrant> &grant,
               const std::optional<Tenant> &tenant, TimePoint now,
               std::vector<QuotaDecision> &decisions) -> void
{
    const auto open = gate.questions.find(number);
    if (open == gate.questions.end())
        return;
    auto &waiting = gate.tenants[open->second];
    gate.questions.erase(open);
    const auto question = *std::exchange(waiting.question, std::nullopt);
    if (!tenant)
        return grantRequests(gate, waiting, static_cast<std::uint32_t>(waiting.requests.size()),
                             TimePoint::max(), decisions);
    if (!grant) {
        ++gate.counters.unanswered;
        gate.avoidedPeers.insert_or_assign(question.peer, now + avoidTime);
    }
    if (!grant || !grant->isReady) {
        if (!question.isLast)
            return ask(gate, waiting, *tenant, 1, question.lateReplies, now, decisions);
        giveUp(gate, waiting, question.wanted, decisions);
    } else if (now - question.askedAt <= gate.granter.limits.grantValidity) {
        useGrant(gate, waiting, *tenant, *grant, question.wanted, question.askedAt, now, decisions);
    } else if (question.lateReplies + 1 < maxLateReplies) {
        return ask(gate, waiting, *tenant, 0, question.lateReplies + 1, now, decisions);
    } else {
        giveUp(gate, waiting, question.wanted, decisions);
    }
    // Those that arrived meanwhile.
    if (!waiting.requests.empty())
        ask(gate, waiting, *tenant, 0, 0, now, decisions);
}

auto tenantOf(const QuotaGate &gate, std::uint64_t question) -> std::optional<std::string>
{
    const auto found = gate.questions.find(question);
    return found == gate.questions.end() ? std::nullopt : std::optional(found->second);
}

auto dropRequest(QuotaGate &gate, CallId call) -> void
{
    const auto found = gate.held.find(call);
    if (found == gate.held.end())
        return;
    std::erase_if(gate.tenants[found->second].requests,
                  [&](const QuotaRequest &request) { return request.event.call == call; });
    gate.held.erase(found);
}

} // namespace crocusreach::forward

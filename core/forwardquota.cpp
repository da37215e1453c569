#include "forwardquota.h"

#include "forwardadmit.h"
#include "forwardanswer.h"
#include "forwardcalls.h"

#include <algorithm>

namespace crocusreach::forward {

namespace {

// A request that waits for a leaf uses up its tenant's quota with each token that expires.
constexpr std::uint32_t maxExpiredTokens = 3;

// The tenant with a quota in the desired state that is in force.
auto findLimited(const Forwarder &forwarder, std::string_view name) -> const Tenant *
{
    if (forwarder.table == nullptr)
        return nullptr;
    const auto &tenants = forwarder.table->tenants.tenants;
    const auto found = std::find_if(tenants.begin(), tenants.end(), [&](const Tenant &tenant) {
        return tenant.name == name && tenant.ratePerSecond > 0;
    });
    return found == tenants.end() ? nullptr : &*found;
}

// A wait that is at least the time given, and up to a third more, so that callers that were refused
// at different instances don't return together.
auto spread(Forwarder &forwarder, Duration time) -> Duration
{
    constexpr std::uint64_t steps = 1000;
    const auto random = static_cast<Duration::rep>(nextRandom(forwarder.random) % steps);
    return time + time * random / static_cast<Duration::rep>(3 * steps);
}

auto perform(Forwarder &forwarder, const QuotaGranted &granted, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    admitGranted(forwarder, granted, now, actions);
}

auto perform(Forwarder &forwarder, const QuotaDenied &denied, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    refuse(forwarder, denied.request.event, now, nullptr, LocalStatus::OverQuota,
           CallEnd::OverQuota, actions, spread(forwarder, denied.retryAfter));
}

auto perform(Forwarder &forwarder, const QuotaUnknown &unknown, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    refuse(forwarder, unknown.request.event, now, nullptr, LocalStatus::NotRun,
           CallEnd::QuotaUnknown, actions);
}

auto perform(Forwarder & /*forwarder*/, const AskForTokens &question, TimePoint /*now*/,
             std::vector<ForwardAction> &actions) -> void
{
    actions.emplace_back(question);
}

auto perform(Forwarder & /*forwarder*/, const TenantLimitChanged &changed, TimePoint /*now*/,
             std::vector<ForwardAction> &actions) -> void
{
    actions.emplace_back(changed);
}

auto performAll(Forwarder &forwarder, const std::vector<QuotaDecision> &decisions, TimePoint now,
                std::vector<ForwardAction> &actions) -> void
{
    for (const auto &decision : decisions)
        std::visit([&](const auto &content) { perform(forwarder, content, now, actions); },
                   decision);
}

} // namespace

auto needsToken(const Forwarder &forwarder, const std::optional<TenantNumber> &tenant) -> bool
{
    return tenant && forwarder.settings.quota.isEnforced
           && forwarder.table->tenants.tenants.at(*tenant).ratePerSecond > 0;
}

auto awaitToken(Forwarder &forwarder, TenantNumber tenant, const QuotaRequest &request,
                TimePoint now, std::vector<ForwardAction> &actions) -> void
{
    auto decisions = std::vector<QuotaDecision>();
    holdRequest(forwarder.quota, forwarder.table->tenants.tenants.at(tenant), QuotaRequest(request),
                now, decisions);
    performAll(forwarder, decisions, now, actions);
}

auto hasExpiredToken(const Call &call, TimePoint now) -> bool
{
    return call.sends == 0 && call.tokenValidUntil && *call.tokenValidUntil < now;
}

auto renewToken(Forwarder &forwarder, Call &call, TimePoint now,
                std::vector<ForwardAction> &actions) -> void
{
    const auto request
            = QuotaRequest{{call.id, call.request}, call.arrivedAt, call.expiredTokens + 1};
    if (request.expiredTokens >= maxExpiredTokens) {
        const auto retry = retryAfter(forwarder, CallEnd::Overloaded, call.request->timeLeft);
        answerCaller(call.id, LocalAnswer{LocalStatus::NotRun, retry}, actions);
        return endCall(forwarder, call, CallEnd::Overloaded, now, actions);
    }
    removeWaiting(forwarder.waiting, call.id);
    forwarder.calls.erase(request.event.call);
    admitAgain(forwarder, request, now, actions);
}

auto onTokensAsked(Forwarder &forwarder, const TokensAsked &event, TimePoint now,
                   std::vector<ForwardAction> &actions) -> void
{
    auto grant = QuotaGrant();
    grant.isReady = false;
    if (const auto *const tenant = findLimited(forwarder, event.tenant))
        grant = grantTokens(forwarder.quota.granter, *tenant, event.wanted, now);
    actions.emplace_back(GrantTokens{event.number, grant});
}

auto onTokensReplied(Forwarder &forwarder, const TokensReplied &event, TimePoint now,
                     std::vector<ForwardAction> &actions) -> void
{
    const auto name = tenantOf(forwarder.quota, event.question);
    if (!name)
        return;
    const auto *const limited = findLimited(forwarder, *name);
    auto decisions = std::vector<QuotaDecision>();
    takeReply(forwarder.quota, event.question, event.grant,
              limited == nullptr ? std::nullopt : std::optional(*limited), now, decisions);
    performAll(forwarder, decisions, now, actions);
}

} // namespace crocusreach::forward

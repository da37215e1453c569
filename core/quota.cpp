#include "quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusreach::forward {

namespace {

using Seconds = std::chrono::duration<double>;

// Fraction of what the rule allows beyond the quota that a deputy grants. The rest covers two
// deputies while lists of instances differ.
constexpr double deputyFraction = 0.9;
// Fractions of the slack that an owner may grant beyond the burst, and that starts of owners may.
constexpr double ownerSlackFraction = 0.5;
constexpr double restartSlackFraction = 0.15;
// A bucket of a new process holds this many tokens at most: without any, a tenant whose quota is a
// request in several seconds would be refused for as long.
constexpr double maxTokensAtStart = 2;
// Part of a deputy's allowance that it grants by its rate, and not at once.
constexpr double deputyRateFraction = 0.8;
// An owner that learns of an instance with a better claim goes on for this time, since the new one
// grants nothing until all know of it. With the age that a copy of the list may have, it ends
// before the new owner begins.
constexpr Duration formerOwnerTime = std::chrono::seconds(2);
// Callers are told to come back within this time at the latest.
constexpr Duration maxRetryAfter = std::chrono::seconds(5);

auto toDuration(double seconds) -> Duration
{
    return std::chrono::ceil<Duration>(Seconds(seconds));
}

auto refill(TokenBucket &bucket, TimePoint now) -> void
{
    if (now <= bucket.at)
        return;
    bucket.tokens = std::min(bucket.capacity,
                             bucket.tokens + bucket.rate * Seconds(now - bucket.at).count());
    bucket.at = now;
}

// A tenant whose quota is a request in several seconds sends two at a time now and then.
auto extraCapacity(const Tenant &tenant, const QuotaLimits &limits) -> double
{
    return std::max(ownerSlackFraction * limits.slack, 1 - tenant.burst);
}

auto ownerBucket(const Tenant &tenant, const QuotaLimits &limits) -> TokenBucket
{
    auto bucket = TokenBucket();
    bucket.rate = tenant.ratePerSecond;
    bucket.capacity = tenant.burst + extraCapacity(tenant, limits);
    return bucket;
}

// Over a window and the time that a grant is valid, the rate and the capacity together grant the
// allowance.
auto deputyBucket(const Tenant &tenant, const QuotaLimits &limits) -> TokenBucket
{
    const auto window = Seconds(limits.window).count();
    const auto validity = Seconds(limits.grantValidity).count();
    const auto beyond = (tenant.ratePerSecond * window + tenant.burst) * limits.overshoot
                        + limits.slack - tenant.ratePerSecond * validity
                        - (ownerSlackFraction + restartSlackFraction) * limits.slack;
    const auto allowance = std::max(0.0, deputyFraction * beyond);
    auto bucket = TokenBucket();
    bucket.rate
            = std::min(tenant.ratePerSecond, deputyRateFraction * allowance / (window + validity));
    bucket.capacity = (1 - deputyRateFraction) * allowance;
    return bucket;
}

// Keeps the count of the former bucket, as far as the new one can hold it.
auto resize(TokenBucket &bucket, const TokenBucket &form, TimePoint now) -> void
{
    refill(bucket, now);
    bucket.rate = form.rate;
    bucket.capacity = form.capacity;
    bucket.tokens = std::min(bucket.tokens, form.capacity);
}

// The time since which nobody else can have granted what this instance would as the owner.
auto emptyAt(const QuotaGranter &granter, std::string_view tenant) -> TimePoint
{
    const auto since = std::max({granter.startedAt, granter.peers.changedAt, granter.readyAt});
    const auto known = granter.knownSince.find(std::string(tenant));
    return known == granter.knownSince.end() ? TimePoint::max() : std::max(since, known->second);
}

auto tokensAtStart(const QuotaLimits &limits) -> double
{
    return std::min(maxTokensAtStart, restartSlackFraction * limits.slack);
}

auto tenantAt(QuotaGranter &granter, const Tenant &tenant, TimePoint now) -> GrantingTenant &
{
    const auto [found, isNew] = granter.tenants.try_emplace(tenant.name);
    auto &state = found->second;
    if (isNew) {
        state.asOwner = ownerBucket(tenant, granter.limits);
        state.asDeputy = deputyBucket(tenant, granter.limits);
        state.asOwner.at = std::min(now, emptyAt(granter, tenant.name));
        state.asDeputy.at = state.asOwner.at;
        state.asOwner.tokens = tokensAtStart(granter.limits);
    } else if (state.rate != tenant.ratePerSecond || state.burst != tenant.burst) {
        resize(state.asOwner, ownerBucket(tenant, granter.limits), now);
        resize(state.asDeputy, deputyBucket(tenant, granter.limits), now);
    }
    state.rate = tenant.ratePerSecond;
    state.burst = tenant.burst;
    return state;
}

// When one more denied request finds a token, after those that were told to return before.
auto nextReturn(TokenBucket &bucket, TimePoint now) -> Duration
{
    const auto interval = toDuration(1 / bucket.rate);
    const auto missing = toDuration(std::max(0.0, 1 - bucket.tokens) / bucket.rate);
    bucket.promisedUntil = std::max(now + missing, bucket.promisedUntil + interval);
    bucket.promisedUntil = std::min(bucket.promisedUntil, now + maxRetryAfter);
    return bucket.promisedUntil - now;
}

auto takeTokens(TokenBucket &bucket, std::uint32_t wanted, TimePoint now) -> QuotaGrant
{
    refill(bucket, now);
    auto grant = QuotaGrant();
    const auto whole = static_cast<std::uint32_t>(std::floor(bucket.tokens));
    grant.granted = std::min(wanted, whole);
    bucket.tokens -= grant.granted;
    if (grant.granted == wanted)
        return grant;
    if (bucket.rate <= 0) {
        grant.emptyFor = maxRetryAfter;
        grant.retryAfter = maxRetryAfter;
        return grant;
    }
    grant.emptyFor = toDuration((1 - bucket.tokens) / bucket.rate);
    grant.retryAfter = nextReturn(bucket, now);
    return grant;
}

auto isNamed(const PeerList &list, const std::optional<std::size_t> &position,
             std::string_view name) -> bool
{
    return position && list.peers[*position].name == name;
}

// What another instance granted while it had a role isn't known, so that a role that is regained
// begins as after a start.
auto noteRoles(const QuotaGranter &granter, std::string_view tenant, GrantingTenant &state,
               TimePoint now) -> void
{
    const auto responsible = responsibleFor(granter.peers, hashName(tenant));
    if (!isNamed(granter.peers, responsible.owner, granter.instance)) {
        state.ownerLostAt = state.ownerLostAt.value_or(now);
    } else if (const auto lostAt = std::exchange(state.ownerLostAt, std::nullopt)) {
        // Until then this instance went on as the former owner, and no other one began.
        if (now - *lostAt >= formerOwnerTime) {
            state.asOwner.tokens = tokensAtStart(granter.limits);
            state.asOwner.at = now;
        }
    }
    if (!isNamed(granter.peers, responsible.deputy, granter.instance)) {
        state.deputyLostAt = state.deputyLostAt.value_or(now);
    } else if (std::exchange(state.deputyLostAt, std::nullopt)) {
        state.asDeputy.tokens = 0;
        state.asDeputy.at = now;
    }
}

} // namespace

auto setRegistered(QuotaGranter &granter, const InstanceRegistered &registered, TimePoint now)
        -> void
{
    // Other instances keep an entry that a restore of the store has lost until it is back.
    const auto wasConfirmed = granter.readyAt != TimePoint::max();
    if (registered.isRepeated && wasConfirmed && (!registered.isNew || granter.readyAt <= now))
        return;
    const auto mayBeUnknown = registered.isNew && !granter.limits.isFirstStart;
    granter.readyAt
            = mayBeUnknown ? now + granter.limits.applyTime : std::min(granter.readyAt, now);
}

auto changePeers(QuotaGranter &granter, const std::vector<PeerInstance> &instances, TimePoint now)
        -> void
{
    auto former = granter.peers;
    if (!setPeers(granter.peers, instances, now))
        return;
    granter.formerPeers = std::move(former);
    for (auto &[name, tenant] : granter.tenants)
        noteRoles(granter, name, tenant, now);
}

auto changeTenants(QuotaGranter &granter, const TenantTable &table, TimePoint now) -> void
{
    auto known = std::unordered_map<std::string, TimePoint>();
    for (const auto &tenant : table.tenants) {
        if (tenant.ratePerSecond <= 0)
            continue;
        const auto found = granter.knownSince.find(tenant.name);
        known.emplace(tenant.name, found == granter.knownSince.end() ? now : found->second);
    }
    std::erase_if(granter.tenants, [&](const auto &item) { return !known.contains(item.first); });
    granter.knownSince = std::move(known);
}

auto roleFor(const QuotaGranter &granter, std::string_view tenant, TimePoint now) -> GrantingRole
{
    if (now < granter.readyAt)
        return GrantingRole::None;
    const auto subject = hashName(tenant);
    const auto current = responsibleFor(granter.peers, subject);
    if (isNamed(granter.peers, current.owner, granter.instance))
        return GrantingRole::Owner;
    const auto former = responsibleFor(granter.formerPeers, subject);
    const auto wasOwner = isNamed(granter.formerPeers, former.owner, granter.instance);
    if (wasOwner && now - granter.peers.changedAt < formerOwnerTime)
        return GrantingRole::Owner;
    return isNamed(granter.peers, current.deputy, granter.instance) ? GrantingRole::Deputy
                                                                    : GrantingRole::None;
}

auto grantTokens(QuotaGranter &granter, const Tenant &tenant, std::uint32_t wanted, TimePoint now)
        -> QuotaGrant
{
    const auto role = roleFor(granter, tenant.name, now);
    if (role == GrantingRole::None) {
        auto none = QuotaGrant();
        none.isReady = false;
        return none;
    }
    auto &state = tenantAt(granter, tenant, now);
    auto &bucket = role == GrantingRole::Owner ? state.asOwner : state.asDeputy;
    const auto grant = takeTokens(bucket, wanted, now);
    state.asked += wanted;
    state.granted += grant.granted;
    return grant;
}

} // namespace crocusreach::forward

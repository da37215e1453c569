#pragma once

#include "peers.h"
#include "tenants.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

// Grants the requests of tenants with a quota, at the instances that are responsible for a tenant.
// Load that it answers: one tenant sends several times its usual rate through all instances at
// once. A request runs only after it was granted, so that the sum over all instances is bounded by
// what two of them grant, whatever the others believe.

namespace crocusreach::forward {

struct TokenBucket
{
    double rate = 0; // tokens a second
    double capacity = 0;
    double tokens = 0;
    TimePoint at = {}; // time of that count
    // Denied requests were told to return by then at the latest.
    TimePoint promisedUntil = {};
};

struct GrantingTenant
{
    TokenBucket asOwner;
    TokenBucket asDeputy;
    // When the role was lost to an instance that may grant in the meantime.
    std::optional<TimePoint> ownerLostAt;
    std::optional<TimePoint> deputyLostAt;
    double rate = 0; // of the quota that the buckets were made for
    double burst = 0;
    std::uint64_t asked = 0; // tokens
    std::uint64_t granted = 0;
};

// State of one instance as a granter.
struct QuotaGranter
{
    QuotaLimits limits;
    std::string instance; // this one
    TimePoint startedAt = {}; // of the process
    // It grants nothing before. Others don't know yet of an instance whose entry is new.
    TimePoint readyAt = TimePoint::max();
    PeerList peers;
    PeerList formerPeers; // before the latest change
    std::unordered_map<std::string, TimePoint> knownSince; // by tenant; those with a quota
    std::unordered_map<std::string, GrantingTenant> tenants; // by name
};

enum class GrantingRole : std::uint8_t { None, Deputy, Owner };

// Takes over that this instance's entry is in the store.
auto setRegistered(QuotaGranter &granter, const InstanceRegistered &registered, TimePoint now)
        -> void;

// Takes over the list of instances.
auto changePeers(QuotaGranter &granter, const std::vector<PeerInstance> &instances, TimePoint now)
        -> void;

// Takes over the tenants of a new desired state.
auto changeTenants(QuotaGranter &granter, const TenantTable &table, TimePoint now) -> void;

auto roleFor(const QuotaGranter &granter, std::string_view tenant, TimePoint now) -> GrantingRole;

// Answers a question for tokens of a tenant with this quota.
auto grantTokens(QuotaGranter &granter, const Tenant &tenant, std::uint32_t wanted, TimePoint now)
        -> QuotaGrant;

} // namespace crocusreach::forward

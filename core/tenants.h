#pragma once

#include "types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

// The tenants of the operators' desired state, and whom a caller's key belongs to. Keys themselves
// are known neither here nor anywhere else in the core: only their digests are.

namespace crocusreach::forward {

struct Route;
struct RouteTable;

// Keyed hash of a key. The hash's key is drawn by each process, so that digests of two processes
// can't be compared.
struct KeyDigest
{
    std::array<std::uint8_t, 32> bytes = {};
};

// Takes the same time wherever the digests differ.
auto isSameDigest(const KeyDigest &left, const KeyDigest &right) -> bool;

struct Tenant
{
    std::string name;
    std::optional<std::uint32_t> priority; // takes precedence over a route's; 0 is the most urgent
    double ratePerSecond = 0; // requests that it may make at all instances together; 0: no limit
    double burst = 0; // requests on top of that
};

using TenantNumber = std::size_t; // position in the list

struct TenantKey
{
    KeyDigest digest;
    TenantNumber tenant = 0;
};

struct TenantTable
{
    bool isEnforced = false; // the desired state names tenants, so that requests need a key
    std::vector<Tenant> tenants;
    std::unordered_multimap<std::uint64_t, TenantKey> keys; // by the digest's first bytes
};

// Adds a key. Returns false if a tenant has it already.
auto addKey(TenantTable &table, const KeyDigest &digest, TenantNumber tenant) -> bool;

auto findTenant(const TenantTable &table, const KeyDigest &digest) -> std::optional<TenantNumber>;

// Whether a request may use a route, and for which tenant.
struct Access
{
    bool isAllowed = false;
    std::optional<TenantNumber> tenant;
};

// The digest is absent if the request has no key, or none that is well-formed.
auto checkAccess(const TenantTable &table, const Route &route,
                 const std::optional<KeyDigest> &digest) -> Access;

// 0 is the most urgent.
auto effectivePriority(const TenantTable &table, const Route &route,
                       const std::optional<TenantNumber> &tenant) -> std::uint32_t;

// When the instance can't know whether a key is still valid.
struct RevocationLimits
{
    bool isStrict = false; // requests with a key are refused once the copy is too old
    Duration maxCopyAge = std::chrono::seconds(5); // of the desired state
};

auto mayBeRevoked(const RevocationLimits &limits, const std::optional<TimePoint> &confirmedAt,
                  TimePoint now) -> bool;

} // namespace crocusreach::forward

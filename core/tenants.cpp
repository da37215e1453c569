#include "tenants.h"

#include "routetable.h"

#include <algorithm>
#include <cstring>

namespace crocusreach::forward {

namespace {

auto firstBytes(const KeyDigest &digest) -> std::uint64_t
{
    auto value = std::uint64_t(0);
    std::memcpy(&value, digest.bytes.data(), sizeof value);
    return value;
}

} // namespace

auto isSameDigest(const KeyDigest &left, const KeyDigest &right) -> bool
{
    auto difference = std::uint8_t(0);
    for (std::size_t index = 0; index < left.bytes.size(); ++index)
        difference |= left.bytes.at(index) ^ right.bytes.at(index);
    return difference == 0;
}

auto addKey(TenantTable &table, const KeyDigest &digest, TenantNumber tenant) -> bool
{
    if (findTenant(table, digest))
        return false;
    table.keys.emplace(firstBytes(digest), TenantKey{digest, tenant});
    return true;
}

auto findTenant(const TenantTable &table, const KeyDigest &digest) -> std::optional<TenantNumber>
{
    const auto [first, last] = table.keys.equal_range(firstBytes(digest));
    const auto found = std::find_if(first, last, [&](const auto &item) {
        return isSameDigest(item.second.digest, digest);
    });
    return found == last ? std::nullopt : std::optional(found->second.tenant);
}

auto checkAccess(const TenantTable &table, const Route &route,
                 const std::optional<KeyDigest> &digest) -> Access
{
    if (!table.isEnforced)
        return {true, {}};
    const auto tenant = digest ? findTenant(table, *digest) : std::nullopt;
    return {tenant.has_value() || route.anonymous, tenant};
}

auto effectivePriority(const TenantTable &table, const Route &route,
                       const std::optional<TenantNumber> &tenant) -> std::uint32_t
{
    if (!tenant)
        return route.priority;
    return table.tenants.at(*tenant).priority.value_or(route.priority);
}

auto mayBeRevoked(const RevocationLimits &limits, const std::optional<TimePoint> &confirmedAt,
                  TimePoint now) -> bool
{
    return limits.isStrict && (!confirmedAt || now - *confirmedAt > limits.maxCopyAge);
}

} // namespace crocusreach::forward

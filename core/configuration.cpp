#include "configuration.h"

#include "text.h"

#include <algorithm>
#include <set>
#include <utility>

namespace crocusreach {

namespace {

constexpr std::size_t maxNameLength = 64;
// Far above the 160 shards of a query at design scale; bounds the work that a wrong shard count
// causes.
constexpr std::uint32_t maxShardCount = 65536;

auto isName(std::string_view text) -> bool
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
               || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= maxNameLength && std::ranges::all_of(text, allowed);
}

auto isAddress(std::string_view text) -> bool
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    return parseNumber<std::uint16_t>(text.substr(colon + 1)).value_or(0) > 0;
}

// "list[index]"
auto itemPath(std::string_view list, std::size_t index) -> std::string
{
    auto path = std::string(list);
    path.append("[").append(std::to_string(index)).append("]");
    return path;
}

auto fieldError(std::string path, std::string text) -> Error
{
    return {Step::Configuration, std::move(path), std::move(text)};
}

auto checkName(std::string_view name, const std::string &path, std::vector<Error> &errors) -> void
{
    if (!isName(name))
        errors.push_back(
                fieldError(path + ".name", "must be 1 to 64 letters, digits, '-', '_' or '.'"));
}

// Reports a second item of the same name, or of another name with the same hash.
template <typename Id>
auto checkUnique(std::set<Id> &seen, Id id, const std::string &path, std::vector<Error> &errors)
        -> void
{
    if (!seen.insert(id).second)
        errors.push_back(fieldError(path + ".name", "duplicate name"));
}

auto checkLeaf(const Leaf &leaf, const Service &service, const Configuration &configuration,
               const std::string &path, std::vector<Error> &errors) -> void
{
    checkName(leaf.name, path, errors);
    if (!isAddress(leaf.address))
        errors.push_back(fieldError(path + ".address", "must be IP:port"));
    if (findDomain(configuration, leaf.domain) == nullptr)
        errors.push_back(fieldError(path + ".failure_domain", "is not a declared failure domain"));
    if (leaf.slots == 0)
        errors.push_back(fieldError(path + ".slots", "must be at least 1"));
    if (leaf.coldSlots == 0 || leaf.coldSlots > leaf.slots)
        errors.push_back(fieldError(path + ".cold_slots", "must be from 1 to slots"));
    if (leaf.connections < leaf.slots)
        errors.push_back(fieldError(path + ".connections", "must be at least slots"));
    if (leaf.shards.empty())
        errors.push_back(fieldError(path + ".shards", "must not be empty"));
    auto sorted = leaf.shards;
    std::ranges::sort(sorted);
    if (std::ranges::adjacent_find(sorted) != sorted.end())
        errors.push_back(fieldError(path + ".shards", "names a shard twice"));
    for (const auto shard : leaf.shards) {
        if (toUnderlying(shard) >= service.shardCount) {
            errors.push_back(
                    fieldError(path + ".shards", "shard " + std::to_string(toUnderlying(shard))
                                                         + " is not below "
                                                         + std::to_string(service.shardCount)));
        }
    }
}

auto checkService(const Service &service, const Configuration &configuration,
                  const std::string &path, std::set<LeafId> &leafIds, std::vector<Error> &errors)
        -> void
{
    checkName(service.name, path, errors);
    checkName(service.cell, path + ".cell", errors);
    if (service.shardCount == 0 || service.shardCount > maxShardCount) {
        errors.push_back(fieldError(path + ".shard_count",
                                    "must be from 1 to " + std::to_string(maxShardCount)));
    }
    auto served = std::vector<bool>(service.shardCount > maxShardCount ? 0 : service.shardCount);
    for (std::size_t index = 0; index < service.leafs.size(); ++index) {
        const auto &leaf = service.leafs[index];
        const auto leafPath = itemPath(path + ".leafs", index);
        checkLeaf(leaf, service, configuration, leafPath, errors);
        checkUnique(leafIds, leaf.id, leafPath, errors);
        for (const auto shard : leaf.shards) {
            if (toUnderlying(shard) < served.size())
                served[toUnderlying(shard)] = true;
        }
    }
    for (std::size_t shard = 0; shard < served.size(); ++shard) {
        if (!served[shard])
            errors.push_back(
                    fieldError(path + ".leafs", "no leaf serves shard " + std::to_string(shard)));
    }
}

auto describeLeaf(const Leaf &leaf) -> std::string
{
    auto text = leaf.address + ", slots " + std::to_string(leaf.slots) + ", cold slots "
                + std::to_string(leaf.coldSlots) + ", connections "
                + std::to_string(leaf.connections) + ", shards";
    for (const auto shard : leaf.shards)
        text.append(" ").append(std::to_string(toUnderlying(shard)));
    return text;
}

auto describeService(const Service &service) -> std::string
{
    return std::string(toString(service.decision.state)) + ", cell " + service.cell + ", layout "
           + std::to_string(toUnderlying(service.layout)) + ", shards "
           + std::to_string(service.shardCount);
}

auto describeDomain(const FailureDomain &domain) -> std::string
{
    return std::string(toString(domain.decision.state)) + ", region " + domain.region;
}

auto describeInstance(const DeclaredInstance &instance) -> std::string
{
    return std::string(toString(instance.decision.state));
}

// Appends the differences between two lists whose items have an id and a name.
template <typename Item, typename Describe>
auto compareItems(std::span<const Item> before, std::span<const Item> after,
                  std::string_view prefix, Describe describeItem,
                  std::vector<Difference> &differences) -> void
{
    const auto find = [](std::span<const Item> items, const Item &wanted) -> const Item * {
        const auto found = std::ranges::find(items, wanted.id, &Item::id);
        return found == items.end() ? nullptr : &*found;
    };
    for (const auto &item : after) {
        const auto *old = find(before, item);
        const auto oldText = old == nullptr ? std::string("absent") : describeItem(*old);
        const auto newText = describeItem(item);
        if (oldText != newText)
            differences.push_back({std::string(prefix) + item.name, oldText, newText});
    }
    for (const auto &item : before) {
        if (find(after, item) == nullptr)
            differences.push_back({std::string(prefix) + item.name, describeItem(item), "absent"});
    }
}

template <typename Item, typename Id>
auto findById(std::span<const Item> items, Id id) -> const Item *
{
    const auto found = std::ranges::find(items, id, &Item::id);
    return found == items.end() ? nullptr : &*found;
}

} // namespace

auto toString(DesiredState state) -> std::string_view
{
    return state == DesiredState::In ? "in" : "out";
}

auto toString(ItemKind kind) -> std::string_view
{
    switch (kind) {
    case ItemKind::Domain:
        return "domain";
    case ItemKind::Service:
        return "service";
    case ItemKind::Instance:
        return "instance";
    }
    return "invalid";
}

auto validate(const Configuration &configuration) -> std::vector<Error>
{
    auto errors = std::vector<Error>();
    auto domainIds = std::set<DomainId>();
    for (std::size_t index = 0; index < configuration.domains.size(); ++index) {
        const auto &domain = configuration.domains[index];
        const auto path = itemPath("failure_domains", index);
        checkName(domain.name, path, errors);
        checkName(domain.region, path + ".region", errors);
        checkUnique(domainIds, domain.id, path, errors);
    }
    auto serviceIds = std::set<ServiceId>();
    auto leafIds = std::set<LeafId>();
    for (std::size_t index = 0; index < configuration.services.size(); ++index) {
        const auto &service = configuration.services[index];
        const auto path = itemPath("services", index);
        checkUnique(serviceIds, service.id, path, errors);
        checkService(service, configuration, path, leafIds, errors);
    }
    auto instanceIds = std::set<InstanceId>();
    for (std::size_t index = 0; index < configuration.instances.size(); ++index) {
        const auto &instance = configuration.instances[index];
        const auto path = itemPath("instances", index);
        checkName(instance.name, path, errors);
        checkUnique(instanceIds, instance.id, path, errors);
    }
    return errors;
}

auto findService(const Configuration &configuration, ServiceId id) -> const Service *
{
    return findById(std::span(configuration.services), id);
}

auto findService(const Configuration &configuration, std::string_view name) -> const Service *
{
    return findService(configuration, serviceId(name));
}

auto findDomain(const Configuration &configuration, DomainId id) -> const FailureDomain *
{
    return findById(std::span(configuration.domains), id);
}

auto findInstance(const Configuration &configuration, InstanceId id) -> const DeclaredInstance *
{
    return findById(std::span(configuration.instances), id);
}

auto difference(const Configuration &before, const Configuration &after) -> std::vector<Difference>
{
    auto differences = std::vector<Difference>();
    compareItems<FailureDomain>(before.domains, after.domains, "domain ", describeDomain,
                                differences);
    compareItems<Service>(before.services, after.services, "service ", describeService,
                          differences);
    compareItems<DeclaredInstance>(before.instances, after.instances, "instance ", describeInstance,
                                   differences);
    for (const auto &service : after.services) {
        const auto *old = findService(before, service.id);
        const auto oldLeafs = old == nullptr ? std::span<const Leaf>() : std::span(old->leafs);
        compareItems<Leaf>(oldLeafs, service.leafs, "leaf " + service.name + "/", describeLeaf,
                           differences);
    }
    return differences;
}

auto recordChange(Configuration &configuration, Change change) -> void
{
    configuration.changes.push_back(std::move(change));
    if (configuration.changes.size() > changeHistoryLimit)
        configuration.changes.erase(configuration.changes.begin());
}

auto findChange(const Configuration &configuration, std::string_view changeId) -> const Change *
{
    const auto found = std::ranges::find(configuration.changes, changeId, &Change::changeId);
    return found == configuration.changes.end() ? nullptr : &*found;
}

auto buildLeafIndex(const Configuration &configuration) -> LeafIndex
{
    auto index = LeafIndex();
    for (const auto &service : configuration.services) {
        for (const auto &leaf : service.leafs)
            index.leafs[leaf.id] = {&service, &leaf, findDomain(configuration, leaf.domain)};
    }
    return index;
}

auto findLeaf(const LeafIndex &index, LeafId id) -> const LeafEntry *
{
    const auto found = index.leafs.find(id);
    return found == index.leafs.end() ? nullptr : &found->second;
}

auto isInRotation(const LeafEntry &entry) -> bool
{
    return entry.service->decision.state == DesiredState::In
           && (entry.domain == nullptr || entry.domain->decision.state == DesiredState::In);
}

} // namespace crocusreach

#pragma once

#include "types.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// The configuration that operators set: the declared failure domains, services and instances, and
// which of them are in rotation.

namespace crocusreach {

// Whether operators want a failure domain, a service or an instance in rotation.
enum class DesiredState : std::uint8_t { In, Out };

enum class ItemKind : std::uint8_t { Domain, Service, Instance };

auto toString(DesiredState state) -> std::string_view;
auto toString(ItemKind kind) -> std::string_view;

// The last decision that set an item's state.
struct Decision
{
    DesiredState state = DesiredState::In;
    std::string author;
    WallTime at = {};
    std::string reason;

    auto operator==(const Decision &) const -> bool = default;
};

struct FailureDomain
{
    DomainId id = {};
    std::string name;
    std::string region;
    Decision decision;

    auto operator==(const FailureDomain &) const -> bool = default;
};

// One target process of a service. The slots limit its concurrent requests, the cold slots those
// while the process is cold, and connections its open connections.
struct Leaf
{
    LeafId id = {};
    std::string name;
    std::string address; // IP:port
    DomainId domain = {};
    std::uint16_t slots = 1;
    std::uint16_t coldSlots = 1;
    std::uint16_t connections = 1;
    std::vector<ShardNumber> shards;

    auto operator==(const Leaf &) const -> bool = default;
};

struct Service
{
    ServiceId id = {};
    std::string name;
    std::string cell;
    LayoutVersion layout = {};
    std::uint32_t shardCount = 0;
    std::vector<Leaf> leafs;
    Decision decision;

    auto operator==(const Service &) const -> bool = default;
};

// An instance that operators can take out of rotation. An instance without an entry is in rotation.
struct DeclaredInstance
{
    InstanceId id = {};
    std::string name;
    Decision decision;

    auto operator==(const DeclaredInstance &) const -> bool = default;
};

// One accepted change, kept so that a writer can find out whether its write took effect.
struct Change
{
    Revision revision = {};
    std::string changeId;
    std::string author;
    WallTime at = {};
    std::string summary;

    auto operator==(const Change &) const -> bool = default;
};

// Accepted changes that a configuration keeps; older ones are dropped.
constexpr std::size_t changeHistoryLimit = 50;

struct Configuration
{
    Revision revision = {};
    std::vector<FailureDomain> domains;
    std::vector<Service> services;
    std::vector<DeclaredInstance> instances;
    std::vector<Change> changes; // newest last
};

// Checks names, references, limits and id collisions. Returns every error found, each with
// Step::Configuration and the path of the field as peer; empty if the configuration is valid.
auto validate(const Configuration &configuration) -> std::vector<Error>;

auto findService(const Configuration &configuration, ServiceId id) -> const Service *;
auto findService(const Configuration &configuration, std::string_view name) -> const Service *;
auto findDomain(const Configuration &configuration, DomainId id) -> const FailureDomain *;
auto findInstance(const Configuration &configuration, InstanceId id) -> const DeclaredInstance *;

// One difference between two configurations, for operators.
struct Difference
{
    std::string item; // for example "domain muar-a" or "leaf catalogue-1/leaf-2"
    std::string before;
    std::string after;
};

// The differences between two configurations, in the order of the newer one. Revision and changes
// are not compared.
auto difference(const Configuration &before, const Configuration &after) -> std::vector<Difference>;

// Appends a change and drops the oldest ones beyond the limit. The store assigns the revision.
auto recordChange(Configuration &configuration, Change change) -> void;

// The change with this id, or nullptr if it isn't in the kept history.
auto findChange(const Configuration &configuration, std::string_view changeId) -> const Change *;

// A leaf together with its service, both owned by a configuration that must outlive the index.
struct LeafEntry
{
    const Service *service = nullptr;
    const Leaf *leaf = nullptr;
    const FailureDomain *domain = nullptr;
};

// Lookup of leafs by id, built once for each configuration.
struct LeafIndex
{
    std::unordered_map<LeafId, LeafEntry> leafs;
};

auto buildLeafIndex(const Configuration &configuration) -> LeafIndex;
auto findLeaf(const LeafIndex &index, LeafId id) -> const LeafEntry *;

// True if the service and the leaf's failure domain are both in rotation.
auto isInRotation(const LeafEntry &entry) -> bool;

} // namespace crocusreach

#pragma once

#include "configuration.h"
#include "types.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

// The index versions that leafs serve, as learned from their replies, and the choice of the
// snapshot that a query pins.

namespace crocusreach {

struct Snapshot
{
    IndexVersion version = {}; // 0: not known yet; the first reply that is merged pins it
    LayoutVersion layout = {};

    auto operator==(const Snapshot &) const -> bool = default;
};

// What one leaf last reported to serve.
struct ServedVersions
{
    LayoutVersion layout = {};
    std::vector<IndexVersion> versions; // ascending
};

struct SnapshotTable
{
    std::unordered_map<LeafId, ServedVersions> leafs;
    // The latest choice per service, valid until a leaf of the service reports other versions.
    std::unordered_map<ServiceId, Snapshot> chosen;
};

// Records the versions that a reply reported. An empty list leaves the table unchanged.
auto recordServedVersions(SnapshotTable &table, ServiceId service, LeafId leaf,
                          LayoutVersion layout, std::span<const IndexVersion> versions) -> void;

// Removes all cached choices, and the leafs that the new configuration doesn't list.
auto onConfigurationChanged(SnapshotTable &table, const LeafIndex &index) -> void;

// False if the leaf is known not to serve the snapshot.
auto canServe(const SnapshotTable &table, LeafId leaf, const Snapshot &snapshot) -> bool;

// The newest version that a replica of every shard is known to serve in the service's layout. If
// there is none, the version that most shards can serve, or the newest such version. Version 0 if
// nothing is known. An excluded version is not chosen.
auto chooseSnapshot(SnapshotTable &table, const Service &service,
                    std::optional<IndexVersion> excluded = {}) -> Snapshot;

} // namespace crocusreach

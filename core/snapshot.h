#pragma once

#include "configuration.h"
#include "types.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

// Which index versions the leafs serve, as their replies told, and the choice of the snapshot that
// a query pins.

namespace crocusreach {

struct Snapshot
{
    IndexVersion version = {}; // 0: not known yet; the first reply that is merged pins it
    LayoutVersion layout = {};

    auto operator==(const Snapshot &) const -> bool = default;
};

// What one leaf said that it serves.
struct ServedVersions
{
    LayoutVersion layout = {};
    std::vector<IndexVersion> versions; // ascending
};

struct SnapshotTable
{
    std::unordered_map<LeafId, ServedVersions> leafs;
    // The last choice per service, valid until a leaf of the service says something new.
    std::unordered_map<ServiceId, Snapshot> chosen;
};

// Records what a reply said. An empty list of versions leaves the table as it is.
auto recordServedVersions(SnapshotTable &table, ServiceId service, LeafId leaf,
                          LayoutVersion layout, std::span<const IndexVersion> versions) -> void;

// Forgets choices and leafs that the configuration no longer names.
auto onConfigurationChanged(SnapshotTable &table, const LeafIndex &index) -> void;

// True if the leaf is known to serve the snapshot, or nothing is known of it.
auto canServe(const SnapshotTable &table, LeafId leaf, const Snapshot &snapshot) -> bool;

// The newest version that a replica of every shard is known to serve in the service's layout. If
// there is none, the version that the most shards can serve, the newest of these. Version 0 if
// nothing is known. An excluded version is not chosen.
auto chooseSnapshot(SnapshotTable &table, const Service &service,
                    std::optional<IndexVersion> excluded = {}) -> Snapshot;

} // namespace crocusreach

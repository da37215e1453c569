#include "snapshot.h"

#include <algorithm>
#include <map>
#include <utility>

namespace crocusreach {

namespace {

// The distinct versions that each shard's replicas serve in the service's layout.
auto versionsByShard(const SnapshotTable &table, const Service &service)
        -> std::vector<std::vector<IndexVersion>>
{
    auto byShard = std::vector<std::vector<IndexVersion>>(service.shardCount);
    for (const auto &leaf : service.leafs) {
        const auto found = table.leafs.find(leaf.id);
        if (found == table.leafs.end() || found->second.layout != service.layout)
            continue;
        const auto &versions = found->second.versions;
        for (const auto shard : leaf.shards) {
            auto &known = byShard[toUnderlying(shard)];
            known.insert(known.end(), versions.begin(), versions.end());
        }
    }
    for (auto &known : byShard) {
        std::ranges::sort(known);
        known.erase(std::unique(known.begin(), known.end()), known.end());
    }
    return byShard;
}

auto choose(const SnapshotTable &table, const Service &service,
            std::optional<IndexVersion> excluded) -> Snapshot
{
    auto shardsServing = std::map<IndexVersion, std::size_t>();
    for (const auto &known : versionsByShard(table, service)) {
        for (const auto version : known)
            ++shardsServing[version];
    }
    if (excluded)
        shardsServing.erase(*excluded);
    auto best = std::pair(IndexVersion{0}, std::size_t{0});
    for (const auto &[version, shards] : shardsServing) {
        // Versions come in ascending order, so a tie goes to the newer one.
        if (shards >= best.second)
            best = {version, shards};
    }
    return {best.first, service.layout};
}

} // namespace

auto recordServedVersions(SnapshotTable &table, ServiceId service, LeafId leaf,
                          LayoutVersion layout, std::span<const IndexVersion> versions) -> void
{
    if (versions.empty())
        return;
    auto &served = table.leafs[leaf];
    if (served.layout == layout && std::ranges::equal(served.versions, versions))
        return;
    served.layout = layout;
    served.versions.assign(versions.begin(), versions.end());
    std::ranges::sort(served.versions);
    table.chosen.erase(service);
}

auto onConfigurationChanged(SnapshotTable &table, const LeafIndex &index) -> void
{
    std::erase_if(table.leafs,
                  [&](const auto &entry) { return findLeaf(index, entry.first) == nullptr; });
    table.chosen.clear();
}

auto canServe(const SnapshotTable &table, LeafId leaf, const Snapshot &snapshot) -> bool
{
    const auto found = table.leafs.find(leaf);
    if (found == table.leafs.end() || toUnderlying(snapshot.version) == 0)
        return true;
    const auto &served = found->second;
    return served.layout == snapshot.layout
           && std::ranges::binary_search(served.versions, snapshot.version);
}

auto chooseSnapshot(SnapshotTable &table, const Service &service,
                    std::optional<IndexVersion> excluded) -> Snapshot
{
    if (excluded)
        return choose(table, service, excluded);
    const auto found = table.chosen.find(service.id);
    if (found != table.chosen.end() && found->second.layout == service.layout)
        return found->second;
    const auto snapshot = choose(table, service, {});
    if (toUnderlying(snapshot.version) != 0)
        table.chosen[service.id] = snapshot;
    return snapshot;
}

} // namespace crocusreach

#pragma once

#include "core/clusterview.h"

#include <algorithm>
#include <memory>
#include <string>

// The cluster view that tests of the query core share.

// A service of three shards, each on two of three leafs, with one share per leaf at its own holder.
inline auto makeQueryView() -> std::shared_ptr<crocusreach::ClusterView>
{
    using namespace crocusreach;
    auto configuration = std::make_shared<Configuration>();
    for (const auto *name : {"east", "west"})
        configuration->domains.push_back({domainId(name), name, "here", {}});
    auto service = Service{serviceId("search"), "search", "cell", LayoutVersion{1}, 3, {}, {}};
    auto assignment = std::make_shared<Assignment>();
    auto view = std::make_shared<ClusterView>();
    for (std::uint32_t index = 0; index < 3; ++index) {
        const auto name = "leaf-" + std::to_string(index);
        auto leaf = Leaf{leafId("search", name),
                         name,
                         "127.0.0.1:" + std::to_string(9000 + index),
                         domainId(index == 0 ? "east" : "west"),
                         3,
                         1,
                         30,
                         {}};
        leaf.shards = {ShardNumber{index}, ShardNumber{(index + 1) % 3}};
        const auto holder = instanceId("holder-" + std::to_string(index));
        assignment->shares.push_back({leaf.id, 0, {3, 1, 30}, holder, {}, {}, {}, {}});
        view->peers.push_back({holder,
                               {},
                               "holder",
                               "127.0.0.1:1",
                               {},
                               true,
                               false,
                               {},
                               {},
                               std::chrono::milliseconds(1)});
        service.leafs.push_back(std::move(leaf));
    }
    std::ranges::sort(assignment->shares, {}, &Share::leaf);
    configuration->services.push_back(std::move(service));
    view->self = instanceId("self");
    view->configuration = configuration;
    view->leafIndex = std::make_shared<LeafIndex>(buildLeafIndex(*configuration));
    view->assignment = assignment;
    return view;
}

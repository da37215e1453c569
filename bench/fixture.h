#pragma once

#include "core/clusterview.h"
#include "core/query.h"

#include <string>

// Configurations and views for benchmarks.

namespace crocusreach::bench {

struct FixtureSize
{
    std::uint32_t services = 1;
    std::uint32_t leafsPerService = 160;
    std::uint32_t replicas = 1; // leafs that serve each shard
    std::uint32_t holders = 9;
};

// A view in which the holders share all leafs, two shares each, and no holder is this instance.
// Shards are as many as a service's leafs divided by the replicas.
auto makeView(const FixtureSize &size) -> ClusterViewPtr;

auto serviceName(std::uint32_t service) -> std::string;

} // namespace crocusreach::bench

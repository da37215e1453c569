#pragma once

#include "holderworld.h"

// A fixture with a holder of one leaf, and requests for it.

namespace crocusreach::test {

constexpr auto shareSize = ShareSize{4, 2, 10};

inline auto makeOneLeafFixture() -> HolderWorld
{
    return makeWorld({makeLeaf("leaf-1", "muar-a")}, shareSize);
}

inline auto leafOf(const HolderWorld &world) -> const Leaf &
{
    return world.configuration.services[0].leafs[0];
}

inline auto deliverRequests(HolderWorld &world, int count, Duration time = 1s) -> void
{
    for (auto index = 0; index < count; ++index)
        give(world, makeRequest(world, leafOf(world), time));
}

} // namespace crocusreach::test

#pragma once

#include "holderfixture.h"

// A fixture with a holder of one leaf, and requests for it.

namespace crocusreach::test {

constexpr auto shareSize = ShareSize{4, 2, 10};

inline auto makeOneLeafFixture() -> HolderFixture
{
    return makeFixture({makeLeaf("leaf-1", "muar-a")}, shareSize);
}

inline auto leafOf(const HolderFixture &fixture) -> const Leaf &
{
    return fixture.configuration.services[0].leafs[0];
}

inline auto deliverRequests(HolderFixture &fixture, int count, Duration time = 1s) -> void
{
    for (auto index = 0; index < count; ++index)
        deliver(fixture, makeRequest(fixture, leafOf(fixture), time));
}

} // namespace crocusreach::test

#pragma once

#include "controlworld.h"
#include "core/lease.h"

#include <span>
#include <string>
#include <vector>

// Cells of nodes that the tests of the control core start and ask.

namespace crocusreach::world {

const auto domainNames = std::vector<std::string>{"a", "b", "c"};

// Nodes in the given failure domains, started together, with shares of 8 leafs held.
inline auto makeCell(std::span<const std::string> domains) -> World
{
    auto world = World();
    world.random.seed(1);
    world.settings.cell = "cell";
    for (std::size_t index = 0; index < domains.size(); ++index)
        addNode(world, "i" + std::to_string(index), domains[index]);
    putConfiguration(world, world::makeConfiguration(8, 6, 4, domainNames));
    for (std::size_t index = 0; index < domains.size(); ++index)
        start(world, index);
    return world;
}

inline auto makeRunningCell(std::vector<std::string> domains) -> World
{
    auto world = makeCell(domains);
    REQUIRE(runUntilHolds(world, 30s, [](World &later) {
        const auto &assignment = later.store.assignment;
        return assignment != nullptr && assignment->members.size() == later.nodes.size()
               && allSharesHeld(later);
    }));
    runFor(world, 5s);
    REQUIRE(world.violation.empty());
    return world;
}

inline auto epochOf(const World &world, std::size_t index) -> Epoch
{
    return currentView(*world.nodes[index].state)->assignment->epoch;
}

inline auto revisionOf(const World &world, std::size_t index) -> Revision
{
    return currentView(*world.nodes[index].state)->configuration->revision;
}

inline auto mayUseShares(const World &world, std::size_t index) -> bool
{
    return !heldUsages(world, index).empty();
}

inline auto isMemberNow(const World &world, std::size_t index) -> bool
{
    const auto &member = world.nodes[index].member;
    return isMember(*world.store.assignment, member.id, member.incarnation);
}

inline auto cutOff(World &world, std::size_t index) -> void
{
    for (std::size_t other = 0; other < world.nodes.size(); ++other) {
        world.carrier.cut.emplace(index, other);
        world.carrier.cut.emplace(other, index);
    }
}

// Index of the node with the lowest or a later id, the order in which members act.
inline auto nodeByRank(const World &world, std::size_t rank) -> std::size_t
{
    auto order = std::vector<std::size_t>(world.nodes.size());
    for (std::size_t index = 0; index < order.size(); ++index)
        order[index] = index;
    std::ranges::sort(order, {}, [&](std::size_t index) { return world.nodes[index].member.id; });
    return order[rank];
}

// Changes the configuration without effect on placement.
inline auto changeSomething(World &world) -> void
{
    auto changed = *world.store.configuration;
    changed.changes.push_back({{}, "change", "operator", {}, "nothing"});
    putConfiguration(world, std::move(changed));
}

// One state driven by hand, a member with two others in an assignment of epoch 5.

} // namespace crocusreach::world

#pragma once

#include "controlsimulation.h"
#include "core/lease.h"
#include "numbered.h"

#include <span>
#include <string>
#include <vector>

// Functions that start a simulated cell and query its nodes, for tests of the control core.

namespace crocusreach::controltest {

const auto domainNames = std::vector<std::string>{"a", "b", "c"};

// One node in each of the given failure domains, started together, and a configuration of 8 leafs.
inline auto makeCell(std::span<const std::string> domains) -> ControlSimulation
{
    auto simulation = ControlSimulation();
    simulation.random.seed(1);
    simulation.settings.cell = "cell";
    for (std::size_t index = 0; index < domains.size(); ++index)
        addNode(simulation, tests::numbered("i", index), domains[index]);
    putConfiguration(simulation, controltest::makeConfiguration(8, 6, 4, domainNames));
    for (std::size_t index = 0; index < domains.size(); ++index)
        startNode(simulation, index);
    return simulation;
}

// The same cell, run until all nodes are members and every share is held.
inline auto makeRunningCell(std::vector<std::string> domains) -> ControlSimulation
{
    auto simulation = makeCell(domains);
    REQUIRE(runUntilHolds(simulation, 30s, [](ControlSimulation &later) {
        const auto &assignment = later.store.assignment;
        return assignment != nullptr && assignment->members.size() == later.nodes.size()
               && isEveryShareHeld(later);
    }));
    runFor(simulation, 5s);
    REQUIRE(simulation.violation.empty());
    return simulation;
}

inline auto epochOf(const ControlSimulation &simulation, std::size_t index) -> Epoch
{
    return currentView(*simulation.nodes[index].state)->assignment->epoch;
}

inline auto revisionOf(const ControlSimulation &simulation, std::size_t index) -> Revision
{
    return currentView(*simulation.nodes[index].state)->configuration->revision;
}

inline auto canUseShares(const ControlSimulation &simulation, std::size_t index) -> bool
{
    return !heldUsages(simulation, index).empty();
}

inline auto isMemberNow(const ControlSimulation &simulation, std::size_t index) -> bool
{
    const auto &member = simulation.nodes[index].member;
    return isMember(*simulation.store.assignment, member.id, member.incarnation);
}

inline auto isolateNode(ControlSimulation &simulation, std::size_t index) -> void
{
    for (std::size_t other = 0; other < simulation.nodes.size(); ++other) {
        simulation.network.cut.emplace(index, other);
        simulation.network.cut.emplace(other, index);
    }
}

// Index of the node with the given rank by id, the order in which members act.
inline auto nodeByRank(const ControlSimulation &simulation, std::size_t rank) -> std::size_t
{
    auto order = std::vector<std::size_t>(simulation.nodes.size());
    for (std::size_t index = 0; index < order.size(); ++index)
        order[index] = index;
    std::ranges::sort(order, {},
                      [&](std::size_t index) { return simulation.nodes[index].member.id; });
    return order[rank];
}

// Changes the configuration without effect on placement.
inline auto addUnrelatedChange(ControlSimulation &simulation) -> void
{
    auto changed = *simulation.store.configuration;
    changed.changes.push_back({{}, "change", "operator", {}, "nothing"});
    putConfiguration(simulation, std::move(changed));
}

} // namespace crocusreach::controltest

#include <catch2/catch.hpp>

#include "controlsimulation.h"

#include <chrono>
#include <cstdlib>
#include <iostream>

using namespace crocusreach;
using namespace crocusreach::controltest;

namespace {

constexpr std::size_t shortRunSimulations = 40;
constexpr std::uint64_t defaultSeed = 20260801;

auto environmentNumber(const char *name, std::uint64_t fallback) -> std::uint64_t
{
    const auto *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Clocks of different hosts run at rates that differ by up to 0.5 %.
auto randomClockRate(ControlSimulation &simulation) -> double
{
    constexpr std::uint64_t parts = 1000;
    return 0.9975 + 0.005 * static_cast<double>(randomIndex(simulation, parts + 1)) / parts;
}

auto makeSimulation(std::uint64_t seed) -> ControlSimulation
{
    auto simulation = ControlSimulation();
    simulation.random.seed(seed);
    simulation.settings.cell = "cell";
    simulation.listLag = randomDuration(simulation, 0s, 6s);
    simulation.listIncarnations = drawChance(simulation, 0.7);
    simulation.maxDrainTime = drawChance(simulation, 0.5) ? 300ms : 5s;
    simulation.unreportedDrainProbability = 0.1;
    const auto domains = std::vector<std::string>{"a", "b", "c", "d"};
    const auto domainCount = drawChance(simulation, 0.1) ? 1 : 2 + randomIndex(simulation, 3);
    const auto count = 4 + randomIndex(simulation, 5);
    for (std::size_t index = 0; index < count; ++index)
        addNode(simulation, "i" + std::to_string(index), domains[index % domainCount]);
    for (auto &node : simulation.nodes) {
        node.clockRate = randomClockRate(simulation);
        node.clockOffset = randomDuration(simulation, 0s, 1000000s);
    }
    putConfiguration(simulation, makeConfiguration(8, 6, 4, domains));
    return simulation;
}

auto randomNode(ControlSimulation &simulation) -> std::size_t
{
    return randomIndex(simulation, simulation.nodes.size());
}

auto cutPair(ControlSimulation &simulation, std::size_t left, std::size_t right) -> void
{
    simulation.network.cut.emplace(left, right);
    if (drawChance(simulation, 0.8))
        simulation.network.cut.emplace(right, left);
}

auto partition(ControlSimulation &simulation) -> void
{
    const auto side = simulation.random();
    for (std::size_t left = 0; left < simulation.nodes.size(); ++left) {
        for (std::size_t right = 0; right < left; ++right) {
            if (((side >> left) & 1) != ((side >> right) & 1))
                cutPair(simulation, left, right);
        }
    }
}

auto killNode(ControlSimulation &simulation, std::size_t index) -> void
{
    if (simulation.nodes[index].state != nullptr)
        stopNode(simulation, index);
}

auto leaveGracefully(ControlSimulation &simulation, std::size_t index) -> void
{
    auto &node = simulation.nodes[index];
    if (!isRunning(simulation, node))
        return;
    updateListing(simulation, node, true, true);
    deliver(simulation, index, StopRequested{});
    schedule(simulation, simulation.now + randomDuration(simulation, 1s, 15s),
             [index, startNumber = node.startNumber](ControlSimulation &later) {
                 if (later.nodes[index].startNumber == startNumber
                     && later.nodes[index].state != nullptr)
                     stopNode(later, index);
             });
}

auto failDomain(ControlSimulation &simulation) -> void
{
    const auto domain = simulation.nodes[randomNode(simulation)].member.domain;
    const auto dies = drawChance(simulation, 0.5);
    for (std::size_t index = 0; index < simulation.nodes.size(); ++index) {
        if (simulation.nodes[index].member.domain != domain)
            continue;
        if (dies)
            killNode(simulation, index);
        else
            pauseNode(simulation, index, randomDuration(simulation, 1s, 15s));
    }
}

// A change by one operator, based on the configuration that the operator read some time before.
auto changeConfiguration(ControlSimulation &simulation,
                         const std::shared_ptr<const Configuration> &read) -> void
{
    if (read->revision != simulation.store.configuration->revision) {
        ++simulation.counts["refused changes"];
        return;
    }
    auto changed = *read;
    auto &leafs = changed.services.front().leafs;
    switch (randomIndex(simulation, 5)) {
    case 0:
        changed.domains[randomIndex(simulation, changed.domains.size())].decision.state
                = drawChance(simulation, 0.5) ? DesiredState::In : DesiredState::Out;
        break;
    case 1:
        if (leafs.size() > 4)
            leafs.erase(leafs.begin()
                        + static_cast<std::ptrdiff_t>(randomIndex(simulation, leafs.size())));
        break;
    case 2: {
        const auto name = "leaf-" + std::to_string(randomIndex(simulation, 12));
        if (std::ranges::find(leafs, name, &Leaf::name) == leafs.end()) {
            leafs.push_back({leafId("s", name),
                             name,
                             "10.0.0.2:1",
                             domainId("a"),
                             5,
                             3,
                             30,
                             {ShardNumber{0}}});
        }
        break;
    }
    default: {
        auto &leaf = leafs[randomIndex(simulation, leafs.size())];
        leaf.slots = static_cast<std::uint16_t>(1 + randomIndex(simulation, 8));
        leaf.coldSlots = static_cast<std::uint16_t>(1 + randomIndex(simulation, leaf.slots));
        break;
    }
    }
    putConfiguration(simulation, std::move(changed));
}

auto scheduleConcurrentChanges(ControlSimulation &simulation) -> void
{
    const auto operators = 1 + randomIndex(simulation, 2);
    for (std::size_t index = 0; index < operators; ++index) {
        schedule(simulation, simulation.now + randomDuration(simulation, 0s, 200ms),
                 [read = simulation.store.configuration](ControlSimulation &later) {
                     if (!later.store.down)
                         changeConfiguration(later, read);
                 });
    }
}

auto scheduleRecovery(ControlSimulation &simulation,
                      std::function<auto(ControlSimulation &)->void> recover) -> void
{
    schedule(simulation, simulation.now + randomDuration(simulation, 500ms, 20s),
             std::move(recover));
}

struct Fault
{
    const char *name;
    auto(*inject)(ControlSimulation &) -> void;
};

const auto faults = std::vector<Fault>{
        {"pause",
         [](ControlSimulation &simulation) {
             pauseNode(simulation, randomNode(simulation), randomDuration(simulation, 500ms, 15s));
         }},
        {"kill",
         [](ControlSimulation &simulation) { killNode(simulation, randomNode(simulation)); }},
        {"restart",
         [](ControlSimulation &simulation) {
             const auto index = randomNode(simulation);
             killNode(simulation, index);
             startNode(simulation, index);
         }},
        {"start",
         [](ControlSimulation &simulation) {
             const auto index = randomNode(simulation);
             if (simulation.nodes[index].state == nullptr)
                 startNode(simulation, index);
         }},
        {"leave",
         [](ControlSimulation &simulation) {
             leaveGracefully(simulation, randomNode(simulation));
         }},
        {"failure domain lost", failDomain},
        {"partition",
         [](ControlSimulation &simulation) {
             partition(simulation);
             scheduleRecovery(simulation,
                              [](ControlSimulation &later) { later.network.cut.clear(); });
         }},
        {"cut pair",
         [](ControlSimulation &simulation) {
             cutPair(simulation, randomNode(simulation), randomNode(simulation));
             scheduleRecovery(simulation,
                              [](ControlSimulation &later) { later.network.cut.clear(); });
         }},
        {"lossy network",
         [](ControlSimulation &simulation) {
             simulation.network.dropProbability = 0.3;
             scheduleRecovery(simulation,
                              [](ControlSimulation &later) { later.network.dropProbability = 0; });
         }},
        {"late messages",
         [](ControlSimulation &simulation) {
             simulation.network.extraDelay = randomDuration(simulation, 100ms, 8s);
             scheduleRecovery(simulation,
                              [](ControlSimulation &later) { later.network.extraDelay = {}; });
         }},
        {"store down",
         [](ControlSimulation &simulation) {
             simulation.store.down = true;
             scheduleRecovery(simulation,
                              [](ControlSimulation &later) { later.store.down = false; });
         }},
        {"store slow",
         [](ControlSimulation &simulation) {
             simulation.store.extraDelay = randomDuration(simulation, 100ms, 3s);
             scheduleRecovery(simulation,
                              [](ControlSimulation &later) { later.store.extraDelay = {}; });
         }},
        {"store replies lost",
         [](ControlSimulation &simulation) {
             simulation.store.lostReplyProbability = 0.5;
             scheduleRecovery(simulation, [](ControlSimulation &later) {
                 later.store.lostReplyProbability = 0;
             });
         }},
        {"watches silent",
         [](ControlSimulation &simulation) {
             simulation.store.silentWatchProbability = 0.8;
             for (auto &watch : simulation.store.watches)
                 watch.silent = watch.silent || drawChance(simulation, 0.8);
             scheduleRecovery(simulation, [](ControlSimulation &later) {
                 later.store.silentWatchProbability = 0;
             });
         }},
        {"cut from store",
         [](ControlSimulation &simulation) {
             const auto index = randomNode(simulation);
             simulation.nodes[index].cutFromStore = true;
             scheduleRecovery(simulation, [index](ControlSimulation &later) {
                 later.nodes[index].cutFromStore = false;
             });
         }},
        {"instance list down",
         [](ControlSimulation &simulation) {
             simulation.listDown = true;
             scheduleRecovery(simulation, [](ControlSimulation &later) { later.listDown = false; });
         }},
        {"concurrent changes", scheduleConcurrentChanges},
};

auto injectFaults(ControlSimulation &simulation, Duration length) -> void
{
    const auto end = simulation.now + length;
    while (simulation.now < end && simulation.violation.empty()) {
        const auto &fault = faults[randomIndex(simulation, faults.size())];
        fault.inject(simulation);
        ++simulation.counts[fault.name];
        runFor(simulation, drawChance(simulation, 0.4) ? randomDuration(simulation, 0s, 200ms)
                                                       : randomDuration(simulation, 0s, 4s));
    }
}

auto removeFaults(ControlSimulation &simulation) -> void
{
    simulation.network = {};
    simulation.store.down = false;
    simulation.store.extraDelay = {};
    simulation.store.lostReplyProbability = 0;
    simulation.store.silentWatchProbability = 0;
    simulation.listDown = false;
    for (std::size_t index = 0; index < simulation.nodes.size(); ++index) {
        auto &node = simulation.nodes[index];
        node.cutFromStore = false;
        if (node.state != nullptr && node.pausedUntil > simulation.now) {
            node.pausedUntil = simulation.now;
            pauseNode(simulation, index, Duration());
        }
        // Instances that were told to leave terminate within the maximum grace time.
        if (node.state != nullptr && currentView(*node.state)->stopping)
            stopNode(simulation, index);
        // Some of the stopped instances start again now, the others in a later round of faults.
        if (node.state == nullptr && (index < 2 || drawChance(simulation, 0.5)))
            startNode(simulation, index);
    }
}

auto describeSimulation(ControlSimulation &simulation) -> std::string
{
    auto text = std::string();
    for (const auto &node : simulation.nodes) {
        text += node.member.name + (node.state == nullptr ? " stopped" : "");
        if (node.view != nullptr) {
            text += " start " + std::to_string(node.startNumber) + " epoch "
                    + std::to_string(toUnderlying(node.view->assignment->epoch)) + " revision "
                    + std::to_string(toUnderlying(node.view->configuration->revision)) + " held "
                    + std::to_string(node.view->heldShares.size()) + " lease left "
                    + std::to_string((node.view->leaseValidUntil - localTime(node, simulation.now))
                                     / 1ms);
        }
        text += "\n";
    }
    return text;
}

// Runs one simulation through two rounds of faults and recovery.
auto runSimulation(std::uint64_t seed, std::map<std::string, std::uint64_t> &counts) -> void
{
    auto simulation = makeSimulation(seed);
    INFO("CROCUSREACH_SEED=" << seed);
    for (std::size_t index = 0; index < simulation.nodes.size(); ++index) {
        schedule(simulation, simulation.now + randomDuration(simulation, 0s, 3s),
                 [index](ControlSimulation &later) { startNode(later, index); });
    }
    runFor(simulation, 5s);
    for (auto round = 0; round < 2; ++round) {
        injectFaults(simulation, randomDuration(simulation, 20s, 60s));
        removeFaults(simulation);
        const auto healedAt = simulation.now;
        const auto configured = runUntilHolds(simulation, 10s, isNewestConfigurationInForce);
        const auto inForceAfter = (simulation.now - healedAt) / 1ms;
        const auto held = runUntilHolds(simulation, 120s, isEveryShareHeld);
        const auto heldAfter = (simulation.now - healedAt) / 1ms;
        INFO(simulation.violation << "\n" << describeSimulation(simulation));
        REQUIRE(simulation.violation.empty());
        REQUIRE(configured);
        REQUIRE(held);
        auto &slowest = counts["slowest revision in force (ms)"];
        slowest = std::max(slowest, static_cast<std::uint64_t>(inForceAfter));
        auto &slowestHeld = counts["slowest shares held (ms)"];
        slowestHeld = std::max(slowestHeld, static_cast<std::uint64_t>(heldAfter));
        ++counts["recoveries"];
    }
    for (const auto &[name, count] : simulation.counts)
        counts[name] += count;
    counts["assignment writes"] += simulation.store.writes;
    counts["virtual seconds"]
            += static_cast<std::uint64_t>((simulation.now - TimePoint(1000s)) / 1s);
    counts["epochs"]
            += simulation.store.assignment ? toUnderlying(simulation.store.assignment->epoch) : 0;
}

} // namespace

// Guards against two holders of one share, use beyond a leaf's limit, revisions or epochs that
// decrease, and a cell that doesn't recover, under combinations of faults that no other test has.
TEST_CASE("a cell keeps its limits under random faults and recovers")
{
    const auto seed = environmentNumber("CROCUSREACH_SEED", defaultSeed);
    const auto seconds = environmentNumber("CROCUSREACH_SECONDS", 0);
    std::cout << "CROCUSREACH_SEED=" << seed << std::endl;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    auto counts = std::map<std::string, std::uint64_t>();
    auto simulations = std::size_t{0};
    while (simulations < shortRunSimulations || std::chrono::steady_clock::now() < end)
        runSimulation(seed + simulations++, counts);
    std::cout << "simulations: " << simulations << "\n";
    for (const auto &[name, count] : counts)
        std::cout << name << ": " << count << "\n";
    for (const auto &fault : faults) {
        INFO(fault.name);
        CHECK(counts[fault.name] > 0);
    }
}

#include <catch2/catch.hpp>

#include "controlworld.h"

#include <chrono>
#include <cstdlib>
#include <iostream>

using namespace crocusreach;
using namespace crocusreach::world;

namespace {

constexpr std::size_t shortRunWorlds = 40;
constexpr std::uint64_t defaultSeed = 20260801;

auto environmentNumber(const char *name, std::uint64_t fallback) -> std::uint64_t
{
    const auto *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Clocks of different hosts run at rates that differ by up to 0.5 %.
auto randomRate(World &world) -> double
{
    constexpr std::uint64_t parts = 1000;
    return 0.9975 + 0.005 * static_cast<double>(pick(world, parts + 1)) / parts;
}

auto makeWorld(std::uint64_t seed) -> World
{
    auto world = World();
    world.random.seed(seed);
    world.settings.cell = "cell";
    world.listLag = between(world, 0s, 6s);
    world.listIncarnations = chance(world, 0.7);
    world.longestDrain = chance(world, 0.5) ? 300ms : 5s;
    world.unreportedDrains = 0.1;
    const auto domains = std::vector<std::string>{"a", "b", "c", "d"};
    const auto used = chance(world, 0.1) ? 1 : 2 + pick(world, 3);
    const auto count = 4 + pick(world, 5);
    for (std::size_t index = 0; index < count; ++index)
        addNode(world, "i" + std::to_string(index), domains[index % used]);
    for (auto &node : world.nodes) {
        node.clockRate = randomRate(world);
        node.clockOffset = between(world, 0s, 1000000s);
    }
    putConfiguration(world, makeConfiguration(8, 6, 4, domains));
    return world;
}

auto randomNode(World &world) -> std::size_t
{
    return pick(world, world.nodes.size());
}

auto cutPair(World &world, std::size_t left, std::size_t right) -> void
{
    world.carrier.cut.emplace(left, right);
    if (chance(world, 0.8))
        world.carrier.cut.emplace(right, left);
}

auto partition(World &world) -> void
{
    const auto side = world.random();
    for (std::size_t left = 0; left < world.nodes.size(); ++left) {
        for (std::size_t right = 0; right < left; ++right) {
            if (((side >> left) & 1) != ((side >> right) & 1))
                cutPair(world, left, right);
        }
    }
}

auto killNode(World &world, std::size_t index) -> void
{
    if (world.nodes[index].state != nullptr)
        stop(world, index);
}

auto leave(World &world, std::size_t index) -> void
{
    auto &node = world.nodes[index];
    if (!isRunning(world, node))
        return;
    list(world, node, true, true);
    deliver(world, index, StopRequested{});
    at(world, world.now + between(world, 1s, 15s), [index, life = node.life](World &later) {
        if (later.nodes[index].life == life && later.nodes[index].state != nullptr)
            stop(later, index);
    });
}

auto loseDomain(World &world) -> void
{
    const auto domain = world.nodes[randomNode(world)].member.domain;
    const auto dies = chance(world, 0.5);
    for (std::size_t index = 0; index < world.nodes.size(); ++index) {
        if (world.nodes[index].member.domain != domain)
            continue;
        if (dies)
            killNode(world, index);
        else
            pause(world, index, between(world, 1s, 15s));
    }
}

// A change by one operator, decided on what the operator read some time before.
auto changeConfiguration(World &world, const std::shared_ptr<const Configuration> &read) -> void
{
    if (read->revision != world.store.configuration->revision) {
        ++world.counts["refused changes"];
        return;
    }
    auto changed = *read;
    auto &leafs = changed.services.front().leafs;
    switch (pick(world, 5)) {
    case 0:
        changed.domains[pick(world, changed.domains.size())].decision.state
                = chance(world, 0.5) ? DesiredState::In : DesiredState::Out;
        break;
    case 1:
        if (leafs.size() > 4)
            leafs.erase(leafs.begin() + static_cast<std::ptrdiff_t>(pick(world, leafs.size())));
        break;
    case 2: {
        const auto name = "leaf-" + std::to_string(pick(world, 12));
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
        auto &leaf = leafs[pick(world, leafs.size())];
        leaf.slots = static_cast<std::uint16_t>(1 + pick(world, 8));
        leaf.coldSlots = static_cast<std::uint16_t>(1 + pick(world, leaf.slots));
        break;
    }
    }
    putConfiguration(world, std::move(changed));
}

auto operatorsRace(World &world) -> void
{
    const auto operators = 1 + pick(world, 2);
    for (std::size_t index = 0; index < operators; ++index) {
        at(world, world.now + between(world, 0s, 200ms),
           [read = world.store.configuration](World &later) {
               if (!later.store.down)
                   changeConfiguration(later, read);
           });
    }
}

auto healLater(World &world, std::function<auto(World &)->void> heal) -> void
{
    at(world, world.now + between(world, 500ms, 20s), std::move(heal));
}

struct Fault
{
    const char *name;
    auto(*inject)(World &) -> void;
};

const auto faults = std::vector<Fault>{
        {"pause",
         [](World &world) { pause(world, randomNode(world), between(world, 500ms, 15s)); }},
        {"kill", [](World &world) { killNode(world, randomNode(world)); }},
        {"restart",
         [](World &world) {
             const auto index = randomNode(world);
             killNode(world, index);
             start(world, index);
         }},
        {"start",
         [](World &world) {
             const auto index = randomNode(world);
             if (world.nodes[index].state == nullptr)
                 start(world, index);
         }},
        {"leave", [](World &world) { leave(world, randomNode(world)); }},
        {"failure domain lost", loseDomain},
        {"partition",
         [](World &world) {
             partition(world);
             healLater(world, [](World &later) { later.carrier.cut.clear(); });
         }},
        {"cut pair",
         [](World &world) {
             cutPair(world, randomNode(world), randomNode(world));
             healLater(world, [](World &later) { later.carrier.cut.clear(); });
         }},
        {"lossy carrier",
         [](World &world) {
             world.carrier.dropped = 0.3;
             healLater(world, [](World &later) { later.carrier.dropped = 0; });
         }},
        {"late messages",
         [](World &world) {
             world.carrier.extraDelay = between(world, 100ms, 8s);
             healLater(world, [](World &later) { later.carrier.extraDelay = {}; });
         }},
        {"store down",
         [](World &world) {
             world.store.down = true;
             healLater(world, [](World &later) { later.store.down = false; });
         }},
        {"store slow",
         [](World &world) {
             world.store.extraDelay = between(world, 100ms, 3s);
             healLater(world, [](World &later) { later.store.extraDelay = {}; });
         }},
        {"store replies lost",
         [](World &world) {
             world.store.lostReplies = 0.5;
             healLater(world, [](World &later) { later.store.lostReplies = 0; });
         }},
        {"watches silent",
         [](World &world) {
             world.store.silentWatches = 0.8;
             for (auto &watch : world.store.watches)
                 watch.silent = watch.silent || chance(world, 0.8);
             healLater(world, [](World &later) { later.store.silentWatches = 0; });
         }},
        {"cut from store",
         [](World &world) {
             const auto index = randomNode(world);
             world.nodes[index].cutFromStore = true;
             healLater(world, [index](World &later) { later.nodes[index].cutFromStore = false; });
         }},
        {"instance list down",
         [](World &world) {
             world.listDown = true;
             healLater(world, [](World &later) { later.listDown = false; });
         }},
        {"operators", operatorsRace},
};

auto injectFaults(World &world, Duration length) -> void
{
    const auto end = world.now + length;
    while (world.now < end && world.violation.empty()) {
        const auto &fault = faults[pick(world, faults.size())];
        fault.inject(world);
        ++world.counts[fault.name];
        runFor(world, chance(world, 0.4) ? between(world, 0s, 200ms) : between(world, 0s, 4s));
    }
}

auto endFaults(World &world) -> void
{
    world.carrier = {};
    world.store.down = false;
    world.store.extraDelay = {};
    world.store.lostReplies = 0;
    world.store.silentWatches = 0;
    world.listDown = false;
    for (std::size_t index = 0; index < world.nodes.size(); ++index) {
        auto &node = world.nodes[index];
        node.cutFromStore = false;
        if (node.state != nullptr && node.pausedUntil > world.now) {
            node.pausedUntil = world.now;
            pause(world, index, Duration());
        }
        // Instances that were told to leave end within the longest grace time.
        if (node.state != nullptr && currentView(*node.state)->stopping)
            stop(world, index);
        // Dead instances are replaced, some of them later.
        if (node.state == nullptr && (index < 2 || chance(world, 0.5)))
            start(world, index);
    }
}

auto describeWorld(World &world) -> std::string
{
    auto text = std::string();
    for (const auto &node : world.nodes) {
        text += node.member.name + (node.state == nullptr ? " dead" : "");
        if (node.view != nullptr) {
            text += " life " + std::to_string(node.life) + " epoch "
                    + std::to_string(toUnderlying(node.view->assignment->epoch)) + " revision "
                    + std::to_string(toUnderlying(node.view->configuration->revision)) + " held "
                    + std::to_string(node.view->held.size()) + " lease left "
                    + std::to_string((node.view->leaseEnd - localTime(node, world.now)) / 1ms);
        }
        text += "\n";
    }
    return text;
}

// Runs one world through faults and recovery, twice.
auto runWorld(std::uint64_t seed, std::map<std::string, std::uint64_t> &counts) -> void
{
    auto world = makeWorld(seed);
    INFO("CROCUSREACH_SEED=" << seed);
    for (std::size_t index = 0; index < world.nodes.size(); ++index) {
        at(world, world.now + between(world, 0s, 3s),
           [index](World &later) { start(later, index); });
    }
    runFor(world, 5s);
    for (auto round = 0; round < 2; ++round) {
        injectFaults(world, between(world, 20s, 60s));
        endFaults(world);
        const auto healedAt = world.now;
        const auto configured = runUntilHolds(world, 10s, newestInForce);
        const auto inForceAfter = (world.now - healedAt) / 1ms;
        const auto held = runUntilHolds(world, 120s, allSharesHeld);
        const auto heldAfter = (world.now - healedAt) / 1ms;
        INFO(world.violation << "\n" << describeWorld(world));
        REQUIRE(world.violation.empty());
        REQUIRE(configured);
        REQUIRE(held);
        auto &slowest = counts["slowest revision in force (ms)"];
        slowest = std::max(slowest, static_cast<std::uint64_t>(inForceAfter));
        auto &slowestHeld = counts["slowest shares held (ms)"];
        slowestHeld = std::max(slowestHeld, static_cast<std::uint64_t>(heldAfter));
        ++counts["recoveries"];
    }
    for (const auto &[name, count] : world.counts)
        counts[name] += count;
    counts["assignment writes"] += world.store.writes;
    counts["virtual seconds"] += static_cast<std::uint64_t>((world.now - TimePoint(1000s)) / 1s);
    counts["epochs"] += world.store.assignment ? toUnderlying(world.store.assignment->epoch) : 0;
}

} // namespace

// Guards against two holders of one share, use beyond a leaf's limit, revisions or epochs that go
// back, and a cell that doesn't recover, under faults that nobody thought of together.
TEST_CASE("a cell keeps its limits under random faults and recovers")
{
    const auto seed = environmentNumber("CROCUSREACH_SEED", defaultSeed);
    const auto seconds = environmentNumber("CROCUSREACH_SECONDS", 0);
    std::cout << "CROCUSREACH_SEED=" << seed << std::endl;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    auto counts = std::map<std::string, std::uint64_t>();
    auto worlds = std::size_t{0};
    while (worlds < shortRunWorlds || std::chrono::steady_clock::now() < end)
        runWorld(seed + worlds++, counts);
    std::cout << "worlds: " << worlds << "\n";
    for (const auto &[name, count] : counts)
        std::cout << name << ": " << count << "\n";
    for (const auto &fault : faults) {
        INFO(fault.name);
        CHECK(counts[fault.name] > 0);
    }
}

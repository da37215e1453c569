#include "callers.h"
#include "faultproxy.h"
#include "fleet.h"
#include "standins/platformobjects.h"
#include "standins/platformstore.h"
#include "uploadleaf.h"

#include <gflags/gflags.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <span>
#include <thread>

// Runs fronts as real processes on loopback, harms them from outside by a seeded schedule, and
// checks what callers and leafs see. Exit code 1 means that something happened that never may.

// gflags fixes the form of flag definitions.
// NOLINTBEGIN
DEFINE_string(binary, "", "the program crocusreach");
DEFINE_uint32(seed, 1, "seed of the schedule");
DEFINE_uint32(seeds, 1, "number of seeds, from the first one on");
DEFINE_uint32(seconds, 12, "time of the faults of each seed");
DEFINE_uint32(fronts, 4, "number of fronts; more than 12 read the store through relays");
DEFINE_uint32(callers, 8, "number of callers");
DEFINE_string(folder, "", "keeps settings and logs there; a temporary folder if empty");
// NOLINTEND

using namespace crocusreach;
using namespace crocusreach::soak;
using namespace crocusreach::standins;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

constexpr auto shardsPerSet = 4;
constexpr auto replicas = 3;
// A change of the desired state is in force everywhere after this time if the store is sound.
constexpr auto applyTime = 3s;
// With more fronts than this, they read the store through the seeds.
constexpr auto fewestFollowers = 12U;
// After the last fault, everything is served again after this time.
constexpr auto recoveryTime = 12s;

struct SoakLeaf
{
    std::string service;
    std::string domain;
    std::unique_ptr<PlatformLeaf> leaf;
    std::unique_ptr<FaultProxy> proxy;
    bool draining = false;
};

struct SoakUploadLeaf
{
    std::string domain;
    std::unique_ptr<UploadLeaf> leaf;
    std::unique_ptr<FaultProxy> proxy;
};

// Everything but the fronts and the callers.
struct Surroundings
{
    explicit Surroundings(std::uint32_t seed)
        : random(seed)
    {
        this->worker.run([this] { this->store = std::make_unique<PlatformStore>("127.0.0.1:0"); });
        this->proxies.run([this] {
            this->storeProxy
                    = std::make_unique<FaultProxy>(this->proxies.reactor(), this->store->address());
        });
        for (auto set = 0; set < 2; ++set) {
            for (auto shard = 0; shard < shardsPerSet; ++shard)
                this->addService("set" + std::to_string(set) + "-" + std::to_string(shard));
        }
        this->addService("ledger");
        for (auto replica = 0; replica < replicas; ++replica)
            this->addUploadLeaf("uploads/" + std::to_string(replica),
                                "zone-" + std::to_string(replica));
        this->configure(0);
    }

    ~Surroundings()
    {
        this->proxies.run([this] {
            this->frontProxies.clear();
            this->storeProxy.reset();
            for (auto &[id, leaf] : this->leafs)
                leaf.proxy.reset();
            this->uploadLeafs.clear();
        });
        this->worker.run([this] {
            this->leafs.clear();
            this->store.reset();
        });
    }

    Surroundings(const Surroundings &) = delete;
    auto operator=(const Surroundings &) -> Surroundings & = delete;

    auto addService(const std::string &service) -> void
    {
        for (auto replica = 0; replica < replicas; ++replica)
            this->addLeaf(service, service + "/" + std::to_string(replica),
                          "zone-" + std::to_string(replica));
    }

    auto addLeaf(const std::string &service, const std::string &id, const std::string &domain)
            -> void
    {
        auto added = SoakLeaf{service, domain, {}, {}, false};
        this->worker.run([&] {
            added.leaf = std::make_unique<PlatformLeaf>("127.0.0.1:0", id, this->ledger);
            added.leaf->setWork(3000);
        });
        this->proxies.run([&] {
            added.proxy
                    = std::make_unique<FaultProxy>(this->proxies.reactor(), added.leaf->address());
        });
        this->leafs.emplace(id, std::move(added));
        this->enter(id);
    }

    auto addUploadLeaf(const std::string &id, const std::string &domain) -> void
    {
        auto added = SoakUploadLeaf{domain, {}, {}};
        this->proxies.run([&] {
            auto &reactor = this->proxies.reactor();
            added.leaf = std::make_unique<UploadLeaf>(reactor, id, this->ledger);
            added.proxy = std::make_unique<FaultProxy>(reactor, added.leaf->address());
        });
        this->uploadLeafs.emplace(id, std::move(added));
        this->enterUploadLeafs();
    }

    auto enterUploadLeafs() -> void
    {
        this->worker.run([this] {
            for (const auto &[id, leaf] : this->uploadLeafs)
                this->store->put(leafKind, id,
                                 leafSpec({"uploads", leaf.proxy->address(), leaf.domain}));
        });
    }

    // Writes the entry of a leaf.
    auto enter(const std::string &id) -> void
    {
        const auto &leaf = this->leafs.at(id);
        this->worker.run([&] {
            this->store->put(
                    leafKind, id,
                    leafSpec({leaf.service, leaf.proxy->address(), leaf.domain, leaf.draining}));
        });
    }

    auto setEntered(const std::string &id, bool isEntered) -> void
    {
        if (isEntered) {
            this->removed.erase(id);
            return this->enter(id);
        }
        this->removed.insert(id);
        this->worker.run([&] { this->store->remove(leafKind, id); });
    }

    auto setEvacuated(const std::string &domain, bool isEvacuated) -> void
    {
        if (isEvacuated)
            this->evacuated.insert(domain);
        else
            this->evacuated.erase(domain);
        this->worker.run([&] {
            if (isEvacuated)
                this->store->put(evacuationKind, domain, Json::object());
            else
                this->store->remove(evacuationKind, domain);
        });
    }

    auto configure(int set) -> void
    {
        auto shards = std::vector<std::string>();
        for (auto shard = 0; shard < shardsPerSet; ++shard)
            shards.push_back("set" + std::to_string(set) + "-" + std::to_string(shard));
        this->shardSets.add({shards.begin(), shards.end()});
        const auto options = RouteOptions{1500, 300, 1};
        const auto routes = Json{gatherRouteSpec("/all/", shards, 0.5, options),
                                 singleRouteSpec("/one/", "ledger", true, options),
                                 singleRouteSpec("/once/", "ledger", false, options),
                                 singleRouteSpec("/upload/", "uploads", true, options)};
        this->version += 3;
        this->worker.run([&] {
            this->store->put(desiredStateKind, desiredStateName,
                             desiredStateSpec(this->version, routes, Json::object()));
        });
    }

    // Callers reach a front through a proxy of its own.
    auto addFrontProxy(const std::string &address) -> void
    {
        this->proxies.run([&] {
            this->frontProxies.push_back(
                    std::make_unique<FaultProxy>(this->proxies.reactor(), address));
        });
    }

    auto pickLeaf() -> std::pair<const std::string, SoakLeaf> &
    {
        auto picked = this->leafs.begin();
        std::advance(picked, static_cast<std::ptrdiff_t>(this->random() % this->leafs.size()));
        return *picked;
    }

    std::mt19937 random;
    RunLedger ledger;
    NamedShardSets shardSets;
    MainThread worker = MainThread("standins");
    tests::ReactorThread proxies;
    std::unique_ptr<PlatformStore> store;
    std::unique_ptr<FaultProxy> storeProxy;
    std::vector<std::unique_ptr<FaultProxy>> frontProxies; // in the order of the fronts
    std::map<std::string, SoakLeaf> leafs;
    std::map<std::string, SoakUploadLeaf> uploadLeafs;
    std::set<std::string> removed; // leafs without an entry in the store
    std::set<std::string> evacuated; // domains
    int version = 1;
    int currentSet = 0;
};

// One kind of fault: starts it and returns what ends it.
using EndFault = std::function<auto()->void>;

auto harmFront(Fleet &fleet, std::mt19937 &random) -> EndFault
{
    auto &front = fleet.fronts[random() % fleet.fronts.size()];
    if (front.pid == 0 || front.paused || front.ending)
        return [] {};
    switch (random() % 5) {
    case 0:
        std::cout << "kill " << front.name << '\n';
        front.ending = true;
        signalFront(front, SIGKILL);
        awaitEnd(fleet, front, true);
        return [&fleet, &front] { startFront(fleet, front); };
    case 1:
        std::cout << "pause " << front.name << '\n';
        signalFront(front, SIGSTOP);
        return [&front] { signalFront(front, SIGCONT); };
    case 2:
        std::cout << "reload " << front.name << '\n';
        writeSettings(fleet, front, static_cast<std::uint32_t>(random()));
        signalFront(front, SIGHUP);
        return [] {};
    case 3:
        std::cout << "silent change of settings " << front.name << '\n';
        writeSettings(fleet, front, static_cast<std::uint32_t>(random()));
        return [] {};
    default:
        std::cout << "stop " << front.name << '\n';
        front.ending = true;
        signalFront(front, SIGTERM);
        return [&fleet, &front] {
            awaitEnd(fleet, front, false);
            startFront(fleet, front);
        };
    }
}

// The store is away for a moment and returns from a copy of before; the operator and the leafs then
// write again what is in force.
auto restoreStore(Surroundings &world) -> EndFault
{
    world.worker.run([&] {
        world.store->takeCopy();
        world.store->setAvailability(PlatformAvailability::Busy);
    });
    return [&world] {
        world.worker.run([&] {
            world.store->restoreCopy();
            world.store->setAvailability(PlatformAvailability::Up);
        });
        world.configure(world.currentSet);
        for (const auto &[id, leaf] : world.leafs)
            world.setEntered(id, !world.removed.contains(id));
        world.enterUploadLeafs();
        for (const auto domain : {"zone-0", "zone-1", "zone-2"})
            world.setEvacuated(domain, world.evacuated.contains(domain));
    };
}

auto harmStore(Surroundings &world) -> EndFault
{
    const auto kind = world.random() % 6;
    std::cout << "store fault " << kind << '\n';
    const auto setFault = [&world](LinkFault fault) {
        world.proxies.run([&] { world.storeProxy->setFault(fault, 150ms); });
    };
    if (kind == 0) {
        world.worker.run([&] { world.store->setAvailability(PlatformAvailability::Busy); });
        return [&world] {
            world.worker.run([&] { world.store->setAvailability(PlatformAvailability::Up); });
        };
    }
    if (kind == 1) {
        world.worker.run([&] { world.store->forgetHistory(); });
        return [] {};
    }
    if (kind == 5)
        return restoreStore(world);
    setFault(kind == 2 ? LinkFault::Silent : kind == 3 ? LinkFault::Refuse : LinkFault::Delay);
    return [&world, setFault] {
        setFault(LinkFault::None);
        world.proxies.run([&] { world.storeProxy->resetConnections(); });
    };
}

// Harms the connections of one proxy, and resets them at the end.
auto harmLink(Surroundings &world, FaultProxy &proxy, const std::string &name) -> EndFault
{
    const auto faults = std::to_array(
            {LinkFault::Delay, LinkFault::OneWay, LinkFault::Silent, LinkFault::Refuse});
    const auto fault = faults.at(world.random() % faults.size());
    std::cout << name << " link fault " << static_cast<int>(fault) << '\n';
    world.proxies.run([&] { proxy.setFault(fault, 100ms); });
    return [&world, &proxy] {
        world.proxies.run([&] {
            proxy.setFault(LinkFault::None);
            proxy.resetConnections();
        });
    };
}

auto harmLeaf(Surroundings &world) -> EndFault
{
    if (world.random() % 5 == 0) {
        auto picked = world.uploadLeafs.begin();
        std::advance(picked, static_cast<std::ptrdiff_t>(world.random() % replicas));
        return harmLink(world, *picked->second.proxy, "leaf " + picked->first);
    }
    auto &picked = world.pickLeaf();
    const auto &id = picked.first;
    auto &leaf = picked.second;
    if (world.random() % 2 == 0) {
        const auto modes = std::to_array({PlatformLeafMode::Refuses, PlatformLeafMode::Silent,
                                          PlatformLeafMode::Loses, PlatformLeafMode::OtherLeaf});
        const auto mode = modes.at(world.random() % modes.size());
        std::cout << "leaf " << id << " mode " << static_cast<int>(mode) << '\n';
        world.worker.run([&] { leaf.leaf->setMode(mode); });
        return [&world, &leaf, &id] {
            world.worker.run([&] { leaf.leaf->setMode(PlatformLeafMode::Serves); });
            world.enter(id);
        };
    }
    return harmLink(world, *leaf.proxy, "leaf " + id);
}

auto harmCallers(Surroundings &world) -> EndFault
{
    const auto number = world.random() % world.frontProxies.size();
    return harmLink(world, *world.frontProxies[number],
                    "callers of front " + std::to_string(number));
}

auto changeState(Surroundings &world) -> EndFault
{
    switch (world.random() % 4) {
    case 0: {
        auto &picked = world.pickLeaf();
        const auto &id = picked.first;
        auto &leaf = picked.second;
        std::cout << "drain " << id << '\n';
        leaf.draining = true;
        world.enter(id);
        return [&world, &leaf, &id] {
            leaf.draining = false;
            world.enter(id);
        };
    }
    case 1: {
        const auto &id = world.pickLeaf().first;
        std::cout << "remove the entry of " << id << '\n';
        world.setEntered(id, false);
        return [&world, &id] { world.setEntered(id, true); };
    }
    case 2: {
        const auto domain = "zone-" + std::to_string(world.random() % 3);
        std::cout << "evacuate " << domain << '\n';
        world.setEvacuated(domain, true);
        return [&world, domain] { world.setEvacuated(domain, false); };
    }
    default:
        world.currentSet = 1 - world.currentSet;
        std::cout << "shards of set " << world.currentSet << '\n';
        world.configure(world.currentSet);
        return [] {};
    }
}

// Faults in series that overlap, until the time is over; then all are ended.
auto playFaults(Surroundings &world, Fleet &fleet, std::chrono::seconds time) -> void
{
    const auto end = std::chrono::steady_clock::now() + time;
    auto running = std::vector<std::pair<std::chrono::steady_clock::time_point, EndFault>>();
    while (std::chrono::steady_clock::now() < end) {
        const auto kind = world.random() % 5;
        auto endFault = kind == 0   ? harmFront(fleet, world.random)
                        : kind == 1 ? harmStore(world)
                        : kind == 2 ? harmLeaf(world)
                        : kind == 3 ? harmCallers(world)
                                    : changeState(world);
        const auto duration = std::chrono::milliseconds(500 + world.random() % 3000);
        running.emplace_back(std::chrono::steady_clock::now() + duration, std::move(endFault));
        std::this_thread::sleep_for(std::chrono::milliseconds(100 + world.random() % 900));
        findEnded(fleet);
        std::erase_if(running, [](const auto &item) {
            const auto due = item.first <= std::chrono::steady_clock::now();
            if (due)
                item.second();
            return due;
        });
    }
    for (const auto &item : running)
        item.second();
    for (auto &front : fleet.fronts)
        signalFront(front, SIGCONT);
}

auto askOnce(const std::string &address, const std::string &target, const std::string &id)
        -> std::optional<HttpMessage>
{
    auto client = tests::TestClient(address);
    client.send(callerRequestText("GET", target, id, 1500));
    return client.receive(2s);
}

// After the faults, every front serves whole answers of the newest desired state.
auto checkRecovery(Surroundings &world, Fleet &fleet) -> std::vector<std::string>
{
    auto findings = std::vector<std::string>();
    const auto prefix = "set" + std::to_string(world.currentSet) + "-";
    for (const auto &front : fleet.fronts) {
        const auto deadline = std::chrono::steady_clock::now() + recoveryTime;
        auto good = 0;
        for (auto number = 0; good < 3 && std::chrono::steady_clock::now() < deadline; ++number) {
            const auto response = askOnce(callerAddress(fleet, front), "/all/x",
                                          "r" + front.name + std::to_string(number));
            const auto parts = response ? findHeader(*response, partReceiptsHeader)
                                                  .value_or(std::string_view())
                                        : std::string_view();
            const auto whole = response && response->status == 200 && parts.starts_with(prefix)
                               && findHeader(*response, missingPartsHeader) == "0";
            good = whole ? good + 1 : 0;
            std::this_thread::sleep_for(whole ? 10ms : 200ms);
        }
        if (good < 3)
            findings.push_back(front.name + " doesn't serve whole answers after the faults");
    }
    return findings;
}

// With a sound store, a drained leaf gets nothing and a new desired state is in force in time.
auto checkChanges(Surroundings &world, const Callers &callers) -> std::vector<std::string>
{
    auto findings = std::vector<std::string>();
    auto &[id, leaf] = world.pickLeaf();
    leaf.draining = true;
    world.enter(id);
    std::this_thread::sleep_for(applyTime + 200ms);
    const auto before = leaf.leaf->runs();
    const auto asked = callers.counts().asked.load();
    std::this_thread::sleep_for(500ms);
    if (leaf.leaf->runs() != before)
        findings.push_back("leaf " + id + " was used after it had drained");
    if (callers.counts().asked == asked)
        findings.emplace_back("no caller asked while a leaf drained");
    leaf.draining = false;
    world.enter(id);
    return findings;
}

// While all seeds stand still and the store is sound, the other fronts must stop using a leaf that
// has left, and have a new desired state in force, within the apply time.
auto checkWithoutSeeds(Surroundings &world, Fleet &fleet) -> std::vector<std::string>
{
    auto findings = std::vector<std::string>();
    const auto seeds = seedsOf(fleet);
    for (auto &seed : seeds)
        signalFront(seed, SIGSTOP);
    // The changes meet the fronts' copies at any age.
    std::this_thread::sleep_for(std::chrono::milliseconds(world.random() % 3000));
    const auto &picked = world.pickLeaf();
    const auto &id = picked.first;
    const auto &leaf = picked.second;
    std::cout << "without seeds: remove the entry of " << id << '\n';
    world.worker.run([&] { world.store->remove(leafKind, id); });
    world.currentSet = 1 - world.currentSet;
    world.configure(world.currentSet);
    std::this_thread::sleep_for(applyTime);
    const auto before = leaf.leaf->runs();
    const auto prefix = "set" + std::to_string(world.currentSet) + "-";
    for (const auto &front : std::span(fleet.fronts).subspan(seeds.size())) {
        const auto response
                = askOnce(callerAddress(fleet, front), "/all/x", "without-seeds-" + front.name);
        const auto parts = response ? findHeader(*response, partReceiptsHeader)
                                    : std::optional<std::string_view>();
        if (parts && !parts->starts_with(prefix))
            findings.push_back(front.name + " used an old desired state without the seeds");
    }
    std::this_thread::sleep_for(500ms);
    if (leaf.leaf->runs() != before)
        findings.push_back("leaf " + id + " was used after it had left, without the seeds");
    for (auto &seed : seeds)
        signalFront(seed, SIGCONT);
    world.enter(id);
    return findings;
}

auto stopAll(Fleet &fleet) -> void
{
    for (auto &front : fleet.fronts)
        signalFront(front, SIGTERM);
    for (auto &front : fleet.fronts) {
        if (front.pid != 0)
            awaitEnd(fleet, front, false);
    }
}

auto awaitReady(const Fleet &fleet) -> bool
{
    return tests::awaitTrue([&fleet] {
        return std::all_of(fleet.fronts.begin(), fleet.fronts.end(), [&](const auto &front) {
            const auto response = askOnce(readyAddress(fleet, front), readyTarget, "ready");
            return response && response->status == 200;
        });
    });
}

auto append(std::vector<std::string> &all, const std::vector<std::string> &more) -> void
{
    all.insert(all.end(), more.begin(), more.end());
}

// Returns what happened that never may.
auto runSeed(std::uint32_t seed, const std::string &folder) -> std::vector<std::string>
{
    auto world = Surroundings(seed);
    auto fleet = Fleet();
    fleet.binary = FLAGS_binary;
    fleet.folder = folder;
    fleet.storeAddress = world.storeProxy->address();
    // Ports below the range that the kernel chooses from, spread by the seed.
    fleet.basePort = static_cast<std::uint16_t>(12000 + (seed * 4) % 8000);
    addFronts(fleet, FLAGS_fronts);
    for (auto &front : fleet.fronts) {
        writeSettings(fleet, front, 0);
        startFront(fleet, front);
    }
    auto findings = std::vector<std::string>();
    if (!awaitReady(fleet)) {
        findings.emplace_back("the fronts did not become ready");
        stopAll(fleet);
        return findings;
    }
    for (const auto &front : fleet.fronts)
        world.addFrontProxy(callerAddress(fleet, front));
    auto turn = std::atomic<std::size_t>(0);
    auto callers = Callers(
            FLAGS_callers, seed,
            [&] { return world.frontProxies[turn++ % world.frontProxies.size()]->address(); },
            world.ledger, world.shardSets);
    playFaults(world, fleet, std::chrono::seconds(FLAGS_seconds));
    append(findings, checkRecovery(world, fleet));
    append(findings, checkChanges(world, callers));
    if (FLAGS_fronts > fewestFollowers) {
        append(findings, checkWithoutSeeds(world, fleet));
        append(findings, checkRecovery(world, fleet));
    }
    callers.stop();
    findEnded(fleet);
    stopAll(fleet);
    append(findings, fleet.findings);
    append(findings, callers.findings());
    const auto &counts = callers.counts();
    std::cout << "seed " << seed << ": asked " << counts.asked << ", served " << counts.served
              << " (partial " << counts.partial << "), refused " << counts.refused << ", failed "
              << counts.failed << ", findings " << findings.size() << std::endl;
    if (counts.served * 2 < counts.asked)
        findings.emplace_back("less than half of the requests were served");
    return findings;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_binary.empty() || argc > 1) {
        std::cerr << "usage: crocusreach-soak --binary PATH [--seed N] [--seeds N] [--seconds N]\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    auto bad = 0;
    for (auto seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
        const auto kept = !FLAGS_folder.empty();
        const auto folder
                = (kept ? std::filesystem::path(FLAGS_folder)
                        : std::filesystem::temp_directory_path())
                  / ("crocusreach-soak-" + std::to_string(::getpid()) + "-" + std::to_string(seed));
        std::filesystem::create_directories(folder);
        const auto findings = runSeed(seed, folder.string());
        for (const auto &finding : findings)
            std::cout << "FINDING seed " << seed << ": " << finding << std::endl;
        bad += findings.empty() ? 0 : 1;
        if (findings.empty() && !kept)
            std::filesystem::remove_all(folder);
        else
            std::cout << "logs in " << folder.string() << std::endl;
    }
    return bad == 0 ? 0 : 1;
}

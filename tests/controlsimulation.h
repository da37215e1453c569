#pragma once

#include "core/control.h"
#include "core/invariants.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Simulation of several control cores in virtual time, with fakes for the store, the instance list,
// the network between instances and the dispatch core. For tests and benchmarks of the control
// core.

namespace crocusreach::controltest {

using namespace std::chrono_literals;

// Use of a share by one process, as its target sees it: requests may run there until the given
// time.
struct Usage
{
    std::size_t node = 0;
    std::uint64_t startNumber = 0;
    LeafId leaf = {};
    std::uint8_t ordinal = 0;
    ShareSize size;
    ShareSize limit; // of the leaf, in the assignment that the process knows
    TimePoint until = {};
};

struct Node
{
    Member member;
    ControlStatePtr state; // null while no process runs
    std::uint64_t startNumber = 0; // number of starts; also the incarnation
    double clockRate = 1.0;
    Duration clockOffset = {};
    TimePoint pausedUntil = {};
    bool cutFromStore = false;
    std::vector<ControlEvent> deferredEvents; // arrived while paused
    std::optional<TimePoint> wakeAt; // of the timer that is set
    ClusterViewPtr view;
    std::vector<Usage> draining; // requests still running on shares that were lost
    Epoch drainedReported = {};
};

struct PendingWatch
{
    std::size_t node = 0;
    std::uint64_t startNumber = 0;
    std::uint64_t callId = 0;
    std::uint64_t version = 0;
    bool silent = false;
};

struct FakeStore
{
    std::shared_ptr<const Configuration> configuration; // null if absent
    std::shared_ptr<const Assignment> assignment; // null if absent
    std::map<Epoch, std::shared_ptr<const Assignment>> history;
    std::vector<PendingWatch> watches;
    bool down = false;
    Duration extraDelay = {};
    double lostReplyProbability = 0;
    double silentWatchProbability = 0;
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
};

// A change of an address's entry in the instance list.
struct ListingChange
{
    TimePoint at = {};
    std::optional<ListedInstance> entry; // empty if it was removed
};

struct Network
{
    double dropProbability = 0;
    Duration extraDelay = {};
    std::set<std::pair<std::size_t, std::size_t>> cut; // from, to
};

// Handles an event of one node. Benchmarks replace it to measure the call.
using Handler = std::function<auto(std::size_t node, ControlState &state, const ControlEvent &event,
                                   TimePoint now, ControlActions &actions)
                                      ->void>;

struct ControlSimulation
{
    bool checkEnabled = true;
    Handler handler = [](std::size_t, ControlState &state, const ControlEvent &event, TimePoint now,
                         ControlActions &actions) { handle(state, event, now, actions); };
    std::mt19937_64 random;
    TimePoint now = TimePoint(1000s);
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<auto(ControlSimulation &)->void>>
            scheduledEvents;
    std::uint64_t nextEventNumber = 0;
    std::vector<Node> nodes;
    FakeStore store;
    Network network;
    std::map<std::string, std::vector<ListingChange>> listings; // by address
    Duration listLag = 3s;
    bool listDown = false;
    bool listIncarnations = true;
    std::vector<Usage> orphanedUsages; // by requests of ended processes
    Duration maxDrainTime = 300ms;
    double unreportedDrainProbability = 0; // that the dispatch core doesn't report a drain
    std::string violation; // first one found
    std::map<std::string, std::uint64_t> counts; // of faults and events, by name
    ControlSettings settings; // common to all nodes
};

inline auto randomIndex(ControlSimulation &simulation, std::uint64_t below) -> std::uint64_t
{
    return below == 0 ? 0 : simulation.random() % below;
}

inline auto drawChance(ControlSimulation &simulation, double probability) -> bool
{
    return static_cast<double>(simulation.random() >> 11) * 0x1.0p-53 < probability;
}

inline auto randomDuration(ControlSimulation &simulation, Duration minimum, Duration maximum)
        -> Duration
{
    return minimum
           + Duration(static_cast<Duration::rep>(randomIndex(
                   simulation, static_cast<std::uint64_t>((maximum - minimum).count()) + 1)));
}

inline auto schedule(ControlSimulation &simulation, TimePoint time,
                     std::function<auto(ControlSimulation &)->void> action) -> void
{
    simulation.scheduledEvents.emplace(
            std::pair(std::max(time, simulation.now), simulation.nextEventNumber++),
            std::move(action));
}

inline auto localTime(const Node &node, TimePoint time) -> TimePoint
{
    const auto elapsed = static_cast<double>(time.time_since_epoch().count()) * node.clockRate;
    return TimePoint(Duration(static_cast<Duration::rep>(elapsed)) + node.clockOffset);
}

inline auto simulationTime(const Node &node, TimePoint local) -> TimePoint
{
    const auto elapsed = static_cast<double>((local - node.clockOffset).time_since_epoch().count());
    return TimePoint(Duration(static_cast<Duration::rep>(std::ceil(elapsed / node.clockRate))));
}

inline auto isRunning(const ControlSimulation &simulation, const Node &node) -> bool
{
    return node.state != nullptr && simulation.now >= node.pausedUntil;
}

auto deliver(ControlSimulation &simulation, std::size_t index, const ControlEvent &event) -> void;

// Delivers an event at a time, unless the node was stopped or restarted before.
inline auto deliverLater(ControlSimulation &simulation, TimePoint time, std::size_t index,
                         std::uint64_t startNumber, ControlEvent event) -> void
{
    schedule(simulation, time,
             [index, startNumber, event = std::move(event)](ControlSimulation &later) {
                 if (later.nodes[index].startNumber == startNumber
                     && later.nodes[index].state != nullptr)
                     deliver(later, index, event);
             });
}

inline auto leafLimits(const Assignment &assignment, LeafId leaf) -> ShareSize
{
    auto limit = ShareSize();
    for (const auto &share : sharesOf(assignment, leaf)) {
        limit.slots += share.size.slots;
        limit.coldSlots += share.size.coldSlots;
        limit.connections += share.size.connections;
    }
    return limit;
}

inline auto heldUsages(const ControlSimulation &simulation, std::size_t index) -> std::vector<Usage>
{
    auto usages = std::vector<Usage>();
    const auto &node = simulation.nodes[index];
    if (node.state == nullptr || node.view == nullptr)
        return usages;
    const auto until = simulationTime(node, node.view->leaseValidUntil);
    if (until <= simulation.now)
        return usages;
    for (const auto &held : node.view->heldShares) {
        usages.push_back({index, node.startNumber, held.leaf, held.ordinal, held.size,
                          leafLimits(*node.view->assignment, held.leaf), until});
    }
    return usages;
}

inline auto recordViolation(ControlSimulation &simulation, const std::string &text) -> void
{
    if (simulation.violation.empty())
        simulation.violation = text + " at "
                               + std::to_string(simulation.now.time_since_epoch() / 1ms - 1000000)
                               + " ms";
}

// All uses of shares whose requests may be running now.
inline auto allUsages(ControlSimulation &simulation) -> std::vector<Usage>
{
    const auto ended = [&](const Usage &usage) { return usage.until <= simulation.now; };
    std::erase_if(simulation.orphanedUsages, ended);
    auto usages = simulation.orphanedUsages;
    for (std::size_t index = 0; index < simulation.nodes.size(); ++index) {
        auto &node = simulation.nodes[index];
        std::erase_if(node.draining, ended);
        usages.insert(usages.end(), node.draining.begin(), node.draining.end());
        const auto held = heldUsages(simulation, index);
        usages.insert(usages.end(), held.begin(), held.end());
    }
    return usages;
}

struct LeafUse
{
    std::uint32_t slots = 0;
    std::uint32_t coldSlots = 0;
    std::uint32_t connections = 0;
    ShareSize limit = {UINT16_MAX, UINT16_MAX, UINT16_MAX};
    std::map<std::uint8_t, std::pair<std::size_t, std::uint64_t>> users; // by ordinal
};

// Checks over all nodes that no leaf is used beyond its limits and that no share is used by two
// processes.
inline auto checkUsages(ControlSimulation &simulation) -> void
{
    auto leafs = std::map<LeafId, LeafUse>();
    for (const auto &usage : allUsages(simulation)) {
        auto &use = leafs[usage.leaf];
        use.slots += usage.size.slots;
        use.coldSlots += usage.size.coldSlots;
        use.connections += usage.size.connections;
        use.limit.slots = std::min(use.limit.slots, usage.limit.slots);
        use.limit.coldSlots = std::min(use.limit.coldSlots, usage.limit.coldSlots);
        use.limit.connections = std::min(use.limit.connections, usage.limit.connections);
        const auto user = std::pair(usage.node, usage.startNumber);
        const auto [entry, added] = use.users.emplace(usage.ordinal, user);
        if (!added && entry->second != user)
            recordViolation(simulation, "share with two users: nodes "
                                                + std::to_string(entry->second.first) + " and "
                                                + std::to_string(usage.node));
    }
    for (const auto &[leaf, use] : leafs) {
        if (use.slots > use.limit.slots || use.coldSlots > use.limit.coldSlots
            || use.connections > use.limit.connections)
            recordViolation(simulation, "leaf used beyond its limit: " + std::to_string(use.slots)
                                                + " of " + std::to_string(use.limit.slots)
                                                + " slots");
    }
}

// Stands in for the dispatch core: requests on shares that a view no longer grants run on for a
// while, but not beyond the lease, and are then reported as drained.
inline auto fakeDispatch(ControlSimulation &simulation, std::size_t index,
                         const ClusterViewPtr &view) -> void
{
    auto &node = simulation.nodes[index];
    if (node.view != nullptr) {
        if (view->configuration->revision < node.view->configuration->revision)
            recordViolation(simulation, "the revision decreased");
        if (view->assignment->epoch < node.view->assignment->epoch)
            recordViolation(simulation, "the epoch decreased");
        const auto drain = randomDuration(simulation, 0s, simulation.maxDrainTime);
        for (auto usage : heldUsages(simulation, index)) {
            const auto kept = std::ranges::any_of(view->heldShares, [&](const HeldShare &held) {
                return held.leaf == usage.leaf && held.ordinal == usage.ordinal
                       && held.size == usage.size;
            });
            usage.until = std::min(usage.until, simulation.now + drain);
            if (!kept && usage.until > simulation.now)
                node.draining.push_back(usage);
        }
    }
    node.view = view;
    if (view->assignment->epoch <= node.drainedReported)
        return;
    auto drained = simulation.now;
    for (const auto &usage : node.draining)
        drained = std::max(drained, usage.until);
    node.drainedReported = view->assignment->epoch;
    if (drawChance(simulation, simulation.unreportedDrainProbability))
        return;
    deliverLater(simulation, drained + 1ms, index, node.startNumber,
                 SharesDrained{view->assignment->epoch});
}

inline auto replyToStoreCall(ControlSimulation &simulation, TimePoint time, std::size_t index,
                             std::uint64_t startNumber, StoreReply reply) -> void
{
    deliverLater(simulation, time, index, startNumber, std::move(reply));
}

inline auto notifyWatches(ControlSimulation &simulation) -> void
{
    std::erase_if(simulation.store.watches, [&](const PendingWatch &watch) {
        if (watch.silent || toUnderlying(simulation.store.configuration->revision) <= watch.version)
            return false;
        replyToStoreCall(simulation, simulation.now + 2ms, watch.node, watch.startNumber,
                         {watch.callId, StoreStatus::Ok,
                          toUnderlying(simulation.store.configuration->revision),
                          simulation.store.configuration, nullptr});
        return true;
    });
}

// Stores a new revision of the configuration, as an accepted change does.
inline auto putConfiguration(ControlSimulation &simulation, Configuration configuration) -> void
{
    const auto *current = simulation.store.configuration.get();
    configuration.revision = Revision{current == nullptr ? 1 : toUnderlying(current->revision) + 1};
    simulation.store.configuration
            = std::make_shared<const Configuration>(std::move(configuration));
    ++simulation.counts["configuration writes"];
    notifyWatches(simulation);
}

inline auto applyWrite(ControlSimulation &simulation, const StoreCall &call) -> StoreReply
{
    ++simulation.store.writes;
    const auto *current = simulation.store.assignment.get();
    const auto version = current == nullptr ? 0 : toUnderlying(current->epoch);
    if (call.version != version)
        return {call.callId, StoreStatus::Conflict, version, nullptr, nullptr};
    auto written = std::make_shared<Assignment>(*call.assignment);
    written->epoch = Epoch{version + 1};
    simulation.store.assignment = written;
    simulation.store.history[written->epoch] = written;
    return {call.callId, StoreStatus::Ok, version + 1, nullptr, written};
}

inline auto readObject(ControlSimulation &simulation, const StoreCall &call) -> StoreReply
{
    ++simulation.store.reads;
    auto reply = StoreReply{call.callId, StoreStatus::Ok, 0, nullptr, nullptr};
    if (call.kind == StateKind::Configuration && simulation.store.configuration != nullptr) {
        reply.configuration = simulation.store.configuration;
        reply.version = toUnderlying(reply.configuration->revision);
    } else if (call.kind == StateKind::Assignment && simulation.store.assignment != nullptr) {
        reply.assignment = simulation.store.assignment;
        reply.version = toUnderlying(reply.assignment->epoch);
    } else {
        reply.status = StoreStatus::Absent;
    }
    if (reply.status == StoreStatus::Ok && reply.version <= call.version)
        return {call.callId, StoreStatus::NotModified, call.version, nullptr, nullptr};
    return reply;
}

inline auto handleStoreCall(ControlSimulation &simulation, std::size_t index,
                            std::uint64_t startNumber, const StoreCall &call, TimePoint sentAt)
        -> void
{
    const auto timeoutAt = sentAt + call.timeout;
    const auto lost = StoreReply{call.callId, StoreStatus::Unknown, 0, nullptr, nullptr};
    if (simulation.store.down || simulation.nodes[index].cutFromStore) {
        const auto refused = drawChance(simulation, 0.5);
        replyToStoreCall(simulation, refused ? simulation.now + 1ms : timeoutAt, index, startNumber,
                         lost);
        return;
    }
    if (call.operation == StoreOperation::Watch) {
        const auto silent = drawChance(simulation, simulation.store.silentWatchProbability);
        simulation.counts["silent watches"] += silent ? 1 : 0;
        simulation.store.watches.push_back({index, startNumber, call.callId, call.version, silent});
        notifyWatches(simulation);
        schedule(simulation, timeoutAt, [index, startNumber, call](ControlSimulation &later) {
            const auto erased = std::erase_if(later.store.watches, [&](const PendingWatch &watch) {
                return watch.node == index && watch.startNumber == startNumber
                       && watch.callId == call.callId;
            });
            if (erased > 0)
                replyToStoreCall(
                        later, later.now, index, startNumber,
                        {call.callId, StoreStatus::NotModified, call.version, nullptr, nullptr});
        });
        return;
    }
    const auto reply = call.operation == StoreOperation::Write ? applyWrite(simulation, call)
                                                               : readObject(simulation, call);
    const auto replyAt = simulation.now + randomDuration(simulation, 500us, 3ms)
                         + simulation.store.extraDelay / 2;
    const auto isLost = drawChance(simulation, simulation.store.lostReplyProbability);
    simulation.counts["lost store replies"] += isLost ? 1 : 0;
    if (isLost || replyAt > timeoutAt)
        replyToStoreCall(simulation, timeoutAt, index, startNumber, lost);
    else
        replyToStoreCall(simulation, replyAt, index, startNumber, reply);
}

inline auto sendToStore(ControlSimulation &simulation, std::size_t index, const StoreCall &call)
        -> void
{
    const auto arrival = simulation.now + randomDuration(simulation, 500us, 3ms)
                         + simulation.store.extraDelay / 2;
    schedule(simulation, arrival,
             [index, startNumber = simulation.nodes[index].startNumber, call,
              sentAt = simulation.now](ControlSimulation &later) {
                 handleStoreCall(later, index, startNumber, call, sentAt);
             });
}

inline auto findNode(const ControlSimulation &simulation, const std::string &address)
        -> std::optional<std::size_t>
{
    for (std::size_t index = 0; index < simulation.nodes.size(); ++index) {
        if (simulation.nodes[index].member.address == address)
            return index;
    }
    return std::nullopt;
}

// Transmits a message, which may be lost or late. It arrives even if the sender has stopped or the
// receiver has restarted in the meantime.
inline auto transmit(ControlSimulation &simulation, std::size_t from, std::optional<std::size_t> to,
                     ControlEvent event) -> void
{
    if (!to || simulation.network.cut.contains({from, *to}))
        return;
    if (drawChance(simulation, simulation.network.dropProbability)) {
        ++simulation.counts["dropped messages"];
        return;
    }
    const auto delay = randomDuration(simulation, 200us, 2ms)
                       + (simulation.network.extraDelay > 0s && drawChance(simulation, 0.3)
                                  ? randomDuration(simulation, 0s, simulation.network.extraDelay)
                                  : Duration());
    schedule(simulation, simulation.now + delay,
             [to, event = std::move(event)](ControlSimulation &later) {
                 if (later.nodes[*to].state != nullptr)
                     deliver(later, *to, event);
             });
}

inline auto findNode(const ControlSimulation &simulation, InstanceId id)
        -> std::optional<std::size_t>
{
    for (std::size_t index = 0; index < simulation.nodes.size(); ++index) {
        if (simulation.nodes[index].member.id == id)
            return index;
    }
    return std::nullopt;
}

inline auto answerInstanceList(ControlSimulation &simulation, std::size_t index) -> void
{
    auto reply = InstanceListReply{!simulation.listDown, {}};
    const auto asOf = simulation.now - simulation.listLag;
    for (const auto &[address, listings] : simulation.listings) {
        const ListingChange *newest = nullptr;
        for (const auto &listing : listings) {
            if (listing.at <= asOf)
                newest = &listing;
        }
        if (reply.answered && newest != nullptr && newest->entry) {
            reply.instances.push_back(*newest->entry);
            if (!simulation.listIncarnations)
                reply.instances.back().incarnation = {};
        }
    }
    deliverLater(simulation, simulation.now + randomDuration(simulation, 1ms, 10ms), index,
                 simulation.nodes[index].startNumber, std::move(reply));
}

inline auto perform(ControlSimulation &simulation, std::size_t index, const SendHeartbeat &send)
        -> void
{
    transmit(simulation, index, findNode(simulation, send.address), send.heartbeat);
}

inline auto perform(ControlSimulation &simulation, std::size_t index,
                    const SendHeartbeatReply &send) -> void
{
    transmit(simulation, index, findNode(simulation, send.address), send.reply);
}

inline auto perform(ControlSimulation &simulation, std::size_t index, const SendFetchState &send)
        -> void
{
    transmit(simulation, index, findNode(simulation, send.address), send.fetch);
}

inline auto perform(ControlSimulation &simulation, std::size_t index, const SendFetchedState &send)
        -> void
{
    transmit(simulation, index, findNode(simulation, send.to), send.state);
}

inline auto perform(ControlSimulation &simulation, std::size_t index, const StoreCall &call) -> void
{
    sendToStore(simulation, index, call);
}

inline auto perform(ControlSimulation &simulation, std::size_t index, const ReadInstanceList &)
        -> void
{
    answerInstanceList(simulation, index);
}

inline auto perform(ControlSimulation &simulation, std::size_t index, const PublishView &publish)
        -> void
{
    fakeDispatch(simulation, index, publish.view);
}

inline auto setTimer(ControlSimulation &simulation, std::size_t index) -> void
{
    auto &node = simulation.nodes[index];
    const auto wake = nextTickAt(*node.state);
    if (!wake)
        return;
    const auto time = std::max(simulationTime(node, *wake), simulation.now + 1us);
    if (node.wakeAt && *node.wakeAt <= time && *node.wakeAt > simulation.now)
        return;
    node.wakeAt = time;
    schedule(simulation, time,
             [index, startNumber = node.startNumber, time](ControlSimulation &later) {
                 auto &woken = later.nodes[index];
                 if (woken.startNumber == startNumber && woken.state != nullptr
                     && woken.wakeAt == time)
                     deliver(later, index, Tick{});
             });
}

inline auto deliver(ControlSimulation &simulation, std::size_t index, const ControlEvent &event)
        -> void
{
    auto &node = simulation.nodes[index];
    if (!isRunning(simulation, node)) {
        if (node.state != nullptr)
            node.deferredEvents.push_back(event);
        return;
    }
    auto actions = ControlActions();
    simulation.handler(index, *node.state, event, localTime(node, simulation.now), actions);
    for (const auto &action : actions)
        std::visit([&](const auto &content) { perform(simulation, index, content); }, action);
    if (simulation.checkEnabled)
        checkUsages(simulation);
    setTimer(simulation, index);
}

inline auto updateListing(ControlSimulation &simulation, const Node &node, bool leaving,
                          bool present) -> void
{
    auto entry = std::optional<ListedInstance>();
    if (present)
        entry = ListedInstance{node.member.name, node.member.address, node.member.incarnation,
                               leaving};
    simulation.listings[node.member.address].push_back({simulation.now, entry});
}

// Starts a node that is stopped, with a new incarnation.
inline auto startNode(ControlSimulation &simulation, std::size_t index) -> void
{
    auto &node = simulation.nodes[index];
    ++node.startNumber;
    node.member.incarnation = Incarnation{node.startNumber};
    auto settings = simulation.settings;
    settings.self = node.member;
    for (const auto &other : simulation.nodes)
        settings.bootstrapAddresses.push_back(other.member.address);
    node.state = makeControlState(settings);
    node.view = nullptr;
    node.deferredEvents.clear();
    node.wakeAt.reset();
    node.drainedReported = {};
    node.pausedUntil = {};
    updateListing(simulation, node, false, true);
    deliverLater(simulation, simulation.now, index, node.startNumber, Tick{});
}

// Ends a node's process. Its requests at targets run on until their deadlines.
inline auto stopNode(ControlSimulation &simulation, std::size_t index) -> void
{
    auto &node = simulation.nodes[index];
    const auto held = heldUsages(simulation, index);
    simulation.orphanedUsages.insert(simulation.orphanedUsages.end(), held.begin(), held.end());
    simulation.orphanedUsages.insert(simulation.orphanedUsages.end(), node.draining.begin(),
                                     node.draining.end());
    node.draining.clear();
    node.state.reset();
    node.view = nullptr;
    updateListing(simulation, node, false, false);
}

// Suspends a node: its events are deferred while its clock goes on.
inline auto pauseNode(ControlSimulation &simulation, std::size_t index, Duration length) -> void
{
    auto &node = simulation.nodes[index];
    node.pausedUntil = std::max(node.pausedUntil, simulation.now + length);
    schedule(simulation, node.pausedUntil,
             [index, startNumber = node.startNumber](ControlSimulation &later) {
                 auto &resumed = later.nodes[index];
                 if (resumed.startNumber != startNumber || !isRunning(later, resumed))
                     return;
                 const auto deferredEvents = std::exchange(resumed.deferredEvents, {});
                 for (const auto &event : deferredEvents) {
                     if (later.nodes[index].state != nullptr)
                         deliver(later, index, event);
                 }
                 deliver(later, index, Tick{});
             });
}

inline auto addNode(ControlSimulation &simulation, const std::string &name,
                    const std::string &domain) -> std::size_t
{
    auto &node = simulation.nodes.emplace_back();
    node.member.id = instanceId(name);
    node.member.name = name;
    node.member.address = name + ":1";
    node.member.domain = domainId(domain);
    return simulation.nodes.size() - 1;
}

// Runs the events up to a time, or up to the first violation.
inline auto runUntil(ControlSimulation &simulation, TimePoint end) -> void
{
    while (!simulation.scheduledEvents.empty()
           && simulation.scheduledEvents.begin()->first.first <= end
           && simulation.violation.empty()) {
        const auto next = simulation.scheduledEvents.begin();
        simulation.now = next->first.first;
        const auto action = std::move(next->second);
        simulation.scheduledEvents.erase(next);
        action(simulation);
    }
    if (simulation.violation.empty())
        simulation.now = std::max(simulation.now, end);
}

inline auto runFor(ControlSimulation &simulation, Duration length) -> void
{
    runUntil(simulation, simulation.now + length);
}

// Runs until a condition holds; false if it doesn't within the time.
inline auto runUntilHolds(ControlSimulation &simulation, Duration limit,
                          const std::function<auto(ControlSimulation &)->bool> &condition) -> bool
{
    const auto end = simulation.now + limit;
    while (simulation.now < end && simulation.violation.empty()) {
        if (condition(simulation))
            return true;
        runFor(simulation, 50ms);
    }
    return condition(simulation);
}

// A configuration of one service with leafs of the given limits.
inline auto makeConfiguration(std::size_t leafs, std::uint16_t slots, std::uint16_t coldSlots,
                              std::span<const std::string> domains) -> Configuration
{
    auto configuration = Configuration();
    for (const auto &domain : domains)
        configuration.domains.push_back({domainId(domain), domain, "region", {}});
    auto service = Service{serviceId("s"), "s", "cell", LayoutVersion{1}, 1, {}, {}};
    for (std::size_t index = 0; index < leafs; ++index) {
        const auto name = "leaf-" + std::to_string(index);
        service.leafs.push_back({leafId("s", name),
                                 name,
                                 "10.0.0.1:" + std::to_string(index + 1),
                                 domainId(domains[index % domains.size()]),
                                 slots,
                                 coldSlots,
                                 30,
                                 {ShardNumber{0}}});
    }
    configuration.services.push_back(std::move(service));
    return configuration;
}

// True if each share of the configuration's leafs is used by a running node.
inline auto isEveryShareHeld(ControlSimulation &simulation) -> bool
{
    auto held = std::set<std::pair<LeafId, std::uint8_t>>();
    for (const auto &usage : allUsages(simulation)) {
        if (isRunning(simulation, simulation.nodes[usage.node]))
            held.emplace(usage.leaf, usage.ordinal);
    }
    if (simulation.store.configuration == nullptr)
        return true;
    for (const auto &service : simulation.store.configuration->services) {
        for (const auto &leaf : service.leafs) {
            for (std::size_t ordinal = 0; ordinal < splitLeaf(leaf).size(); ++ordinal) {
                if (!held.contains({leaf.id, static_cast<std::uint8_t>(ordinal)}))
                    return false;
            }
        }
    }
    return true;
}

// True if every running node has the newest accepted configuration in force.
inline auto isNewestConfigurationInForce(const ControlSimulation &simulation) -> bool
{
    return std::ranges::all_of(simulation.nodes, [&](const Node &node) {
        return node.state == nullptr
               || currentView(*node.state)->configuration->revision
                          == simulation.store.configuration->revision;
    });
}

} // namespace crocusreach::controltest

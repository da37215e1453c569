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

// Several control states under virtual time, with fakes for the store, the instance list, the
// carrier of messages and the dispatch core. For tests and benchmarks of the control core.

namespace crocusreach::world {

using namespace std::chrono_literals;

// What a share is used for, seen from outside: its requests may run at the target until then.
struct Usage
{
    std::size_t node = 0;
    std::uint64_t life = 0;
    LeafId leaf = {};
    std::uint8_t ordinal = 0;
    ShareSize size;
    ShareSize limit; // of the leaf in the assignment that the user goes by
    TimePoint until = {};
};

struct Node
{
    Member member;
    ControlStatePtr state; // null if dead
    std::uint64_t life = 0;
    double clockRate = 1.0;
    Duration clockOffset = {};
    TimePoint pausedUntil = {};
    bool cutFromStore = false;
    std::vector<ControlEvent> backlog; // arrived while paused
    std::optional<TimePoint> wakeAt; // of the timer that is set
    ClusterViewPtr view;
    std::vector<Usage> draining; // requests still running on shares that were lost
    Epoch drainedReported = {};
};

struct PendingWatch
{
    std::size_t node = 0;
    std::uint64_t life = 0;
    std::uint64_t call = 0;
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
    double lostReplies = 0;
    double silentWatches = 0;
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
};

// What the platform knew of an address from a time on.
struct Listing
{
    TimePoint at = {};
    std::optional<ListedInstance> entry;
};

struct Carrier
{
    double dropped = 0;
    Duration extraDelay = {};
    std::set<std::pair<std::size_t, std::size_t>> cut; // from, to
};

// How an event is handled; benchmarks measure it.
using Handler = std::function<auto(std::size_t node, ControlState &state, const ControlEvent &event,
                                   TimePoint now, ControlActions &actions)
                                      ->void>;

struct World
{
    bool checked = true;
    Handler handler = [](std::size_t, ControlState &state, const ControlEvent &event, TimePoint now,
                         ControlActions &actions) { handle(state, event, now, actions); };
    std::mt19937_64 random;
    TimePoint now = TimePoint(1000s);
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<auto(World &)->void>> queue;
    std::uint64_t nextEvent = 0;
    std::vector<Node> nodes;
    FakeStore store;
    Carrier carrier;
    std::map<std::string, std::vector<Listing>> listings; // by address
    Duration listLag = 3s;
    bool listDown = false;
    bool listIncarnations = true;
    std::vector<Usage> leftBehind; // requests of ended processes
    Duration longestDrain = 300ms;
    double unreportedDrains = 0; // of the dispatch core
    std::string violation; // first one found
    std::map<std::string, std::uint64_t> counts;
    ControlSettings settings; // common part
};

inline auto pick(World &world, std::uint64_t below) -> std::uint64_t
{
    return below == 0 ? 0 : world.random() % below;
}

inline auto chance(World &world, double probability) -> bool
{
    return static_cast<double>(world.random() >> 11) * 0x1.0p-53 < probability;
}

inline auto between(World &world, Duration least, Duration most) -> Duration
{
    return least
           + Duration(static_cast<Duration::rep>(
                   pick(world, static_cast<std::uint64_t>((most - least).count()) + 1)));
}

inline auto at(World &world, TimePoint time, std::function<auto(World &)->void> action) -> void
{
    world.queue.emplace(std::pair(std::max(time, world.now), world.nextEvent++), std::move(action));
}

inline auto localTime(const Node &node, TimePoint time) -> TimePoint
{
    const auto elapsed = static_cast<double>(time.time_since_epoch().count()) * node.clockRate;
    return TimePoint(Duration(static_cast<Duration::rep>(elapsed)) + node.clockOffset);
}

inline auto worldTime(const Node &node, TimePoint local) -> TimePoint
{
    const auto elapsed = static_cast<double>((local - node.clockOffset).time_since_epoch().count());
    return TimePoint(Duration(static_cast<Duration::rep>(std::ceil(elapsed / node.clockRate))));
}

inline auto isRunning(const World &world, const Node &node) -> bool
{
    return node.state != nullptr && world.now >= node.pausedUntil;
}

auto deliver(World &world, std::size_t index, const ControlEvent &event) -> void;

// Delivers an event to one life of a node after a delay.
inline auto deliverLater(World &world, TimePoint time, std::size_t index, std::uint64_t life,
                         ControlEvent event) -> void
{
    at(world, time, [index, life, event = std::move(event)](World &later) {
        if (later.nodes[index].life == life && later.nodes[index].state != nullptr)
            deliver(later, index, event);
    });
}

inline auto limitOf(const Assignment &assignment, LeafId leaf) -> ShareSize
{
    auto limit = ShareSize();
    for (const auto &share : sharesOf(assignment, leaf)) {
        limit.slots += share.size.slots;
        limit.coldSlots += share.size.coldSlots;
        limit.connections += share.size.connections;
    }
    return limit;
}

inline auto heldUsages(const World &world, std::size_t index) -> std::vector<Usage>
{
    auto usages = std::vector<Usage>();
    const auto &node = world.nodes[index];
    if (node.state == nullptr || node.view == nullptr)
        return usages;
    const auto until = worldTime(node, node.view->leaseEnd);
    if (until <= world.now)
        return usages;
    for (const auto &held : node.view->held) {
        usages.push_back({index, node.life, held.leaf, held.ordinal, held.size,
                          limitOf(*node.view->assignment, held.leaf), until});
    }
    return usages;
}

inline auto note(World &world, const std::string &text) -> void
{
    if (world.violation.empty())
        world.violation = text + " at "
                          + std::to_string(world.now.time_since_epoch() / 1ms - 1000000) + " ms";
}

// All uses of shares that may be going on now.
inline auto allUsages(World &world) -> std::vector<Usage>
{
    const auto ended = [&](const Usage &usage) { return usage.until <= world.now; };
    std::erase_if(world.leftBehind, ended);
    auto usages = world.leftBehind;
    for (std::size_t index = 0; index < world.nodes.size(); ++index) {
        auto &node = world.nodes[index];
        std::erase_if(node.draining, ended);
        usages.insert(usages.end(), node.draining.begin(), node.draining.end());
        const auto held = heldUsages(world, index);
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

// Checks over all states that no leaf is used beyond its limits and that no share has two users.
inline auto checkUsages(World &world) -> void
{
    auto leafs = std::map<LeafId, LeafUse>();
    for (const auto &usage : allUsages(world)) {
        auto &use = leafs[usage.leaf];
        use.slots += usage.size.slots;
        use.coldSlots += usage.size.coldSlots;
        use.connections += usage.size.connections;
        use.limit.slots = std::min(use.limit.slots, usage.limit.slots);
        use.limit.coldSlots = std::min(use.limit.coldSlots, usage.limit.coldSlots);
        use.limit.connections = std::min(use.limit.connections, usage.limit.connections);
        const auto user = std::pair(usage.node, usage.life);
        const auto [entry, added] = use.users.emplace(usage.ordinal, user);
        if (!added && entry->second != user)
            note(world, "share with two users: nodes " + std::to_string(entry->second.first)
                                + " and " + std::to_string(usage.node));
    }
    for (const auto &[leaf, use] : leafs) {
        if (use.slots > use.limit.slots || use.coldSlots > use.limit.coldSlots
            || use.connections > use.limit.connections)
            note(world, "leaf used beyond its limit: " + std::to_string(use.slots) + " of "
                                + std::to_string(use.limit.slots) + " slots");
    }
}

// The dispatch core: requests on shares that a view no longer grants run on for a while, but not
// beyond the lease, and are then reported as drained.
inline auto fakeDispatch(World &world, std::size_t index, const ClusterViewPtr &view) -> void
{
    auto &node = world.nodes[index];
    if (node.view != nullptr) {
        if (view->configuration->revision < node.view->configuration->revision)
            note(world, "revision fell");
        if (view->assignment->epoch < node.view->assignment->epoch)
            note(world, "epoch fell");
        const auto drain = between(world, 0s, world.longestDrain);
        for (auto usage : heldUsages(world, index)) {
            const auto kept = std::ranges::any_of(view->held, [&](const HeldShare &held) {
                return held.leaf == usage.leaf && held.ordinal == usage.ordinal
                       && held.size == usage.size;
            });
            usage.until = std::min(usage.until, world.now + drain);
            if (!kept && usage.until > world.now)
                node.draining.push_back(usage);
        }
    }
    node.view = view;
    if (view->assignment->epoch <= node.drainedReported)
        return;
    auto drained = world.now;
    for (const auto &usage : node.draining)
        drained = std::max(drained, usage.until);
    node.drainedReported = view->assignment->epoch;
    if (chance(world, world.unreportedDrains))
        return;
    deliverLater(world, drained + 1ms, index, node.life, SharesDrained{view->assignment->epoch});
}

inline auto replyToStoreCall(World &world, TimePoint time, std::size_t index, std::uint64_t life,
                             StoreReply reply) -> void
{
    deliverLater(world, time, index, life, std::move(reply));
}

inline auto notifyWatches(World &world) -> void
{
    std::erase_if(world.store.watches, [&](const PendingWatch &watch) {
        if (watch.silent || toUnderlying(world.store.configuration->revision) <= watch.version)
            return false;
        replyToStoreCall(world, world.now + 2ms, watch.node, watch.life,
                         {watch.call, StoreStatus::Ok,
                          toUnderlying(world.store.configuration->revision),
                          world.store.configuration, nullptr});
        return true;
    });
}

// Sets the configuration, as an accepted change does.
inline auto putConfiguration(World &world, Configuration configuration) -> void
{
    const auto *current = world.store.configuration.get();
    configuration.revision = Revision{current == nullptr ? 1 : toUnderlying(current->revision) + 1};
    world.store.configuration = std::make_shared<const Configuration>(std::move(configuration));
    ++world.counts["configuration writes"];
    notifyWatches(world);
}

inline auto applyWrite(World &world, const StoreCall &call) -> StoreReply
{
    ++world.store.writes;
    const auto *current = world.store.assignment.get();
    const auto version = current == nullptr ? 0 : toUnderlying(current->epoch);
    if (call.version != version)
        return {call.call, StoreStatus::Conflict, version, nullptr, nullptr};
    auto written = std::make_shared<Assignment>(*call.assignment);
    written->epoch = Epoch{version + 1};
    world.store.assignment = written;
    world.store.history[written->epoch] = written;
    return {call.call, StoreStatus::Ok, version + 1, nullptr, written};
}

inline auto readObject(World &world, const StoreCall &call) -> StoreReply
{
    ++world.store.reads;
    auto reply = StoreReply{call.call, StoreStatus::Ok, 0, nullptr, nullptr};
    if (call.kind == StateKind::Configuration && world.store.configuration != nullptr) {
        reply.configuration = world.store.configuration;
        reply.version = toUnderlying(reply.configuration->revision);
    } else if (call.kind == StateKind::Assignment && world.store.assignment != nullptr) {
        reply.assignment = world.store.assignment;
        reply.version = toUnderlying(reply.assignment->epoch);
    } else {
        reply.status = StoreStatus::Absent;
    }
    if (reply.status == StoreStatus::Ok && reply.version <= call.version)
        return {call.call, StoreStatus::NotModified, call.version, nullptr, nullptr};
    return reply;
}

inline auto arriveAtStore(World &world, std::size_t index, std::uint64_t life,
                          const StoreCall &call, TimePoint sentAt) -> void
{
    const auto timeoutAt = sentAt + call.timeout;
    const auto lost = StoreReply{call.call, StoreStatus::Unknown, 0, nullptr, nullptr};
    if (world.store.down || world.nodes[index].cutFromStore) {
        const auto refused = chance(world, 0.5);
        replyToStoreCall(world, refused ? world.now + 1ms : timeoutAt, index, life, lost);
        return;
    }
    if (call.operation == StoreOperation::Watch) {
        const auto silent = chance(world, world.store.silentWatches);
        world.counts["silent watches"] += silent ? 1 : 0;
        world.store.watches.push_back({index, life, call.call, call.version, silent});
        notifyWatches(world);
        at(world, timeoutAt, [index, life, call](World &later) {
            const auto erased = std::erase_if(later.store.watches, [&](const PendingWatch &watch) {
                return watch.node == index && watch.life == life && watch.call == call.call;
            });
            if (erased > 0)
                replyToStoreCall(
                        later, later.now, index, life,
                        {call.call, StoreStatus::NotModified, call.version, nullptr, nullptr});
        });
        return;
    }
    const auto reply = call.operation == StoreOperation::Write ? applyWrite(world, call)
                                                               : readObject(world, call);
    const auto replyAt = world.now + between(world, 500us, 3ms) + world.store.extraDelay / 2;
    const auto isLost = chance(world, world.store.lostReplies);
    world.counts["lost store replies"] += isLost ? 1 : 0;
    if (isLost || replyAt > timeoutAt)
        replyToStoreCall(world, timeoutAt, index, life, lost);
    else
        replyToStoreCall(world, replyAt, index, life, reply);
}

inline auto sendToStore(World &world, std::size_t index, const StoreCall &call) -> void
{
    const auto arrival = world.now + between(world, 500us, 3ms) + world.store.extraDelay / 2;
    at(world, arrival,
       [index, life = world.nodes[index].life, call, sentAt = world.now](World &later) {
           arriveAtStore(later, index, life, call, sentAt);
       });
}

inline auto findNode(const World &world, const std::string &address) -> std::optional<std::size_t>
{
    for (std::size_t index = 0; index < world.nodes.size(); ++index) {
        if (world.nodes[index].member.address == address)
            return index;
    }
    return std::nullopt;
}

// Carries a message, which may be lost or late. A link outlives the sender's state, not a kill.
inline auto carry(World &world, std::size_t from, std::optional<std::size_t> to, ControlEvent event)
        -> void
{
    if (!to || world.carrier.cut.contains({from, *to}))
        return;
    if (chance(world, world.carrier.dropped)) {
        ++world.counts["dropped messages"];
        return;
    }
    const auto delay = between(world, 200us, 2ms)
                       + (world.carrier.extraDelay > 0s && chance(world, 0.3)
                                  ? between(world, 0s, world.carrier.extraDelay)
                                  : Duration());
    at(world, world.now + delay, [to, event = std::move(event)](World &later) {
        if (later.nodes[*to].state != nullptr)
            deliver(later, *to, event);
    });
}

inline auto findNode(const World &world, InstanceId id) -> std::optional<std::size_t>
{
    for (std::size_t index = 0; index < world.nodes.size(); ++index) {
        if (world.nodes[index].member.id == id)
            return index;
    }
    return std::nullopt;
}

inline auto answerInstanceList(World &world, std::size_t index) -> void
{
    auto reply = InstanceListReply{!world.listDown, {}};
    const auto asOf = world.now - world.listLag;
    for (const auto &[address, listings] : world.listings) {
        const Listing *newest = nullptr;
        for (const auto &listing : listings) {
            if (listing.at <= asOf)
                newest = &listing;
        }
        if (reply.answered && newest != nullptr && newest->entry) {
            reply.instances.push_back(*newest->entry);
            if (!world.listIncarnations)
                reply.instances.back().incarnation = {};
        }
    }
    deliverLater(world, world.now + between(world, 1ms, 10ms), index, world.nodes[index].life,
                 std::move(reply));
}

inline auto perform(World &world, std::size_t index, const SendHeartbeat &send) -> void
{
    carry(world, index, findNode(world, send.address), send.heartbeat);
}

inline auto perform(World &world, std::size_t index, const SendHeartbeatReply &send) -> void
{
    carry(world, index, findNode(world, send.address), send.reply);
}

inline auto perform(World &world, std::size_t index, const SendFetch &send) -> void
{
    carry(world, index, findNode(world, send.address), send.fetch);
}

inline auto perform(World &world, std::size_t index, const SendFetched &send) -> void
{
    carry(world, index, findNode(world, send.to), send.state);
}

inline auto perform(World &world, std::size_t index, const StoreCall &call) -> void
{
    sendToStore(world, index, call);
}

inline auto perform(World &world, std::size_t index, const ReadInstanceList &) -> void
{
    answerInstanceList(world, index);
}

inline auto perform(World &world, std::size_t index, const PublishView &publish) -> void
{
    fakeDispatch(world, index, publish.view);
}

inline auto setTimer(World &world, std::size_t index) -> void
{
    auto &node = world.nodes[index];
    const auto wake = nextTickAt(*node.state);
    if (!wake)
        return;
    const auto time = std::max(worldTime(node, *wake), world.now + 1us);
    if (node.wakeAt && *node.wakeAt <= time && *node.wakeAt > world.now)
        return;
    node.wakeAt = time;
    at(world, time, [index, life = node.life, time](World &later) {
        auto &woken = later.nodes[index];
        if (woken.life == life && woken.state != nullptr && woken.wakeAt == time)
            deliver(later, index, Tick{});
    });
}

inline auto deliver(World &world, std::size_t index, const ControlEvent &event) -> void
{
    auto &node = world.nodes[index];
    if (!isRunning(world, node)) {
        if (node.state != nullptr)
            node.backlog.push_back(event);
        return;
    }
    auto actions = ControlActions();
    world.handler(index, *node.state, event, localTime(node, world.now), actions);
    for (const auto &action : actions)
        std::visit([&](const auto &content) { perform(world, index, content); }, action);
    if (world.checked)
        checkUsages(world);
    setTimer(world, index);
}

inline auto list(World &world, const Node &node, bool leaving, bool present) -> void
{
    auto entry = std::optional<ListedInstance>();
    if (present)
        entry = ListedInstance{node.member.name, node.member.address, node.member.incarnation,
                               leaving};
    world.listings[node.member.address].push_back({world.now, entry});
}

// Starts a node that is dead, with a new incarnation.
inline auto start(World &world, std::size_t index) -> void
{
    auto &node = world.nodes[index];
    ++node.life;
    node.member.incarnation = Incarnation{node.life};
    auto settings = world.settings;
    settings.self = node.member;
    for (const auto &other : world.nodes)
        settings.seeds.push_back(other.member.address);
    node.state = makeControlState(settings);
    node.view = nullptr;
    node.backlog.clear();
    node.wakeAt.reset();
    node.drainedReported = {};
    node.pausedUntil = {};
    list(world, node, false, true);
    deliverLater(world, world.now, index, node.life, Tick{});
}

// Ends a process. Its requests at targets run on until their deadlines.
inline auto stop(World &world, std::size_t index) -> void
{
    auto &node = world.nodes[index];
    const auto held = heldUsages(world, index);
    world.leftBehind.insert(world.leftBehind.end(), held.begin(), held.end());
    world.leftBehind.insert(world.leftBehind.end(), node.draining.begin(), node.draining.end());
    node.draining.clear();
    node.state.reset();
    node.view = nullptr;
    list(world, node, false, false);
}

// Stops a node's events while its clock goes on.
inline auto pause(World &world, std::size_t index, Duration length) -> void
{
    auto &node = world.nodes[index];
    node.pausedUntil = std::max(node.pausedUntil, world.now + length);
    at(world, node.pausedUntil, [index, life = node.life](World &later) {
        auto &resumed = later.nodes[index];
        if (resumed.life != life || !isRunning(later, resumed))
            return;
        const auto backlog = std::exchange(resumed.backlog, {});
        for (const auto &event : backlog) {
            if (later.nodes[index].state != nullptr)
                deliver(later, index, event);
        }
        deliver(later, index, Tick{});
    });
}

inline auto addNode(World &world, const std::string &name, const std::string &domain) -> std::size_t
{
    auto &node = world.nodes.emplace_back();
    node.member.id = instanceId(name);
    node.member.name = name;
    node.member.address = name + ":1";
    node.member.domain = domainId(domain);
    return world.nodes.size() - 1;
}

// Runs the events up to a time, or up to the first violation.
inline auto runUntil(World &world, TimePoint end) -> void
{
    while (!world.queue.empty() && world.queue.begin()->first.first <= end
           && world.violation.empty()) {
        const auto next = world.queue.begin();
        world.now = next->first.first;
        const auto action = std::move(next->second);
        world.queue.erase(next);
        action(world);
    }
    if (world.violation.empty())
        world.now = std::max(world.now, end);
}

inline auto runFor(World &world, Duration length) -> void
{
    runUntil(world, world.now + length);
}

// Runs until a condition holds; false if it doesn't within the time.
inline auto runUntilHolds(World &world, Duration limit,
                          const std::function<auto(World &)->bool> &condition) -> bool
{
    const auto end = world.now + limit;
    while (world.now < end && world.violation.empty()) {
        if (condition(world))
            return true;
        runFor(world, 50ms);
    }
    return condition(world);
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
inline auto allSharesHeld(World &world) -> bool
{
    auto held = std::set<std::pair<LeafId, std::uint8_t>>();
    for (const auto &usage : allUsages(world)) {
        if (isRunning(world, world.nodes[usage.node]))
            held.emplace(usage.leaf, usage.ordinal);
    }
    if (world.store.configuration == nullptr)
        return true;
    for (const auto &service : world.store.configuration->services) {
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
inline auto newestInForce(const World &world) -> bool
{
    return std::ranges::all_of(world.nodes, [&](const Node &node) {
        return node.state == nullptr
               || currentView(*node.state)->configuration->revision
                          == world.store.configuration->revision;
    });
}

} // namespace crocusreach::world

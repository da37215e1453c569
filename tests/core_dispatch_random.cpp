#include <catch2/catch.hpp>

#include "holderfixture.h"

#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>

// Three holders share the leafs of a small simulated service under virtual time, while faults are
// injected at random. The limits are checked on the targets' side.

using namespace crocusreach;
using namespace crocusreach::test;

namespace {

constexpr std::size_t holderCount = 3;
constexpr auto leaseTime = 4s;
constexpr auto coldDuration = 1500ms; // shorter than a ramp step, since the holders may not be told
constexpr auto listDelay = 1500ms;
constexpr auto maxSendAfterLeaving = 3s; // no request reaches a leaving target after this time

struct RunCounts
{
    std::uint64_t requests = 0, nonIdempotent = 0, duplicates = 0, cancels = 0, restarts = 0,
                  sheds = 0, silences = 0, lostReplies = 0, stragglers = 0, drains = 0,
                  domainOuts = 0, idleCloses = 0, serviceOuts = 0, leaseLapses = 0, moves = 0,
                  drainedMoves = 0, waitedMoves = 0, movesBeforeUse = 0, done = 0, notRun = 0,
                  unknown = 0, resends = 0, unseenCancels = 0;
};

struct RunningRequest
{
    std::uint64_t start = 0;
    TimePoint deadline = {};
    bool unseenCancel = false; // its cancel was lost on a silent connection
};

struct FakeTarget
{
    Leaf leaf;
    std::uint64_t start = 1;
    bool up = true;
    bool reportsCold = false; // reports the state Cold until coldUntil
    TimePoint coldUntil = {};
    std::optional<TimePoint> drainingSince;
    TargetListing listing = TargetListing::Live; // follows the state after listDelay
    std::map<std::pair<std::size_t, SendId>, RunningRequest> running;
};

struct FakeConnection
{
    std::uint64_t start = 0; // of the process at its other end; zero if closed
    bool silent = false;
};

struct OpenSend
{
    SendTargetRequest send;
    std::uint64_t openedStart = 0; // process that the connection leads to
    bool connected = false;
    bool closing = false; // the holder has asked to close the connection
};

struct ExpectedReply
{
    TimePoint deadline = {};
    bool idempotent = true;
    int replies = 0;
    int runs = 0;
    Outcome outcome = Outcome::Unknown;
};

struct Holder
{
    HolderFixture fixture;
    std::map<std::pair<LeafId, ConnectionIndex>, FakeConnection> connections;
    std::set<LeafId> probeConnections;
    std::map<SendId, OpenSend> sent; // without a TargetReply so far
    TimePoint leaseLapsedUntil = {};
    std::optional<TimePoint> wake;
    Epoch drained = {};
};

// A share that moved and that its new holder may not use yet.
struct PendingShare
{
    std::size_t share = 0; // index in the assignment
    std::size_t holder = 0;
    std::size_t former = 0;
    TimePoint usableAt = {};
};

struct Event
{
    TimePoint at = {};
    std::uint64_t order = 0;
    std::function<void()> run;
};

struct LaterEvent
{
    auto operator()(const Event &left, const Event &right) const -> bool
    {
        return std::pair(left.at, left.order) > std::pair(right.at, right.order);
    }
};

struct DispatchSimulation
{
    std::mt19937_64 random;
    TimePoint now = TimePoint(1000s);
    TimePoint end = {};
    std::priority_queue<Event, std::vector<Event>, LaterEvent> events;
    std::uint64_t order = 0;
    Configuration configuration;
    Assignment assignment;
    std::vector<PendingShare> pending;
    std::map<LeafId, FakeTarget> targets;
    std::vector<Holder> holders;
    std::map<AttemptId, ExpectedReply> expected;
    std::uint64_t attempts = 0;
    RunCounts counts;
};

auto drawChance(DispatchSimulation &simulation, double probability) -> bool
{
    return std::uniform_real_distribution<>(0, 1)(simulation.random) < probability;
}

auto randomDuration(DispatchSimulation &simulation, Duration low, Duration high) -> Duration
{
    auto distribution = std::uniform_int_distribution<std::int64_t>(low.count(), high.count());
    return Duration(distribution(simulation.random));
}

auto randomIndex(DispatchSimulation &simulation, std::size_t count) -> std::size_t
{
    return simulation.random() % count;
}

auto schedule(DispatchSimulation &simulation, Duration delay, std::function<void()> run) -> void
{
    simulation.events.push({simulation.now + delay, ++simulation.order, std::move(run)});
}

auto networkDelay(DispatchSimulation &simulation) -> Duration
{
    return randomDuration(simulation, 100us, 800us);
}

auto startName(const FakeTarget &target, std::uint64_t start) -> std::string
{
    return target.leaf.name + "-" + std::to_string(start);
}

auto stateOf(const DispatchSimulation &simulation, const FakeTarget &target) -> TargetState
{
    if (target.drainingSince)
        return TargetState::Draining;
    return target.reportsCold && simulation.now < target.coldUntil ? TargetState::Cold
                                                                   : TargetState::Warm;
}

auto process(DispatchSimulation &simulation, std::size_t holder, const DispatchEvent &event)
        -> void;

// Reports the end of a send to its holder, after a delay.
auto finishSend(DispatchSimulation &simulation, std::size_t holder, SendId send, TargetReply reply,
                Duration delay) -> void
{
    schedule(simulation, delay, [&simulation, holder, send, reply = std::move(reply)]() mutable {
        auto &sent = simulation.holders[holder].sent;
        const auto found = sent.find(send);
        if (found == sent.end())
            return;
        const auto key = std::pair(found->second.send.leaf, found->second.send.connection);
        auto &connection = simulation.holders[holder].connections[key];
        reply.connectionOpen = reply.connectionOpen && !found->second.closing;
        if (!reply.connectionOpen)
            connection = {};
        reply.openedConnection = found->second.connected;
        sent.erase(found);
        process(simulation, holder, reply);
    });
}

auto failSend(DispatchSimulation &simulation, std::size_t holder, const SendTargetRequest &send,
              Outcome outcome, Reason reason, Duration delay) -> void
{
    finishSend(simulation, holder, send.send, makeFailure(send, outcome, reason), delay);
}

// The requests that run at a target, for the message of a failed assertion.
auto describeRunning(const DispatchSimulation &simulation, const FakeTarget &target) -> std::string
{
    auto text = target.leaf.name + " start " + std::to_string(target.start) + " at "
                + std::to_string(simulation.now.time_since_epoch().count()) + " us, cold until "
                + std::to_string(target.coldUntil.time_since_epoch().count()) + '\n';
    for (const auto &[key, running] : target.running) {
        const auto &holder = simulation.holders[key.first];
        const auto found = holder.sent.find(key.second);
        text += "holder " + std::to_string(key.first) + " send "
                + std::to_string(toUnderlying(key.second)) + " deadline "
                + std::to_string(running.deadline.time_since_epoch().count());
        if (found != holder.sent.end())
            text += found->second.send.allowConnect ? " unverified" : " verified";
        text += running.unseenCancel ? " cancel unseen\n" : "\n";
    }
    return text;
}

auto checkTarget(const DispatchSimulation &simulation, const FakeTarget &target) -> void
{
    const auto seen = std::ranges::count_if(
            target.running, [](const auto &entry) { return !entry.second.unseenCancel; });
    if (seen <= target.leaf.coldSlots)
        return;
    INFO(describeRunning(simulation, target));
    REQUIRE(seen <= target.leaf.slots);
    if (simulation.now < target.coldUntil)
        REQUIRE(seen <= target.leaf.coldSlots);
}

auto checkConnections(const DispatchSimulation &simulation, const FakeTarget &target) -> void
{
    auto count = 0;
    for (const auto &holder : simulation.holders) {
        for (const auto &[key, connection] : holder.connections)
            count += key.first == target.leaf.id && connection.start == target.start ? 1 : 0;
        count += holder.probeConnections.contains(target.leaf.id) ? 1 : 0;
    }
    REQUIRE(count <= target.leaf.connections);
}

// Sends the reply of a target that has run the request or refuses it.
auto replyFromTarget(DispatchSimulation &simulation, std::size_t holder,
                     const SendTargetRequest &send, Reason reason) -> void
{
    auto &target = simulation.targets.at(send.leaf);
    const auto &connection = simulation.holders[holder].connections[{send.leaf, send.connection}];
    if (connection.silent)
        return;
    if (reason == Reason::None && drawChance(simulation, 0.003)) {
        ++simulation.counts.lostReplies;
        failSend(simulation, holder, send, Outcome::Unknown, Reason::ConnectionLost,
                 networkDelay(simulation));
        return;
    }
    auto reply = makeReply(send, startName(target, target.start));
    reply.outcome = reason == Reason::None ? Outcome::Done : Outcome::NotRun;
    reply.reason = reason;
    reply.state = stateOf(simulation, target);
    reply.elapsed = randomDuration(simulation, 1ms, 4ms);
    reply.connectionOpen = !drawChance(simulation, 0.002);
    finishSend(simulation, holder, send.send, reply, networkDelay(simulation));
}

auto endRequest(DispatchSimulation &simulation, std::size_t holder, const SendTargetRequest &send,
                std::uint64_t start) -> void
{
    auto &target = simulation.targets.at(send.leaf);
    const auto found = target.running.find({holder, send.send});
    if (found == target.running.end() || found->second.start != start)
        return;
    const auto expired = simulation.now >= found->second.deadline;
    target.running.erase(found);
    if (!expired)
        replyFromTarget(simulation, holder, send, Reason::None);
}

auto serviceTime(DispatchSimulation &simulation) -> Duration
{
    if (!drawChance(simulation, 0.01))
        return randomDuration(simulation, 500us, 6ms);
    ++simulation.counts.stragglers;
    return randomDuration(simulation, 20ms, 1500ms);
}

// A request reaches the process that its connection leads to.
auto arrive(DispatchSimulation &simulation, std::size_t holder, const SendTargetRequest &send,
            std::uint64_t start) -> void
{
    auto &target = simulation.targets.at(send.leaf);
    const auto &sent = simulation.holders[holder].sent;
    const auto &connection = simulation.holders[holder].connections[{send.leaf, send.connection}];
    // The send was cancelled, or a restart has already reported it as lost.
    const auto found = sent.find(send.send);
    if (found == sent.end() || found->second.closing || !target.up || target.start != start)
        return;
    if (connection.silent && drawChance(simulation, 0.5))
        return;
    if (simulation.now >= send.deadline) {
        replyFromTarget(simulation, holder, send, Reason::TargetExpired);
        return;
    }
    if (target.drainingSince) {
        REQUIRE(simulation.now - *target.drainingSince <= maxSendAfterLeaving);
        replyFromTarget(simulation, holder, send, Reason::TargetLeaving);
        return;
    }
    if (drawChance(simulation, 0.003)) {
        ++simulation.counts.sheds;
        replyFromTarget(simulation, holder, send, Reason::TargetShed);
        return;
    }
    target.running[{holder, send.send}] = {start, send.deadline, false};
    const auto attempt = static_cast<AttemptId>(std::stoull(send.requestId));
    auto &expected = simulation.expected.at(attempt);
    ++expected.runs;
    REQUIRE(expected.runs == 1);
    REQUIRE((expected.replies == 0 || expected.outcome != Outcome::NotRun));
    checkTarget(simulation, target);
    const auto time = std::min(serviceTime(simulation), send.deadline - simulation.now);
    schedule(simulation, time,
             [&simulation, holder, send, start] { endRequest(simulation, holder, send, start); });
}

auto canBeUsed(const DispatchSimulation &simulation, const Holder &holder, LeafId leaf) -> bool
{
    const auto *entry = findLeaf(*holder.fixture.view.leafIndex, leaf);
    return entry != nullptr && isInRotation(*entry)
           && simulation.now < holder.fixture.view.leaseValidUntil;
}

auto perform(DispatchSimulation &simulation, std::size_t index, const SendTargetRequest &send)
        -> void
{
    auto &holder = simulation.holders[index];
    auto &target = simulation.targets.at(send.leaf);
    REQUIRE(canBeUsed(simulation, holder, send.leaf));
    REQUIRE(send.deadline <= holder.fixture.view.leaseValidUntil);
    auto &connection = holder.connections[{send.leaf, send.connection}];
    auto &sent = holder.sent[send.send];
    sent.send = send;
    if (connection.start != 0 && (connection.start != target.start || !target.up)) {
        // A restart closed the connection. The client may or may not have noticed it.
        connection = {};
        if (!send.allowConnect && drawChance(simulation, 0.5)) {
            failSend(simulation, index, send, Outcome::Unknown, Reason::ConnectionLost,
                     networkDelay(simulation));
            return;
        }
    }
    if (connection.start == 0 && !send.allowConnect) {
        ++simulation.counts.resends;
        failSend(simulation, index, send, Outcome::NotRun, Reason::ConnectionLost, 10us);
        return;
    }
    // A client library that reuses a connection could send a non-idempotent request twice.
    REQUIRE((send.idempotent || connection.start == 0));
    if (!target.up) {
        failSend(simulation, index, send, Outcome::NotRun, Reason::ConnectFailed,
                 networkDelay(simulation));
        return;
    }
    sent.connected = connection.start == 0;
    if (sent.connected)
        connection = {target.start, false};
    sent.openedStart = target.start;
    checkConnections(simulation, target);
    schedule(simulation, networkDelay(simulation),
             [&simulation, index, send, start = target.start] {
                 arrive(simulation, index, send, start);
             });
}

auto perform(DispatchSimulation &simulation, std::size_t index, const CancelTargetRequest &cancel)
        -> void
{
    auto &holder = simulation.holders[index];
    const auto found = holder.sent.find(cancel.send);
    if (found == holder.sent.end())
        return;
    found->second.closing = true;
    const auto send = found->second.send;
    const auto &connection = holder.connections[{send.leaf, send.connection}];
    auto &target = simulation.targets.at(send.leaf);
    const auto running = target.running.find({index, cancel.send});
    if (running != target.running.end()) {
        if (!connection.silent) {
            target.running.erase(running);
        } else if (!cancel.closeConnection) {
            // A cancel frees the slot at once, though it is not known whether the target received
            // it.
            running->second.unseenCancel = true;
            ++simulation.counts.unseenCancels;
        }
    }
    failSend(simulation, index, send, Outcome::Unknown, Reason::Cancelled, 20us);
}

auto perform(DispatchSimulation &simulation, std::size_t index, const ProbeTarget &probe) -> void
{
    simulation.holders[index].probeConnections.insert(probe.leaf);
    auto &target = simulation.targets.at(probe.leaf);
    checkConnections(simulation, target);
    schedule(simulation, networkDelay(simulation), [&simulation, index, leaf = probe.leaf] {
        const auto &reached = simulation.targets.at(leaf);
        auto reply = ProbeReply{leaf, reached.up, "", TargetState::Unknown, 0};
        if (reached.up) {
            reply.startId = startName(reached, reached.start);
            reply.state = stateOf(simulation, reached);
        }
        schedule(simulation, networkDelay(simulation),
                 [&simulation, index, reply] { process(simulation, index, reply); });
    });
}

auto perform(DispatchSimulation &simulation, std::size_t index, const CloseTargetConnections &close)
        -> void
{
    auto &holder = simulation.holders[index];
    const auto inUse = [&](ConnectionIndex connection) {
        return std::ranges::any_of(holder.sent, [&](const auto &entry) {
            return entry.second.send.leaf == close.leaf
                   && entry.second.send.connection == connection;
        });
    };
    for (auto &[key, connection] : holder.connections) {
        if (key.first == close.leaf && !inUse(key.second))
            connection = {};
    }
    holder.probeConnections.erase(close.leaf);
}

auto perform(DispatchSimulation &simulation, std::size_t, const SendLeafReply &answer) -> void
{
    auto &expected = simulation.expected.at(answer.reply.attempt);
    ++expected.replies;
    expected.outcome = answer.reply.outcome;
    INFO("attempt " << toUnderlying(answer.reply.attempt) << " " << toString(answer.reply.reason));
    REQUIRE(expected.replies == 1);
    REQUIRE(simulation.now <= expected.deadline);
    auto &counts = simulation.counts;
    switch (answer.reply.outcome) {
    case Outcome::Done:
        ++counts.done;
        REQUIRE(expected.runs == 1);
        break;
    case Outcome::NotRun:
        ++counts.notRun;
        REQUIRE(expected.runs == 0);
        break;
    case Outcome::Unknown:
        ++counts.unknown;
        break;
    }
}

auto perform(DispatchSimulation &simulation, std::size_t index, const SharesDrained &drained)
        -> void
{
    auto &holder = simulation.holders[index];
    holder.drained = std::max(holder.drained, drained.epoch);
    for (const auto &entry : simulation.pending) {
        const auto &share = simulation.assignment.shares[entry.share];
        if (entry.former != index || share.since > drained.epoch)
            continue;
        for (const auto &[send, sent] : holder.sent)
            REQUIRE((sent.send.leaf != share.leaf || !holder.fixture.view.heldShares.empty()));
    }
}

auto performAll(DispatchSimulation &simulation, std::size_t index) -> void
{
    auto actions = std::move(simulation.holders[index].fixture.actions);
    simulation.holders[index].fixture.actions.clear();
    for (const auto &action : actions)
        std::visit([&](const auto &typed) { perform(simulation, index, typed); }, action);
}

auto scheduleWake(DispatchSimulation &simulation, std::size_t index) -> void
{
    auto &holder = simulation.holders[index];
    const auto wake = nextTickAt(*holder.fixture.state);
    if (!wake || (holder.wake && *holder.wake <= *wake))
        return;
    holder.wake = std::max(*wake, simulation.now);
    schedule(simulation, *holder.wake - simulation.now, [&simulation, index, at = *holder.wake] {
        auto &woken = simulation.holders[index];
        if (woken.wake != at)
            return;
        woken.wake.reset();
        process(simulation, index, Tick());
    });
}

auto process(DispatchSimulation &simulation, std::size_t index, const DispatchEvent &event) -> void
{
    auto &fixture = simulation.holders[index].fixture;
    fixture.now = simulation.now;
    deliver(fixture, event);
    performAll(simulation, index);
    scheduleWake(simulation, index);
}

auto isPending(const DispatchSimulation &simulation, std::size_t share) -> bool
{
    return std::ranges::find(simulation.pending, share, &PendingShare::share)
           != simulation.pending.end();
}

// Gives a holder the newest view, with the shares that it may use.
auto publishViewTo(DispatchSimulation &simulation, std::size_t index) -> void
{
    auto &fixture = simulation.holders[index].fixture;
    fixture.configuration = simulation.configuration;
    fixture.assignment = simulation.assignment;
    fixture.view.heldShares.clear();
    for (std::size_t share = 0; share < simulation.assignment.shares.size(); ++share) {
        const auto &assigned = simulation.assignment.shares[share];
        if (assigned.holder == fixture.view.self && !isPending(simulation, share))
            fixture.view.heldShares.push_back({assigned.leaf, assigned.ordinal, assigned.size});
    }
    for (const auto &[id, target] : simulation.targets)
        fixture.view.leafListings[id] = target.listing;
    if (simulation.now >= simulation.holders[index].leaseLapsedUntil)
        fixture.view.leaseValidUntil = simulation.now + leaseTime;
    fixture.now = simulation.now;
    publishView(fixture);
    performAll(simulation, index);
    scheduleWake(simulation, index);
}

// Shares whose former holder has drained, or whose former leases have ended, can be used.
auto completeMoves(DispatchSimulation &simulation) -> void
{
    std::erase_if(simulation.pending, [&](const PendingShare &entry) {
        const auto since = simulation.assignment.shares[entry.share].since;
        const auto drained = simulation.holders[entry.former].drained >= since;
        if (!drained && simulation.now < entry.usableAt)
            return false;
        ++(drained ? simulation.counts.drainedMoves : simulation.counts.waitedMoves);
        return true;
    });
}

auto renewAll(DispatchSimulation &simulation) -> void
{
    completeMoves(simulation);
    for (std::size_t index = 0; index < holderCount; ++index) {
        const auto delay = randomDuration(simulation, 0ms, 100ms);
        schedule(simulation, delay, [&simulation, index] { publishViewTo(simulation, index); });
    }
    schedule(simulation, 500ms, [&simulation] { renewAll(simulation); });
}

auto holderIndex(const DispatchSimulation &simulation, InstanceId id) -> std::size_t
{
    const auto found = std::ranges::find(simulation.assignment.members, id, &Member::id);
    return static_cast<std::size_t>(found - simulation.assignment.members.begin());
}

auto moveShare(DispatchSimulation &simulation, std::size_t index) -> void
{
    auto &assignment = simulation.assignment;
    auto &share = assignment.shares[index];
    const auto &target = assignment.members[randomIndex(simulation, holderCount)];
    if (share.holder == target.id)
        return;
    const auto former = holderIndex(simulation, share.holder);
    if (isPending(simulation, index))
        ++simulation.counts.movesBeforeUse;
    ++simulation.counts.moves;
    assignment.epoch = static_cast<Epoch>(toUnderlying(assignment.epoch) + 1);
    share.formerHolder = share.holder;
    share.formerIncarnation = Incarnation(1);
    share.holder = target.id;
    share.since = assignment.epoch;
    std::erase_if(simulation.pending,
                  [&](const PendingShare &entry) { return entry.share == index; });
    // All holders have the new view within 600 ms, and no lease given out before that lasts longer.
    simulation.pending.push_back({index, holderIndex(simulation, target.id), former,
                                  simulation.now + 600ms + leaseTime + 250ms});
}

auto scheduleListing(DispatchSimulation &simulation, LeafId leaf, TargetListing listing) -> void
{
    schedule(simulation, listDelay,
             [&simulation, leaf, listing] { simulation.targets.at(leaf).listing = listing; });
}

auto restart(DispatchSimulation &simulation, FakeTarget &target) -> void
{
    ++simulation.counts.restarts;
    ++target.start;
    target.up = false;
    target.drainingSince.reset();
    target.running.clear();
    for (std::size_t index = 0; index < holderCount; ++index) {
        simulation.holders[index].probeConnections.erase(target.leaf.id);
        for (const auto &[id, sent] : simulation.holders[index].sent) {
            const auto &connection
                    = simulation.holders[index].connections[{sent.send.leaf, sent.send.connection}];
            // A silent connection doesn't show the restart.
            if (sent.send.leaf == target.leaf.id && !connection.silent)
                failSend(simulation, index, sent.send, Outcome::Unknown, Reason::ConnectionLost,
                         networkDelay(simulation));
        }
    }
    schedule(simulation, randomDuration(simulation, 0ms, 300ms),
             [&simulation, id = target.leaf.id] {
                 auto &started = simulation.targets.at(id);
                 started.up = true;
                 scheduleListing(simulation, id, TargetListing::Live);
                 started.reportsCold = drawChance(simulation, 0.5);
                 started.coldUntil = simulation.now + coldDuration;
             });
}

auto drain(DispatchSimulation &simulation, FakeTarget &target) -> void
{
    if (target.drainingSince || !target.up)
        return;
    ++simulation.counts.drains;
    target.drainingSince = simulation.now;
    scheduleListing(simulation, target.leaf.id, TargetListing::Leaving);
    schedule(simulation, randomDuration(simulation, 2s, 5s), [&simulation, id = target.leaf.id] {
        auto &drained = simulation.targets.at(id);
        if (drained.drainingSince)
            restart(simulation, drained);
    });
}

auto silenceConnection(DispatchSimulation &simulation) -> void
{
    auto &connections = simulation.holders[randomIndex(simulation, holderCount)].connections;
    if (connections.empty())
        return;
    auto chosen
            = std::next(connections.begin(),
                        static_cast<std::ptrdiff_t>(randomIndex(simulation, connections.size())));
    if (chosen->second.start == 0)
        return;
    chosen->second.silent = true;
    ++simulation.counts.silences;
}

auto injectShareMoves(DispatchSimulation &simulation) -> void
{
    const auto index = randomIndex(simulation, simulation.assignment.shares.size());
    moveShare(simulation, index);
    // A second move may come before the new holder uses the share, or before any holder has seen
    // the first move.
    if (drawChance(simulation, 0.4))
        schedule(simulation, randomDuration(simulation, 0ms, 900ms),
                 [&simulation, index] { moveShare(simulation, index); });
}

// A target closes an idle connection.
auto closeIdleConnection(DispatchSimulation &simulation) -> void
{
    auto &holder = simulation.holders[randomIndex(simulation, holderCount)];
    for (auto &[place, connection] : holder.connections) {
        const auto inUse = std::ranges::any_of(holder.sent, [&, &key = place](const auto &entry) {
            return std::pair(entry.second.send.leaf, entry.second.send.connection) == key;
        });
        if (inUse || connection.start == 0 || connection.silent || drawChance(simulation, 0.5))
            continue;
        connection = {};
        ++simulation.counts.idleCloses;
        return;
    }
}

auto takeOut(DispatchSimulation &simulation, Decision &decision, std::uint64_t &count,
             DomainId domain) -> void
{
    if (decision.state == DesiredState::Out)
        return;
    ++count;
    decision.state = DesiredState::Out;
    schedule(simulation, randomDuration(simulation, 2500ms, 4s), [&simulation, &decision, domain] {
        decision.state = DesiredState::In;
        // Its targets may have lost their caches meanwhile, without a new start.
        for (auto &[id, target] : simulation.targets) {
            if (domain == DomainId() || target.leaf.domain == domain)
                target.coldUntil = std::max(target.coldUntil, simulation.now + coldDuration);
        }
    });
}

auto injectFault(DispatchSimulation &simulation) -> void
{
    auto &target = std::next(simulation.targets.begin(),
                             static_cast<std::ptrdiff_t>(
                                     randomIndex(simulation, simulation.targets.size())))
                           ->second;
    auto &holder = simulation.holders[randomIndex(simulation, holderCount)];
    auto &domain = simulation.configuration.domains[randomIndex(simulation, 2)];
    switch (randomIndex(simulation, 16)) {
    case 0:
        if (target.up)
            restart(simulation, target);
        break;
    case 1:
        drain(simulation, target);
        break;
    case 2:
        takeOut(simulation, domain.decision, simulation.counts.domainOuts, domain.id);
        break;
    case 3:
        if (drawChance(simulation, 0.3))
            takeOut(simulation, simulation.configuration.services[0].decision,
                    simulation.counts.serviceOuts, {});
        break;
    case 4:
        ++simulation.counts.leaseLapses;
        holder.leaseLapsedUntil = simulation.now + randomDuration(simulation, 4s, 7s);
        break;
    case 5:
    case 6:
    case 7:
        injectShareMoves(simulation);
        break;
    case 8:
        closeIdleConnection(simulation);
        break;
    default:
        silenceConnection(simulation);
        break;
    }
    if (simulation.now < simulation.end)
        schedule(simulation, randomDuration(simulation, 1ms, 1200ms),
                 [&simulation] { injectFault(simulation); });
}

auto sendRequest(DispatchSimulation &simulation) -> void
{
    const auto &share
            = simulation.assignment
                      .shares[randomIndex(simulation, simulation.assignment.shares.size())];
    auto holder = holderIndex(simulation, share.holder);
    if (drawChance(simulation, 0.01))
        holder = randomIndex(simulation, holderCount);
    auto request = LeafRequest();
    request.attempt = static_cast<AttemptId>(++simulation.attempts);
    request.origin = instanceId("two");
    request.leaf = share.leaf;
    request.ordinal = share.ordinal;
    request.requestId = std::to_string(simulation.attempts);
    request.body = std::make_shared<const std::string>("teak");
    request.idempotent = !drawChance(simulation, 0.05);
    request.deadline = simulation.now
                       + (drawChance(simulation, 0.1) ? randomDuration(simulation, 0ms, 10ms)
                                                      : randomDuration(simulation, 20ms, 1s));
    simulation.counts.requests += 1;
    simulation.counts.nonIdempotent += request.idempotent ? 0 : 1;
    simulation.expected[request.attempt] = {request.deadline, request.idempotent};
    process(simulation, holder, request);
    if (drawChance(simulation, 0.03)) {
        ++simulation.counts.duplicates;
        schedule(simulation, randomDuration(simulation, 0ms, 2s),
                 [&simulation, holder, request] { process(simulation, holder, request); });
    }
    if (drawChance(simulation, 0.05)) {
        ++simulation.counts.cancels;
        schedule(simulation, randomDuration(simulation, 0ms, 20ms), [&simulation, holder, request] {
            process(simulation, holder, CancelLeafRequest{request.origin, request.attempt});
        });
    }
}

// Bursts make the queues grow, and pauses let them drain.
auto sendBurst(DispatchSimulation &simulation) -> void
{
    const auto count = 1 + randomIndex(simulation, drawChance(simulation, 0.02) ? 80 : 4);
    for (std::size_t sent = 0; sent < count; ++sent)
        sendRequest(simulation);
    // Requests that ended long ago need no further check.
    while (!simulation.expected.empty()
           && simulation.expected.begin()->second.deadline + 5s < simulation.now) {
        REQUIRE(simulation.expected.begin()->second.replies == 1);
        simulation.expected.erase(simulation.expected.begin());
    }
    if (simulation.now < simulation.end)
        schedule(simulation,
                 randomDuration(simulation, 0ms, drawChance(simulation, 0.005) ? 800ms : 8ms),
                 [&simulation] { sendBurst(simulation); });
}

auto fakeLeaf(std::string name, std::string_view domain, std::uint16_t slots, std::uint16_t cold,
              std::uint16_t connections) -> Leaf
{
    auto leaf = makeLeaf(std::move(name), domain);
    leaf.slots = slots;
    leaf.coldSlots = cold;
    leaf.connections = connections;
    return leaf;
}

auto setUp(DispatchSimulation &simulation) -> void
{
    const auto leafs = std::vector<Leaf>{
            fakeLeaf("leaf-1", "muar-a", 4, 2, 12), fakeLeaf("leaf-2", "muar-b", 6, 2, 50),
            fakeLeaf("leaf-3", "muar-a", 3, 1, 30), fakeLeaf("leaf-4", "muar-b", 3, 2, 5)};
    simulation.configuration.domains = {makeDomain("muar-a"), makeDomain("muar-b")};
    simulation.configuration.services.push_back(
            {serviceId("catalogue"), "catalogue", "johor-1", LayoutVersion(1), 1, leafs, {}});
    simulation.assignment.epoch = Epoch(1);
    for (const auto *name : {"one", "two", "three"})
        simulation.assignment.members.push_back(makeMember(name, "yong-peng"));
    std::ranges::sort(simulation.assignment.members, {}, &Member::id);
    for (const auto &leaf : leafs) {
        simulation.targets[leaf.id].leaf = leaf;
        const auto sizes = splitLeaf(leaf);
        for (std::size_t ordinal = 0; ordinal < sizes.size(); ++ordinal) {
            const auto &member = simulation.assignment.members[ordinal];
            simulation.assignment.shares.push_back({leaf.id,
                                                    static_cast<std::uint8_t>(ordinal),
                                                    sizes[ordinal],
                                                    member.id,
                                                    Incarnation(1),
                                                    Epoch(1),
                                                    {},
                                                    {}});
        }
    }
    std::ranges::sort(simulation.assignment.shares, {},
                      [](const Share &share) { return std::pair(share.leaf, share.ordinal); });
    for (std::size_t index = 0; index < holderCount; ++index) {
        auto &holder = simulation.holders.emplace_back();
        holder.fixture.view.self = simulation.assignment.members[index].id;
        holder.fixture.view.selfDomain = domainId("yong-peng");
        holder.fixture.state = makeDispatchState({});
    }
    for (std::size_t index = 0; index < holderCount; ++index)
        publishViewTo(simulation, index);
    renewAll(simulation);
    sendBurst(simulation);
    injectFault(simulation);
}

auto runUntil(DispatchSimulation &simulation, TimePoint end) -> void
{
    while (!simulation.events.empty() && simulation.events.top().at <= end) {
        const auto event = simulation.events.top();
        simulation.events.pop();
        simulation.now = event.at;
        event.run();
    }
}

auto print(const RunCounts &counts) -> void
{
    std::cout << "requests " << counts.requests << " (non-idempotent " << counts.nonIdempotent
              << ", duplicates " << counts.duplicates << ", cancels " << counts.cancels
              << "), done " << counts.done << ", not run " << counts.notRun << ", unknown "
              << counts.unknown << "; restarts " << counts.restarts << ", sheds " << counts.sheds
              << ", silences " << counts.silences << ", lost replies " << counts.lostReplies
              << ", stragglers " << counts.stragglers << ", drains " << counts.drains
              << ", domain outs " << counts.domainOuts << ", service outs " << counts.serviceOuts
              << ", lease lapses " << counts.leaseLapses << ", moves " << counts.moves
              << " (drained " << counts.drainedMoves << ", waited " << counts.waitedMoves
              << ", before use " << counts.movesBeforeUse << "), closed connections found "
              << counts.resends << " (" << counts.idleCloses << " closed idle)"
              << ", unseen cancels " << counts.unseenCancels << '\n';
}

auto setting(const char *name, std::uint64_t value) -> std::uint64_t
{
    // NOLINTNEXTLINE(concurrency-mt-unsafe)
    const auto *text = std::getenv(name);
    return text == nullptr ? value : std::stoull(text);
}

} // namespace

// Guards against a combination of faults that breaks a limit, loses a request or answers it twice.
// CROCUSREACH_SEED chooses the events, CROCUSREACH_SECONDS their length in virtual time.
SCENARIO("three holders keep to the limits of their targets under random faults")
{
    const auto seed = setting("CROCUSREACH_SEED", 20261204);
    const auto seconds = static_cast<std::int64_t>(setting("CROCUSREACH_SECONDS", 300));
    std::cout << "seed " << seed << ", " << seconds << " s of virtual time\n";
    auto simulation = std::make_unique<DispatchSimulation>();
    simulation->random.seed(seed);
    simulation->end = simulation->now + std::chrono::seconds(seconds);
    setUp(*simulation);
    runUntil(*simulation, simulation->end + 8s);
    print(simulation->counts);

    for (const auto &[attempt, expected] : simulation->expected) {
        INFO("attempt " << toUnderlying(attempt));
        REQUIRE(expected.replies == 1);
    }
    for (const auto &holder : simulation->holders)
        CHECK(requestsInFlight(*holder.fixture.state) == 0);
    // A run in which one of these never happened would not test it.
    const auto &counts = simulation->counts;
    for (const auto count :
         {counts.nonIdempotent, counts.duplicates,  counts.cancels,        counts.restarts,
          counts.sheds,         counts.silences,    counts.lostReplies,    counts.stragglers,
          counts.drains,        counts.domainOuts,  counts.serviceOuts,    counts.leaseLapses,
          counts.drainedMoves,  counts.waitedMoves, counts.movesBeforeUse, counts.done,
          counts.notRun,        counts.unknown,     counts.resends,        counts.idleCloses})
        CHECK(count > 0);
    // The faults must leave time for requests that are served.
    CHECK(counts.done > counts.requests / 4);
}

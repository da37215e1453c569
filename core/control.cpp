#include "control.h"

#include "controlassignment.h"
#include "controlstate.h"
#include "controlview.h"
#include "invariants.h"

#include <algorithm>
#include <utility>

namespace crocusreach {

namespace {

// Evidence older than this is renewed by a store read; peers renew it each 500 ms.
constexpr Duration staleEvidence = std::chrono::milliseconds(1500);
constexpr Duration leaseReadInterval = std::chrono::seconds(1);

// The lowest live member reads the assignment this often, in case a write took effect whose reply
// nobody got.
constexpr Duration assignmentReadInterval = std::chrono::seconds(10);

// How often seeds that aren't known as peers are asked.
constexpr Duration seedInterval = std::chrono::seconds(2);

constexpr std::size_t watchersPerCell = 2;

// Least time between two rounds of heartbeats, the regular ones and those that report a change.
constexpr Duration heartbeatSpacing = std::chrono::milliseconds(50);

// Sends heartbeats soon, so that peers learn of a change before the regular time.
auto hastenHeartbeat(ControlState &state, TimePoint now) -> void
{
    state.nextHeartbeat
            = std::min(state.nextHeartbeat, std::max(now, state.lastHeartbeat + heartbeatSpacing));
}

auto makeHeartbeat(const ControlState &state, TimePoint now) -> Heartbeat
{
    auto heartbeat = Heartbeat();
    heartbeat.from = state.settings.self;
    heartbeat.sentAt = now;
    heartbeat.epoch = state.propagation.assignment->epoch;
    heartbeat.revision = state.propagation.configuration->revision;
    heartbeat.drained = state.lease.drained;
    heartbeat.leaving = state.stopping;
    heartbeat.storeReachable = state.propagation.storeReachable;
    heartbeat.suspects = suspectedMembers(state.membership, *state.propagation.assignment, now);
    return heartbeat;
}

auto applyListing(ControlState &state) -> void
{
    auto listing = std::unordered_map<LeafId, TargetListing>();
    for (const auto &service : state.propagation.configuration->services) {
        if (service.cell != state.settings.cell)
            continue;
        for (const auto &leaf : service.leafs) {
            const auto found = state.listedTargets.find(leaf.address);
            if (found != state.listedTargets.end())
                listing.emplace(leaf.id, found->second);
        }
    }
    if (listing == state.listing)
        return;
    state.listing = std::move(listing);
    state.listingChanged = true;
}

auto takeConfiguration(ControlState &state, std::shared_ptr<const Configuration> newer,
                       TimePoint now) -> bool
{
    const auto before = state.propagation.configuration->revision;
    const auto changed = adoptConfiguration(state.propagation, std::move(newer), now);
    check(state.propagation.configuration->revision >= before, Invariant::RevisionNeverFalls,
          "an older configuration was applied");
    if (!changed)
        return false;
    applyListing(state);
    hastenHeartbeat(state, now);
    return true;
}

auto takeAssignment(ControlState &state, std::shared_ptr<const Assignment> newer, TimePoint now)
        -> bool
{
    if (newer != nullptr && newer->cell != state.settings.cell)
        return false;
    const auto former = state.propagation.assignment;
    if (!adoptAssignment(state.propagation, std::move(newer)))
        return false;
    const auto &next = *state.propagation.assignment;
    check(next.epoch >= former->epoch, Invariant::RevisionNeverFalls,
          "an older assignment was applied");
    adoptShares(state.lease, former->epoch == Epoch{} ? nullptr : former.get(), next,
                state.settings);
    for (const auto *list : {&next.members, &next.retired}) {
        for (const auto &member : *list) {
            if (member.id != selfId(state))
                addPeer(state.membership, member, now);
        }
    }
    state.adoptedAt = now;
    state.wantedSince.reset();
    state.heldChanged = true;
    hastenHeartbeat(state, now);
    return true;
}

auto sendHeartbeats(ControlState &state, TimePoint now, ControlActions &actions) -> void
{
    if (now < state.nextHeartbeat)
        return;
    state.nextHeartbeat = now + state.settings.heartbeatInterval;
    state.lastHeartbeat = now;
    prunePeers(state.membership, *state.propagation.assignment, now);
    const auto heartbeat = makeHeartbeat(state, now);
    auto &peers = state.membership.peers;
    const auto &assignment = *state.propagation.assignment;
    for (auto &peer : peers) {
        if (peer.gone || !isNamed(assignment, peer))
            continue;
        noteSent(peer, now);
        actions.emplace_back(SendHeartbeat{peer.member.address, heartbeat});
    }
    if (now < state.nextSeeds)
        return;
    state.nextSeeds = now + seedInterval;
    for (const auto &seed : state.settings.seeds) {
        const auto known = std::ranges::any_of(peers, [&](const Peer &peer) {
            return peer.member.address == seed && isNamed(assignment, peer);
        });
        if (!known && seed != state.settings.self.address)
            actions.emplace_back(SendHeartbeat{seed, heartbeat});
    }
}

auto isWatcher(const ControlState &state, TimePoint now) -> bool
{
    const auto live = liveMembers(state, now);
    return rankIn(live, selfId(state)) < watchersPerCell || live.empty();
}

// True if this instance gets new configurations from that peer. Each watcher heads a chain of the
// live members by id, so that a member sends each configuration once. Watchers get it from the
// store, and an instance that isn't a member from anybody.
auto isSource(const ControlState &state, InstanceId peer, TimePoint now) -> bool
{
    const auto live = liveMembers(state, now);
    const auto rank = rankIn(live, selfId(state));
    if (rank == live.size())
        return true;
    return rank >= watchersPerCell && live[rank - watchersPerCell] == peer;
}

auto isDue(const std::optional<TimePoint> &last, Duration interval, TimePoint now) -> bool
{
    return !last || now - *last >= interval;
}

auto readConfiguration(ControlState &state, TimePoint now, ControlActions &actions) -> void
{
    auto &propagation = state.propagation;
    if (!mayCallStore(propagation, now))
        return;
    const auto watcher = isWatcher(state, now);
    const auto due = watcher ? isDue(propagation.configurationAskedAt,
                                     state.settings.watchCheckInterval, now)
                             : !propagation.configurationAskedAt;
    if (due && !isPending(propagation, StoreOperation::Read, StateKind::Configuration))
        startRead(propagation, StateKind::Configuration, state.settings, now, actions);
    if (watcher && now >= propagation.watchAllowedAt
        && !isPending(propagation, StoreOperation::Watch, StateKind::Configuration))
        startWatch(propagation, state.settings, now, actions);
}

// How often the assignment is read from the store, given what the instance needs it for.
auto assignmentInterval(const ControlState &state, TimePoint now) -> std::optional<Duration>
{
    if (!isSelfMember(state))
        return state.settings.watchCheckInterval;
    if (isDue(state.lease.evidenceAt, staleEvidence, now))
        return leaseReadInterval;
    if (state.propagation.uncertainUntil && now < *state.propagation.uncertainUntil)
        return leaseReadInterval;
    if (rankIn(liveMembers(state, now), selfId(state)) == 0)
        return assignmentReadInterval;
    return std::nullopt;
}

auto readAssignment(ControlState &state, TimePoint now, ControlActions &actions) -> void
{
    auto &propagation = state.propagation;
    if (!mayCallStore(propagation, now)
        || isPending(propagation, StoreOperation::Read, StateKind::Assignment))
        return;
    const auto interval = assignmentInterval(state, now);
    if (interval && isDue(propagation.assignmentAskedAt, *interval, now))
        startRead(propagation, StateKind::Assignment, state.settings, now, actions);
}

auto readInstanceList(ControlState &state, TimePoint now, ControlActions &actions) -> void
{
    if (now < state.nextList)
        return;
    state.nextList = now + state.settings.listInterval;
    actions.emplace_back(ReadInstanceList{});
}

// Does what the time and the present state call for.
auto advance(ControlState &state, TimePoint now, ControlActions &actions) -> void
{
    giveUpCalls(state.propagation, state.settings, now);
    const auto drainedBefore = state.lease.drained;
    if (advanceTakeover(state.lease, *state.propagation.assignment, state.membership,
                        state.settings, now))
        state.heldChanged = true;
    if (state.lease.drained > drainedBefore)
        hastenHeartbeat(state, now);
    sendHeartbeats(state, now, actions);
    readConfiguration(state, now, actions);
    readAssignment(state, now, actions);
    readInstanceList(state, now, actions);
    propose(state, now, actions);
    publish(state, now, actions);
}

auto on(ControlState &state, const Heartbeat &heartbeat, TimePoint now, ControlActions &actions)
        -> void
{
    if (heartbeat.from.id == selfId(state))
        return;
    noteHeartbeat(state.membership, heartbeat, now);
    auto reply = HeartbeatReply{makeHeartbeat(state, TimePoint()), heartbeat.sentAt};
    actions.emplace_back(
            SendHeartbeatReply{heartbeat.from.id, heartbeat.from.address, std::move(reply)});
    pull(state.propagation, heartbeat, selfId(state), isSource(state, heartbeat.from.id, now), now,
         actions);
}

auto on(ControlState &state, const HeartbeatReply &reply, TimePoint now, ControlActions &actions)
        -> void
{
    if (reply.state.from.id == selfId(state))
        return;
    const auto answersOwn = noteReply(state.membership, reply, now);
    if (answersOwn && renews(*state.propagation.assignment, state.lease, reply.state))
        noteEvidence(state.lease, reply.echo);
    pull(state.propagation, reply.state, selfId(state), isSource(state, reply.state.from.id, now),
         now, actions);
}

auto on(ControlState &state, const FetchState &fetch, TimePoint, ControlActions &actions) -> void
{
    actions.emplace_back(
            SendFetched{fetch.from, answerFetch(state.propagation, fetch, selfId(state))});
}

auto on(ControlState &state, const FetchedState &fetched, TimePoint now, ControlActions &) -> void
{
    takeConfiguration(state, fetched.configuration, now);
    takeAssignment(state, fetched.assignment, now);
}

// A read of the assignment renews the lease if it shows the epoch that the instance knows.
auto onAssignmentRead(ControlState &state, const PendingCall &call, const StoreReply &reply,
                      TimePoint now) -> void
{
    if (reply.status == StoreStatus::Absent)
        state.propagation.assignmentKnown = true;
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotModified)
        return;
    takeAssignment(state, reply.assignment, now);
    const auto shown = reply.status == StoreStatus::Ok ? reply.version : call.version;
    if (Epoch{shown} == state.propagation.assignment->epoch && isSelfMember(state))
        noteEvidence(state.lease, call.startedAt);
}

// After a conflict the assignment is read again; after a success the written one is in force.
auto onWritten(ControlState &state, const PendingCall &call, const StoreReply &reply, TimePoint now,
               ControlActions &actions) -> void
{
    auto &propagation = state.propagation;
    if (reply.status == StoreStatus::Ok) {
        auto written = std::make_shared<Assignment>(*call.assignment);
        written->epoch = Epoch{reply.version};
        takeAssignment(state, std::move(written), now);
    }
    const auto mustRead
            = reply.status == StoreStatus::Conflict || reply.status == StoreStatus::Unknown;
    if (mustRead && mayCallStore(propagation, now)
        && !isPending(propagation, StoreOperation::Read, StateKind::Assignment))
        startRead(propagation, StateKind::Assignment, state.settings, now, actions);
}

auto on(ControlState &state, const StoreReply &reply, TimePoint now, ControlActions &actions)
        -> void
{
    auto &propagation = state.propagation;
    const auto call = takeReply(propagation, reply, state.settings, now);
    if (!call)
        return;
    if (call->operation == StoreOperation::Write) {
        onWritten(state, *call, reply, now, actions);
    } else if (call->kind == StateKind::Assignment) {
        onAssignmentRead(state, *call, reply, now);
    } else {
        takeConfiguration(state, reply.configuration, now);
    }
}

auto on(ControlState &state, const InstanceListReply &reply, TimePoint now, ControlActions &)
        -> void
{
    if (!reply.answered)
        return;
    noteInstanceList(state.membership, reply.instances, now);
    state.listedTargets.clear();
    for (const auto &entry : reply.instances) {
        state.listedTargets.emplace(entry.address,
                                    entry.leaving ? TargetListing::Leaving : TargetListing::Live);
    }
    applyListing(state);
}

auto on(ControlState &state, const SharesDrained &drained, TimePoint, ControlActions &) -> void
{
    state.lease.dispatchDrained = std::max(state.lease.dispatchDrained, drained.epoch);
}

auto on(ControlState &state, const StopRequested &, TimePoint now, ControlActions &) -> void
{
    state.stopping = true;
    hastenHeartbeat(state, now);
}

// A new link is used at once, so that a peer that came back is heard soon.
auto on(ControlState &state, const PeerConnected &, TimePoint now, ControlActions &) -> void
{
    hastenHeartbeat(state, now);
}

auto on(ControlState &, const PeerDisconnected &, TimePoint, ControlActions &) -> void { }

auto on(ControlState &, const Tick &, TimePoint, ControlActions &) -> void { }

} // namespace

auto ControlStateDeleter::operator()(ControlState *state) const -> void
{
    delete state;
}

auto makeControlState(const ControlSettings &settings) -> ControlStatePtr
{
    auto state = ControlStatePtr(new ControlState());
    state->settings = settings;
    state->membership.self = settings.self.id;
    state->membership.selfIncarnation = settings.self.incarnation;
    state->membership.suspectAfter = settings.suspectAfter;
    state->lease.self = settings.self.id;
    state->lease.incarnation = settings.self.incarnation;
    auto &propagation = state->propagation;
    propagation.seed
            = hashPair(toUnderlying(settings.self.id), toUnderlying(settings.self.incarnation));
    propagation.configuration = std::make_shared<const Configuration>();
    propagation.leafIndex = std::make_shared<const LeafIndex>();
    auto assignment = Assignment();
    assignment.cell = settings.cell;
    propagation.assignment = std::make_shared<const Assignment>(std::move(assignment));
    state->view = std::make_shared<const ClusterView>(makeView(*state, TimePoint()));
    return state;
}

auto handle(ControlState &state, const ControlEvent &event, TimePoint now, ControlActions &actions)
        -> void
{
    if (!state.startedAt) {
        state.startedAt = now;
        state.membership.listeningSince = now;
        state.membership.lastEventAt = now;
    }
    noteTime(state.membership, now);
    std::visit([&](const auto &content) { on(state, content, now, actions); }, event);
    advance(state, now, actions);
}

auto nextTickAt(const ControlState &state) -> std::optional<TimePoint>
{
    const auto now = state.membership.lastEventAt;
    auto wake = std::min(state.nextHeartbeat, state.nextList);
    if (const auto store = nextStoreTime(state.propagation, now))
        wake = std::min(wake, *store);
    if (const auto takeover = nextTakeover(state.lease, state.settings, now))
        wake = std::min(wake, *takeover);
    return wake;
}

auto currentView(const ControlState &state) -> ClusterViewPtr
{
    return state.view;
}

} // namespace crocusreach

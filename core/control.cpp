#include "control.h"

#include "controlassignment.h"
#include "controlstate.h"
#include "controlview.h"
#include "invariants.h"

#include <algorithm>
#include <utility>

namespace crocusreach {

namespace {

// A lease that was renewed longer ago than this is renewed by a store read; normally, peers renew
// it every 500 ms.
constexpr Duration maxRenewalAge = std::chrono::milliseconds(1500);
constexpr Duration leaseReadInterval = std::chrono::seconds(1);

// The live member with the lowest id reads the assignment this often, in case a write took effect
// whose reply was lost.
constexpr Duration assignmentReadInterval = std::chrono::seconds(10);

// How often heartbeats go to bootstrap addresses that aren't known as peers.
constexpr Duration bootstrapInterval = std::chrono::seconds(2);

constexpr std::size_t watchersPerCell = 2;

// Minimum time between two rounds of heartbeats, regular ones and early ones that report a change.
constexpr Duration minHeartbeatInterval = std::chrono::milliseconds(50);

// Moves the next heartbeats forward, so that peers learn of a change before the regular time.
auto scheduleEarlyHeartbeat(ControlState &state, TimePoint now) -> void
{
    state.nextHeartbeatAt = std::min(state.nextHeartbeatAt,
                                     std::max(now, state.lastHeartbeatAt + minHeartbeatInterval));
}

auto makeHeartbeat(const ControlState &state, TimePoint now) -> Heartbeat
{
    auto heartbeat = Heartbeat();
    heartbeat.from = state.settings.self;
    heartbeat.sentAt = now;
    heartbeat.epoch = state.propagation.assignment->epoch;
    heartbeat.revision = state.propagation.configuration->revision;
    heartbeat.drainedEpoch = state.lease.drainedEpoch;
    heartbeat.leaving = state.stopping;
    heartbeat.storeReachable = state.propagation.storeReachable;
    heartbeat.suspects = suspectedMembers(state.membership, *state.propagation.assignment, now);
    return heartbeat;
}

auto updateLeafListings(ControlState &state) -> void
{
    auto leafListings = std::unordered_map<LeafId, TargetListing>();
    for (const auto &service : state.propagation.configuration->services) {
        if (service.cell != state.settings.cell)
            continue;
        for (const auto &leaf : service.leafs) {
            const auto found = state.targetListings.find(leaf.address);
            if (found != state.targetListings.end())
                leafListings.emplace(leaf.id, found->second);
        }
    }
    if (leafListings == state.leafListings)
        return;
    state.leafListings = std::move(leafListings);
    state.leafListingsChanged = true;
}

auto applyConfiguration(ControlState &state, std::shared_ptr<const Configuration> newer,
                        TimePoint now) -> bool
{
    const auto before = state.propagation.configuration->revision;
    const auto changed = adoptConfiguration(state.propagation, std::move(newer), now);
    check(state.propagation.configuration->revision >= before, Invariant::RevisionNeverFalls,
          "an older configuration was applied");
    if (!changed)
        return false;
    updateLeafListings(state);
    scheduleEarlyHeartbeat(state, now);
    return true;
}

auto applyAssignment(ControlState &state, std::shared_ptr<const Assignment> newer, TimePoint now)
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
    state.assignmentAdoptedAt = now;
    state.proposalDueSince.reset();
    state.heldSharesChanged = true;
    scheduleEarlyHeartbeat(state, now);
    return true;
}

auto sendHeartbeats(ControlState &state, TimePoint now, ControlActions &actions) -> void
{
    if (now < state.nextHeartbeatAt)
        return;
    state.nextHeartbeatAt = now + state.settings.heartbeatInterval;
    state.lastHeartbeatAt = now;
    prunePeers(state.membership, *state.propagation.assignment, now);
    const auto heartbeat = makeHeartbeat(state, now);
    auto &peers = state.membership.peers;
    const auto &assignment = *state.propagation.assignment;
    for (auto &peer : peers) {
        if (peer.terminated || !isMemberOrRetired(assignment, peer))
            continue;
        recordHeartbeatSent(peer, now);
        actions.emplace_back(SendHeartbeat{peer.member.address, heartbeat});
    }
    if (now < state.nextBootstrapAt)
        return;
    state.nextBootstrapAt = now + bootstrapInterval;
    for (const auto &address : state.settings.bootstrapAddresses) {
        const auto known = std::ranges::any_of(peers, [&](const Peer &peer) {
            return peer.member.address == address && isMemberOrRetired(assignment, peer);
        });
        if (!known && address != state.settings.self.address)
            actions.emplace_back(SendHeartbeat{address, heartbeat});
    }
}

auto isWatcher(const ControlState &state, TimePoint now) -> bool
{
    const auto live = liveMembers(state, now);
    return rankIn(live, selfId(state)) < watchersPerCell || live.empty();
}

// True if this instance gets new configurations from that peer. Each watcher is the head of a chain
// of live members in the order of their ids, so that a member sends each configuration only once.
// Watchers read it from the store; an instance that isn't a member gets it from any peer.
auto isConfigurationSource(const ControlState &state, InstanceId peer, TimePoint now) -> bool
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
    if (!canCallStore(propagation, now))
        return;
    const auto watcher = isWatcher(state, now);
    const auto due = watcher ? isDue(propagation.configurationReadStartedAt,
                                     state.settings.watchCheckInterval, now)
                             : !propagation.configurationReadStartedAt;
    if (due && !isPending(propagation, StoreOperation::Read, StateKind::Configuration))
        startRead(propagation, StateKind::Configuration, state.settings, now, actions);
    if (watcher && now >= propagation.watchBackoffUntil
        && !isPending(propagation, StoreOperation::Watch, StateKind::Configuration))
        startWatch(propagation, state.settings, now, actions);
}

// How often the assignment must be read from the store in the current state; nothing if it needn't.
auto requiredAssignmentReadInterval(const ControlState &state, TimePoint now)
        -> std::optional<Duration>
{
    if (!isSelfMember(state))
        return state.settings.watchCheckInterval;
    if (isDue(state.lease.renewedAt, maxRenewalAge, now))
        return leaseReadInterval;
    if (state.propagation.writeUncertainUntil && now < *state.propagation.writeUncertainUntil)
        return leaseReadInterval;
    if (rankIn(liveMembers(state, now), selfId(state)) == 0)
        return assignmentReadInterval;
    return std::nullopt;
}

auto readAssignment(ControlState &state, TimePoint now, ControlActions &actions) -> void
{
    auto &propagation = state.propagation;
    if (!canCallStore(propagation, now)
        || isPending(propagation, StoreOperation::Read, StateKind::Assignment))
        return;
    const auto interval = requiredAssignmentReadInterval(state, now);
    if (interval && isDue(propagation.assignmentReadStartedAt, *interval, now))
        startRead(propagation, StateKind::Assignment, state.settings, now, actions);
}

auto readInstanceList(ControlState &state, TimePoint now, ControlActions &actions) -> void
{
    if (now < state.nextListReadAt)
        return;
    state.nextListReadAt = now + state.settings.listInterval;
    actions.emplace_back(ReadInstanceList{});
}

// Starts all actions that are due at this time in the current state.
auto advance(ControlState &state, TimePoint now, ControlActions &actions) -> void
{
    expireCalls(state.propagation, state.settings, now);
    const auto drainedBefore = state.lease.drainedEpoch;
    if (advanceTakeover(state.lease, *state.propagation.assignment, state.membership,
                        state.settings, now))
        state.heldSharesChanged = true;
    if (state.lease.drainedEpoch > drainedBefore)
        scheduleEarlyHeartbeat(state, now);
    sendHeartbeats(state, now, actions);
    readConfiguration(state, now, actions);
    readAssignment(state, now, actions);
    readInstanceList(state, now, actions);
    proposeAssignment(state, now, actions);
    publishView(state, now, actions);
}

auto onEvent(ControlState &state, const Heartbeat &heartbeat, TimePoint now,
             ControlActions &actions) -> void
{
    if (heartbeat.from.id == selfId(state))
        return;
    recordHeartbeat(state.membership, heartbeat, now);
    auto reply = HeartbeatReply{makeHeartbeat(state, TimePoint()), heartbeat.sentAt};
    actions.emplace_back(
            SendHeartbeatReply{heartbeat.from.id, heartbeat.from.address, std::move(reply)});
    pullNewerState(state.propagation, heartbeat, selfId(state),
                   isConfigurationSource(state, heartbeat.from.id, now), now, actions);
}

auto onEvent(ControlState &state, const HeartbeatReply &reply, TimePoint now,
             ControlActions &actions) -> void
{
    if (reply.state.from.id == selfId(state))
        return;
    const auto answersOwnHeartbeat = recordHeartbeatReply(state.membership, reply, now);
    if (answersOwnHeartbeat && isRenewal(*state.propagation.assignment, state.lease, reply.state))
        renewLease(state.lease, reply.echo);
    pullNewerState(state.propagation, reply.state, selfId(state),
                   isConfigurationSource(state, reply.state.from.id, now), now, actions);
}

auto onEvent(ControlState &state, const FetchState &fetch, TimePoint, ControlActions &actions)
        -> void
{
    actions.emplace_back(
            SendFetchedState{fetch.from, answerFetch(state.propagation, fetch, selfId(state))});
}

auto onEvent(ControlState &state, const FetchedState &fetched, TimePoint now, ControlActions &)
        -> void
{
    applyConfiguration(state, fetched.configuration, now);
    applyAssignment(state, fetched.assignment, now);
}

// A read of the assignment renews the lease if it shows the epoch that the instance knows.
auto onAssignmentRead(ControlState &state, const PendingCall &call, const StoreReply &reply,
                      TimePoint now) -> void
{
    if (reply.status == StoreStatus::Absent)
        state.propagation.assignmentKnown = true;
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotModified)
        return;
    applyAssignment(state, reply.assignment, now);
    const auto confirmedVersion = reply.status == StoreStatus::Ok ? reply.version : call.version;
    if (Epoch{confirmedVersion} == state.propagation.assignment->epoch && isSelfMember(state))
        renewLease(state.lease, call.startedAt);
}

// After a conflict or an unknown outcome the assignment is read again; after a success the written
// one is in force.
auto onAssignmentWritten(ControlState &state, const PendingCall &call, const StoreReply &reply,
                         TimePoint now, ControlActions &actions) -> void
{
    auto &propagation = state.propagation;
    if (reply.status == StoreStatus::Ok) {
        auto written = std::make_shared<Assignment>(*call.assignment);
        written->epoch = Epoch{reply.version};
        applyAssignment(state, std::move(written), now);
    }
    const auto shouldRead
            = reply.status == StoreStatus::Conflict || reply.status == StoreStatus::Unknown;
    if (shouldRead && canCallStore(propagation, now)
        && !isPending(propagation, StoreOperation::Read, StateKind::Assignment))
        startRead(propagation, StateKind::Assignment, state.settings, now, actions);
}

auto onEvent(ControlState &state, const StoreReply &reply, TimePoint now, ControlActions &actions)
        -> void
{
    auto &propagation = state.propagation;
    const auto call = completeCall(propagation, reply, state.settings, now);
    if (!call)
        return;
    if (call->operation == StoreOperation::Write) {
        onAssignmentWritten(state, *call, reply, now, actions);
    } else if (call->kind == StateKind::Assignment) {
        onAssignmentRead(state, *call, reply, now);
    } else {
        applyConfiguration(state, reply.configuration, now);
    }
}

auto onEvent(ControlState &state, const InstanceListReply &reply, TimePoint now, ControlActions &)
        -> void
{
    if (!reply.answered)
        return;
    recordInstanceList(state.membership, reply.instances, now);
    state.targetListings.clear();
    for (const auto &entry : reply.instances) {
        state.targetListings.emplace(entry.address,
                                     entry.leaving ? TargetListing::Leaving : TargetListing::Live);
    }
    updateLeafListings(state);
}

auto onEvent(ControlState &state, const SharesDrained &drained, TimePoint, ControlActions &) -> void
{
    state.lease.dispatchDrainedEpoch = std::max(state.lease.dispatchDrainedEpoch, drained.epoch);
}

auto onEvent(ControlState &state, const StopRequested &, TimePoint now, ControlActions &) -> void
{
    state.stopping = true;
    scheduleEarlyHeartbeat(state, now);
}

// Sends heartbeats over a new connection at once, so that a peer that came back is reachable soon.
auto onEvent(ControlState &state, const PeerConnected &, TimePoint now, ControlActions &) -> void
{
    scheduleEarlyHeartbeat(state, now);
}

auto onEvent(ControlState &, const PeerDisconnected &, TimePoint, ControlActions &) -> void { }

auto onEvent(ControlState &, const Tick &, TimePoint, ControlActions &) -> void { }

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
        state.membership.observingSince = now;
        state.membership.lastEventAt = now;
    }
    recordTime(state.membership, now);
    std::visit([&](const auto &content) { onEvent(state, content, now, actions); }, event);
    advance(state, now, actions);
}

auto nextTickAt(const ControlState &state) -> std::optional<TimePoint>
{
    const auto now = state.membership.lastEventAt;
    auto wake = std::min(state.nextHeartbeatAt, state.nextListReadAt);
    if (const auto store = nextStoreActionAt(state.propagation, now))
        wake = std::min(wake, *store);
    if (const auto takeover = nextTakeoverAt(state.lease, state.settings, now))
        wake = std::min(wake, *takeover);
    return wake;
}

auto currentView(const ControlState &state) -> ClusterViewPtr
{
    return state.view;
}

} // namespace crocusreach

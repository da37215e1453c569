#include "control.h"

#include "invariants.h"
#include "lease.h"
#include "membership.h"
#include "propagation.h"

#include <algorithm>
#include <map>
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

// Least time between two assignments, so that instances that start together join together.
constexpr Duration settleTime = std::chrono::milliseconds(500);

// Who writes a wanted assignment when: the lowest live member at once, each further one later, and
// an instance that isn't a member last.
constexpr Duration firstStandInDelay = std::chrono::seconds(1);
constexpr Duration furtherStandInDelay = std::chrono::milliseconds(500);
constexpr Duration outsiderDelay = std::chrono::milliseconds(2500);

// The larger side of a partition acts first: an instance waits if the members that it hears are
// half of the cell without the lowest id. One that hears fewer than half can't complete a takeover;
// it leaves the others alone until the instance list shows them gone, or for this long in case the
// list is down too.
constexpr Duration halfDelay = std::chrono::seconds(2);
constexpr Duration isolatedDelay = std::chrono::seconds(60);

// Least time between two rounds of heartbeats, the regular ones and those that report a change.
constexpr Duration heartbeatSpacing = std::chrono::milliseconds(50);

// A configuration read is new enough for a placement if it is younger than this.
constexpr Duration freshConfiguration = std::chrono::seconds(2);

} // namespace

struct ControlState
{
    ControlSettings settings;
    Membership membership;
    Lease lease;
    Propagation propagation;
    std::unordered_map<LeafId, TargetListing> listing;
    std::map<std::string, TargetListing> listedTargets; // by address
    bool stopping = false;
    std::optional<TimePoint> startedAt;
    TimePoint nextHeartbeat = {};
    TimePoint lastHeartbeat = {};
    TimePoint nextSeeds = {};
    TimePoint nextList = {};
    TimePoint nextAssignmentRead = {};
    TimePoint adoptedAt = {}; // the newest assignment
    std::optional<TimePoint> wantedSince; // a different assignment
    Duration wantedJitter = {};
    std::vector<HeldShare> held; // published with the view
    bool heldChanged = false; // shares were taken or lost since held was made
    bool listingChanged = false;
    ClusterViewPtr view;
    // The last placement tried, and what it was tried for.
    std::shared_ptr<const Assignment> placed;
    std::shared_ptr<const Assignment> placedFrom;
    std::shared_ptr<const Configuration> placedFor;
};

namespace {

auto selfId(const ControlState &state) -> InstanceId
{
    return state.settings.self.id;
}

auto isSelfMember(const ControlState &state) -> bool
{
    return isMember(*state.propagation.assignment, selfId(state), state.settings.self.incarnation);
}

// True if a later start of this instance has joined.
auto isSelfSuperseded(const ControlState &state) -> bool
{
    const auto *member = findMember(*state.propagation.assignment, selfId(state));
    return member != nullptr && member->incarnation > state.settings.self.incarnation;
}

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

// Members heard lately and this instance if it is a member, by id.
auto liveMembers(const ControlState &state, TimePoint now) -> std::vector<InstanceId>
{
    auto live = std::vector<InstanceId>();
    for (const auto &member : state.propagation.assignment->members) {
        if (member.id == selfId(state)) {
            if (isSelfMember(state))
                live.push_back(member.id);
            continue;
        }
        const auto *peer = findPeer(state.membership, member.id, member.incarnation);
        if (peer != nullptr && isHeard(state.membership, *peer, now))
            live.push_back(member.id);
    }
    return live;
}

auto rankIn(const std::vector<InstanceId> &live, InstanceId id) -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::find(live, id) - live.begin());
}

// How long an instance leaves it to the other side of a possible partition to act.
auto partitionDelay(const ControlState &state, const std::vector<InstanceId> &live) -> Duration
{
    auto members = std::size_t{0};
    auto lowest = std::optional<InstanceId>();
    for (const auto &member : state.propagation.assignment->members) {
        const auto *peer = findPeer(state.membership, member.id, member.incarnation);
        if (peer != nullptr && peer->gone)
            continue;
        ++members;
        if (!lowest)
            lowest = member.id;
    }
    if (live.size() * 2 > members || members == 0)
        return Duration();
    if (live.size() * 2 < members)
        return isolatedDelay;
    return live.front() == *lowest ? Duration() : halfDelay;
}

// A peer that isn't a member but asks to become one.
auto isJoining(const ControlState &state, const Peer &peer, TimePoint now) -> bool
{
    if (peer.leaving || peer.listedLeaving || peer.epoch == Epoch{})
        return false;
    return isHeard(state.membership, peer, now) && !isSuperseded(state.membership, peer);
}

auto keepsMember(const ControlState &state, const Member &member, TimePoint now) -> bool
{
    if (member.id == selfId(state))
        return member.incarnation == state.settings.self.incarnation && !state.stopping;
    const auto *peer = findPeer(state.membership, member.id, member.incarnation);
    if (peer == nullptr)
        return true;
    if (peer->leaving || peer->listedLeaving || isSuperseded(state.membership, *peer))
        return false;
    // An instance that isn't a member can't tell dead members from a broken network.
    if (!isSelfMember(state))
        return !peer->gone;
    return !isSuspectedByAll(state.membership, *state.propagation.assignment, *peer, now);
}

auto wantedMembers(const ControlState &state, TimePoint now) -> std::vector<Member>
{
    auto wanted = std::vector<Member>();
    for (const auto &member : state.propagation.assignment->members) {
        if (keepsMember(state, member, now))
            wanted.push_back(member);
    }
    const auto isWanted = [&](InstanceId id) {
        return std::ranges::find(wanted, id, &Member::id) != wanted.end();
    };
    if (!state.stopping && !isWanted(selfId(state)) && wanted.size() < state.settings.cellCapacity)
        wanted.push_back(state.settings.self);
    for (const auto &peer : state.membership.peers) {
        if (isJoining(state, peer, now) && !isWanted(peer.member.id)
            && wanted.size() < state.settings.cellCapacity)
            wanted.push_back(peer.member);
    }
    std::ranges::sort(wanted, {}, &Member::id);
    return wanted;
}

// The assignment that should follow the present one, or null if the present one is right.
auto wantedAssignment(ControlState &state, TimePoint now) -> std::shared_ptr<const Assignment>
{
    const auto &assignment = state.propagation.assignment;
    const auto members = wantedMembers(state, now);
    if (members.empty())
        return nullptr;
    const auto known = state.placedFrom == assignment
                       && state.placedFor == state.propagation.configuration
                       && state.placed->members == members;
    if (!known) {
        state.placed = std::make_shared<const Assignment>(
                place(*assignment, members, *state.propagation.configuration));
        state.placedFrom = assignment;
        state.placedFor = state.propagation.configuration;
    }
    const auto same = state.placed->members == assignment->members
                      && state.placed->shares == assignment->shares;
    return same ? nullptr : state.placed;
}

// Removes retired members that are known to have ended.
auto withoutGone(const ControlState &state, const Assignment &assignment) -> Assignment
{
    auto pruned = assignment;
    std::erase_if(pruned.retired, [&](const Member &member) {
        const auto *peer = findPeer(state.membership, member.id, member.incarnation);
        return peer != nullptr && peer->gone;
    });
    return pruned;
}

// Instances that want to join and this one, by id.
auto joiningInstances(const ControlState &state, TimePoint now) -> std::vector<InstanceId>
{
    auto joining = std::vector<InstanceId>{selfId(state)};
    for (const auto &peer : state.membership.peers) {
        if (isHeard(state.membership, peer, now) && !peer.leaving
            && !isSuperseded(state.membership, peer))
            joining.push_back(peer.member.id);
    }
    std::ranges::sort(joining);
    return joining;
}

// How long this instance leaves it to others to write a wanted assignment.
auto proposalDelay(const ControlState &state, TimePoint now) -> Duration
{
    auto live = liveMembers(state, now);
    auto delay = partitionDelay(state, live);
    if (live.empty()) {
        delay += state.wantedJitter;
        live = joiningInstances(state, now);
    } else if (!isSelfMember(state)) {
        return delay + outsiderDelay + state.wantedJitter;
    }
    const auto rank = static_cast<Duration::rep>(rankIn(live, selfId(state)));
    if (rank == 0)
        return delay;
    return delay + firstStandInDelay + furtherStandInDelay * (rank - 1);
}

// True if no peer that is heard has a newer configuration or assignment.
auto isNewest(const ControlState &state, TimePoint now) -> bool
{
    return std::ranges::none_of(state.membership.peers, [&](const Peer &peer) {
        return isHeard(state.membership, peer, now)
               && (peer.revision > state.propagation.configuration->revision
                   || peer.epoch > state.propagation.assignment->epoch);
    });
}

// Writes a wanted assignment, after a read that shows that the configuration is the newest.
auto propose(ControlState &state, TimePoint now, ControlActions &actions) -> void
{
    auto &propagation = state.propagation;
    if (!propagation.assignmentKnown || isSelfSuperseded(state)
        || isPending(propagation, StoreOperation::Write, StateKind::Assignment))
        return;
    const auto wanted = wantedAssignment(state, now);
    if (wanted == nullptr) {
        state.wantedSince.reset();
        return;
    }
    if (!state.wantedSince) {
        state.wantedSince = now;
        state.wantedJitter = jittered(propagation, settleTime);
    }
    if (now < *state.wantedSince + proposalDelay(state, now) || now < state.adoptedAt + settleTime
        || !isNewest(state, now) || !mayCallStore(propagation, now))
        return;
    const auto needed = std::max(*state.wantedSince, now - freshConfiguration);
    if (!propagation.configurationReadAt || *propagation.configurationReadAt < needed) {
        if (!isPending(propagation, StoreOperation::Read, StateKind::Configuration))
            startRead(propagation, StateKind::Configuration, state.settings, now, actions);
        return;
    }
    const auto proposal = std::make_shared<const Assignment>(withoutGone(state, *wanted));
    if (!check(validate(*proposal, *propagation.configuration).empty(), Invariant::SharesWithinLeaf,
               "a proposed assignment is invalid"))
        return;
    startWrite(propagation, proposal, number(propagation.assignment->epoch), state.settings, now,
               actions);
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

auto peerViews(const ControlState &state, TimePoint now) -> std::vector<PeerView>
{
    auto views = std::vector<PeerView>();
    for (const auto &peer : state.membership.peers) {
        const auto heard = isHeard(state.membership, peer, now);
        if (!isMember(*state.propagation.assignment, peer.member.id, peer.member.incarnation)
            && (!heard || isSuperseded(state.membership, peer)))
            continue;
        views.push_back({peer.member.id, peer.member.incarnation, peer.member.name,
                         peer.member.address, peer.member.domain, heard,
                         peer.leaving || peer.listedLeaving, peer.revision, peer.epoch,
                         peer.roundTrip});
    }
    std::ranges::sort(views, {}, &PeerView::id);
    return views;
}

// Compares all but the round trip, which alone doesn't make a new view.
auto samePeer(const PeerView &left, const PeerView &right) -> bool
{
    return left.id == right.id && left.incarnation == right.incarnation
           && left.address == right.address && left.reachable == right.reachable
           && left.leaving == right.leaving && left.revision == right.revision
           && left.epoch == right.epoch;
}

auto sameView(const ClusterView &left, const ClusterView &right) -> bool
{
    return left.configuration == right.configuration && left.assignment == right.assignment
           && left.leaseEnd == right.leaseEnd && left.storeReachable == right.storeReachable
           && left.stopping == right.stopping
           && std::ranges::equal(left.peers, right.peers, samePeer);
}

auto checkHeld(const ControlState &state, const ClusterView &view, TimePoint now) -> void
{
    const auto sameSlot = [](const HeldShare &left, const HeldShare &right) {
        return left.leaf == right.leaf && left.ordinal == right.ordinal;
    };
    check(std::ranges::adjacent_find(view.held, sameSlot) == view.held.end(),
          Invariant::OneHolderPerShare, "a share is held twice");
    check(view.held.empty() || isSelfMember(state), Invariant::NoDispatchWithoutLease,
          "shares are held by an instance that isn't a member");
    check(view.leaseEnd <= now + state.settings.leaseTime, Invariant::NoDispatchWithoutLease,
          "the lease ends later than its evidence allows");
}

auto makeView(const ControlState &state, TimePoint now) -> ClusterView
{
    auto view = ClusterView();
    view.self = selfId(state);
    view.selfDomain = state.settings.self.domain;
    view.configuration = state.propagation.configuration;
    view.leafIndex = state.propagation.leafIndex;
    view.assignment = state.propagation.assignment;
    view.leaseEnd = leaseEnd(state.lease, state.settings);
    view.peers = peerViews(state, now);
    view.storeReachable = state.propagation.storeReachable;
    view.stopping = state.stopping;
    return view;
}

auto publish(ControlState &state, TimePoint now, ControlActions &actions) -> void
{
    auto view = makeView(state, now);
    if (!state.heldChanged && !state.listingChanged && sameView(view, *state.view))
        return;
    if (state.heldChanged)
        state.held = heldShares(state.lease);
    state.heldChanged = false;
    state.listingChanged = false;
    view.held = state.held;
    view.listing = state.listing;
    checkHeld(state, view, now);
    state.view = std::make_shared<const ClusterView>(std::move(view));
    actions.emplace_back(PublishView{state.view});
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
    propagation.seed = hashPair(number(settings.self.id), number(settings.self.incarnation));
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

auto nextWake(const ControlState &state) -> std::optional<TimePoint>
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

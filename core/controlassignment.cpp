#include "controlassignment.h"

#include "controlstate.h"
#include "invariants.h"

#include <algorithm>
#include <utility>

namespace crocusreach {

namespace {

// Minimum time between two assignments, so that instances that start together join together.
constexpr Duration minAssignmentInterval = std::chrono::milliseconds(500);

// Which instance writes a desired assignment when: the live member with the lowest id at once, the
// next one after firstSuccessorDelay, each further one nextSuccessorDelay later, and an instance
// that isn't a member after nonMemberDelay.
constexpr Duration firstSuccessorDelay = std::chrono::seconds(1);
constexpr Duration nextSuccessorDelay = std::chrono::milliseconds(500);
constexpr Duration nonMemberDelay = std::chrono::milliseconds(2500);

// The larger side of a partition acts first. An instance that reaches exactly half of the members,
// without the one with the lowest id, waits for halfPartitionDelay. One that reaches fewer than
// half can't complete a takeover: it proposes no assignment until the instance list shows that the
// others have terminated, or until minorityPartitionDelay has passed, in case the list is down too.
constexpr Duration halfPartitionDelay = std::chrono::seconds(2);
constexpr Duration minorityPartitionDelay = std::chrono::seconds(60);

// Maximum age of the configuration read that a placement relies on.
constexpr Duration maxConfigurationReadAge = std::chrono::seconds(2);

// How long this instance waits for the other side of a possible partition to act.
auto partitionDelay(const ControlState &state, const std::vector<InstanceId> &live) -> Duration
{
    auto members = std::size_t{0};
    auto lowest = std::optional<InstanceId>();
    for (const auto &member : state.propagation.assignment->members) {
        const auto *peer = findPeer(state.membership, member.id, member.incarnation);
        if (peer != nullptr && peer->terminated)
            continue;
        ++members;
        if (!lowest)
            lowest = member.id;
    }
    if (live.size() * 2 > members || members == 0)
        return Duration();
    if (live.size() * 2 < members)
        return minorityPartitionDelay;
    return live.front() == *lowest ? Duration() : halfPartitionDelay;
}

// True if the peer can become a member: it is running, not leaving, and knows an assignment.
auto isJoining(const ControlState &state, const Peer &peer, TimePoint now) -> bool
{
    if (peer.leaving || peer.listedLeaving || peer.epoch == Epoch{})
        return false;
    return isReachable(state.membership, peer, now) && !isSuperseded(state.membership, peer);
}

auto shouldKeepMember(const ControlState &state, const Member &member, TimePoint now) -> bool
{
    if (member.id == selfId(state))
        return member.incarnation == state.settings.self.incarnation && !state.stopping;
    const auto *peer = findPeer(state.membership, member.id, member.incarnation);
    if (peer == nullptr)
        return true;
    if (peer->leaving || peer->listedLeaving || isSuperseded(state.membership, *peer))
        return false;
    // An instance that isn't a member can't tell terminated members from a network fault.
    if (!isSelfMember(state))
        return !peer->terminated;
    return !isSuspectedByAll(state.membership, *state.propagation.assignment, *peer, now);
}

auto desiredMembers(const ControlState &state, TimePoint now) -> std::vector<Member>
{
    auto desired = std::vector<Member>();
    for (const auto &member : state.propagation.assignment->members) {
        if (shouldKeepMember(state, member, now))
            desired.push_back(member);
    }
    const auto isDesired = [&](InstanceId id) {
        return std::ranges::find(desired, id, &Member::id) != desired.end();
    };
    if (!state.stopping && !isDesired(selfId(state))
        && desired.size() < state.settings.cellCapacity)
        desired.push_back(state.settings.self);
    for (const auto &peer : state.membership.peers) {
        if (isJoining(state, peer, now) && !isDesired(peer.member.id)
            && desired.size() < state.settings.cellCapacity)
            desired.push_back(peer.member);
    }
    std::ranges::sort(desired, {}, &Member::id);
    return desired;
}

// The assignment that should replace the current one, or null if that one is as desired.
auto desiredAssignment(ControlState &state, TimePoint now) -> std::shared_ptr<const Assignment>
{
    const auto &assignment = state.propagation.assignment;
    const auto members = desiredMembers(state, now);
    if (members.empty())
        return nullptr;
    const auto cached = state.cachedPlacementFormer == assignment
                        && state.cachedPlacementConfiguration == state.propagation.configuration
                        && state.cachedPlacement->members == members;
    if (!cached) {
        state.cachedPlacement = std::make_shared<const Assignment>(
                assignShares(*assignment, members, *state.propagation.configuration));
        state.cachedPlacementFormer = assignment;
        state.cachedPlacementConfiguration = state.propagation.configuration;
    }
    const auto same = state.cachedPlacement->members == assignment->members
                      && state.cachedPlacement->shares == assignment->shares;
    return same ? nullptr : state.cachedPlacement;
}

// The assignment without retired members that are known to have terminated.
auto withoutTerminatedMembers(const ControlState &state, const Assignment &assignment) -> Assignment
{
    auto pruned = assignment;
    std::erase_if(pruned.retired, [&](const Member &member) {
        const auto *peer = findPeer(state.membership, member.id, member.incarnation);
        return peer != nullptr && peer->terminated;
    });
    return pruned;
}

// This instance and the reachable peers that aren't leaving, ordered by id. In a cell without live
// members, they take the place of those.
auto joiningInstances(const ControlState &state, TimePoint now) -> std::vector<InstanceId>
{
    auto joining = std::vector<InstanceId>{selfId(state)};
    for (const auto &peer : state.membership.peers) {
        if (isReachable(state.membership, peer, now) && !peer.leaving
            && !isSuperseded(state.membership, peer))
            joining.push_back(peer.member.id);
    }
    std::ranges::sort(joining);
    return joining;
}

// How long this instance waits for others to write a desired assignment.
auto proposalDelay(const ControlState &state, TimePoint now) -> Duration
{
    auto live = liveMembers(state, now);
    auto delay = partitionDelay(state, live);
    if (live.empty()) {
        delay += state.proposalJitter;
        live = joiningInstances(state, now);
    } else if (!isSelfMember(state)) {
        return delay + nonMemberDelay + state.proposalJitter;
    }
    const auto rank = static_cast<Duration::rep>(rankIn(live, selfId(state)));
    if (rank == 0)
        return delay;
    return delay + firstSuccessorDelay + nextSuccessorDelay * (rank - 1);
}

// True if no reachable peer has reported a newer configuration or assignment.
auto isNewestKnownState(const ControlState &state, TimePoint now) -> bool
{
    return std::ranges::none_of(state.membership.peers, [&](const Peer &peer) {
        return isReachable(state.membership, peer, now)
               && (peer.revision > state.propagation.configuration->revision
                   || peer.epoch > state.propagation.assignment->epoch);
    });
}

} // namespace

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
        if (peer != nullptr && isReachable(state.membership, *peer, now))
            live.push_back(member.id);
    }
    return live;
}

auto rankIn(std::span<const InstanceId> live, InstanceId id) -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::find(live, id) - live.begin());
}

auto proposeAssignment(ControlState &state, TimePoint now, ControlActions &actions) -> void
{
    auto &propagation = state.propagation;
    if (!propagation.assignmentKnown || isSelfSuperseded(state)
        || isPending(propagation, StoreOperation::Write, StateKind::Assignment))
        return;
    const auto desired = desiredAssignment(state, now);
    if (desired == nullptr) {
        state.proposalDueSince.reset();
        return;
    }
    if (!state.proposalDueSince) {
        state.proposalDueSince = now;
        state.proposalJitter = jittered(propagation, minAssignmentInterval);
    }
    if (now < *state.proposalDueSince + proposalDelay(state, now)
        || now < state.assignmentAdoptedAt + minAssignmentInterval
        || !isNewestKnownState(state, now) || !canCallStore(propagation, now))
        return;
    const auto needed = std::max(*state.proposalDueSince, now - maxConfigurationReadAge);
    if (!propagation.completedConfigurationReadAt
        || *propagation.completedConfigurationReadAt < needed) {
        if (!isPending(propagation, StoreOperation::Read, StateKind::Configuration))
            startRead(propagation, StateKind::Configuration, state.settings, now, actions);
        return;
    }
    const auto proposal
            = std::make_shared<const Assignment>(withoutTerminatedMembers(state, *desired));
    if (!check(validate(*proposal, *propagation.configuration).empty(), Invariant::SharesWithinLeaf,
               "a proposed assignment is invalid"))
        return;
    startWrite(propagation, proposal, toUnderlying(propagation.assignment->epoch), state.settings,
               now, actions);
}

} // namespace crocusreach

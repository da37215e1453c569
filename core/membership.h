#pragma once

#include "control.h"
#include "types.h"

#include <optional>
#include <span>
#include <vector>

// The peers of an instance: what their heartbeats and the lagging instance list say of them.

namespace crocusreach {

// How long an instance must be absent from the instance list before it counts as gone although it
// was never seen listed. It bounds the lag of the list.
constexpr Duration maxListLag = std::chrono::seconds(60);

// Reads of the instance list that lie further apart don't prove absence in between.
constexpr Duration maxListReadGap = std::chrono::seconds(10);

// One incarnation of a peer.
struct Peer
{
    Member member;
    TimePoint knownSince = {};
    std::optional<TimePoint> lastHeardAt; // last heartbeat or reply
    TimePoint stateSentAt = {}; // peer's clock; tells late heartbeats from newer ones
    std::vector<TimePoint> unansweredSentAt; // own heartbeats to it that may still be answered
    Epoch epoch = {}; // highest that it reported
    Revision revision = {};
    Epoch drainedEpoch = {};
    bool leaving = false;
    bool listedLeaving = false;
    std::vector<InstanceId> suspects;
    Duration roundTrip = {};
    bool listed = false; // this incarnation was seen in the instance list
    std::optional<TimePoint> absentSince; // first of the list reads in a row that lack it
    bool terminated = false; // its process has ended
};

struct Membership
{
    InstanceId self = {};
    Incarnation selfIncarnation = {};
    Duration suspectAfter = {};
    std::vector<Peer> peers; // by id and incarnation; bounded by prunePeers
    // Silence before this time says nothing of the peers, since the instance itself didn't run.
    TimePoint observingSince = {};
    TimePoint lastEventAt = {};
    std::optional<TimePoint> lastListReadAt;
};

// The record of one incarnation, or nullptr.
auto findPeer(const Membership &membership, InstanceId id, Incarnation incarnation) -> const Peer *;
auto findPeer(Membership &membership, InstanceId id, Incarnation incarnation) -> Peer *;

// Adds a peer unless it is known.
auto addPeer(Membership &membership, const Member &member, TimePoint now) -> Peer &;

// Notes that time passed. After a gap of more than half the suspicion time all peers get a new
// chance to be heard: an instance that was paused would otherwise suspect all of them.
auto recordTime(Membership &membership, TimePoint now) -> void;

// Notes a heartbeat, or the state in a reply. Older incarnations at the same address are gone.
auto recordHeartbeat(Membership &membership, const Heartbeat &heartbeat, TimePoint now) -> void;

// Notes that a heartbeat is sent to the peer now.
auto recordHeartbeatSent(Peer &peer, TimePoint now) -> void;

// Notes a reply. Returns true if it answers a heartbeat that this instance sent to that peer.
auto recordHeartbeatReply(Membership &membership, const HeartbeatReply &reply, TimePoint now)
        -> bool;

// Notes one answer of the instance list and finds which peers are gone.
auto recordInstanceList(Membership &membership, std::span<const ListedInstance> instances,
                        TimePoint now) -> void;

auto isReachable(const Membership &membership, const Peer &peer, TimePoint now) -> bool;
auto isSuspected(const Membership &membership, const Peer &peer, TimePoint now) -> bool;
// True if a later incarnation of the same instance is known.
auto isSuperseded(const Membership &membership, const Peer &peer) -> bool;

// Suspected members, for the heartbeats to the others.
auto suspectedMembers(const Membership &membership, const Assignment &assignment, TimePoint now)
        -> std::vector<InstanceId>;

// True if this instance and every member that it hears suspect the member.
auto isSuspectedByAll(const Membership &membership, const Assignment &assignment, const Peer &peer,
                      TimePoint now) -> bool;

// True if the assignment lists this start of the peer as a member or as retired.
auto isMemberOrRetired(const Assignment &assignment, const Peer &peer) -> bool;

// Forgets peers that are neither in the assignment nor heard lately.
auto prunePeers(Membership &membership, const Assignment &assignment, TimePoint now) -> void;

} // namespace crocusreach

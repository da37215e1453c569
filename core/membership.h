#pragma once

#include "control.h"
#include "types.h"

#include <optional>
#include <span>
#include <vector>

// What an instance knows of its peers from their heartbeats and from the instance list, which lags.

namespace crocusreach {

// Upper bound on the lag of the instance list. An instance that was never seen in the list counts
// as terminated only after it has been absent for this long.
constexpr Duration maxListLag = std::chrono::seconds(60);

// Two reads of the instance list that are further apart don't prove absence in between.
constexpr Duration maxListReadGap = std::chrono::seconds(10);

// One incarnation of a peer.
struct Peer
{
    Member member;
    TimePoint knownSince = {};
    std::optional<TimePoint> lastHeardAt; // last heartbeat or reply
    TimePoint stateSentAt = {}; // on the peer's clock; tells late heartbeats from newer ones
    std::vector<TimePoint> unansweredSentAt; // of own heartbeats to it without a reply yet
    Epoch epoch = {}; // highest that it reported
    Revision revision = {};
    Epoch drainedEpoch = {};
    bool leaving = false;
    bool listedLeaving = false;
    std::vector<InstanceId> suspects;
    Duration roundTrip = {};
    bool listed = false; // this incarnation was seen in the instance list
    std::optional<TimePoint> absentSince; // first of the consecutive list reads without it
    bool terminated = false; // its process has ended
};

struct Membership
{
    InstanceId self = {};
    Incarnation selfIncarnation = {};
    Duration suspectAfter = {};
    std::vector<Peer> peers; // by id and incarnation; bounded by prunePeers
    // Silence before this time doesn't count against a peer, since this instance was paused or not
    // started yet.
    TimePoint observingSince = {};
    TimePoint lastEventAt = {};
    std::optional<TimePoint> lastListReadAt;
};

// The record of one incarnation, or nullptr.
auto findPeer(const Membership &membership, InstanceId id, Incarnation incarnation) -> const Peer *;
auto findPeer(Membership &membership, InstanceId id, Incarnation incarnation) -> Peer *;

// Adds a peer unless it is known.
auto addPeer(Membership &membership, const Member &member, TimePoint now) -> Peer &;

// Records the current time. After a gap of more than half of suspectAfter, the silence of all peers
// counts anew: an instance that was paused would otherwise suspect all of them at once.
auto recordTime(Membership &membership, TimePoint now) -> void;

// Records a heartbeat, or the state in a reply. Older incarnations at the same address have
// terminated.
auto recordHeartbeat(Membership &membership, const Heartbeat &heartbeat, TimePoint now) -> void;

auto recordHeartbeatSent(Peer &peer, TimePoint now) -> void;

// Records a reply. Returns true if it answers a heartbeat that this instance sent to that peer.
auto recordHeartbeatReply(Membership &membership, const HeartbeatReply &reply, TimePoint now)
        -> bool;

// Records one reply of the instance list and marks the peers that it shows to have terminated.
auto recordInstanceList(Membership &membership, std::span<const ListedInstance> instances,
                        TimePoint now) -> void;

// True if the peer sent a heartbeat or a reply within the last suspectAfter and hasn't terminated.
auto isReachable(const Membership &membership, const Peer &peer, TimePoint now) -> bool;
auto isSuspected(const Membership &membership, const Peer &peer, TimePoint now) -> bool;
// True if a later incarnation of the same instance is known.
auto isSuperseded(const Membership &membership, const Peer &peer) -> bool;

// Suspected members, for the heartbeats to the others.
auto suspectedMembers(const Membership &membership, const Assignment &assignment, TimePoint now)
        -> std::vector<InstanceId>;

// True if this instance and every member that it can reach suspect the peer.
auto isSuspectedByAll(const Membership &membership, const Assignment &assignment, const Peer &peer,
                      TimePoint now) -> bool;

// True if the assignment lists this incarnation of the peer as a member or as retired.
auto isMemberOrRetired(const Assignment &assignment, const Peer &peer) -> bool;

// Removes peers that are neither in the assignment nor were heard from within maxListLag.
auto prunePeers(Membership &membership, const Assignment &assignment, TimePoint now) -> void;

} // namespace crocusreach

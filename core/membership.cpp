#include "membership.h"

#include <algorithm>

namespace crocusreach {

namespace {

// At one heartbeat per 500 ms this covers more than a lease time; replies to older heartbeats can't
// renew a lease.
constexpr std::size_t maxUnansweredHeartbeats = 10;

auto isSameIncarnation(const Member &member, InstanceId id, Incarnation incarnation) -> bool
{
    return member.id == id && member.incarnation == incarnation;
}

// Marks the older incarnations that a newer one has replaced at its address.
auto markReplacedIncarnations(Membership &membership, const Member &newer) -> void
{
    for (auto &peer : membership.peers) {
        if (peer.member.id == newer.id && peer.member.address == newer.address
            && peer.member.incarnation < newer.incarnation)
            peer.terminated = true;
    }
}

// True if the entry is certain to be this incarnation's. An entry without incarnation may still be
// that of a former one, unless this one has been known for longer than the list can lag.
auto isListingOf(const ListedInstance &entry, const Peer &peer, TimePoint now) -> bool
{
    if (entry.incarnation == Incarnation{})
        return now - peer.knownSince >= maxListLag;
    return entry.incarnation == peer.member.incarnation;
}

auto recordListed(Peer &peer, const ListedInstance &entry, TimePoint now) -> void
{
    peer.absentSince.reset();
    peer.listed = peer.listed || isListingOf(entry, peer, now);
    peer.listedLeaving = entry.leaving && entry.incarnation == peer.member.incarnation;
    if (entry.incarnation > peer.member.incarnation)
        peer.terminated = true;
}

auto recordAbsent(Membership &membership, Peer &peer, TimePoint now) -> void
{
    const auto gap
            = !membership.lastListReadAt || now - *membership.lastListReadAt > maxListReadGap;
    if (!peer.absentSince || gap)
        peer.absentSince = now;
    if (isReachable(membership, peer, now))
        return;
    if (peer.listed || now - *peer.absentSince >= maxListLag)
        peer.terminated = true;
}

} // namespace

auto findPeer(Membership &membership, InstanceId id, Incarnation incarnation) -> Peer *
{
    const auto found = std::ranges::find_if(membership.peers, [&](const Peer &peer) {
        return isSameIncarnation(peer.member, id, incarnation);
    });
    return found == membership.peers.end() ? nullptr : &*found;
}

auto findPeer(const Membership &membership, InstanceId id, Incarnation incarnation) -> const Peer *
{
    const auto found = std::ranges::find_if(membership.peers, [&](const Peer &peer) {
        return isSameIncarnation(peer.member, id, incarnation);
    });
    return found == membership.peers.end() ? nullptr : &*found;
}

auto addPeer(Membership &membership, const Member &member, TimePoint now) -> Peer &
{
    if (auto *known = findPeer(membership, member.id, member.incarnation))
        return *known;
    auto &added = membership.peers.emplace_back();
    added.member = member;
    added.knownSince = now;
    return added;
}

auto recordTime(Membership &membership, TimePoint now) -> void
{
    if (now - membership.lastEventAt > membership.suspectAfter / 2)
        membership.observingSince = now;
    membership.lastEventAt = std::max(membership.lastEventAt, now);
}

auto recordHeartbeat(Membership &membership, const Heartbeat &heartbeat, TimePoint now) -> void
{
    if (heartbeat.from.id == membership.self)
        return;
    auto &peer = addPeer(membership, heartbeat.from, now);
    peer.lastHeardAt = now;
    // A process that sends heartbeats hasn't terminated, whatever the instance list says.
    peer.terminated = false;
    peer.epoch = std::max(peer.epoch, heartbeat.epoch);
    peer.revision = std::max(peer.revision, heartbeat.revision);
    peer.drainedEpoch = std::max(peer.drainedEpoch, heartbeat.drainedEpoch);
    peer.leaving = peer.leaving || heartbeat.leaving;
    if (heartbeat.sentAt >= peer.stateSentAt) {
        peer.stateSentAt = heartbeat.sentAt;
        peer.suspects = heartbeat.suspects;
    }
    markReplacedIncarnations(membership, heartbeat.from);
}

auto recordHeartbeatSent(Peer &peer, TimePoint now) -> void
{
    if (peer.unansweredSentAt.size() == maxUnansweredHeartbeats)
        peer.unansweredSentAt.erase(peer.unansweredSentAt.begin());
    peer.unansweredSentAt.push_back(now);
}

auto recordHeartbeatReply(Membership &membership, const HeartbeatReply &reply, TimePoint now)
        -> bool
{
    recordHeartbeat(membership, reply.state, now);
    auto *peer = findPeer(membership, reply.state.from.id, reply.state.from.incarnation);
    if (peer == nullptr)
        return false;
    // Replies carry no sentAt, so recordHeartbeat takes them for late ones and doesn't
    // update the suspects.
    peer->suspects = reply.state.suspects;
    const auto sent = std::ranges::find(peer->unansweredSentAt, reply.echo);
    if (sent == peer->unansweredSentAt.end())
        return false;
    peer->unansweredSentAt.erase(sent);
    peer->roundTrip = now - reply.echo;
    return true;
}

auto recordInstanceList(Membership &membership, std::span<const ListedInstance> instances,
                        TimePoint now) -> void
{
    for (auto &peer : membership.peers) {
        const auto entry = std::ranges::find_if(instances, [&](const ListedInstance &listed) {
            return listed.address == peer.member.address && listed.name == peer.member.name;
        });
        if (entry != instances.end())
            recordListed(peer, *entry, now);
        else
            recordAbsent(membership, peer, now);
    }
    membership.lastListReadAt = now;
}

auto isReachable(const Membership &membership, const Peer &peer, TimePoint now) -> bool
{
    return peer.lastHeardAt && now - *peer.lastHeardAt <= membership.suspectAfter
           && !peer.terminated;
}

auto isSuspected(const Membership &membership, const Peer &peer, TimePoint now) -> bool
{
    if (peer.terminated)
        return true;
    const auto silentSince
            = std::max(membership.observingSince, peer.lastHeardAt.value_or(peer.knownSince));
    return now - silentSince > membership.suspectAfter;
}

auto isSuperseded(const Membership &membership, const Peer &peer) -> bool
{
    return std::ranges::any_of(membership.peers, [&](const Peer &other) {
        return other.member.id == peer.member.id
               && other.member.incarnation > peer.member.incarnation
               && other.lastHeardAt.has_value();
    });
}

auto suspectedMembers(const Membership &membership, const Assignment &assignment, TimePoint now)
        -> std::vector<InstanceId>
{
    auto suspects = std::vector<InstanceId>();
    for (const auto &member : assignment.members) {
        const auto *peer = findPeer(membership, member.id, member.incarnation);
        if (peer != nullptr && isSuspected(membership, *peer, now))
            suspects.push_back(member.id);
    }
    return suspects;
}

auto isSuspectedByAll(const Membership &membership, const Assignment &assignment, const Peer &peer,
                      TimePoint now) -> bool
{
    if (!isSuspected(membership, peer, now))
        return false;
    return std::ranges::all_of(assignment.members, [&](const Member &member) {
        if (member.id == peer.member.id)
            return true;
        const auto *other = findPeer(membership, member.id, member.incarnation);
        if (other == nullptr || !isReachable(membership, *other, now))
            return true;
        return std::ranges::find(other->suspects, peer.member.id) != other->suspects.end();
    });
}

auto isMemberOrRetired(const Assignment &assignment, const Peer &peer) -> bool
{
    const auto matches = [&](const Member &member) {
        return isSameIncarnation(member, peer.member.id, peer.member.incarnation);
    };
    return std::ranges::any_of(assignment.members, matches)
           || std::ranges::any_of(assignment.retired, matches);
}

auto prunePeers(Membership &membership, const Assignment &assignment, TimePoint now) -> void
{
    std::erase_if(membership.peers, [&](const Peer &peer) {
        return !isMemberOrRetired(assignment, peer)
               && now - peer.lastHeardAt.value_or(peer.knownSince) > maxListLag;
    });
}

} // namespace crocusreach

#include "lease.h"

#include <algorithm>
#include <set>
#include <span>
#include <utility>

namespace crocusreach {

namespace {

auto isHolder(const Lease &lease, const Share &share) -> bool
{
    return share.holder == lease.self && share.holderIncarnation == lease.incarnation;
}

// The assigned share with the same leaf and ordinal, or nullptr. Shares are ordered by both.
auto findAssigned(std::span<const AssignedShare> shares, const Share &share)
        -> const AssignedShare *
{
    const auto key = [](const AssignedShare &assigned) {
        return std::pair(assigned.share.leaf, assigned.share.ordinal);
    };
    const auto wantedKey = std::pair(share.leaf, share.ordinal);
    const auto found = std::ranges::lower_bound(shares, wantedKey, {}, key);
    return found == shares.end() || key(*found) != wantedKey ? nullptr : &*found;
}

// True if the share stays with its holder: neither its holder nor its size has changed.
auto isRetained(const AssignedShare &assigned, const Share &next) -> bool
{
    return assigned.share.since == next.since && assigned.share.size == next.size;
}

// Records which shares the instance lost with the next assignment, and whether it knows who used
// them.
auto recordLosses(Lease &lease, const Assignment *former, const Assignment &next,
                  std::span<const AssignedShare> kept, const ControlSettings &settings) -> void
{
    const auto isLost = [&](const AssignedShare &assigned) {
        const auto *other = findAssigned(kept, assigned.share);
        return other == nullptr || !isRetained(assigned, other->share);
    };
    // An instance that missed an epoch doesn't know who held its shares in between. The first
    // assignment that an instance learns is no such case: it can't have been a member before, since
    // it becomes one only after it has reported that it knows an assignment.
    auto unverified
            = former != nullptr && toUnderlying(next.epoch) != toUnderlying(former->epoch) + 1;
    for (const auto &assigned : lease.shares) {
        if (!isLost(assigned))
            continue;
        if (!assigned.takenOver) {
            unverified = true;
            continue;
        }
        lease.lastLossEpoch = next.epoch;
        if (lease.renewedAt) {
            const auto end = *lease.renewedAt + settings.leaseTime + settings.clockDrift;
            lease.lostSharesInUseUntil = std::max(lease.lostSharesInUseUntil, end);
        }
    }
    if (unverified)
        lease.unverifiedEpoch = next.epoch;
}

auto hasWaitEnded(const Lease &lease, Epoch since, const ControlSettings &settings, TimePoint now)
        -> bool
{
    const auto found = lease.renewalsEndedAt.find(since);
    return found != lease.renewalsEndedAt.end()
           && now >= found->second + settings.leaseTime + settings.clockDrift;
}

// Starts the wait for an epoch as soon as nobody can renew a lease of an older one.
auto recordRenewalEnd(Lease &lease, const Assignment &assignment, const Membership &membership,
                      Epoch since, TimePoint now) -> void
{
    if (!lease.renewalsEndedAt.contains(since) && hasRenewalEnded(assignment, membership, since))
        lease.renewalsEndedAt.emplace(since, now);
}

// True if the former holder reports the share as released. The shares that this instance itself
// lost up to that epoch must have drained too, since a resized share may have been its own before.
auto isReleased(const Lease &lease, const Share &share, const Membership &membership) -> bool
{
    if (lease.drainedEpoch < share.since)
        return false;
    if (share.formerHolder == lease.self && share.formerIncarnation == lease.incarnation)
        return true;
    const auto *former = findPeer(membership, share.formerHolder, share.formerIncarnation);
    return former != nullptr && former->drainedEpoch >= share.since;
}

auto advanceDrainedEpoch(Lease &lease, const Assignment &assignment, const Membership &membership,
                         const ControlSettings &settings, TimePoint now) -> void
{
    if (lease.drainedEpoch >= assignment.epoch)
        return;
    if (lease.dispatchDrainedEpoch < lease.lastLossEpoch && now < lease.lostSharesInUseUntil)
        return;
    if (lease.unverifiedEpoch > lease.drainedEpoch) {
        recordRenewalEnd(lease, assignment, membership, lease.unverifiedEpoch, now);
        if (!hasWaitEnded(lease, lease.unverifiedEpoch, settings, now))
            return;
    }
    lease.drainedEpoch = assignment.epoch;
}

// The epochs that assigned shares to this instance which aren't taken over yet.
auto pendingTakeoverEpochs(const Lease &lease) -> std::set<Epoch>
{
    auto epochs = std::set<Epoch>();
    for (const auto &assigned : lease.shares) {
        if (!assigned.takenOver)
            epochs.insert(assigned.share.since);
    }
    return epochs;
}

// Removes waits that neither a pending takeover nor a report of released shares needs any more.
auto removeObsoleteWaits(Lease &lease) -> void
{
    const auto pending = pendingTakeoverEpochs(lease);
    std::erase_if(lease.renewalsEndedAt, [&](const auto &entry) {
        const auto reported = entry.first != lease.unverifiedEpoch
                              || lease.unverifiedEpoch <= lease.drainedEpoch;
        return reported && !pending.contains(entry.first);
    });
}

} // namespace

auto isMember(const Assignment &assignment, InstanceId id, Incarnation incarnation) -> bool
{
    const auto *member = findMember(assignment, id);
    return member != nullptr && member->incarnation == incarnation;
}

auto isRenewal(const Assignment &assignment, const Lease &lease, const Heartbeat &state) -> bool
{
    const auto *self = findMember(assignment, lease.self);
    const auto *replier = findMember(assignment, state.from.id);
    if (self == nullptr || self->incarnation != lease.incarnation)
        return false;
    if (replier == nullptr || replier->incarnation != state.from.incarnation)
        return false;
    return replier->domain != self->domain && state.epoch == assignment.epoch;
}

auto renewLease(Lease &lease, TimePoint requestSentAt) -> void
{
    if (!lease.renewedAt || *lease.renewedAt < requestSentAt)
        lease.renewedAt = requestSentAt;
}

auto leaseValidUntil(const Lease &lease, const ControlSettings &settings) -> TimePoint
{
    return lease.renewedAt ? *lease.renewedAt + settings.leaseTime : TimePoint();
}

auto adoptShares(Lease &lease, const Assignment *former, const Assignment &next,
                 const ControlSettings &settings) -> void
{
    auto shares = std::vector<AssignedShare>();
    const auto member = isMember(next, lease.self, lease.incarnation);
    for (const auto &share : next.shares) {
        if (!member || !isHolder(lease, share))
            continue;
        const auto *assigned = findAssigned(lease.shares, share);
        shares.push_back({share, assigned != nullptr && assigned->takenOver
                                         && isRetained(*assigned, share)});
    }
    recordLosses(lease, former, next, shares, settings);
    lease.shares = std::move(shares);
    removeObsoleteWaits(lease);
}

auto hasRenewalEnded(const Assignment &assignment, const Membership &membership, Epoch since)
        -> bool
{
    auto unacknowledgedDomain = std::optional<DomainId>();
    const auto permitsRenewalEnd = [&](const Member &voter) {
        if (voter.id == membership.self && voter.incarnation == membership.selfIncarnation)
            return true;
        const auto *peer = findPeer(membership, voter.id, voter.incarnation);
        if (peer != nullptr && (peer->terminated || peer->epoch >= since))
            return true;
        if (unacknowledgedDomain && *unacknowledgedDomain != voter.domain)
            return false;
        unacknowledgedDomain = voter.domain;
        return true;
    };
    return std::ranges::all_of(assignment.members, permitsRenewalEnd)
           && std::ranges::all_of(assignment.retired, permitsRenewalEnd);
}

auto advanceTakeover(Lease &lease, const Assignment &assignment, const Membership &membership,
                     const ControlSettings &settings, TimePoint now) -> bool
{
    auto changed = false;
    advanceDrainedEpoch(lease, assignment, membership, settings, now);
    for (const auto since : pendingTakeoverEpochs(lease))
        recordRenewalEnd(lease, assignment, membership, since, now);
    for (auto &assigned : lease.shares) {
        if (assigned.takenOver)
            continue;
        assigned.takenOver = isReleased(lease, assigned.share, membership)
                             || hasWaitEnded(lease, assigned.share.since, settings, now);
        changed = changed || assigned.takenOver;
    }
    if (changed)
        removeObsoleteWaits(lease);
    return changed;
}

auto nextTakeoverAt(const Lease &lease, const ControlSettings &settings, TimePoint now)
        -> std::optional<TimePoint>
{
    auto next = std::optional<TimePoint>();
    for (const auto &[since, endedAt] : lease.renewalsEndedAt) {
        const auto end = endedAt + settings.leaseTime + settings.clockDrift;
        if (end > now && (!next || end < *next))
            next = end;
    }
    return next;
}

auto heldShares(const Lease &lease) -> std::vector<HeldShare>
{
    auto held = std::vector<HeldShare>();
    for (const auto &assigned : lease.shares) {
        if (assigned.takenOver)
            held.push_back({assigned.share.leaf, assigned.share.ordinal, assigned.share.size});
    }
    return held;
}

} // namespace crocusreach

#include "lease.h"

#include <algorithm>
#include <set>
#include <span>
#include <utility>

namespace crocusreach {

namespace {

auto isOwn(const Lease &lease, const Share &share) -> bool
{
    return share.holder == lease.self && share.holderIncarnation == lease.incarnation;
}

// The own share of that leaf and ordinal; shares are ordered by both.
auto findOwn(std::span<const OwnShare> shares, const Share &share) -> const OwnShare *
{
    const auto key
            = [](const OwnShare &own) { return std::pair(own.share.leaf, own.share.ordinal); };
    const auto wanted = std::pair(share.leaf, share.ordinal);
    const auto found = std::ranges::lower_bound(shares, wanted, {}, key);
    return found == shares.end() || key(*found) != wanted ? nullptr : &*found;
}

// True if the holder's right goes on: nothing happened to the share since it was taken.
auto goesOn(const OwnShare &own, const Share &next) -> bool
{
    return own.share.since == next.since && own.share.size == next.size;
}

// Finds what the instance lost with the next assignment, and what it can say of it.
auto noteLosses(Lease &lease, const Assignment *former, const Assignment &next,
                std::span<const OwnShare> kept, const ControlSettings &settings) -> void
{
    const auto lost = [&](const OwnShare &own) {
        const auto *other = findOwn(kept, own.share);
        return other == nullptr || !goesOn(own, other->share);
    };
    // An instance that missed an epoch doesn't know who held its shares in between. The first
    // assignment that an instance learns can't follow one with it as a member: it is made a member
    // only after it has reported that it knows an assignment.
    auto unproven
            = former != nullptr && toUnderlying(next.epoch) != toUnderlying(former->epoch) + 1;
    for (const auto &own : lease.shares) {
        if (!lost(own))
            continue;
        if (!own.taken) {
            unproven = true;
            continue;
        }
        lease.lastLoss = next.epoch;
        if (lease.evidenceAt) {
            const auto end = *lease.evidenceAt + settings.leaseTime + settings.clockDrift;
            lease.lossEndsAt = std::max(lease.lossEndsAt, end);
        }
    }
    if (unproven)
        lease.unproven = next.epoch;
}

auto waitEnded(const Lease &lease, Epoch since, const ControlSettings &settings, TimePoint now)
        -> bool
{
    const auto found = lease.renewalsEndedAt.find(since);
    return found != lease.renewalsEndedAt.end()
           && now >= found->second + settings.leaseTime + settings.clockDrift;
}

// Starts the wait for an epoch as soon as nobody can renew a lease of an older one.
auto noteRenewalsEnded(Lease &lease, const Assignment &assignment, const Membership &membership,
                       Epoch since, TimePoint now) -> void
{
    if (!lease.renewalsEndedAt.contains(since) && renewalsEnded(assignment, membership, since))
        lease.renewalsEndedAt.emplace(since, now);
}

// True if the former holder reports the share as released. The instance's own losses of that epoch
// must have drained too, since a resized share may have been its own before.
auto isReleased(const Lease &lease, const Share &share, const Membership &membership) -> bool
{
    if (lease.drained < share.since)
        return false;
    if (share.formerHolder == lease.self && share.formerIncarnation == lease.incarnation)
        return true;
    const auto *former = findPeer(membership, share.formerHolder, share.formerIncarnation);
    return former != nullptr && former->drained >= share.since;
}

auto advanceDrained(Lease &lease, const Assignment &assignment, const Membership &membership,
                    const ControlSettings &settings, TimePoint now) -> void
{
    if (lease.drained >= assignment.epoch)
        return;
    if (lease.dispatchDrained < lease.lastLoss && now < lease.lossEndsAt)
        return;
    if (lease.unproven > lease.drained) {
        noteRenewalsEnded(lease, assignment, membership, lease.unproven, now);
        if (!waitEnded(lease, lease.unproven, settings, now))
            return;
    }
    lease.drained = assignment.epoch;
}

// The epochs that gave this instance shares that it hasn't taken yet.
auto untakenEpochs(const Lease &lease) -> std::set<Epoch>
{
    auto epochs = std::set<Epoch>();
    for (const auto &own : lease.shares) {
        if (!own.taken)
            epochs.insert(own.share.since);
    }
    return epochs;
}

// Forgets waits that neither a share nor a report of released shares needs any more.
auto forgetWaits(Lease &lease) -> void
{
    const auto untaken = untakenEpochs(lease);
    std::erase_if(lease.renewalsEndedAt, [&](const auto &entry) {
        const auto reported = entry.first != lease.unproven || lease.unproven <= lease.drained;
        return reported && !untaken.contains(entry.first);
    });
}

} // namespace

auto isMember(const Assignment &assignment, InstanceId id, Incarnation incarnation) -> bool
{
    const auto *member = findMember(assignment, id);
    return member != nullptr && member->incarnation == incarnation;
}

auto renews(const Assignment &assignment, const Lease &lease, const Heartbeat &state) -> bool
{
    const auto *self = findMember(assignment, lease.self);
    const auto *replier = findMember(assignment, state.from.id);
    if (self == nullptr || self->incarnation != lease.incarnation)
        return false;
    if (replier == nullptr || replier->incarnation != state.from.incarnation)
        return false;
    return replier->domain != self->domain && state.epoch == assignment.epoch;
}

auto noteEvidence(Lease &lease, TimePoint askedAt) -> void
{
    if (!lease.evidenceAt || *lease.evidenceAt < askedAt)
        lease.evidenceAt = askedAt;
}

auto leaseEnd(const Lease &lease, const ControlSettings &settings) -> TimePoint
{
    return lease.evidenceAt ? *lease.evidenceAt + settings.leaseTime : TimePoint();
}

auto adoptShares(Lease &lease, const Assignment *former, const Assignment &next,
                 const ControlSettings &settings) -> void
{
    auto shares = std::vector<OwnShare>();
    const auto member = isMember(next, lease.self, lease.incarnation);
    for (const auto &share : next.shares) {
        if (!member || !isOwn(lease, share))
            continue;
        const auto *own = findOwn(lease.shares, share);
        shares.push_back({share, own != nullptr && own->taken && goesOn(*own, share)});
    }
    noteLosses(lease, former, next, shares, settings);
    lease.shares = std::move(shares);
    forgetWaits(lease);
}

auto renewalsEnded(const Assignment &assignment, const Membership &membership, Epoch since) -> bool
{
    auto unaware = std::optional<DomainId>();
    const auto allows = [&](const Member &voter) {
        if (voter.id == membership.self && voter.incarnation == membership.selfIncarnation)
            return true;
        const auto *peer = findPeer(membership, voter.id, voter.incarnation);
        if (peer != nullptr && (peer->gone || peer->epoch >= since))
            return true;
        if (unaware && *unaware != voter.domain)
            return false;
        unaware = voter.domain;
        return true;
    };
    return std::ranges::all_of(assignment.members, allows)
           && std::ranges::all_of(assignment.retired, allows);
}

auto advanceTakeover(Lease &lease, const Assignment &assignment, const Membership &membership,
                     const ControlSettings &settings, TimePoint now) -> bool
{
    auto changed = false;
    advanceDrained(lease, assignment, membership, settings, now);
    for (const auto since : untakenEpochs(lease))
        noteRenewalsEnded(lease, assignment, membership, since, now);
    for (auto &own : lease.shares) {
        if (own.taken)
            continue;
        own.taken = isReleased(lease, own.share, membership)
                    || waitEnded(lease, own.share.since, settings, now);
        changed = changed || own.taken;
    }
    if (changed)
        forgetWaits(lease);
    return changed;
}

auto nextTakeover(const Lease &lease, const ControlSettings &settings, TimePoint now)
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
    for (const auto &own : lease.shares) {
        if (own.taken)
            held.push_back({own.share.leaf, own.share.ordinal, own.share.size});
    }
    return held;
}

} // namespace crocusreach

#pragma once

#include "clusterview.h"
#include "control.h"
#include "membership.h"
#include "types.h"

#include <map>
#include <optional>
#include <vector>

// The right of an instance to use its shares: the share lease, which replies of peers or the store
// renew, and the takeover of shares that moved to the instance.

namespace crocusreach {

// A share of the newest assignment that names this instance as its holder.
struct AssignedShare
{
    Share share;
    bool takenOver = false; // may be used while the lease lasts
};

struct Lease
{
    InstanceId self = {};
    Incarnation incarnation = {};
    // Start of the newest store read or heartbeat that confirmed the newest assignment. A lease
    // counts from the request, since a holder that was paused may see the reply much later.
    std::optional<TimePoint> renewedAt;
    std::vector<AssignedShare> shares; // ordered by leaf, then ordinal
    // For each epoch with a pending takeover or an unverified loss: when it became certain that no
    // lease of an older epoch can be renewed any more.
    std::map<Epoch, TimePoint> renewalsEndedAt;
    Epoch lastLossEpoch = {}; // newest epoch that took a share in use from this instance
    Epoch dispatchDrainedEpoch = {}; // newest one that the dispatch core reported as drained
    // Requests on lost shares end by this time even if the dispatch core doesn't report it, since
    // no request has a deadline after the lease that it was sent under.
    TimePoint lostSharesInUseUntil = {};
    // The instance doesn't know who used the shares that it lost up to this epoch. It reports them
    // as released only when all leases of older epochs have ended.
    Epoch unverifiedEpoch = {};
    Epoch drainedEpoch = {}; // reported in heartbeats
};

// True if the instance is a member with this incarnation.
auto isMember(const Assignment &assignment, InstanceId id, Incarnation incarnation) -> bool;

// True if a reply with this state renews the lease: it comes from a member in another failure
// domain whose newest known epoch is the assignment's.
auto isRenewal(const Assignment &assignment, const Lease &lease, const Heartbeat &state) -> bool;

// Renews the lease by the reply to a request sent at that time. A request older than the one that
// renewed the lease last changes nothing.
auto renewLease(Lease &lease, TimePoint requestSentAt) -> void;

// End of the share lease; the zero of the clock if it was never renewed.
auto leaseValidUntil(const Lease &lease, const ControlSettings &settings) -> TimePoint;

// Replaces the assigned shares by those of the next assignment. A share stays in use only if its
// holder and its size are unchanged; otherwise it needs a takeover. The former assignment may be
// null.
auto adoptShares(Lease &lease, const Assignment *former, const Assignment &next,
                 const ControlSettings &settings) -> void;

// True if no lease of an older epoch can be renewed any more: all voters (members and retired
// members) that have neither acknowledged the epoch nor terminated are in one failure domain, and
// only a voter in another failure domain renews a lease.
auto hasRenewalEnded(const Assignment &assignment, const Membership &membership, Epoch since)
        -> bool;

// Completes takeovers of shares that the former holder has released or whose wait has ended, and
// updates the epoch reported as drained. Returns true if a share was taken over.
auto advanceTakeover(Lease &lease, const Assignment &assignment, const Membership &membership,
                     const ControlSettings &settings, TimePoint now) -> bool;

// When the next wait for a takeover ends, if any.
auto nextTakeoverAt(const Lease &lease, const ControlSettings &settings, TimePoint now)
        -> std::optional<TimePoint>;

// The shares that may be used while the lease lasts. A leaf that was removed from the configuration
// stays until an assignment removes it, so that shares are lost only with a new epoch.
auto heldShares(const Lease &lease) -> std::vector<HeldShare>;

} // namespace crocusreach

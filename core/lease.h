#pragma once

#include "clusterview.h"
#include "control.h"
#include "membership.h"
#include "types.h"

#include <map>
#include <optional>
#include <vector>

// The right of an instance to use its shares: evidence that renews the share lease, and the
// takeover of shares that moved to it.

namespace crocusreach {

// A share of the newest assignment that names this instance as its holder.
struct AssignedShare
{
    Share share;
    bool takenOver = false; // the takeover is complete
};

struct Lease
{
    InstanceId self = {};
    Incarnation incarnation = {};
    // Start of the newest store read or heartbeat that confirmed the newest assignment.
    std::optional<TimePoint> renewedAt;
    std::vector<AssignedShare> shares; // ordered by leaf, then ordinal
    // For each epoch whose takeover matters here: when it became certain that no lease of an older
    // epoch can be renewed any more.
    std::map<Epoch, TimePoint> renewalsEndedAt;
    Epoch lastLossEpoch = {}; // newest epoch that took a completed share from this instance
    Epoch dispatchDrainedEpoch = {}; // newest epoch reported by the dispatch core
    // Requests on lost shares end by then even if the dispatch core doesn't report it, since no
    // request has a deadline after the lease that it was sent under.
    TimePoint lostSharesInUseUntil = {};
    // The instance can't tell who used the shares that it lost up to this epoch. It reports them as
    // released only when all leases of older epochs have ended.
    Epoch unverifiedEpoch = {};
    Epoch drainedEpoch = {}; // reported in heartbeats
};

// True if the instance is a member with this incarnation.
auto isMember(const Assignment &assignment, InstanceId id, Incarnation incarnation) -> bool;

// True if a reply with this state renews the lease: it comes from a member in another failure
// domain whose highest epoch is the assignment's.
auto isRenewal(const Assignment &assignment, const Lease &lease, const Heartbeat &state) -> bool;

// Notes evidence asked for at that time. Older evidence than the present one changes nothing.
auto renewLease(Lease &lease, TimePoint requestSentAt) -> void;

// End of the share lease; the zero of the clock if there is no evidence.
auto leaseValidUntil(const Lease &lease, const ControlSettings &settings) -> TimePoint;

// Takes over the rights that go on from the former assignment to the next one. A share goes on only
// if it kept its holder and its size. The former assignment may be null.
auto adoptShares(Lease &lease, const Assignment *former, const Assignment &next,
                 const ControlSettings &settings) -> void;

// True if all voters that have neither acknowledged the epoch nor are gone lie in one failure
// domain, so that nobody can renew a lease of an older epoch.
auto hasRenewalEnded(const Assignment &assignment, const Membership &membership, Epoch since)
        -> bool;

// Completes takeovers by release or after the wait, and finds whether losses can be reported as
// released. Returns true if a share was taken.
auto advanceTakeover(Lease &lease, const Assignment &assignment, const Membership &membership,
                     const ControlSettings &settings, TimePoint now) -> bool;

// When the next wait of a takeover ends, if one runs.
auto nextTakeoverAt(const Lease &lease, const ControlSettings &settings, TimePoint now)
        -> std::optional<TimePoint>;

// The shares that may be used while the lease lasts. A leaf that the configuration has dropped
// stays until the assignment drops it, so that shares are lost with epochs only.
auto heldShares(const Lease &lease) -> std::vector<HeldShare>;

} // namespace crocusreach

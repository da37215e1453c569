#pragma once

#include "types.h"

// Limits on the age of an instance's copy of the store's objects. The age counts from the moment up
// to which the copy is known to hold all changes. The operators' time limits bound the whole way of
// a change, from the store's confirmation to the last request that is handled without it, so all
// limits on parts of that way are derived here.

namespace crocusreach::forward {

// The operators' limits on the time until a change is in force.
struct ChangeTimeouts
{
    Duration routes = std::chrono::seconds(3);
    Duration evacuation = std::chrono::seconds(5);
    Duration drain = std::chrono::seconds(3); // until a removed leaf gets no more requests
};

struct CopyAgeLimits
{
    // An older copy may lack a change that must be in force.
    Duration outdated = {};
    // A copy that is read through a relay and gets older than this is read from the store instead.
    Duration refresh = {};
    // The store, or a relay, replies to a watch at least this often.
    Duration storeWait = {};
    Duration relayWait = {};
    // Pause before the next watch after a change, while many instances watch the store for want of
    // a relay.
    Duration crowdedPause = {};
    // A relay whose copy is older than this is given up for another one.
    Duration relayCopy = {};
    // Entries of leafs that run may have expired if the store failed for this time. A lost call
    // does not make a copy that old.
    Duration expiry = {};
    // A relay asks the store for a sign of life if it had none for this time.
    Duration probe = {};
};

auto copyAgeLimits(const ChangeTimeouts &timeouts) -> CopyAgeLimits;

// When a leaf gets its last request, if its entry was in the store at the first time and its
// removal becomes known at the second one.
auto lastUseOf(TimePoint entrySeenAt, TimePoint removalKnownAt, Duration drainTimeout) -> TimePoint;

// Entries that lapsed while the store was away return within this time after its end.
constexpr Duration entryReturnTime = std::chrono::seconds(2);
// A leaf whose entry may return is used for this long after the end: its return takes some time to
// become known.
constexpr Duration entryReturnTimeout = std::chrono::milliseconds(2500);

// The same for a removal that becomes known within entryReturnTime after an outage of the store.
auto lastUseAfterOutage(TimePoint outageEndedAt, TimePoint entrySeenAt, TimePoint removalKnownAt,
                        Duration drainTimeout) -> TimePoint;

} // namespace crocusreach::forward

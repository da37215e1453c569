#pragma once

#include "attempts.h"
#include "clusterview.h"
#include "dispatch.h"
#include "targets.h"
#include "timers.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

// The state of the dispatch core. Only the core's own modules and its tests include this.

namespace crocusreach {

// Each switch leaves out one decision, so that a test can show that the invariant behind it trips.
// Set by tests only.
struct DispatchMutations
{
    bool ignoreSlots = false;
    bool ignoreConnections = false;
    bool ignoreColdSlots = false;
    bool ignoreLease = false;
    bool ignoreOut = false;
    bool ignoreLeaving = false;
    bool ignoreQueueCapacity = false;
    bool trustNotRun = false; // takes a target's failure for a proof that it did not run
    bool resendAlways = false; // sends a lost request again without a proof
};

// What must end before this instance may report that it gave up shares.
struct DrainState
{
    Epoch newestEpoch = {}; // of the newest view
    std::optional<Epoch> pendingEpoch; // to be reported once nothing exceeds the limits
    Incarnation incarnation = {}; // of this instance, as the assignment last listed it
    // Epochs that took a share which was never usable here. Its former holder may still run.
    std::vector<Epoch> unverifiableEpochs;
};

struct DispatchState
{
    DispatchSettings settings;
    DispatchMutations mutations;
    ClusterViewPtr view; // null before the first
    bool selfOut = false;
    std::string selfName; // peer of refusals that arise here
    std::deque<LeafState> leafs; // slots are reused; references stay valid
    std::vector<std::uint32_t> unusedLeafs;
    std::unordered_map<LeafId, std::uint32_t> leafIndexes;
    AttemptTable attempts;
    DuplicateFilter duplicateFilter;
    TimerWheel attemptTimers; // by index of the attempt
    TimerWheel leafTimers; // by index of the leaf; the next health check
    DrainState drain;
    std::vector<WaitingEntry> scratchEntries; // entries to refuse, reused
};

} // namespace crocusreach

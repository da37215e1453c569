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

// Each flag disables one decision, so that a test can show that the check of the corresponding
// invariant detects it. Set by tests only.
struct DispatchMutations
{
    bool ignoreSlots = false;
    bool ignoreConnections = false;
    bool ignoreColdSlots = false;
    bool ignoreLease = false;
    bool ignoreOut = false;
    bool ignoreLeaving = false;
    bool ignoreQueueCapacity = false;
    bool trustNotRun = false; // takes any failure as proof that the request did not run
    bool resendAlways = false; // resends a lost request without proof that it did not run
};

// What must end before this instance may report that the shares it gave up are drained.
struct DrainState
{
    Epoch newestEpoch = {}; // of the views so far
    std::optional<Epoch> pendingEpoch; // to be reported once nothing exceeds the limits
    Incarnation incarnation = {}; // of this instance, as the assignment last listed it
    // Epochs in which this instance lost a share that an earlier holder may still use, because the
    // share was not usable here before or may have moved more than once between two views.
    std::vector<Epoch> unverifiableEpochs;
};

struct DispatchState
{
    DispatchSettings settings;
    DispatchMutations mutations;
    ClusterViewPtr view; // null before the first
    bool selfOut = false;
    std::string selfName; // reported as the peer of refusals by this instance
    std::deque<LeafState> leafs; // slots are reused; references stay valid
    std::vector<std::uint32_t> unusedLeafs;
    std::unordered_map<LeafId, std::uint32_t> leafIndexes;
    AttemptTable attempts;
    DuplicateFilter duplicateFilter;
    TimerWheel attemptTimers; // by index of the attempt
    TimerWheel leafTimers; // by index of the leaf; the next health check
    DrainState drain;
    std::vector<WaitingEntry> scratchEntries; // entries to refuse; kept to reuse its memory
};

} // namespace crocusreach

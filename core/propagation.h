#pragma once

#include "control.h"
#include "types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

// The newest configuration and assignment that an instance knows, and its calls to the store and to
// peers that keep them new.

namespace crocusreach {

// How long a watch stays pending at the store before it is made anew.
constexpr Duration watchTimeout = std::chrono::seconds(20);

// A call whose reply hasn't arrived this long after its timeout is given up by the core too.
constexpr Duration replyGrace = std::chrono::milliseconds(500);

// How long a watch may lag behind the reads and the peers that report a newer revision.
constexpr Duration maxWatchLag = std::chrono::seconds(1);

// A pull that isn't answered within this time is repeated, perhaps at another peer. A configuration
// that the instance's source doesn't offer within this time is pulled from any peer.
constexpr Duration pullTimeout = std::chrono::seconds(1);

struct PendingCall
{
    std::uint64_t callId = 0;
    StoreOperation operation = StoreOperation::Read;
    StateKind kind = StateKind::Configuration;
    TimePoint startedAt = {};
    TimePoint expiresAt = {};
    std::uint64_t version = 0; // newer than, or expected
    std::shared_ptr<const Assignment> assignment; // of a write
    // A newer revision became known, which this watch should report too; without a reply by then it
    // is silent.
    std::optional<TimePoint> silenceTimeoutAt;
};

struct Propagation
{
    std::shared_ptr<const Configuration> configuration; // never null
    std::shared_ptr<const LeafIndex> leafIndex; // never null
    std::shared_ptr<const Assignment> assignment; // never null; epoch 0 if unknown or absent
    bool assignmentKnown = false; // the store or a peer has said what it is, or that it is absent
    std::vector<PendingCall> pending;
    std::uint64_t nextCall = 1;
    std::uint64_t seed = 0; // of the jitter
    std::uint32_t consecutiveFailures = 0; // of the store in a row
    TimePoint storeBackoffUntil = {}; // end of the back-off
    TimePoint watchBackoffUntil = {}; // the same for watches; reads judge the store
    bool storeReachable = false;
    // Start of the newest completed read of each kind.
    std::optional<TimePoint> completedConfigurationReadAt;
    std::optional<TimePoint> completedAssignmentReadAt;
    // Last start of a read of each kind.
    std::optional<TimePoint> configurationReadStartedAt;
    std::optional<TimePoint> assignmentReadStartedAt;
    // A write without a reply may take effect later: the assignment is read back until then.
    std::optional<TimePoint> writeUncertainUntil;
    std::optional<TimePoint> newerConfigurationKnownSince; // a peer reported a newer one
    std::optional<TimePoint> configurationPulledAt;
    std::optional<TimePoint> assignmentPulledAt;
    std::uint64_t silentWatches = 0; // found so far
};

// Part of a duration between half and all of it, different at each call.
auto jittered(Propagation &propagation, Duration duration) -> Duration;

// Take a state if it is newer than the present one; true if so.
auto adoptConfiguration(Propagation &propagation, std::shared_ptr<const Configuration> newer,
                        TimePoint now) -> bool;
auto adoptAssignment(Propagation &propagation, std::shared_ptr<const Assignment> newer) -> bool;

auto isPending(const Propagation &propagation, StoreOperation operation, StateKind kind) -> bool;

// True if the back-off allows a call.
auto canCallStore(const Propagation &propagation, TimePoint now) -> bool;

auto startRead(Propagation &propagation, StateKind kind, const ControlSettings &settings,
               TimePoint now, ControlActions &actions) -> void;
auto startWatch(Propagation &propagation, const ControlSettings &settings, TimePoint now,
                ControlActions &actions) -> void;
auto startWrite(Propagation &propagation, std::shared_ptr<const Assignment> assignment,
                std::uint64_t expected, const ControlSettings &settings, TimePoint now,
                ControlActions &actions) -> void;

// Finds the call that a reply belongs to and notes if the store is reachable. Nothing if the call
// was given up.
auto completeCall(Propagation &propagation, const StoreReply &reply,
                  const ControlSettings &settings, TimePoint now) -> std::optional<PendingCall>;

// Gives up calls that got no reply, and silent watches.
auto expireCalls(Propagation &propagation, const ControlSettings &settings, TimePoint now) -> void;

// When a pending call is given up or the back-off ends.
auto nextStoreActionAt(const Propagation &propagation, TimePoint now) -> std::optional<TimePoint>;

// Asks a peer for the state if it reported a newer one and no pull is under way. Configurations are
// large; they come from the one peer that is the instance's source, so that no peer serves many.
auto pullNewerState(Propagation &propagation, const Heartbeat &state, InstanceId self,
                    bool fromSource, TimePoint now, ControlActions &actions) -> void;

// What a peer gets that asks.
auto answerFetch(const Propagation &propagation, const FetchState &fetch, InstanceId self)
        -> FetchedState;

} // namespace crocusreach

#pragma once

#include "control.h"
#include "types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

// The newest configuration and assignment that an instance knows, and the calls to the store and to
// peers that keep them up to date.

namespace crocusreach {

// How long a watch stays pending at the store before it is repeated.
constexpr Duration watchTimeout = std::chrono::seconds(20);

// The runtime replies to each call by its timeout. If no reply has arrived this long after it, the
// core abandons the call too.
constexpr Duration replyGrace = std::chrono::milliseconds(500);

// A watch counts as silent if it hasn't reported a newer revision this long after it became known
// from a read or a peer.
constexpr Duration maxWatchLag = std::chrono::seconds(1);

// A pull that isn't answered within this time is repeated, possibly from another peer. A
// configuration that the instance's source doesn't offer within this time is pulled from any peer.
constexpr Duration pullTimeout = std::chrono::seconds(1);

struct PendingCall
{
    std::uint64_t callId = 0;
    StoreOperation operation = StoreOperation::Read;
    StateKind kind = StateKind::Configuration;
    TimePoint startedAt = {};
    TimePoint expiresAt = {};
    std::uint64_t version = 0; // as in StoreCall
    std::shared_ptr<const Assignment> assignment; // of a write
    // Set on a watch when a newer revision became known, which it should report too. Without a
    // reply by this time it counts as silent.
    std::optional<TimePoint> silenceTimeoutAt;
};

struct Propagation
{
    std::shared_ptr<const Configuration> configuration; // never null
    std::shared_ptr<const LeafIndex> leafIndex; // never null
    std::shared_ptr<const Assignment> assignment; // never null; epoch 0 if unknown or absent
    bool assignmentKnown = false; // received from the store or a peer, or the store has none
    std::vector<PendingCall> pending;
    std::uint64_t nextCall = 1;
    std::uint64_t seed = 0; // for the jitter
    std::uint32_t consecutiveFailures = 0; // of calls to the store
    TimePoint storeBackoffUntil = {};
    TimePoint watchBackoffUntil = {}; // for watches alone: an unanswered one isn't a store failure
    bool storeReachable = false;
    // Start of the newest completed read of each kind.
    std::optional<TimePoint> completedConfigurationReadAt;
    std::optional<TimePoint> completedAssignmentReadAt;
    // Start of the last read of each kind, completed or not.
    std::optional<TimePoint> configurationReadStartedAt;
    std::optional<TimePoint> assignmentReadStartedAt;
    // A write without a reply may take effect later: the assignment is read back until this time.
    std::optional<TimePoint> writeUncertainUntil;
    std::optional<TimePoint> newerConfigurationKnownSince; // reported by a peer
    std::optional<TimePoint> configurationPulledAt;
    std::optional<TimePoint> assignmentPulledAt;
    std::uint64_t silentWatches = 0; // total
};

// A pseudo-random time between half of the duration and all of it.
auto jittered(Propagation &propagation, Duration duration) -> Duration;

// Replace the known state if the given one is newer. Return true if so.
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

// Removes the pending call that a reply belongs to and returns it, and records whether the store is
// reachable. Returns nothing if the call was abandoned before.
auto completeCall(Propagation &propagation, const StoreReply &reply,
                  const ControlSettings &settings, TimePoint now) -> std::optional<PendingCall>;

// Abandons calls that got no reply in time, and silent watches.
auto expireCalls(Propagation &propagation, const ControlSettings &settings, TimePoint now) -> void;

// When the next pending call is abandoned or the back-off ends.
auto nextStoreActionAt(const Propagation &propagation, TimePoint now) -> std::optional<TimePoint>;

// Requests a newer state from the peer that reported it, unless a pull is in progress.
// Configurations are large; they are pulled from the one peer that is this instance's source, so
// that no peer has to send them to many others.
auto pullNewerState(Propagation &propagation, const Heartbeat &state, InstanceId self,
                    bool fromSource, TimePoint now, ControlActions &actions) -> void;

// The reply to a peer's FetchState.
auto answerFetch(const Propagation &propagation, const FetchState &fetch, InstanceId self)
        -> FetchedState;

} // namespace crocusreach

#pragma once

#include "assignment.h"
#include "clusterview.h"
#include "coldstart.h"
#include "dispatch.h"
#include "latency.h"
#include "limiter.h"
#include "types.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

// The state of one leaf with shares held here: its limits, its connections, what operators, the
// instance list and the target itself say of it.

namespace crocusreach {

struct Connection
{
    bool busy = false; // its request may still run at the target
    bool open = false;
    StartNumber startNumber = {}; // of the process that replied on it; zero if none did
    // Of the request on it, while busy.
    bool unverified = false;
    StartNumber startNumberAtSend = {}; // current start when the request was sent
    std::uint32_t attempt = 0; // index
};

struct TargetCounters
{
    std::uint64_t sent = 0;
    std::uint64_t shed = 0;
    std::uint64_t silentConnections = 0;
};

// Why a probe is sent. A later one is the more urgent.
enum class ProbeKind : std::uint8_t {
    Health,
    RestartCheck, // after a lost connection
    SilentCheck, // after an attempt without a reply on an established connection
};

struct ProbeState
{
    bool outstanding = false;
    TimePoint sentAt = {};
    ProbeKind kind = ProbeKind::Health; // of the outstanding probe
    ProbeKind nextKind = ProbeKind::Health; // a check that is due once it has ended
    bool lastFailed = false; // so that the next one needs a new connection
};

struct LeafState
{
    bool used = false;
    LeafId id = {};
    std::string address;
    std::array<bool, maxSharesPerLeaf> heldShares = {}; // by ordinal
    ShareSize size; // sum of the shares held
    // DomainOut, ServiceOut, or UnknownService if the configuration doesn't list the leaf.
    Reason outReason = Reason::None;
    bool draining = false; // the current process said so
    bool listedLeaving = false; // the instance list said so last
    TargetListing listing = TargetListing::Unlisted;
    bool wasListed = false;
    ColdStart cold;
    TargetState targetState = TargetState::Unknown;
    TimePoint lastReplyAt = {};
    LatencyHistogram latency = makeLatencyHistogram();
    WaitingQueue waiting;
    std::vector<Connection> connections;
    std::uint32_t running = 0; // busy connections
    std::uint32_t unverified = 0; // of them, those with requests on unverified connections
    ProbeState probe;
    TargetCounters counters;
};

auto rampLimits(const LeafState &leaf) -> RampLimits;

auto hasShare(const LeafState &leaf) -> bool;

// True if a connection is kept free for probes. Without one a probe could exceed the cap.
auto canProbe(const LeafState &leaf) -> bool;

// Number of connections that requests may use.
auto requestConnectionLimit(const ShareSize &size) -> std::size_t;

// Why the leaf gets no new work; Reason::None if it may.
auto leafRefusalReason(const LeafState &leaf) -> Reason;

// True if the connection has shown the identity of the current process.
auto isVerified(const LeafState &leaf, const Connection &connection) -> bool;

// Concurrency that the leaf may get now.
auto concurrencyLimit(const LeafState &leaf, const DispatchSettings &settings) -> std::uint32_t;

// Requests that the current process may be running.
auto runningOnCurrentProcess(const LeafState &leaf) -> std::uint32_t;

// What the leaf uses of its limits, counted anew from its connections.
struct Usage
{
    std::uint32_t running = 0;
    std::uint32_t unverified = 0;
    std::uint32_t connections = 0; // busy or open
};

auto countUsage(const LeafState &leaf) -> Usage;

// True if what the leaf uses exceeds its limits, because a share was lost or became smaller.
auto isOverLimits(const LeafState &leaf, const DispatchSettings &settings) -> bool;

// Connections that could carry the next request.
struct ConnectionChoice
{
    std::optional<std::size_t> verified; // open and idle
    std::optional<std::size_t> closed;
    std::optional<std::size_t> unverified; // open and idle
};

auto chooseConnections(const LeafState &leaf) -> ConnectionChoice;

// True if the request on a busy connection can only have reached a process that has ended.
auto isSentToEndedProcess(const LeafState &leaf, const Connection &connection) -> bool;

auto occupyConnection(LeafState &leaf, std::size_t index, std::uint32_t attempt, bool unverified)
        -> void;
auto freeConnection(LeafState &leaf, std::size_t index) -> void;

// Marks idle connections closed and forgets those that exceed the limits.
auto closeIdleConnections(LeafState &leaf) -> void;

// Fits the ramp to limits that have changed. A ramp that isn't complete starts again if they became
// smaller: its concurrency was that of the larger share.
auto resizeRamp(LeafState &leaf, const ShareSize &before, TimePoint now) -> void;

// Starts the ramp again and treats all connections as unverified.
auto beginColdStart(LeafState &leaf, TimePoint now) -> void;

// Takes in the identity and state that a reply or a health page shows. Returns false if they are
// those of an ended process.
auto recordTargetIdentity(LeafState &leaf, std::string_view startId, TargetState state,
                          TimePoint now) -> bool;

// Takes in that a reply has shown the current identity. Doubts is the leaf's number of doubts when
// its request was sent: a request sent before the latest doubt can't resolve it.
auto confirmIdentity(LeafState &leaf, std::uint32_t identityGeneration) -> void;

// Takes in what the instance list says. Returns true if the target came back in the list.
auto recordListing(LeafState &leaf, TargetListing listing) -> bool;

// When an attempt sent at a time counts as silent; nothing if the service times aren't known.
auto silenceTimeoutAt(LeafState &leaf, const DispatchSettings &settings, TimePoint sentAt,
                      TimePoint now) -> std::optional<TimePoint>;

} // namespace crocusreach

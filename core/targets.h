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

// The state of one leaf with shares held here: its limits, its connections, and what is known of it
// from operators, the instance list and the target itself.

namespace crocusreach {

struct Connection
{
    bool busy = false; // its request may still run at the target
    bool open = false;
    StartNumber startNumber = {}; // of the process that last replied on it; zero if none did
    // Of the request on it, while busy.
    bool unverified = false;
    StartNumber startNumberAtSend = {}; // of the current process when the request was sent
    std::uint32_t attempt = 0; // index
};

struct TargetCounters
{
    std::uint64_t sent = 0;
    std::uint64_t shed = 0;
    std::uint64_t silentConnections = 0;
};

// Why a probe is sent, in increasing urgency.
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
    ProbeKind nextKind = ProbeKind::Health; // of the probe to send afterwards; Health if none
    bool lastFailed = false; // the next one then needs a new connection
};

struct LeafState
{
    bool used = false;
    LeafId id = {};
    std::string address;
    std::array<bool, maxSharesPerLeaf> heldShares = {}; // by ordinal
    ShareSize size; // sum of the shares held
    // DomainOut, ServiceOut, or UnknownService if the configuration doesn't list the leaf; else
    // None.
    Reason outReason = Reason::None;
    bool draining = false; // reported by the current process
    bool listedLeaving = false; // according to the instance list
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

// True if a connection is reserved for probes. Otherwise a probe could exceed the connection limit.
auto canProbe(const LeafState &leaf) -> bool;

// Number of connections that requests may use; one may be reserved for probes.
auto requestConnectionLimit(const ShareSize &size) -> std::size_t;

// Why the leaf gets no new requests; Reason::None if it may get them.
auto leafRefusalReason(const LeafState &leaf) -> Reason;

// True if a reply has shown that the connection leads to the current process.
auto isVerified(const LeafState &leaf, const Connection &connection) -> bool;

// Number of concurrent requests that the leaf may get now.
auto concurrencyLimit(const LeafState &leaf, const DispatchSettings &settings) -> std::uint32_t;

// Requests that the current process may be running.
auto runningOnCurrentProcess(const LeafState &leaf) -> std::uint32_t;

// What the leaf uses of its limits, recounted from its connections.
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

// Marks idle connections as closed and removes those that exceed the limits.
auto closeIdleConnections(LeafState &leaf) -> void;

// Adapts the ramp to changed limits. An incomplete ramp restarts if they became smaller, because
// its concurrency was reached with the larger share.
auto resizeRamp(LeafState &leaf, const ShareSize &before, TimePoint now) -> void;

// Restarts the ramp and treats all connections as unverified.
auto beginColdStart(LeafState &leaf, TimePoint now) -> void;

// Updates the leaf from the identity and the state in a reply or a health page. Returns false if
// they are those of an ended process.
auto recordTargetIdentity(LeafState &leaf, std::string_view startId, TargetState state,
                          TimePoint now) -> bool;

// Confirms the identity after a reply has shown it. identityGeneration is its value when the
// request was sent: a request sent before the identity became unconfirmed can't confirm it.
auto confirmIdentity(LeafState &leaf, std::uint32_t identityGeneration) -> void;

// Updates the leaf from the instance list. Returns true if the target is listed as live again.
auto recordListing(LeafState &leaf, TargetListing listing) -> bool;

// When an attempt sent at the given time is treated as silent; nothing if the service times aren't
// known.
auto silenceTimeoutAt(LeafState &leaf, const DispatchSettings &settings, TimePoint sentAt,
                      TimePoint now) -> std::optional<TimePoint>;

} // namespace crocusreach

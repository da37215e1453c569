#pragma once

#include "clusterview.h"
#include "messages.h"
#include "types.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// The dispatch core of a holder, which is an instance that holds shares of leafs. It decides which
// waiting leaf request goes to which target, when, and over which connection, within the limits of
// the shares held.

namespace crocusreach {

struct DispatchSettings
{
    std::size_t queueCapacity = 64; // requests waiting per share
    Duration rampStepDuration = std::chrono::seconds(2);
    std::uint32_t rampStepReplies = 8; // minimum replies in a step, none of them a shed
    // An attempt is treated as silent after the larger of these two. They are long, because closing
    // a connection that only waits for a slow reply occupies its slot until the deadline, and
    // hedges cover the query meanwhile.
    Duration minSilenceTimeout = std::chrono::milliseconds(250);
    double silenceTimeoutFactor = 5.0; // times the leaf's p99
    Duration healthInterval = std::chrono::seconds(1);
    // Off only in measurements that compare with a system without the ramp.
    bool coldRamp = true;
};

// Index of a connection within a leaf's share. Each has at most one request at a time.
enum class ConnectionIndex : std::uint16_t {};

// Sends one request over one connection. If allowConnect is false and the connection isn't open,
// the runtime reports ConnectionLost with Outcome::NotRun instead of opening one. A request that
// isn't idempotent needs a fresh connection: one that is open under the same index is closed first.
// NotRun is accepted only with a reason that proves it. If allowConnect is true and the connection
// is lost, the runtime reports ConnectFailed if nothing was sent, and Outcome::Unknown otherwise.
struct SendTargetRequest
{
    SendId send = {};
    LeafId leaf = {};
    std::string address;
    ConnectionIndex connection = {};
    bool allowConnect = false;
    bool idempotent = true;
    ShardNumber shard = {};
    IndexVersion version = {};
    LayoutVersion layout = {};
    TimePoint deadline = {};
    std::string requestId;
    std::shared_ptr<const std::string> body;
};

// Requests the health page of a target over a connection that takes up no slot. newConnection
// replaces that connection by a fresh one: a leaf has at most one connection for probes. Exactly
// one ProbeReply follows; the holder waits for it, so the runtime should time out after about a
// second.
struct ProbeTarget
{
    LeafId leaf = {};
    std::string address;
    bool newConnection = false;
};

// Ends a send early. With closeConnection the connection is closed even if the reply has come in
// the meantime, and the TargetReply says that it isn't open.
struct CancelTargetRequest
{
    SendId send = {};
    bool closeConnection = false;
};

// Closes idle connections of a leaf, the one for probes too: its share was released or became
// smaller, its address changed, or a request needs a fresh connection.
struct CloseTargetConnections
{
    LeafId leaf = {};
};

struct SendLeafReply
{
    InstanceId origin = {};
    LeafReply reply;
};

// Tells the control core that no request runs any longer on the shares that this instance gives up.
struct SharesDrained
{
    Epoch epoch = {};
};

using DispatchAction = std::variant<SendTargetRequest, ProbeTarget, CancelTargetRequest,
                                    CloseTargetConnections, SendLeafReply, SharesDrained>;
using DispatchActions = std::vector<DispatchAction>;

// The reply, or the failure, of one SendTargetRequest. Exactly one follows each, also after a
// cancel.
struct TargetReply
{
    SendId send = {};
    LeafId leaf = {};
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    std::string startId; // empty if no reply came
    TargetState state = TargetState::Unknown;
    double load = 0;
    bool openedConnection = false; // a new connection was opened for it
    bool connectionOpen = false; // the connection can carry a further request
    IndexVersion version = {};
    LayoutVersion layout = {};
    std::vector<IndexVersion> servedVersions;
    std::vector<ResultRow> rows;
    Duration connecting = {};
    Duration elapsed = {};
};

struct ProbeReply
{
    LeafId leaf = {};
    bool answered = false;
    std::string startId;
    TargetState state = TargetState::Unknown;
    double load = 0;
};

struct ViewChanged
{
    ClusterViewPtr view;
};

struct Tick
{ };

using DispatchEvent
        = std::variant<LeafRequest, CancelLeafRequest, TargetReply, ProbeReply, ViewChanged, Tick>;

struct DispatchState;

struct DispatchStateDeleter
{
    auto operator()(DispatchState *state) const -> void;
};

using DispatchStatePtr = std::unique_ptr<DispatchState, DispatchStateDeleter>;

auto makeDispatchState(const DispatchSettings &settings) -> DispatchStatePtr;

// Handles one event. Actions are appended.
auto handle(DispatchState &state, const DispatchEvent &event, TimePoint now,
            DispatchActions &actions) -> void;

// The same for an event that is no longer needed: rows are moved, not copied.
auto handle(DispatchState &state, DispatchEvent &&event, TimePoint now, DispatchActions &actions)
        -> void;

// When the state next needs a Tick, if at all.
auto nextTickAt(const DispatchState &state) -> std::optional<TimePoint>;

// One row per leaf with a share held here, for metrics and the status page.
struct LeafStatus
{
    LeafId leaf = {};
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t concurrencyLimit = 0; // concurrency that the ramp allows now
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    TargetState targetState = TargetState::Unknown;
    bool cold = false;
    bool leaving = false;
    bool out = false;
    Duration p50 = {};
    Duration p99 = {};
    std::uint64_t sent = 0;
    std::uint64_t shed = 0;
    std::uint64_t silentConnections = 0;
};

auto leafStatus(const DispatchState &state) -> std::vector<LeafStatus>;

// Requests waiting or running, for a graceful stop.
auto requestsInFlight(const DispatchState &state) -> std::size_t;

} // namespace crocusreach

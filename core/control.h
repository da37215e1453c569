#pragma once

#include "clusterview.h"
#include "dispatch.h"
#include "types.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

// The control decisions of an instance: who is a member of its cell, which shares it may use until
// when, and which configuration is the newest.

namespace crocusreach {

struct ControlSettings
{
    Member self;
    std::string cell;
    // IP:port of peers that get heartbeats until they are known from the assignment.
    std::vector<std::string> bootstrapAddresses;
    Duration heartbeatInterval = std::chrono::milliseconds(500);
    Duration suspectAfter = std::chrono::seconds(2);
    Duration leaseTime = std::chrono::seconds(4);
    Duration clockDrift = std::chrono::milliseconds(250);
    Duration watchCheckInterval = std::chrono::seconds(2);
    Duration listInterval = std::chrono::seconds(2);
    Duration storeTimeout = std::chrono::seconds(1);
    Duration storeBackoffLimit = std::chrono::seconds(5);
    std::size_t cellCapacity = 12; // members
};

// Sent between the instances of a cell. Times are on the sender's clock; the receiver echoes them
// and compares them only with other times of the same sender.
struct Heartbeat
{
    Member from;
    TimePoint sentAt = {};
    Epoch epoch = {}; // newest assignment known
    Revision revision = {}; // newest configuration known
    Epoch drainedEpoch = {}; // no request runs any more on shares that the sender lost up to it
    bool leaving = false;
    bool storeReachable = false;
    std::vector<InstanceId> suspects;
};

struct HeartbeatReply
{
    Heartbeat state; // of the replier, with sentAt unused
    TimePoint echo = {}; // sentAt of the heartbeat replied to
};

enum class StateKind : std::uint8_t { Configuration, Assignment };

// Asks a peer for its configuration or assignment if newer than the given version.
struct FetchState
{
    InstanceId from = {}; // the instance that asks
    StateKind kind = StateKind::Configuration;
    std::uint64_t newerThan = 0;
};

struct FetchedState
{
    InstanceId from = {}; // the peer that answered
    std::shared_ptr<const Configuration> configuration; // null if not asked for or not newer
    std::shared_ptr<const Assignment> assignment;
};

enum class StoreOperation : std::uint8_t { Read, Watch, Write };

// Each call gets one StoreReply; after the timeout the runtime replies with StoreStatus::Unknown.
struct StoreCall
{
    std::uint64_t callId = 0; // repeated in the reply
    StoreOperation operation = StoreOperation::Read;
    StateKind kind = StateKind::Configuration;
    // Read and Watch: the version already known; the reply is NotModified unless the object is
    // newer. Write: the version to replace; the reply is Conflict if the object has another one. 0
    // means absent or unknown.
    std::uint64_t version = 0;
    std::shared_ptr<const Assignment> assignment; // Write
    Duration timeout = {};
};

enum class StoreStatus : std::uint8_t { Ok, NotModified, Absent, Conflict, Invalid, Unknown };

struct StoreReply
{
    std::uint64_t callId = 0;
    StoreStatus status = StoreStatus::Unknown;
    std::uint64_t version = 0; // of the object
    std::shared_ptr<const Configuration> configuration; // validated, with its revision set
    std::shared_ptr<const Assignment> assignment; // validated, with its epoch set
};

struct ListedInstance
{
    std::string name;
    std::string address;
    Incarnation incarnation = {}; // 0 if the platform doesn't report it
    bool leaving = false;
};

// The platform's instance list covers crocusreach instances and targets, by address.
struct InstanceListReply
{
    bool answered = false;
    std::vector<ListedInstance> instances;
};

struct ReadInstanceList
{ };

struct StopRequested
{ };

// The connection that this instance opened to the peer at this address is established.
struct PeerConnected
{
    std::string address;
};

struct PeerDisconnected
{
    std::string address;
};

using ControlEvent = std::variant<Heartbeat, HeartbeatReply, FetchState, FetchedState, StoreReply,
                                  InstanceListReply, SharesDrained, StopRequested, PeerConnected,
                                  PeerDisconnected, Tick>;

struct SendHeartbeat
{
    std::string address;
    Heartbeat heartbeat;
};

struct SendHeartbeatReply
{
    InstanceId to = {};
    std::string address;
    HeartbeatReply reply;
};

struct SendFetchState
{
    std::string address;
    FetchState fetch;
};

struct SendFetchedState
{
    InstanceId to = {};
    FetchedState state;
};

struct PublishView
{
    ClusterViewPtr view;
};

using ControlAction = std::variant<SendHeartbeat, SendHeartbeatReply, SendFetchState,
                                   SendFetchedState, StoreCall, ReadInstanceList, PublishView>;
using ControlActions = std::vector<ControlAction>;

struct ControlState;

struct ControlStateDeleter
{
    auto operator()(ControlState *state) const -> void;
};

using ControlStatePtr = std::unique_ptr<ControlState, ControlStateDeleter>;

auto makeControlState(const ControlSettings &settings) -> ControlStatePtr;

// Handles one event. Actions are appended.
auto handle(ControlState &state, const ControlEvent &event, TimePoint now, ControlActions &actions)
        -> void;
auto nextTickAt(const ControlState &state) -> std::optional<TimePoint>;

// The newest published view.
auto currentView(const ControlState &state) -> ClusterViewPtr;

} // namespace crocusreach

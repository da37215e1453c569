#pragma once

#include "forwardmessages.h"
#include "objectcache.h"
#include "routing.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Keeps what the platform's store holds known here: lists each kind of object once, then watches
// it, and lists again after a gap. Calls to the store are dear and limited over all instances.
// Therefore an instance of a large deployment watches one of a few other instances (its seeds)
// instead, which watch the store, and turns to the store itself only if these fail or fall behind.

namespace crocusreach::forward {

// Calls.

struct ListObjects
{
    ObjectKind kind = ObjectKind::Routes;
    std::string after; // continue after this name; empty: from the start
};

struct WatchObjects
{
    ObjectKind kind = ObjectKind::Routes;
    std::uint64_t revision = 0; // changes after this one
    Duration maxWait = {}; // the source answers without a change after this time
};

// Creates the entry of this instance.
struct RegisterInstance
{
    std::string name;
};

// The cheapest call that proves that the store answers.
struct ProbeStore
{ };

using StoreRequest = std::variant<ListObjects, WatchObjects, RegisterInstance, ProbeStore>;

// One call of a channel runs at a time. The first channels are those of the kinds of objects.
enum class Channel : std::uint8_t { Routes, Evacuations, Leafs, Instances, Register, Probe, Count };

constexpr auto storeChannelCount = static_cast<std::size_t>(Channel::Count);

struct StoreCall
{
    Channel channel = Channel::Routes;
    std::string address; // of another instance; empty: the store
    StoreRequest request;
    Duration timeout = {}; // without a reply for so long, the call has failed
};

// Ends the calls of the channels of objects. They get no reply.
struct CancelObjectCalls
{ };

// Events.

struct ObjectsListed
{
    std::vector<StoredObject> objects;
    std::string continueAfter; // set if there is more
    std::uint64_t revision = 0;
};

struct ObjectsChanged
{
    std::vector<StoredObject> objects;
    std::uint64_t revision = 0;
};

// The changes since the watched revision are no longer kept.
struct RevisionCompacted
{ };

enum class StoreFailure : std::uint8_t {
    Unreachable,
    Refused,
    Invalid,
    Stale, // another instance answers, but has had no word from the store for too long
};

auto toString(StoreFailure failure) -> std::string_view;

struct CallFailed
{
    StoreFailure failure = StoreFailure::Unreachable;
};

// Answer to a registration or a probe.
struct CallSucceeded
{ };

using StoreReplyContent
        = std::variant<ObjectsListed, ObjectsChanged, RevisionCompacted, CallFailed, CallSucceeded>;

struct StoreReply
{
    Channel channel = Channel::Routes;
    StoreReplyContent content;
    // How long ago the instance that answers has last had word from the store.
    std::optional<Duration> storeAge;
};

struct StoreReaderTick
{ };

using StoreEvent = std::variant<StoreReply, StoreReaderTick>;

// What the log is told.

enum class StoreNotificationKind : std::uint8_t { Unreachable, Reachable, SourceChanged };

struct StoreNotification
{
    StoreNotificationKind kind = StoreNotificationKind::Unreachable;
    Channel channel = Channel::Routes;
    std::optional<StoreFailure> failure;
    std::string source; // address of an instance; empty: the store
};

auto toString(Channel channel) -> std::string_view;

struct ObjectRejected
{
    std::string name;
    Error error;
};

// Calls go out, the forwarder's events to the forwarder.
using StoreReaderAction = std::variant<StoreCall, CancelObjectCalls, ForwardEvent,
                                       StoreNotification, ObjectRejected>;

struct ChannelState
{
    bool running = false;
    bool failureReported = false; // the log was told of a failure
    bool blocked = false; // waits for the success of another channel's call
    std::optional<TimePoint> callAt; // time of the next call
    TimePoint callStartedAt = {};
    Duration retryDelay = {}; // after the latest failure
    std::uint32_t failures = 0; // in a row
    // Of the channels of objects:
    bool listed = false; // watch from the cache's revision
    std::string continueAfter; // of a list in progress
    std::uint64_t listRevision = 0; // of its first page
};

struct StoreReaderSettings
{
    std::string instance;
    std::vector<std::string> relays; // addresses of other instances that watch the store
    bool isRelay = false;
};

struct StoreReader
{
    StoreReaderSettings settings;
    RandomState random;
    ObjectCache cache;
    std::array<ChannelState, storeChannelCount> channels;
    std::optional<std::size_t> relay; // that is watched; the store if absent
    std::size_t failedRelays = 0; // in a row
    std::optional<TimePoint>
            preferredRelayRetryAt; // when its own seed is tried again, while on another one
    TimePoint storeFallbackUntil
            = {}; // the store is watched until then, after all seeds have failed
    std::optional<TimePoint> storeFailedAt; // latest failure of a call to the store
    std::optional<TimePoint>
            storeConfirmedAt; // start of the latest call that the store has answered
    std::optional<TimePoint> lastRelayCallAt; // latest call of another instance
    bool stateRead = false; // all kinds that requests depend on
};

// Starts the first calls.
auto startReading(StoreReader &reader, const StoreReaderSettings &settings, TimePoint now,
                  std::vector<StoreReaderAction> &actions) -> void;

// Takes in changed settings. A source that they no longer name is left.
auto changeSettings(StoreReader &reader, const StoreReaderSettings &settings, TimePoint now,
                    std::vector<StoreReaderAction> &actions) -> void;

auto handle(StoreReader &reader, const StoreEvent &event, TimePoint now,
            std::vector<StoreReaderAction> &actions) -> void;

auto nextTickAt(const StoreReader &reader) -> std::optional<TimePoint>;

// True once every kind that requests depend on was read whole.
auto hasReadState(const StoreReader &reader) -> bool;

// Another instance reads from this one: word from the store is sought often from now on.
auto recordRelayCall(StoreReader &reader, TimePoint now) -> void;

// How long ago the store has last answered a call; for other instances.
auto storeAge(const StoreReader &reader, TimePoint now) -> std::optional<Duration>;

} // namespace crocusreach::forward

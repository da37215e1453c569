#pragma once

#include "forwardmessages.h"
#include "routing.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Keeps what the platform's store holds known here: lists each kind of object once, then watches
// it, and lists again after a gap. Calls are dear and limited over all instances, so that at most
// one call of a kind runs and failures are followed by growing pauses.

namespace crocusreach::forward {

enum class ObjectKind : std::uint8_t { Routes, Evacuations, Leafs, Instances, Count };

auto toString(ObjectKind kind) -> std::string_view;

struct EvacuatedDomain
{
    std::string domain;
};

// Another instance, or this one.
struct RegisteredInstance
{
    std::string name;
};

// An object that can't be used. It counts as absent.
struct UnusableObject
{
    Error error;
};

using ObjectContent = std::variant<RouteTablePtr, EvacuatedDomain, LeafRecord, RegisteredInstance,
                                   UnusableObject>;

struct StoredObject
{
    std::string name;
    bool deleted = false; // the content then means nothing
    ObjectContent content;
};

// Calls.

struct ListObjects
{
    ObjectKind kind = ObjectKind::Routes;
    std::string after; // continue after this name; empty: from the start
    bool staleAllowed = false; // the answer may be seconds old and costs less
};

struct WatchObjects
{
    ObjectKind kind = ObjectKind::Routes;
    std::uint64_t revision = 0; // changes after this one
    Duration wait = {}; // the store answers without a change after this time
};

// Creates the entry of this instance.
struct RegisterInstance
{
    std::string name;
};

using StoreRequest = std::variant<ListObjects, WatchObjects, RegisterInstance>;

// Events.

struct ObjectsListed
{
    ObjectKind kind = ObjectKind::Routes;
    std::vector<StoredObject> objects;
    std::string continueAfter; // set if there is more
    std::uint64_t revision = 0;
};

struct ObjectsChanged
{
    ObjectKind kind = ObjectKind::Routes;
    std::vector<StoredObject> objects;
    std::uint64_t revision = 0;
};

// The changes since the watched revision are no longer kept.
struct HistoryGone
{
    ObjectKind kind = ObjectKind::Routes;
};

enum class StoreFailure : std::uint8_t { Unreachable, Refused, Invalid };

auto toString(StoreFailure failure) -> std::string_view;

struct StoreCallFailed
{
    ObjectKind kind = ObjectKind::Routes;
    StoreFailure failure = StoreFailure::Unreachable;
};

// The entry exists, whoever has created it.
struct InstanceRegistered
{ };

struct StoreReaderTick
{ };

using StoreEvent = std::variant<ObjectsListed, ObjectsChanged, HistoryGone, StoreCallFailed,
                                InstanceRegistered, StoreReaderTick>;

// What the log is told of the connection to the store.
enum class StoreNotice : std::uint8_t { Lost, Regained };

struct StoreNotification
{
    StoreNotice notice = StoreNotice::Lost;
    ObjectKind kind = ObjectKind::Routes;
    std::optional<StoreFailure> failure;
};

struct ObjectRejected
{
    std::string name;
    Error error;
};

// Requests go to the store, the forwarder's events to the forwarder.
using StoreReaderAction
        = std::variant<StoreRequest, ForwardEvent, StoreNotification, ObjectRejected>;

struct KindReader
{
    bool callRunning = false;
    bool listed = false; // a whole list was taken in; watch from the revision
    std::uint64_t revision = 0;
    std::optional<TimePoint> callAt; // time of the next call
    Duration pause = {}; // after the latest failure
    std::optional<TimePoint> failedAt; // latest failure
    bool lost = false; // the log was told of a failure
    std::string continueAfter; // of a list in progress
    std::set<std::string, std::less<>> listing; // names in the list in progress
    std::set<std::string, std::less<>> known;
};

struct StoreReader
{
    std::string instanceName;
    bool registered = false;
    bool countedOnce = false; // instances were listed
    bool countedTwice = false;
    RandomState random;
    std::array<KindReader, static_cast<std::size_t>(ObjectKind::Count)> kinds;
};

// Starts the first calls.
auto startReading(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void;

auto handle(StoreReader &reader, const StoreEvent &event, TimePoint now,
            std::vector<StoreReaderAction> &actions) -> void;

auto nextWake(const StoreReader &reader) -> std::optional<TimePoint>;

// True once every kind that requests depend on was read whole.
auto hasRead(const StoreReader &reader) -> bool;

} // namespace crocusreach::forward

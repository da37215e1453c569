#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

// Strong ids, time, reasons and errors that all packages share.

namespace crocusreach {

// Clock of the core. It never goes back, and it advances while the process is stopped
// (CLOCK_BOOTTIME in the runtime). The core never reads it: the time is a parameter of each call.
struct MonotonicClock
{
    // The names are those that the standard requires of a clock.
    // NOLINTBEGIN(readability-identifier-naming)
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;
    // NOLINTEND(readability-identifier-naming)
};

using Duration = MonotonicClock::duration;
using TimePoint = MonotonicClock::time_point;
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

// Ids of named things are a 64-bit hash of the name, so that they stay the same when the
// configuration changes. Validation of a configuration rejects a collision.
enum class ServiceId : std::uint64_t {};
enum class LeafId : std::uint64_t {};
enum class DomainId : std::uint64_t {};
enum class InstanceId : std::uint64_t {};

enum class ShardNumber : std::uint32_t {};
enum class IndexVersion : std::uint64_t {};
enum class LayoutVersion : std::uint32_t {};

// Version of a cell's assignment; it only grows.
enum class Epoch : std::uint64_t {};
// Version of the configuration; it only grows.
enum class Revision : std::uint64_t {};
// Number of one start of an instance; a later start of the same instance has a larger one.
enum class Incarnation : std::uint64_t {};

// Unique among the queries of one instance.
enum class QueryId : std::uint64_t {};
// Unique among the leaf requests that one instance originates.
enum class AttemptId : std::uint64_t {};
// Unique among the requests that one instance sends to targets.
enum class SendId : std::uint64_t {};

template <typename Id>
constexpr auto toUnderlying(Id id) -> std::underlying_type_t<Id>
{
    return static_cast<std::underlying_type_t<Id>>(id);
}

// Hash of a name, for the ids above.
auto hashName(std::string_view name) -> std::uint64_t;
// Hash of two values, for rendezvous hashing.
auto hashPair(std::uint64_t left, std::uint64_t right) -> std::uint64_t;

auto serviceId(std::string_view name) -> ServiceId;
auto leafId(std::string_view service, std::string_view leaf) -> LeafId;
auto domainId(std::string_view name) -> DomainId;
auto instanceId(std::string_view name) -> InstanceId;

// What is known about a request: it ran, it provably did not run, or neither can be proved.
enum class Outcome : std::uint8_t { Done, NotRun, Unknown };

// Why a leaf request or a query was refused, retried or ended without a result.
enum class Reason : std::uint8_t {
    None,
    BadRequest,
    UnknownService,
    ServiceOut,
    DomainOut,
    InstanceOut,
    Stopping,
    Overloaded,
    QueueFull,
    DeadlineTooShort,
    DeadlineExceeded,
    Cancelled,
    NoReplica,
    NotHolder,
    NoLease,
    HolderUnreachable,
    HolderLost,
    ColdTarget,
    TargetLeaving,
    TargetShed,
    TargetExpired,
    TargetError,
    VersionNotServed,
    LayoutNotServed,
    ConnectFailed,
    ConnectionLost,
    ConnectionSilent,
    BadReply,
    ClaimTaken,
    StoreUnavailable,
    Count
};

// The step on the path of a request at which a failure or a refusal arose.
enum class Step : std::uint8_t {
    Settings,
    Configuration,
    Sheet,
    Accept,
    Plan,
    Claim,
    Route,
    PeerCall,
    Queue,
    Connect,
    TargetCall,
    Merge,
    Store,
    InstanceList,
    Control,
    Administration,
    Count
};

// Lower-case names with underscores, as used in JSON, metrics and logs.
auto toString(Outcome outcome) -> std::string_view;
auto toString(Reason reason) -> std::string_view;
auto toString(Step step) -> std::string_view;

// The inverse of toString(Reason); Reason::Count if the name is unknown.
auto reasonFromString(std::string_view name) -> Reason;

// An error with the step and the peer (instance, target, file and line) at which it arose.
struct Error
{
    Step step = Step::Control;
    std::string peer;
    std::string text;
};

// "step at peer: text", for logs and operators.
auto describe(const Error &error) -> std::string;

// The value of a successful Result that carries no data.
struct Done
{ };

template <typename T>
using Result = std::variant<T, Error>;

template <typename T>
auto isError(const Result<T> &result) -> bool
{
    return std::holds_alternative<Error>(result);
}

// Makes a visitor of several lambdas.
template <class... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace crocusreach

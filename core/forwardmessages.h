#pragma once

#include "connectionend.h"
#include "domaincrossing.h"
#include "leaftable.h"
#include "retrybudget.h"
#include "rolloutmessages.h"
#include "routetable.h"
#include "tenants.h"
#include "types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

// Events and actions of the forwarder. Nothing here depends on how a message is encoded.

namespace crocusreach::forward {

// What tenants may run over any window, at all instances together:
// (rate x window + burst) x (1 + overshoot) + slack.
struct QuotaLimits
{
    bool isEnforced = false;
    bool isFirstStart = false; // the whole system starts for the first time
    Duration window = std::chrono::seconds(5);
    double overshoot = 0.1;
    double slack = 20;
    // A request that was granted runs within this time or asks again. Later use would add the
    // grants of a longer time up in one window.
    Duration grantValidity = std::chrono::milliseconds(150);
    // All instances in touch with the store know of a new one within this time.
    Duration applyTime = std::chrono::seconds(5);
};

struct ForwarderSettings
{
    std::string instance; // name of this instance
    std::string domain; // failure domain of this instance
    RetryLimits retryLimits;
    double coldOvershoot = 1;
    // A leaf that has left the registry gets no more requests after this time.
    Duration drainTimeout = std::chrono::seconds(3);
    // Assumed until the number of instances is known. Too low a number would let the instances
    // together exceed the limits that they share.
    std::uint32_t assumedInstances = 16;
    std::uint64_t seed = 1;
    RevocationLimits revocation;
    QuotaLimits quota;
    RolloutLimits rollout;
    CrossingLimits crossing;
};

// Identifies a caller's request; unique within the process.
enum class CallId : std::uint64_t {};

struct HeaderField
{
    std::string name;
    std::string value;
};

// A caller's request as received, which is forwarded unchanged.
struct ForwardRequest
{
    std::string id; // chosen by the caller, new for each of its attempts
    std::string method;
    std::string host;
    std::string target; // path and query
    std::vector<HeaderField> headers; // only those that are forwarded to a leaf
    std::string body;
    Duration timeLeft = {}; // how much longer the caller waits, as it stated
    Duration maxUnreadTime = {}; // it may have waited that long at this instance before it was read
    std::optional<KeyDigest> key; // absent if the caller sent none that is well-formed
    bool mayHoldKey = false; // the headers may contain the caller's key, as no tenants were known
};

using ForwardRequestPtr = std::shared_ptr<const ForwardRequest>;

enum class LeafAnswerKind : std::uint8_t {
    Success,
    Failure, // the leaf ran the request, or may have
    NotRun, // the leaf states that it did not run the request
    OtherLeaf, // another leaf has the address; it did not run the request
};

struct LeafAnswer
{
    LeafAnswerKind kind = LeafAnswerKind::Failure;
    std::uint32_t status = 0; // HTTP status; 0 if the answer can't be forwarded
    // Callers take the status to mean that the request did not run, though the leaf doesn't state
    // it.
    bool statusImpliesNotRun = false;
    std::string receipt; // the leaf's proof that it answered this request; empty if it gave none
    std::optional<ReportedLoad> load;
    bool leafLeaves = false; // the answering leaf states that it is about to exit
    // Requests a second that the answering leaf takes from all instances together, if it states it.
    std::optional<double> rateLimit;
    Duration pause = {}; // the answering leaf wants no requests of this instance for that long
    std::vector<HeaderField> headers; // only those that are forwarded to the caller
    std::string body;
    bool endsWithConnection = false; // it has no length, and ended as its connection did
};

enum class SendFailure : std::uint8_t {
    NotSent, // no byte of the request can have reached the leaf
    Lost, // the connection ended without an answer
    Invalid, // the response is incomplete or answers another request
};

// Events.

struct RequestArrived
{
    CallId call = {};
    ForwardRequestPtr request;
};

struct CallerLeft
{
    CallId call = {};
};

struct LeafAnswered
{
    SendId send = {};
    LeafAnswer answer;
    bool isConnectionReusable = false; // it accepts further requests
    Duration keepAliveTimeout = {}; // announced for the connection; 0: none
};

// What was seen of a connection on which a send failed.
struct ConnectionLoss
{
    ConnectionEnd end = ConnectionEnd::Open; // Open: this side closed it
    std::size_t answerBytes = 0; // of an answer that broke off
};

// A send ended without a valid answer, and its connection is closed.
struct SendFailed
{
    SendId send = {};
    SendFailure failure = SendFailure::Lost;
    ConnectionLoss loss = {};
};

// A connection that was opened without a request is established.
struct ConnectionOpened
{
    ConnectionId connection = {};
};

// An idle connection was closed by the leaf, or one without a request could not be opened.
struct ConnectionClosed
{
    ConnectionId connection = {};
};

struct RoutesChanged
{
    RouteTablePtr table;
};

// The known desired state was the newest one at that time.
struct RoutesConfirmed
{
    TimePoint at = {};
};

struct LeafsRegistered
{
    std::vector<LeafRecord> leafs;
};

struct LeafsRemoved
{
    std::vector<std::string> ids;
    bool registryWasUnavailable = false; // the entries may have expired although the leafs run
    // The registry still had the entries then. Absent after an outage of the registry that was long
    // enough for entries to expire.
    std::optional<TimePoint> seenAt;
    std::string source; // address of the instance that the removal was read from; empty: the store
    // The leafs get nothing later than this; absent: the forwarder derives it from the above.
    std::optional<TimePoint> lastUse = {};
};

// All failure domains that get no requests.
struct DomainsEvacuated
{
    std::set<std::string, std::less<>> domains;
};

// Another instance, or this one, that takes messages of instances.
struct PeerInstance
{
    std::string name;
    std::string address; // IP:port
};

struct InstancesCounted
{
    std::uint32_t instances = 1;
    std::vector<PeerInstance> peers; // those of them with an address, in order of their names
};

// This instance's entry is in the store.
struct InstanceRegistered
{
    bool isNew = false; // it was not there before
    bool isRepeated = false; // it was confirmed before, in a former era of the store
};

// Reply to a question for tokens.
struct QuotaGrant
{
    bool isReady = true; // the instance may grant at all; the question goes to the next one if not
    std::uint32_t granted = 0;
    Duration emptyFor = {}; // no token will be there before, if fewer were granted than asked for
    Duration retryAfter = {}; // when one more request of the tenant may return
};

// Another instance asks for tokens of a tenant's quota.
struct TokensAsked
{
    std::uint64_t number = 0; // of the question, for the reply
    std::string tenant;
    std::uint32_t wanted = 0;
};

// The reply to a question of this instance; absent if there was none in time.
struct TokensReplied
{
    std::uint64_t question = 0;
    std::optional<QuotaGrant> grant;
};

struct SettingsChanged
{
    ForwarderSettings settings;
};

// The desired state and all leafs are known; requests are served from now on.
struct StateRead
{ };

// What is known dates from before a pause of the process, and is being asked for again.
struct StateUnconfirmed
{ };

// It is in force.
struct StateConfirmed
{ };

// The state can't be read at present, and it may take a while.
struct StateUnavailable
{ };

// The instance will exit. Every request is answered by the given time, and one that would probably
// take longer is refused.
struct StopScheduled
{
    TimePoint answersUntil = {};
};

// The instance is about to exit: requests that arrive from now on are refused.
struct NewRequestsRefused
{ };

struct ForwarderTick
{ };

using ForwardEvent
        = std::variant<RequestArrived, CallerLeft, LeafAnswered, SendFailed, ConnectionOpened,
                       ConnectionClosed, RoutesChanged, RoutesConfirmed, LeafsRegistered,
                       LeafsRemoved, DomainsEvacuated, InstancesCounted, InstanceRegistered,
                       TokensAsked, TokensReplied, RolloutsChanged, RolloutReported, RolloutReplied,
                       RolloutStatusWritten, SettingsChanged, StopScheduled, NewRequestsRefused,
                       StateRead, StateUnconfirmed, StateConfirmed, StateUnavailable,
                       ForwarderTick>;

// Actions.

struct SendToLeaf
{
    SendId send = {};
    ConnectionId connection = {};
    bool opensConnection = false; // otherwise an idle one is used
    std::string address;
    std::string leafId; // sent along, so that any other leaf refuses the request
    std::string tenant; // name of the tenant that the request is for; empty: none
    ForwardRequestPtr request;
    Duration timeLeft = {};
};

// Opens a connection without a request.
struct OpenConnection
{
    ConnectionId connection = {};
    std::string address;
};

// Asks another instance for tokens of a tenant's quota. TokensReplied follows.
struct AskForTokens
{
    std::uint64_t question = 0;
    std::string address;
    std::string tenant;
    std::uint32_t wanted = 0;
};

// Requests of a tenant begin or end to be refused here, since its quota is used up.
struct TenantLimitChanged
{
    std::string tenant;
    bool isLimited = false;
    std::uint64_t denied = 0; // requests, once it has ended
};

// Answers the question of another instance.
struct GrantTokens
{
    std::uint64_t number = 0;
    QuotaGrant grant;
};

// Closes a connection, also during a send, which then gets no further event.
struct CloseConnection
{
    ConnectionId connection = {};
};

// A leaf's answer, unchanged.
struct ForwardedAnswer
{
    LeafAnswer answer;
};

struct MergedAnswer
{
    std::vector<std::string> receipts; // of the answered parts
    std::size_t missing = 0; // number of shards without an answer
    std::string body;
};

enum class LocalStatus : std::uint8_t {
    NoRoute, // no route matches
    UnknownKey, // the route needs a key of a tenant, and the request has none
    NotRun, // no leaf has run the request and none will
    OverQuota, // the tenant has used up its quota
    Failed, // leafs failed, or may have run the request
    TimedOut,
};

struct LocalAnswer
{
    LocalStatus status = LocalStatus::Failed;
    std::optional<Duration> retryAfter;
};

using CallAnswer = std::variant<ForwardedAnswer, MergedAnswer, LocalAnswer>;

// How a call ended, for the log and the metrics.
enum class CallEnd : std::uint8_t {
    Complete,
    Partial, // without shards whose answers were not worth waiting for
    LeafFailure, // a leaf's failure was forwarded, or all attempts failed
    NoRoutes, // no desired state is known yet
    NoRoute,
    NoLeaf,
    Overloaded,
    TooFewShards,
    BudgetExhausted,
    MayHaveRun,
    TimedOut,
    CallerLeft,
    Stopping, // this instance is about to exit, or exited before the call could end
    CutOff, // this instance can reach no leaf
    SilentLeafs, // too few of the route's leafs answer this instance
    UnknownKey,
    OverQuota,
    QuotaUnknown, // no responsible instance could tell whether the quota has room
    KeyUnconfirmed, // the desired state is too old to tell whether the key is still valid
    NoCapacity, // too few services could be sent the request in time, given the calls ahead of it
    Count
};

auto toString(CallEnd end) -> std::string_view;
auto callEndFromString(std::string_view name) -> std::optional<CallEnd>;

struct CallSummary
{
    std::string requestId;
    std::string route;
    std::string tenant; // empty: none
    std::uint64_t version = 0; // of the desired state that applied
    // Since that state was last known to be the newest one, when the call ended.
    std::optional<Duration> stateAge;
    CallEnd end = CallEnd::Complete;
    Duration elapsed = {};
    Duration timeLeftAtArrival = {}; // as the caller stated
    // The lesser of that and the route's timeout, minus the transit time of the answer.
    Duration timeAllowed = {};
    std::size_t parts = 0;
    std::size_t missing = 0;
    std::uint32_t sends = 0;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    bool late = false; // beyond the route's target latency
    Duration typicalLatency = {}; // of a leaf on the route
    std::string lastLeaf; // leaf of the last answer, or of a missing one
    Duration leafLatency = {}; // from the send to lastLeaf until its answer, or the call's end
    // Of lastLeaf, when the call ended; absent if it never answered this instance.
    std::optional<Duration> timeSinceLeafAnswer;
    bool leafCold = false;
    std::size_t closeDelimited = 0; // parts whose answer ended with its connection
};

struct AnswerCaller
{
    CallId call = {};
    CallAnswer answer;
};

struct CallEnded
{
    CallSummary summary;
};

// Why a send failed, or why a part of a call got a further attempt.
enum class RetryReason : std::uint8_t {
    Slow,
    NotRun,
    OtherLeaf,
    Failure,
    Lost,
    Invalid,
    NotSent,
    Count
};

auto toString(RetryReason reason) -> std::string_view;
auto retryReasonFromString(std::string_view name) -> std::optional<RetryReason>;

struct SendRepeated
{
    std::string requestId;
    std::string service;
    RetryReason reason = RetryReason::Slow;
    std::string formerLeaf;
    std::string leaf;
    Duration elapsed = {}; // since the request's arrival
};

// A send that failed, or that was unanswered at its timeout or the end of its call.
struct SendFailureReport
{
    std::string requestId;
    std::string service;
    std::string leaf;
    std::string domain; // of the leaf
    RetryReason reason = RetryReason::Slow; // Slow: no answer yet
    Duration waited = {}; // since it was sent
    // Since its last successful answer to this instance; absent if there was none.
    std::optional<Duration> timeSinceLeafAnswer;
    bool leafCold = false;
    ConnectionLoss connection = {};
};

// A leaf stated for the first time that it is about to exit.
struct LeafLeaving
{
    std::string leaf;
    std::string service;
    std::string domain; // of the leaf
    std::string requestId; // of the request that it answered
    bool drainingInRegistry = false; // its entry states the same
};

// A leaf stated another rate limit than before, or no longer states any.
struct LeafLimitChanged
{
    std::string leaf;
    std::string service;
    std::string domain; // of the leaf
    std::optional<double> perSecond; // from all instances together
};

// A leaf refused a request and wants no others of this instance for a time.
struct LeafPaused
{
    std::string leaf;
    std::string service;
    std::string domain; // of the leaf
    Duration pause = {};
};

using ForwardAction = std::variant<SendToLeaf, OpenConnection, CloseConnection, AnswerCaller,
                                   CallEnded, SendRepeated, SendFailureReport, LeafLeaving,
                                   LeafLimitChanged, LeafPaused, CrossingChanged, AskForTokens,
                                   GrantTokens, TenantLimitChanged, SendRolloutReport,
                                   AnswerRolloutReport, WriteRolloutStatus, RolloutPhaseChanged>;

} // namespace crocusreach::forward

#pragma once

#include "forwardmessages.h"
#include "forwardstate.h"
#include "leaftable.h"
#include "placement.h"
#include "quotagate.h"
#include "reachability.h"
#include "retrybudget.h"
#include "rollout.h"
#include "routing.h"
#include "waitqueue.h"

#include <array>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

// Decides what happens between a caller's request and its answer: which leafs it is sent to, when
// it is retried or hedged, when an answer with missing shards is given, and when it is refused.

namespace crocusreach::forward {

// Counters since the start, for the metrics.
struct ForwarderCounters
{
    std::uint64_t requests = 0;
    std::uint64_t sends = 0;
    std::uint64_t sendsToOtherDomains = 0;
    std::uint64_t bytesFromOtherDomains = 0; // of answers' bodies
    std::uint64_t connectionsOpened = 0;
    std::uint64_t hedges = 0;
    std::uint64_t hedgesDenied = 0;
    std::uint64_t retries = 0;
    std::uint64_t retriesDenied = 0;
    std::uint64_t sheds = 0; // answers that state that the leaf did not run the request
    std::uint64_t misdirected = 0;
    std::uint64_t lost = 0;
    std::uint64_t invalid = 0;
    std::uint64_t notSent = 0;
    std::uint64_t unservable = 0; // calls for which too few leafs answer
    std::uint64_t leavingLeafs = 0; // leafs that stated that they are about to exit
    std::uint64_t limitChanges = 0; // of the rates that leafs state
    std::uint64_t pauses = 0; // that leafs asked for
    std::uint64_t overdue = 0; // sends that got no answer before their timeout
    std::array<std::uint64_t, static_cast<std::size_t>(CallEnd::Count)> ends = {};
};

enum class TimerKind : std::uint8_t {
    Call,
    Send,
    Leaf, // a leaf can be used again or no longer, which may affect calls that wait
};

// Entry of the timer queue. A timer of a call or send that has ended is ignored.
struct ForwarderTimer
{
    TimePoint at = {};
    TimerKind kind = TimerKind::Call;
    std::uint64_t id = 0; // CallId, SendId or LeafNumber

    auto operator>(const ForwarderTimer &other) const -> bool { return this->at > other.at; }
};

// A request that arrived before the state was read at the start, or confirmed after a pause.
struct HeldRequest
{
    RequestArrived event;
    TimePoint arrivedAt = {};
    TimePoint heldUntil = {};
};

// Tracks whether most requests of the last complete window were unservable, that is, too few of
// their leafs answered.
struct UnservableWindow
{
    TimePoint startedAt = {};
    std::uint64_t requests = 0; // counter values at the window's start
    std::uint64_t unservable = 0;
    bool majorityUnservable = false;
};

// The probe of the network path to other failure domains while none of them answers.
struct PathProbe
{
    std::optional<TimePoint> nextAt;
    std::optional<ConnectionId> connection; // being opened
    LeafNumber leaf = {};
};

// How long requests have found calls that wait for a service.
struct ServiceQueue
{
    std::optional<TimePoint> since; // each request since then
    TimePoint standsUntil = {}; // a standing queue counts as one until then, even if it is empty
};

struct Forwarder
{
    ForwarderSettings settings;
    ForwarderCounters counters;
    RouteTablePtr table;
    std::optional<TimePoint> tableConfirmedAt;
    LeafTable leafs;
    InstanceShare share;
    Reachability reachability;
    TimePoint nextReachabilityCheckAt = {};
    UnservableWindow unservable;
    PathProbe probe;
    DomainCrossing crossing;
    bool instanceCountKnown = false;
    bool refusesNewRequests = false;
    std::optional<TimePoint> answersUntil; // set once a stop is requested
    bool stateRead = false;
    bool stateUnavailable = false; // requests are refused until the state is read
    // After a pause of the process, nothing is sent until the state is confirmed, or until then.
    std::optional<TimePoint> confirmationDueAt;
    std::optional<TimePoint> nextConnectionCheckAt; // of idle connections
    std::vector<HeldRequest> heldRequests;
    QuotaGate quota;
    Rollouts rollouts;
    RandomState random;
    std::unordered_map<CallId, std::unique_ptr<Call>> calls;
    std::unordered_map<SendId, Send> sends;
    std::unordered_map<ConnectionId, LeafNumber> connections;
    std::unordered_map<std::string, std::unique_ptr<RouteStats>> routeStats; // by name
    std::unordered_map<std::string, RetryBudget> retryBudgets; // by service
    WaitQueue waiting; // calls that wait for a leaf
    TimePoint nextServiceabilityCheckAt = {}; // of the calls that wait
    bool isServiceabilityCheckDue = false; // a timer is set for that time
    std::unordered_map<std::string, ServiceQueue> serviceQueues; // by service, if calls wait for it
    std::priority_queue<ForwarderTimer, std::vector<ForwarderTimer>, std::greater<>> timers;
    std::uint64_t lastSendId = 0;
    std::uint64_t lastConnectionId = 0;
};

// Applies settings, at the start and whenever they change.
auto configure(Forwarder &forwarder, const ForwarderSettings &settings) -> void;

auto handle(Forwarder &forwarder, const ForwardEvent &event, TimePoint now,
            std::vector<ForwardAction> &actions) -> void;

// The time at which a ForwarderTick is due.
auto nextTickAt(const Forwarder &forwarder) -> std::optional<TimePoint>;

// False if no leaf can be reached, or if only leafs of the instance's own failure domain can and
// they don't suffice for most requests. Callers are then better served by instances in other
// domains.
auto canReachLeafs(const Forwarder &forwarder, TimePoint now) -> bool;

// True once a desired state and at least one leaf are known.
auto canServe(const Forwarder &forwarder) -> bool;

} // namespace crocusreach::forward

#pragma once

#include "forwardmessages.h"
#include "forwardstate.h"
#include "leaftable.h"
#include "placement.h"
#include "reachability.h"
#include "retrybudget.h"
#include "routing.h"

#include <array>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

// The decisions between a caller's request and its answer: where it goes, when it is sent again,
// when an answer with missing shards is given, and when it is turned away.

namespace crocusreach::forward {

// Counters since the start, for the metrics.
struct ForwarderCounters
{
    std::uint64_t requests = 0;
    std::uint64_t sends = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t hedges = 0;
    std::uint64_t hedgesDenied = 0;
    std::uint64_t retries = 0;
    std::uint64_t retriesDenied = 0;
    std::uint64_t sheds = 0; // answers of leafs that did not run the request
    std::uint64_t misdirected = 0;
    std::uint64_t lost = 0;
    std::uint64_t invalid = 0;
    std::uint64_t notSent = 0;
    std::uint64_t unservable = 0; // calls too few of whose leafs answer
    std::uint64_t overdue = 0; // sends that got no answer in their time
    std::array<std::uint64_t, static_cast<std::size_t>(CallEnd::Count)> ends = {};
};

// Entry of the alarm queue. An alarm of a call or send that has ended is ignored.
struct ForwarderTimer
{
    TimePoint at = {};
    bool isForSend = false;
    std::uint64_t id = 0;

    auto operator>(const ForwarderTimer &other) const -> bool { return this->at > other.at; }
};

// A request that arrived while the state was being read at the start.
struct HeldRequest
{
    RequestArrived event;
    TimePoint arrivedAt = {};
    TimePoint heldUntil = {};
};

// Whether too few leafs answered for most requests of the last whole window.
struct UnservableWindow
{
    TimePoint startedAt = {};
    std::uint64_t requests = 0; // counts at its start
    std::uint64_t unservable = 0;
    bool majorityUnservable = false;
};

// The probe of the network path to other failure domains while none of them answers.
struct PathProbe
{
    std::optional<TimePoint> nextAt;
    std::optional<ConnectionId> connection; // connection that is being opened
    LeafNumber leaf = {};
};

struct Forwarder
{
    ForwarderSettings settings;
    ForwarderCounters counters;
    RouteTablePtr table;
    LeafTable leafs;
    InstanceShare share;
    Reachability reachability;
    TimePoint nextReachabilityCheckAt = {};
    UnservableWindow unservable;
    PathProbe probe;
    bool instanceCountKnown = false;
    bool refusesNewRequests = false;
    bool stateRead = false;
    bool stateUnavailable = false; // requests are refused until the state is read
    std::optional<TimePoint> nextConnectionCheckAt; // for connections that were idle for too long
    std::vector<HeldRequest> heldRequests; // arrived before the state was read
    RandomState random;
    std::unordered_map<CallId, std::unique_ptr<Call>> calls;
    std::unordered_map<SendId, Send> sends;
    std::unordered_map<ConnectionId, LeafNumber> connections;
    std::unordered_map<std::string, std::unique_ptr<RouteStats>> routeStats; // by name
    std::unordered_map<std::string, RetryBudget> retryBudgets; // by service
    std::set<WaitingKey> waiting;
    std::priority_queue<ForwarderTimer, std::vector<ForwarderTimer>, std::greater<>> timers;
    std::uint64_t lastSendId = 0;
    std::uint64_t lastConnectionId = 0;
};

// Takes in settings, at the start and whenever they change.
auto configure(Forwarder &forwarder, const ForwarderSettings &settings) -> void;

auto handle(Forwarder &forwarder, const ForwardEvent &event, TimePoint now,
            std::vector<ForwardAction> &actions) -> void;

// The time at which a ForwarderTick is due.
auto nextTickAt(const Forwarder &forwarder) -> std::optional<TimePoint>;

// False while no leaf can be reached, or while those of the own failure domain alone don't suffice
// for most requests: callers are better off in another domain.
auto canReachLeafs(const Forwarder &forwarder, TimePoint now) -> bool;

// True once a desired state and at least one leaf are known.
auto canServe(const Forwarder &forwarder) -> bool;

} // namespace crocusreach::forward

#pragma once

#include "forwardmessages.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

// Order and bounds of the calls that wait for a leaf. Load that it answers: one tenant sends
// several times its usual rate, so that its calls would fill the queue and take every leaf that
// becomes free. Calls are ordered by priority, then by fair queueing between tenants with equal
// weights, then by deadline. On a deployment without tenants all calls have the same empty tenant,
// so that the order is priority, deadline, number.

namespace crocusreach::forward {

struct RouteTable;

// A service with leafs that calls wait for. The calls' route table owns its name.
using WaitedService = std::pair<std::string_view, const RouteTable *>;

struct WaitingCall
{
    CallId id = {};
    std::uint32_t priority = 0; // 0 is the most urgent
    std::string tenant; // empty if the call is for none
    TimePoint deadline = {};
    std::size_t bytes = 0; // of its request
    bool wasSent = false; // so that it can't be refused as not run
    std::vector<WaitedService> services;
    std::optional<double> turn; // in which it got its first send while it waited
};

// The calls of one tenant and priority.
struct WaitingFlow
{
    std::size_t calls = 0;
    double turn = 0; // the flow with the lowest turn is next; rises by one with each call served
};

// All calls of one priority.
struct WaitingClass
{
    double turn = 0; // highest turn of a flow that was served
    std::map<std::string, WaitingFlow> flows; // by tenant; only those with waiting calls
};

struct WaitLimits
{
    std::size_t maxCalls = 200;
    // More than maxCalls requests with the largest documented head and body hold.
    std::size_t maxBytes = std::size_t(56) << 20U;
};

struct WaitQueue
{
    WaitLimits limits;
    std::unordered_map<CallId, WaitingCall> calls;
    std::map<std::uint32_t, WaitingClass> classes; // by priority; only those with waiting calls
    std::map<WaitedService, std::set<CallId>> services;
    std::size_t bytes = 0;
    std::uint64_t tableVersion = 0; // of the desired state that all calls were checked against
};

// Adds a call, or replaces the services that a waiting call waits for and whether it was sent.
auto putWaiting(WaitQueue &queue, WaitingCall &&call) -> void;

// Does nothing if the call isn't waiting.
auto removeWaiting(WaitQueue &queue, CallId id) -> void;
auto changeDeadline(WaitQueue &queue, CallId id, TimePoint deadline) -> void;

// Counts the first send of a waiting call as its tenant's turn. The call keeps that turn for its
// other parts: a call that lost its place between them would more often end without an answer.
auto recordServed(WaitQueue &queue, CallId id) -> void;

// Sorts waiting calls into the order in which they are to be sent.
auto orderWaiting(const WaitQueue &queue, std::span<const CallId> ids) -> std::vector<CallId>;

// True if a further call with a request of that size has no place.
auto isFull(const WaitQueue &queue, std::size_t bytes) -> bool;

// A waiting call that is to be refused so that a new call, which isn't in the queue, has a place.
// It belongs to the tenant with the most waiting calls, isn't more urgent than the new one, and
// was sent nowhere. Absent if the new call is to be refused instead.
auto findReplaceable(const WaitQueue &queue, const WaitingCall &call) -> std::optional<CallId>;

} // namespace crocusreach::forward

#include "waitqueue.h"

#include <algorithm>
#include <tuple>

namespace crocusreach::forward {

namespace {

// A tenant whose calls could not be sent while others were served, since they wait for other
// services, is behind by at most this many turns. Else it would keep the others from being served
// once its leafs are free.
constexpr double maxTurnsBehind = 1;

auto turnOf(const WaitingClass &priority, const WaitingFlow &flow) -> double
{
    return std::max(flow.turn, priority.turn - maxTurnsBehind);
}

auto addToService(WaitQueue &queue, const WaitingCall &call) -> void
{
    for (const auto &service : call.services)
        queue.services[service].insert(call.id);
}

auto removeFromServices(WaitQueue &queue, const WaitingCall &call) -> void
{
    for (const auto &service : call.services) {
        const auto found = queue.services.find(service);
        if (found == queue.services.end())
            continue;
        found->second.erase(call.id);
        if (found->second.empty())
            queue.services.erase(found);
    }
}

// Position of a call in the order, with its tenant's turn when it is sent after its tenant's calls
// before it.
struct OrderedCall
{
    const WaitingCall *call = nullptr;
    double turn = 0;
};

auto isBeforeInFlow(const OrderedCall &left, const OrderedCall &right) -> bool
{
    const auto key = [](const WaitingCall &call) {
        return std::tie(call.priority, call.tenant, call.deadline, call.id);
    };
    return key(*left.call) < key(*right.call);
}

auto isBefore(const OrderedCall &left, const OrderedCall &right) -> bool
{
    const auto key = [](const OrderedCall &item) {
        return std::tie(item.call->priority, item.turn, item.call->deadline, item.call->id);
    };
    return key(left) < key(right);
}

auto isSameFlow(const WaitingCall &left, const WaitingCall &right) -> bool
{
    return left.priority == right.priority && left.tenant == right.tenant;
}

} // namespace

auto putWaiting(WaitQueue &queue, WaitingCall &&call) -> void
{
    const auto found = queue.calls.find(call.id);
    if (found != queue.calls.end()) {
        auto &known = found->second;
        known.wasSent = call.wasSent;
        if (known.services == call.services)
            return;
        removeFromServices(queue, known);
        known.services = std::move(call.services);
        return addToService(queue, known);
    }
    auto &priority = queue.classes[call.priority];
    // A tenant whose last call has left the queue was served at priority.turn at the latest, so its
    // turn would be no later than this one.
    auto &flow = priority.flows.try_emplace(call.tenant, WaitingFlow{0, priority.turn + 1})
                         .first->second;
    ++flow.calls;
    queue.bytes += call.bytes;
    addToService(queue, call);
    queue.calls.emplace(call.id, std::move(call));
}

auto removeWaiting(WaitQueue &queue, CallId id) -> void
{
    const auto found = queue.calls.find(id);
    if (found == queue.calls.end())
        return;
    const auto &call = found->second;
    removeFromServices(queue, call);
    queue.bytes -= call.bytes;
    auto &priority = queue.classes.at(call.priority);
    if (--priority.flows.at(call.tenant).calls == 0)
        priority.flows.erase(call.tenant);
    if (priority.flows.empty())
        queue.classes.erase(call.priority);
    queue.calls.erase(found);
}

auto changeDeadline(WaitQueue &queue, CallId id, TimePoint deadline) -> void
{
    const auto found = queue.calls.find(id);
    if (found != queue.calls.end())
        found->second.deadline = deadline;
}

auto recordServed(WaitQueue &queue, CallId id) -> void
{
    const auto found = queue.calls.find(id);
    if (found == queue.calls.end() || found->second.turn)
        return;
    auto &priority = queue.classes.at(found->second.priority);
    auto &flow = priority.flows.at(found->second.tenant);
    const auto turn = turnOf(priority, flow);
    priority.turn = std::max(priority.turn, turn);
    flow.turn = turn + 1;
    found->second.turn = turn;
}

auto orderWaiting(const WaitQueue &queue, std::span<const CallId> ids) -> std::vector<CallId>
{
    auto ordered = std::vector<OrderedCall>();
    ordered.reserve(ids.size());
    for (const auto id : ids)
        ordered.push_back({&queue.calls.at(id), 0});
    std::sort(ordered.begin(), ordered.end(), isBeforeInFlow);
    const WaitingCall *former = nullptr;
    auto turn = 0.0;
    for (auto &[call, ownTurn] : ordered) {
        // Calls without a tenant are ordered by deadline alone, as on a deployment without tenants.
        if (call->turn && !call->tenant.empty()) {
            ownTurn = *call->turn;
            continue;
        }
        const auto &priority = queue.classes.at(call->priority);
        turn = former != nullptr && isSameFlow(*former, *call)
                       ? turn + 1
                       : turnOf(priority, priority.flows.at(call->tenant));
        ownTurn = turn;
        former = call;
    }
    std::sort(ordered.begin(), ordered.end(), isBefore);
    auto sorted = std::vector<CallId>();
    sorted.reserve(ordered.size());
    for (const auto &item : ordered)
        sorted.push_back(item.call->id);
    return sorted;
}

auto isFull(const WaitQueue &queue, std::size_t bytes) -> bool
{
    return queue.calls.size() >= queue.limits.maxCalls
           || queue.bytes + bytes > queue.limits.maxBytes;
}

auto findReplaceable(const WaitQueue &queue, const WaitingCall &call) -> std::optional<CallId>
{
    auto counts = std::unordered_map<std::string_view, std::size_t>();
    ++counts[call.tenant];
    for (const auto &[id, waiting] : queue.calls)
        ++counts[waiting.tenant];
    const WaitingCall *best = nullptr;
    const auto key = [&counts](const WaitingCall &item) {
        return std::tuple(counts.at(item.tenant), item.priority, item.deadline, item.id);
    };
    for (const auto &[id, waiting] : queue.calls) {
        // Two tenants with about as many calls would else replace each other's in turn.
        const auto isOfHotter = counts.at(waiting.tenant) > counts.at(call.tenant);
        const auto leavesRoom
                = queue.calls.size() <= queue.limits.maxCalls
                  && queue.bytes - waiting.bytes + call.bytes <= queue.limits.maxBytes;
        if (!isOfHotter || waiting.wasSent || waiting.priority < call.priority || !leavesRoom)
            continue;
        if (best == nullptr || key(*best) < key(waiting))
            best = &waiting;
    }
    return best == nullptr ? std::nullopt : std::optional(best->id);
}

} // namespace crocusreach::forward

#include "forwardwaiting.h"

#include "forwardanswer.h"
#include "forwardcalls.h"
#include "forwardsend.h"

#include <algorithm>

namespace crocusreach::forward {

namespace {

auto requestBytes(const ForwardRequest &request) -> std::size_t
{
    auto bytes = request.id.size() + request.method.size() + request.host.size()
                 + request.target.size() + request.body.size();
    for (const auto &field : request.headers)
        bytes += field.name.size() + field.value.size();
    return bytes;
}

auto canTakeSend(Forwarder &forwarder, const WaitedService &service, TimePoint now) -> bool
{
    auto query = PlacementQuery();
    query.service = service.first;
    query.spec = findServiceSpec(*service.second, service.first);
    query.ownDomain = forwarder.settings.domain;
    return canTakeSend(forwarder.leafs, query, forwarder.share, now);
}

// Adds the calls that wait for the service and may make progress: all if a leaf can take a send,
// else those that no leaf can take before their deadline.
auto addCalls(Forwarder &forwarder, const WaitedService &service, const std::set<CallId> &waiting,
              TimePoint now, std::vector<CallId> &ids) -> void
{
    const auto next = findNextSend(forwarder.leafs, service.first, now);
    if (!next || canTakeSend(forwarder, service, now)) {
        ids.insert(ids.end(), waiting.begin(), waiting.end());
        return;
    }
    if (next->at <= now)
        return;
    addLeafTimer(forwarder, next->leaf, next->at);
    std::copy_if(waiting.begin(), waiting.end(), std::back_inserter(ids),
                 [&](CallId id) { return forwarder.waiting.calls.at(id).deadline <= next->at; });
}

} // namespace

auto waitingCalls(const Forwarder &forwarder, const Call &call) -> std::size_t
{
    const auto &calls = forwarder.waiting.calls;
    return calls.size() - calls.count(call.id) + (call.waitsFor.empty() ? 0 : 1);
}

auto updateWaiting(Forwarder &forwarder, const Call &call, std::uint32_t sends) -> void
{
    auto &queue = forwarder.waiting;
    if (sends > 0)
        recordServed(queue, call.id);
    if (call.waitsFor.empty())
        return removeWaiting(queue, call.id);
    auto waiting = WaitingCall{call.id,
                               call.priority,
                               tenantNameOf(call),
                               call.deadline,
                               requestBytes(*call.request),
                               call.sends > 0,
                               {}};
    for (const auto service : call.waitsFor)
        waiting.services.emplace_back(service, call.table.get());
    putWaiting(queue, std::move(waiting));
}

auto callsToAdvance(Forwarder &forwarder, TimePoint now) -> std::vector<CallId>
{
    auto &queue = forwarder.waiting;
    auto ids = std::vector<CallId>();
    const auto version = forwarder.table == nullptr ? 0 : forwarder.table->version;
    // A new desired state may withdraw the key of any call. The decision on leaving the domain is
    // updated by each attempt.
    if (queue.tableVersion != version || forwarder.settings.crossing.isEnabled) {
        queue.tableVersion = version;
        for (const auto &[id, call] : queue.calls)
            ids.push_back(id);
        return orderWaiting(queue, ids);
    }
    for (const auto &[service, waiting] : queue.services)
        addCalls(forwarder, service, waiting, now, ids);
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    return orderWaiting(queue, ids);
}

auto findPlace(const Forwarder &forwarder, const ForwardRequest &request, std::uint32_t priority,
               const std::optional<TenantNumber> &tenant) -> QueuePlace
{
    const auto bytes = requestBytes(request);
    if (!isFull(forwarder.waiting, bytes))
        return {};
    const auto &tenants = forwarder.table->tenants;
    if (!tenants.isEnforced)
        return {false, {}};
    auto call = WaitingCall();
    call.priority = priority;
    call.tenant = tenant ? tenants.tenants.at(*tenant).name : std::string();
    call.bytes = bytes;
    const auto replaced = findReplaceable(forwarder.waiting, call);
    return {replaced.has_value(), replaced};
}

auto refuseReplaced(Forwarder &forwarder, const QueuePlace &place, TimePoint now,
                    std::vector<ForwardAction> &actions) -> void
{
    const auto &queue = forwarder.waiting;
    const auto isOver
            = queue.calls.size() > queue.limits.maxCalls || queue.bytes > queue.limits.maxBytes;
    if (!place.replaced || !isOver)
        return;
    auto &call = *forwarder.calls.at(*place.replaced);
    const auto retry = retryAfter(forwarder, CallEnd::Overloaded,
                                  call.arrivedAt + call.request->timeLeft - now);
    answerCaller(call.id, LocalAnswer{LocalStatus::NotRun, retry}, actions);
    endCall(forwarder, call, CallEnd::Overloaded, now, actions);
}

} // namespace crocusreach::forward

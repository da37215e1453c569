#include "forwardsend.h"

#include "forwardconnections.h"
#include "forwardhedge.h"
#include "forwardquota.h"
#include "forwardrollout.h"
#include "forwardwaiting.h"

#include <algorithm>
#include <utility>

namespace crocusreach::forward {

namespace {

// A leaf stops working on a request at the deadline that it was given. An answer that is ready by
// then needs this time to arrive.
constexpr Duration answerTransitTime = std::chrono::milliseconds(150);

// Lets the call wait until a leaf of the service has a free connection and may be used.
auto waitForLeaf(Forwarder &forwarder, Call &call, std::string_view service, TimePoint now) -> void
{
    const auto next = findNextSend(forwarder.leafs, service, now);
    if (next && next->at > now)
        addLeafTimer(forwarder, next->leaf, next->at);
    call.waitsFor.push_back(service);
}

auto failPart(Part &part, CallEnd reason) -> void
{
    part.state = PartState::Failed;
    part.failedAs = reason;
}

auto placementQuery(Forwarder &forwarder, const Call &call, const Part &part) -> PlacementQuery
{
    const auto &crossing = forwarder.settings.crossing;
    return {part.service,
            findServiceSpec(*call.table, part.service),
            forwarder.settings.domain,
            typicalLatency(*call.stats, *call.route),
            part.triedLeafs,
            &forwarder.reachability,
            waitingCalls(forwarder, call),
            crossing.isEnabled ? &forwarder.crossing.services[std::string(part.service)] : nullptr,
            &crossing,
            call.stats->answerBytes};
}

auto startSend(Forwarder &forwarder, Call &call, std::size_t partIndex, const Placement &placement,
               TimePoint now, std::vector<ForwardAction> &actions) -> void
{
    auto &part = call.parts[partIndex];
    auto &leaf = leafAt(forwarder.leafs, placement.leaf);
    const auto overdueAt = now + hedgeDelay(*call.stats, *call.route);
    auto send = Send();
    send.id = SendId(++forwarder.lastSendId);
    send.call = call.id;
    send.part = partIndex;
    send.stats = call.stats;
    send.leaf = placement.leaf;
    send.opensConnection = !placement.idleConnection;
    send.connection = placement.idleConnection ? *placement.idleConnection
                                               : ConnectionId(++forwarder.lastConnectionId);
    send.leafProcess = leaf.process;
    send.idempotent = call.route->idempotent;
    send.sentAt = now;
    send.overdueAt = overdueAt;
    send.typicalLatency = typicalLatency(*call.stats, *call.route);
    send.closeAt = call.deadline + answerTransitTime;
    send.rollout = countSend(forwarder.rollouts, part.service, call.route->name, leaf.record);
    if (send.opensConnection) {
        leaf.connections.push_back({send.connection});
        forwarder.connections.emplace(send.connection, placement.leaf);
        ++forwarder.counters.connectionsOpened;
    } else {
        const auto connection = std::find_if(
                leaf.connections.begin(), leaf.connections.end(),
                [&](const LeafConnection &item) { return item.id == send.connection; });
        connection->state = ConnectionState::Busy;
    }
    leaf.outstanding.push_back({send.id, now, overdueAt});
    recordDomainSend(forwarder.reachability, leaf.record.domain, now);
    part.triedLeafs.push_back(placement.leaf);
    part.activeSends.push_back(send.id);
    part.unreliable = placement.unreliable;
    part.hedgeAt = overdueAt;
    ++part.attempts;
    ++call.sends;
    ++forwarder.counters.sends;
    if (placement.otherDomain)
        ++forwarder.counters.sendsToOtherDomains;
    addTimer(forwarder, send.closeAt, TimerKind::Send, toUnderlying(send.id));
    addTimer(forwarder, overdueAt, TimerKind::Call, static_cast<std::uint64_t>(call.id));
    actions.emplace_back(SendToLeaf{send.id, send.connection, send.opensConnection,
                                    leaf.record.address, leaf.record.id, tenantNameOf(call),
                                    call.request, call.deadline - now});
    forwarder.sends.emplace(send.id, send);
}

auto reportExtraAttempt(Forwarder &forwarder, const Call &call, const Part &part,
                        RetryReason reason, const Placement &placement, TimePoint now,
                        std::vector<ForwardAction> &actions) -> void
{
    auto repeated = SendRepeated();
    repeated.requestId = call.request->id;
    repeated.service = part.service;
    repeated.reason = reason;
    repeated.formerLeaf = leafAt(forwarder.leafs, part.triedLeafs.back()).record.id;
    repeated.leaf = leafAt(forwarder.leafs, placement.leaf).record.id;
    repeated.elapsed = now - call.arrivedAt;
    actions.emplace_back(std::move(repeated));
}

auto sendFirst(Forwarder &forwarder, Call &call, std::size_t partIndex, TimePoint now,
               std::vector<ForwardAction> &actions) -> void
{
    auto &part = call.parts[partIndex];
    const auto query = placementQuery(forwarder, call, part);
    const auto placement = placeFirstSend(forwarder, query, now);
    if (query.crossing != nullptr) {
        if (auto change = takeCrossingChange(*query.crossing, part.service, now))
            actions.emplace_back(std::move(*change));
    }
    if (placement && hasExpiredToken(call, now)) {
        call.needsNewToken = true;
    } else if (placement) {
        recordRequest(forwarder.retryBudgets[std::string(part.service)],
                      forwarder.settings.retryLimits, now);
        startSend(forwarder, call, partIndex, *placement, now, actions);
    } else if (canSendInTime(forwarder, call, part.service, now)) {
        waitForLeaf(forwarder, call, part.service, now);
    } else {
        failPart(part, CallEnd::NoLeaf);
    }
}

auto tryConsumeBudget(Forwarder &forwarder, std::string_view service, RetryKind kind, TimePoint now)
        -> bool
{
    return tryConsume(forwarder.retryBudgets[std::string(service)], forwarder.settings.retryLimits,
                      kind, forwarder.share.instances, now);
}

// Places a retry. A leaf that was tried before is used again only if there is no other.
auto placeRetry(Forwarder &forwarder, const Call &call, const Part &part, TimePoint now)
        -> std::optional<Placement>
{
    auto query = placementQuery(forwarder, call, part);
    auto placement = placeSend(forwarder.leafs, query, forwarder.share, forwarder.random, now);
    if (placement || !part.activeSends.empty())
        return placement;
    query.triedLeafs = {};
    return placeSend(forwarder.leafs, query, forwarder.share, forwarder.random, now);
}

// A leaf may send its answer to the first attempt a second time, late. On a connection that both
// attempts use, it would count as the answer to the second one, and a refusal would be passed on
// while the request runs.
auto replaceUsedConnection(Forwarder &forwarder, const Call &call, const Part &part,
                           Placement &placement, std::vector<ForwardAction> &actions) -> void
{
    const auto &tried = part.triedLeafs;
    const auto isAgain = std::find(tried.begin(), tried.end(), placement.leaf) != tried.end();
    if (call.route->idempotent || !isAgain || !placement.idleConnection)
        return;
    closeConnection(forwarder, *placement.idleConnection, actions);
    placement.idleConnection.reset();
}

auto sendRetry(Forwarder &forwarder, Call &call, std::size_t partIndex, TimePoint now,
               std::vector<ForwardAction> &actions) -> void
{
    auto &part = call.parts[partIndex];
    if (part.attempts >= call.route->maxAttempts)
        return failPart(part, CallEnd::LeafFailure);
    auto placement = placeRetry(forwarder, call, part, now);
    if (!placement) {
        if (canSendInTime(forwarder, call, part.service, now))
            return waitForLeaf(forwarder, call, part.service, now);
        return failPart(part, CallEnd::NoLeaf);
    }
    if (!tryConsumeBudget(forwarder, part.service, RetryKind::Retry, now)) {
        ++forwarder.counters.retriesDenied;
        return failPart(part, CallEnd::BudgetExhausted);
    }
    ++call.retries;
    ++forwarder.counters.retries;
    replaceUsedConnection(forwarder, call, part, *placement, actions);
    reportExtraAttempt(forwarder, call, part, part.lastFailure, *placement, now, actions);
    startSend(forwarder, call, partIndex, *placement, now, actions);
}

// The connections to the other leafs of a shard are often in use only for a moment.
auto checkHedgeAgain(Forwarder &forwarder, const Call &call, Part &part, TimePoint now) -> void
{
    const auto at = now + minHedgeDelay;
    if (call.route->shards.empty() || at >= call.partialAnswerAt)
        return;
    part.hedgeAt = at;
    addTimer(forwarder, at, TimerKind::Call, static_cast<std::uint64_t>(call.id));
}

// Sends a hedge. The earlier send goes on; whichever is answered first counts.
auto sendHedge(Forwarder &forwarder, Call &call, std::size_t partIndex, TimePoint now,
               std::vector<ForwardAction> &actions) -> void
{
    auto &part = call.parts[partIndex];
    part.hedgeAt = TimePoint::max();
    if (!call.route->idempotent || part.attempts >= call.route->maxAttempts)
        return;
    if (forwarder.settings.crossing.isEnabled
        && isSlowByLoad(forwarder.leafs, part.triedLeafs.back(), part.service, now))
        return;
    const auto placement = placeSend(forwarder.leafs, placementQuery(forwarder, call, part),
                                     forwarder.share, forwarder.random, now);
    if (!placement)
        return checkHedgeAgain(forwarder, call, part, now);
    if (placement->unreliable)
        return;
    if (!tryConsumeBudget(forwarder, part.service, RetryKind::Hedge, now)) {
        ++forwarder.counters.hedgesDenied;
        return;
    }
    ++call.hedges;
    ++forwarder.counters.hedges;
    reportExtraAttempt(forwarder, call, part, RetryReason::Slow, *placement, now, actions);
    startSend(forwarder, call, partIndex, *placement, now, actions);
}

} // namespace

auto reportFailedSend(Forwarder &forwarder, const Call &call, const Send &send, RetryReason reason,
                      const ConnectionLoss &connection, TimePoint now,
                      std::vector<ForwardAction> &actions) -> void
{
    const auto &leaf = leafAt(forwarder.leafs, send.leaf);
    auto failed = SendFailureReport();
    failed.requestId = call.request->id;
    failed.service = call.parts[send.part].service;
    failed.leaf = leaf.record.id;
    failed.domain = leaf.record.domain;
    failed.reason = reason;
    failed.waited = now - send.sentAt;
    failed.timeSinceLeafAnswer = timeSinceAnswer(leaf, now);
    failed.leafCold = now < leaf.coldUntil;
    failed.connection = connection;
    actions.emplace_back(std::move(failed));
}

auto addTimer(Forwarder &forwarder, TimePoint at, TimerKind kind, std::uint64_t id) -> void
{
    forwarder.timers.push({at, kind, id});
}

auto canSendInTime(Forwarder &forwarder, const Call &call, std::string_view service, TimePoint now)
        -> bool
{
    const auto next = findNextSend(forwarder.leafs, service, now);
    return next && next->at < call.deadline;
}

auto addLeafTimer(Forwarder &forwarder, LeafNumber index, TimePoint at) -> void
{
    auto &leaf = leafAt(forwarder.leafs, index);
    if (leaf.checkAt && *leaf.checkAt <= at)
        return;
    leaf.checkAt = at;
    addTimer(forwarder, at, TimerKind::Leaf, toUnderlying(index));
}

auto endLeafTimer(Forwarder &forwarder, LeafNumber index, TimePoint now) -> void
{
    auto &checkAt = leafAt(forwarder.leafs, index).checkAt;
    if (checkAt && *checkAt <= now)
        checkAt.reset();
}

auto sendDueParts(Forwarder &forwarder, Call &call, TimePoint now,
                  std::vector<ForwardAction> &actions) -> void
{
    const auto formerSends = call.sends;
    call.waitsFor.clear();
    for (std::size_t partIndex = 0; partIndex < call.parts.size(); ++partIndex) {
        auto &part = call.parts[partIndex];
        if (call.needsNewToken)
            break;
        if (part.state != PartState::Open)
            continue;
        if (part.attempts == 0)
            sendFirst(forwarder, call, partIndex, now, actions);
        else if (part.activeSends.empty())
            sendRetry(forwarder, call, partIndex, now, actions);
        else if (part.hedgeAt <= now)
            sendHedge(forwarder, call, partIndex, now, actions);
    }
    updateWaiting(forwarder, call, call.sends - formerSends);
}

auto detachSend(Forwarder &forwarder, const Send &send) -> void
{
    auto &leaf = leafAt(forwarder.leafs, send.leaf);
    std::erase_if(leaf.outstanding,
                  [&](const OutstandingSend &item) { return item.send == send.id; });
    const auto call = forwarder.calls.find(send.call);
    if (call != forwarder.calls.end())
        std::erase(call->second->parts[send.part].activeSends, send.id);
}

} // namespace crocusreach::forward

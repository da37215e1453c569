#include "forwarder.h"

#include "copyage.h"
#include "forwardadmit.h"
#include "forwardcalls.h"
#include "forwardconnections.h"
#include "forwardprobe.h"
#include "forwardquota.h"
#include "forwardrollout.h"
#include "forwardsend.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace crocusreach::forward {

namespace {

// Until a route has enough answers, its typical latency is assumed to be its target latency divided
// by this.
constexpr std::int64_t assumedLatencyDivisor = 8;
constexpr std::uint32_t answersPerLatencyUpdate = 16;
// Caps the latency ratio that counts for one answer, since a pause or a lost answer says little
// about a leaf's speed.
constexpr double maxObservedLatencyRatio = 4;
// After a pause, the store's answer is awaited for this time. It comes within milliseconds if the
// store is there; if not, what was known before is all that is known.
constexpr Duration confirmationTime = std::chrono::milliseconds(250);
// After a caller has left, its idempotent sends are cancelled if they take longer than this.
// Shorter ones end by themselves and keep their connection.
constexpr Duration cancelDelay = std::chrono::milliseconds(250);

auto onEvent(Forwarder &forwarder, const StateRead & /*event*/, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    forwarder.stateRead = true;
    admitHeldRequests(forwarder, now, actions);
}

auto onEvent(Forwarder &forwarder, const StateUnconfirmed & /*event*/, TimePoint now,
             std::vector<ForwardAction> & /*actions*/) -> void
{
    forwarder.confirmationDueAt = now + confirmationTime;
}

// Sends what has waited for the confirmation.
auto endConfirmation(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions)
        -> void
{
    if (!std::exchange(forwarder.confirmationDueAt, std::nullopt))
        return;
    auto calls = std::vector<CallId>();
    for (const auto &[id, call] : forwarder.calls)
        calls.push_back(id);
    for (const auto id : calls) {
        const auto call = forwarder.calls.find(id);
        if (call != forwarder.calls.end())
            advance(forwarder, *call->second, now, actions);
    }
    admitHeldRequests(forwarder, now, actions);
}

auto onEvent(Forwarder &forwarder, const StateConfirmed & /*event*/, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    endConfirmation(forwarder, now, actions);
}

auto onEvent(Forwarder &forwarder, const StateUnavailable & /*event*/, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    forwarder.stateUnavailable = true;
    refuseHeldRequests(forwarder, now, actions);
}

auto onEvent(Forwarder &forwarder, const RequestArrived &event, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    ++forwarder.counters.requests;
    if (forwarder.refusesNewRequests)
        return refuse(forwarder, event, now, nullptr, LocalStatus::NotRun, CallEnd::Stopping,
                      actions);
    if (forwarder.stateRead && !forwarder.confirmationDueAt)
        return admit(forwarder, event, now, now, actions);
    const auto isUnavailable = !forwarder.stateRead && forwarder.stateUnavailable;
    if (isUnavailable || !holdRequest(forwarder, event, now))
        refuse(forwarder, event, now, nullptr, LocalStatus::NotRun, CallEnd::NoRoutes, actions);
}

auto onEvent(Forwarder &forwarder, const CallerLeft &event, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    std::erase_if(forwarder.heldRequests,
                  [&](const HeldRequest &item) { return item.event.call == event.call; });
    dropRequest(forwarder.quota, event.call);
    const auto found = forwarder.calls.find(event.call);
    if (found == forwarder.calls.end())
        return;
    auto &call = *found->second;
    for (const auto &part : call.parts) {
        for (const auto id : part.activeSends) {
            auto &send = forwarder.sends.at(id);
            // A non-idempotent request may be running, so it is not aborted.
            if (!send.idempotent)
                continue;
            send.closeAt = std::min(send.closeAt, now + cancelDelay);
            addTimer(forwarder, send.closeAt, TimerKind::Send, toUnderlying(id));
        }
    }
    endCall(forwarder, call, CallEnd::CallerLeft, now, actions);
}

// Updates the observations of a leaf from an answer, also if the call has ended in the meantime.
auto recordLeafAnswer(LeafState &leaf, const Send &send, const LeafAnswer &answer, TimePoint now)
        -> void
{
    if (answer.load) {
        leaf.load = *answer.load;
        leaf.loadAt = now;
    }
    switch (answer.kind) {
    case LeafAnswerKind::OtherLeaf:
        return;
    case LeafAnswerKind::NotRun:
    case LeafAnswerKind::Failure:
        return recordFailure(leaf, now);
    case LeafAnswerKind::Success:
        break;
    }
    const auto latency = now - send.sentAt - (send.opensConnection ? connectTime : Duration());
    const auto ratio = static_cast<double>(latency.count())
                       / static_cast<double>(std::max(Duration(1), send.typicalLatency).count());
    recordAnswer(leaf, std::clamp(ratio, 0.0, maxObservedLatencyRatio), now);
    if (!send.opensConnection)
        recordLatency(*send.stats, latency, now);
}

// True if the answer comes from the process that the leaf's entry describes, not from its
// predecessor or from another leaf at the address.
auto isOfCurrentProcess(const LeafState &leaf, const Send &send, const LeafAnswer &answer) -> bool
{
    return answer.kind != LeafAnswerKind::OtherLeaf && send.leafProcess == leaf.process;
}

// Records the rate limit that a leaf states. Only a success says that it no longer states one:
// other answers may lack the header.
auto recordRateLimit(Forwarder &forwarder, const Send &send, const LeafAnswer &answer,
                     TimePoint now, std::vector<ForwardAction> &actions) -> void
{
    auto &leaf = leafAt(forwarder.leafs, send.leaf);
    const auto ended = !answer.rateLimit && answer.kind == LeafAnswerKind::Success;
    if (!isOfCurrentProcess(leaf, send, answer) || (!answer.rateLimit && !ended))
        return;
    const auto share = rateShareOf(forwarder.share, leaf);
    if (!applyRateLimit(leaf.statements, answer.rateLimit, share, now))
        return;
    ++forwarder.counters.limitChanges;
    actions.emplace_back(LeafLimitChanged{leaf.record.id, leaf.record.service, leaf.record.domain,
                                          answer.rateLimit});
}

auto recordPause(Forwarder &forwarder, const Send &send, const LeafAnswer &answer, TimePoint now,
                 std::vector<ForwardAction> &actions) -> void
{
    auto &leaf = leafAt(forwarder.leafs, send.leaf);
    if (answer.pause <= Duration() || !isOfCurrentProcess(leaf, send, answer))
        return;
    applyPause(leaf.statements, answer.pause, now);
    ++forwarder.counters.pauses;
    actions.emplace_back(
            LeafPaused{leaf.record.id, leaf.record.service, leaf.record.domain, answer.pause});
}

// Records that a leaf is about to exit.
auto recordLeaving(Forwarder &forwarder, const Send &send, const LeafAnswer &answer,
                   std::string_view requestId, TimePoint now, std::vector<ForwardAction> &actions)
        -> void
{
    auto &leaf = leafAt(forwarder.leafs, send.leaf);
    if (!answer.leafLeaves || !isOfCurrentProcess(leaf, send, answer) || isLeaving(leaf.statements))
        return;
    leaf.statements.leavesAt = now + forwarder.settings.drainTimeout;
    addTimer(forwarder, *leaf.statements.leavesAt, TimerKind::Leaf, toUnderlying(send.leaf));
    ++forwarder.counters.leavingLeafs;
    actions.emplace_back(LeafLeaving{leaf.record.id, leaf.record.service, leaf.record.domain,
                                     std::string(requestId), leaf.record.draining});
}

auto countAnswer(ForwarderCounters &counters, LeafAnswerKind kind) -> void
{
    if (kind == LeafAnswerKind::NotRun)
        ++counters.sheds;
    if (kind == LeafAnswerKind::OtherLeaf)
        ++counters.misdirected;
}

auto toRetryReason(LeafAnswerKind kind) -> RetryReason
{
    switch (kind) {
    case LeafAnswerKind::NotRun:
        return RetryReason::NotRun;
    case LeafAnswerKind::OtherLeaf:
        return RetryReason::OtherLeaf;
    case LeafAnswerKind::Success:
    case LeafAnswerKind::Failure:
        break;
    }
    return RetryReason::Failure;
}

auto toRetryReason(SendFailure failure) -> RetryReason
{
    switch (failure) {
    case SendFailure::NotSent:
        return RetryReason::NotSent;
    case SendFailure::Lost:
        return RetryReason::Lost;
    case SendFailure::Invalid:
        break;
    }
    return RetryReason::Invalid;
}

// Records a failed send in its part. The part stays open for a retry unless the request may have
// run and isn't idempotent.
auto recordPartFailure(const Call &call, Part &part, RetryReason reason, bool mayHaveRun) -> void
{
    part.lastFailure = reason;
    part.mayHaveRun = part.mayHaveRun || mayHaveRun;
    if (!part.activeSends.empty())
        return;
    if (mayHaveRun && !call.route->idempotent) {
        part.state = PartState::Failed;
        part.failedAs = CallEnd::MayHaveRun;
    }
}

auto recordPartAnswer(Call &call, Part &part, const Send &send, const LeafAnswer &answer,
                      TimePoint now) -> void
{
    if (part.state != PartState::Open)
        return;
    call.lastAnswerLeaf = send.leaf;
    call.lastAnswerLatency = now - send.sentAt;
    if (answer.kind == LeafAnswerKind::Success) {
        part.state = PartState::Answered;
        part.answer = answer;
        return;
    }
    if (answer.kind == LeafAnswerKind::Failure)
        part.answer = answer;
    recordPartFailure(call, part, toRetryReason(answer.kind),
                      answer.kind == LeafAnswerKind::Failure);
}

// Removes a send and returns it; empty if it has already ended.
auto finishSend(Forwarder &forwarder, SendId id) -> std::optional<Send>
{
    const auto found = forwarder.sends.find(id);
    if (found == forwarder.sends.end())
        return {};
    const auto send = found->second;
    forwarder.sends.erase(found);
    detachSend(forwarder, send);
    return send;
}

auto onEvent(Forwarder &forwarder, const LeafAnswered &event, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    const auto ended = finishSend(forwarder, event.send);
    if (!ended)
        return;
    const auto &send = *ended;
    countAnswer(forwarder.counters, event.answer.kind);
    countRolloutAnswer(forwarder, send, event.answer, now);
    auto &leaf = leafAt(forwarder.leafs, send.leaf);
    const auto call = forwarder.calls.find(send.call);
    if (call != forwarder.calls.end() && event.answer.kind != LeafAnswerKind::Success)
        reportFailedSend(forwarder, *call->second, send, toRetryReason(event.answer.kind), {}, now,
                         actions);
    recordLeafAnswer(leaf, send, event.answer, now);
    if (event.answer.kind == LeafAnswerKind::OtherLeaf && send.leafProcess == leaf.process)
        markMisdirected(forwarder.leafs, send.leaf);
    const auto requestId = call == forwarder.calls.end()
                                   ? std::string_view()
                                   : std::string_view(call->second->request->id);
    recordLeaving(forwarder, send, event.answer, requestId, now, actions);
    recordRateLimit(forwarder, send, event.answer, now, actions);
    recordPause(forwarder, send, event.answer, now, actions);
    recordDomainAnswer(forwarder.reachability, leaf.record.domain, now);
    if (leaf.record.domain != forwarder.settings.domain)
        forwarder.counters.bytesFromOtherDomains += event.answer.body.size();
    if (forwarder.settings.crossing.isEnabled)
        recordAnswerBytes(send.stats->answerBytes, event.answer.body.size());
    if (!event.isConnectionReusable || !leaf.listed)
        closeConnection(forwarder, send.connection, actions);
    else
        releaseConnection(forwarder, leaf, event, send.connection, now);
    if (call != forwarder.calls.end()) {
        recordPartAnswer(*call->second, call->second->parts[send.part], send, event.answer, now);
        advance(forwarder, *call->second, now, actions);
    }
    advanceWaitingCalls(forwarder, now, actions);
}

auto onEvent(Forwarder &forwarder, const SendFailed &event, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    const auto ended = finishSend(forwarder, event.send);
    if (!ended)
        return;
    const auto &send = *ended;
    removeConnection(forwarder, send.connection);
    countRolloutFailure(forwarder, send, event.failure);
    auto &counters = forwarder.counters;
    ++(event.failure == SendFailure::NotSent ? counters.notSent
       : event.failure == SendFailure::Lost  ? counters.lost
                                             : counters.invalid);
    recordFailure(leafAt(forwarder.leafs, send.leaf), now);
    const auto call = forwarder.calls.find(send.call);
    if (call != forwarder.calls.end()) {
        auto &part = call->second->parts[send.part];
        reportFailedSend(forwarder, *call->second, send, toRetryReason(event.failure), event.loss,
                         now, actions);
        if (part.state == PartState::Open)
            recordPartFailure(*call->second, part, toRetryReason(event.failure),
                              event.failure != SendFailure::NotSent);
        advance(forwarder, *call->second, now, actions);
    }
    advanceWaitingCalls(forwarder, now, actions);
}

auto onEvent(Forwarder &forwarder, const ConnectionOpened &event, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    onProbeOpened(forwarder, event.connection, now, actions);
    advanceWaitingCalls(forwarder, now, actions);
}

auto onEvent(Forwarder &forwarder, const ConnectionClosed &event, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    onProbeClosed(forwarder, event.connection);
    removeConnection(forwarder, event.connection);
    advanceWaitingCalls(forwarder, now, actions);
}

auto routedServicesOf(const RouteTable &table) -> std::set<std::string, std::less<>>
{
    auto services = std::set<std::string, std::less<>>();
    for (const auto &route : table.routes) {
        services.insert(route.shards.begin(), route.shards.end());
        for (const auto &part : route.split)
            services.insert(part.service);
    }
    return services;
}

auto onEvent(Forwarder &forwarder, const RoutesChanged &event, TimePoint now,
             std::vector<ForwardAction> & /*actions*/) -> void
{
    if (forwarder.table != nullptr && event.table->version <= forwarder.table->version)
        return;
    forwarder.table = event.table;
    setRoutedServices(forwarder.leafs, routedServicesOf(*event.table));
    changeTenants(forwarder.quota.granter, event.table->tenants, now);
}

auto onEvent(Forwarder &forwarder, const RoutesConfirmed &event, TimePoint /*now*/,
             std::vector<ForwardAction> & /*actions*/) -> void
{
    forwarder.tableConfirmedAt = event.at;
}

auto onEvent(Forwarder &forwarder, const LeafsRegistered &event, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    for (const auto &record : event.leafs)
        putLeaf(forwarder.leafs, record, now);
    onLeafVersions(forwarder, event, now);
    closeUnusedConnections(forwarder, actions);
    advanceWaitingCalls(forwarder, now, actions);
}

auto onEvent(Forwarder &forwarder, const LeafsRemoved &event, TimePoint now,
             std::vector<ForwardAction> & /*actions*/) -> void
{
    const auto mayReturn = event.registryWasUnavailable && !event.seenAt;
    const auto derived = mayReturn ? now + entryReturnTimeout
                                   : lastUseOf(event.seenAt.value_or(now), now,
                                               forwarder.settings.drainTimeout);
    const auto lastUse = event.lastUse.value_or(derived);
    for (const auto &id : event.ids)
        removeLeaf(forwarder.leafs, id, lastUse, now);
}

auto onEvent(Forwarder &forwarder, const DomainsEvacuated &event, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    forwarder.leafs.evacuatedDomains = event.domains;
    advanceWaitingCalls(forwarder, now, actions);
}

auto onEvent(Forwarder &forwarder, const InstancesCounted &event, TimePoint now,
             std::vector<ForwardAction> & /*actions*/) -> void
{
    // A list may be outdated and lack a running instance. Too high a number does no harm.
    const auto former = forwarder.instanceCountKnown ? forwarder.share.instances : 1U;
    forwarder.share.instances = std::max(former, event.instances);
    forwarder.instanceCountKnown = true;
    changePeers(forwarder.quota.granter, event.peers, now);
    setPeers(forwarder.rollouts.peers, event.peers, now);
}

auto onEvent(Forwarder &forwarder, const InstanceRegistered &event, TimePoint now,
             std::vector<ForwardAction> & /*actions*/) -> void
{
    setRegistered(forwarder.quota.granter, event, now);
}

auto onEvent(Forwarder &forwarder, const TokensAsked &event, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    onTokensAsked(forwarder, event, now, actions);
}

auto onEvent(Forwarder &forwarder, const TokensReplied &event, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    onTokensReplied(forwarder, event, now, actions);
}

template <typename RolloutEvent>
requires isRolloutEvent<RolloutEvent>
auto onEvent(Forwarder &forwarder, const RolloutEvent &event, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    onRolloutEvent(forwarder, event, now, actions);
    advanceWaitingCalls(forwarder, now, actions);
}

auto onEvent(Forwarder &forwarder, const StopScheduled &event, TimePoint /*now*/,
             std::vector<ForwardAction> & /*actions*/) -> void
{
    forwarder.answersUntil = event.answersUntil;
    for (const auto &[id, call] : forwarder.calls)
        shortenToStop(forwarder, *call);
}

auto onEvent(Forwarder &forwarder, const NewRequestsRefused & /*event*/, TimePoint /*now*/,
             std::vector<ForwardAction> & /*actions*/) -> void
{
    forwarder.refusesNewRequests = true;
}

auto onEvent(Forwarder &forwarder, const SettingsChanged &event, TimePoint /*now*/,
             std::vector<ForwardAction> & /*actions*/) -> void
{
    configure(forwarder, event.settings);
}

// Ends a send that got no answer before its timeout. The connection may be dead, so it is closed.
auto expireSend(Forwarder &forwarder, SendId id, TimePoint now, std::vector<ForwardAction> &actions)
        -> void
{
    const auto found = forwarder.sends.find(id);
    if (found == forwarder.sends.end() || now < found->second.closeAt)
        return;
    const auto send = *finishSend(forwarder, id);
    ++forwarder.counters.overdue;
    countRolloutSilence(forwarder, send, now);
    if (now - send.sentAt > cancelDelay)
        recordFailure(leafAt(forwarder.leafs, send.leaf), now);
    closeConnection(forwarder, send.connection, actions);
    const auto call = forwarder.calls.find(send.call);
    if (call != forwarder.calls.end()) {
        call->second->parts[send.part].mayHaveRun = true;
        reportFailedSend(forwarder, *call->second, send, RetryReason::Slow, {}, now, actions);
    }
}

auto onEvent(Forwarder &forwarder, const ForwarderTick & /*event*/, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    applyRemovals(forwarder.leafs, now);
    onRolloutTick(forwarder, now, actions);
    if (forwarder.confirmationDueAt && *forwarder.confirmationDueAt <= now)
        endConfirmation(forwarder, now, actions);
    refuseHeldRequests(forwarder, now, actions);
    closeStaleConnections(forwarder, now, actions);
    checkReachability(forwarder, now);
    probePath(forwarder, now, actions);
    while (!forwarder.timers.empty() && forwarder.timers.top().at <= now) {
        const auto timer = forwarder.timers.top();
        forwarder.timers.pop();
        if (timer.kind == TimerKind::Send)
            expireSend(forwarder, SendId(timer.id), now, actions);
        if (timer.kind == TimerKind::Leaf)
            endLeafTimer(forwarder, LeafNumber(timer.id), now);
        if (timer.kind != TimerKind::Call)
            continue;
        const auto call = forwarder.calls.find(CallId(timer.id));
        if (call != forwarder.calls.end())
            advance(forwarder, *call->second, now, actions);
    }
    advanceWaitingCalls(forwarder, now, actions);
}

} // namespace

auto typicalLatency(const RouteStats &stats, const Route &route) -> Duration
{
    return stats.medianLatency > Duration() ? stats.medianLatency
                                            : route.targetLatency / assumedLatencyDivisor;
}

auto recordLatency(RouteStats &stats, Duration latency, TimePoint now) -> void
{
    record(stats.latency, latency, now);
    if (++stats.answersSinceUpdate < answersPerLatencyUpdate)
        return;
    stats.answersSinceUpdate = 0;
    stats.medianLatency = quantile(stats.latency, 0.5);
}

auto handle(Forwarder &forwarder, const ForwardEvent &event, TimePoint now,
            std::vector<ForwardAction> &actions) -> void
{
    std::visit([&](const auto &content) { onEvent(forwarder, content, now, actions); }, event);
}

auto nextTickAt(const Forwarder &forwarder) -> std::optional<TimePoint>
{
    auto wake = forwarder.leafs.nextRemovalAt;
    if (forwarder.rollouts.nextTickAt)
        wake = std::min(wake.value_or(TimePoint::max()), *forwarder.rollouts.nextTickAt);
    if (forwarder.probe.nextAt)
        wake = std::min(wake.value_or(TimePoint::max()), *forwarder.probe.nextAt);
    if (forwarder.nextConnectionCheckAt)
        wake = std::min(wake.value_or(TimePoint::max()), *forwarder.nextConnectionCheckAt);
    if (forwarder.confirmationDueAt)
        wake = std::min(wake.value_or(TimePoint::max()), *forwarder.confirmationDueAt);
    for (const auto &item : forwarder.heldRequests)
        wake = std::min(wake.value_or(TimePoint::max()), item.heldUntil);
    if (!forwarder.timers.empty())
        wake = std::min(wake.value_or(TimePoint::max()), forwarder.timers.top().at);
    return wake;
}

auto configure(Forwarder &forwarder, const ForwarderSettings &settings) -> void
{
    if (forwarder.random.value == RandomState().value)
        forwarder.random.value = settings.seed;
    forwarder.settings = settings;
    forwarder.quota.granter.limits = settings.quota;
    forwarder.quota.granter.instance = settings.instance;
    forwarder.rollouts.limits = settings.rollout;
    forwarder.rollouts.instance = settings.instance;
    forwarder.reachability.ownDomain = settings.domain;
    forwarder.share.instanceHash = settings.seed;
    forwarder.share.coldOvershoot = settings.coldOvershoot;
    if (!forwarder.instanceCountKnown)
        forwarder.share.instances = settings.assumedInstances;
}

auto canReachLeafs(const Forwarder &forwarder, TimePoint now) -> bool
{
    const auto isolated = isIsolated(forwarder.reachability, now);
    return !isCutOff(forwarder.reachability, now)
           && !(isolated && forwarder.unservable.majorityUnservable);
}

auto canServe(const Forwarder &forwarder) -> bool
{
    return forwarder.stateRead && forwarder.table != nullptr && !forwarder.leafs.byService.empty();
}

} // namespace crocusreach::forward

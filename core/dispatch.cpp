#include "dispatch.h"

#include "dispatchstate.h"
#include "dispatchview.h"
#include "invariants.h"
#include "sending.h"

#include <algorithm>
#include <utility>

namespace crocusreach {

namespace {

auto queueCapacity(const DispatchState &state, const LeafState &leaf) -> std::size_t
{
    const auto shares = static_cast<std::size_t>(std::ranges::count(leaf.heldShares, true));
    return std::max<std::size_t>(1, state.settings.queueCapacity) * shares;
}

// The leaf of a request if this instance holds the share that the sender chose.
auto findHeldLeaf(const DispatchState &state, const LeafRequest &request)
        -> std::optional<std::uint32_t>
{
    const auto found = state.leafIndexes.find(request.leaf);
    if (found == state.leafIndexes.end() || request.ordinal >= maxSharesPerLeaf
        || !state.leafs[found->second].heldShares[request.ordinal])
        return std::nullopt;
    return found->second;
}

auto admissionRefusalReason(const DispatchState &state, LeafState &leaf, const LeafRequest &request,
                            TimePoint now) -> Reason
{
    const auto &mutations = state.mutations;
    if (state.selfOut)
        return Reason::InstanceOut;
    if (leaf.outReason != Reason::None && !mutations.ignoreOut)
        return leaf.outReason;
    if (leafRefusalReason(leaf) == Reason::TargetLeaving && !mutations.ignoreLeaving)
        return Reason::TargetLeaving;
    const auto ahead = entriesBefore(leaf.waiting, request.deadline);
    if (const auto reason = timeRefusalReason(state, leaf, request, ahead, now);
        reason != Reason::None)
        return reason;
    if (leaf.waiting.entries.size() >= queueCapacity(state, leaf) && !mutations.ignoreQueueCapacity)
        return Reason::QueueFull;
    return Reason::None;
}

// Inserts the attempts that haven't ended again, after the filter has dropped its older half.
auto reinsertActiveAttempts(DispatchState &state) -> void
{
    for (std::uint32_t index = 0; index < state.attempts.attempts.size(); ++index) {
        const auto &attempt = state.attempts.attempts[index];
        if (attempt.phase == AttemptPhase::Free)
            continue;
        if (auto *stored = insertAttempt(state.duplicateFilter,
                                         {attempt.request.origin, attempt.request.attempt}))
            *stored = index;
    }
}

auto onLeafRequest(DispatchState &state, const LeafRequest &request, TimePoint now,
                   DispatchActions &actions) -> void
{
    if (rotateIfDue(state.duplicateFilter, now))
        reinsertActiveAttempts(state);
    // Null for a duplicate, whose attempt has been answered or will be.
    auto *stored = insertAttempt(state.duplicateFilter, {request.origin, request.attempt});
    if (stored == nullptr)
        return;
    const auto leafIndex = findHeldLeaf(state, request);
    if (!leafIndex) {
        refuse(state, request, Reason::NotHolder, actions);
        return;
    }
    auto &leaf = state.leafs[*leafIndex];
    if (const auto reason = admissionRefusalReason(state, leaf, request, now);
        reason != Reason::None) {
        refuse(state, request, reason, actions);
        return;
    }
    const auto index = allocateAttempt(state.attempts);
    auto &attempt = state.attempts.attempts[index];
    attempt.request = request;
    attempt.leaf = *leafIndex;
    attempt.arrivedAt = now;
    *stored = index;
    enqueueAttempt(state, index, now);
    check(leaf.waiting.entries.size() <= queueCapacity(state, leaf), Invariant::QueueBounded,
          "more requests wait than the queue may hold");
    sendWaiting(state, *leafIndex, now, actions);
}

auto onCancel(DispatchState &state, const CancelLeafRequest &cancel, TimePoint now,
              DispatchActions &actions) -> void
{
    const auto index
            = findAttempt(state.attempts, state.duplicateFilter, {cancel.origin, cancel.attempt});
    if (!index)
        return;
    auto &attempt = state.attempts.attempts[*index];
    if (attempt.phase == AttemptPhase::Waiting) {
        refuseWaiting(state, *index, Reason::Cancelled, now, actions);
        return;
    }
    // A cancel would make the outcome of a request marked non-idempotent unknown.
    if (attempt.phase != AttemptPhase::Running || attempt.cancelled || !attempt.request.idempotent)
        return;
    attempt.cancelled = true;
    actions.emplace_back(CancelTargetRequest{attempt.send, false});
}

// True if the failure of a send proves that the target did not run the request.
auto isProvablyNotRun(const LeafState &leaf, const Attempt &attempt, const TargetReply &reply)
        -> bool
{
    if (reply.outcome != Outcome::NotRun)
        return false;
    switch (reply.reason) {
    case Reason::TargetShed:
    case Reason::TargetExpired:
    case Reason::TargetLeaving:
    case Reason::VersionNotServed:
    case Reason::LayoutNotServed:
        return !reply.startId.empty();
    case Reason::ConnectFailed:
        return reply.startId.empty();
    case Reason::Cancelled:
        return attempt.cancelled || attempt.phase == AttemptPhase::Abandoned;
    case Reason::ConnectionLost:
        // Only a send that must not open a connection is known to have failed before its first
        // byte.
        return reply.startId.empty()
               && !leaf.connections[toUnderlying(attempt.connection)].unverified;
    default:
        return false;
    }
}

auto answerFromTarget(DispatchState &state, const LeafState &leaf, const Attempt &attempt,
                      TargetReply &reply, TimePoint now, DispatchActions &actions) -> void
{
    const auto proven = isProvablyNotRun(leaf, attempt, reply);
    auto answer = LeafReply();
    answer.attempt = attempt.request.attempt;
    answer.leaf = attempt.request.leaf;
    answer.shard = attempt.request.shard;
    answer.outcome = reply.outcome;
    if (reply.outcome == Outcome::NotRun && !proven)
        answer.outcome = Outcome::Unknown;
    if (state.mutations.trustNotRun && reply.reason != Reason::None)
        answer.outcome = Outcome::NotRun;
    check(answer.outcome != Outcome::NotRun || proven, Invariant::NotRunIsProvable,
          "a request that may have run is answered as not run");
    answer.reason = reply.reason;
    answer.step = reply.reason == Reason::ConnectFailed ? Step::Connect : Step::TargetCall;
    answer.peer = leaf.address;
    answer.version = reply.version;
    answer.layout = reply.layout;
    answer.rows = std::move(reply.rows);
    answer.servedVersions = std::move(reply.servedVersions);
    answer.timings = {attempt.sentAt - attempt.arrivedAt, reply.connecting, now - attempt.sentAt};
    answer.targetState = reply.state;
    answer.queueLength = static_cast<std::uint32_t>(leaf.waiting.entries.size());
    actions.emplace_back(SendLeafReply{attempt.request.origin, std::move(answer)});
}

// Updates identity, ramp and latencies from a reply of the leaf's current process.
auto recordTargetReply(DispatchState &state, LeafState &leaf, const Attempt &attempt,
                       const TargetReply &reply, TimePoint now) -> void
{
    confirmIdentity(leaf, attempt.identityGeneration);
    const auto &latency = summarize(leaf.latency, now);
    const auto slow = latency.valid && reply.elapsed > latency.p99 * 2;
    const auto shed = reply.reason == Reason::TargetShed;
    const auto settings
            = RampSettings{state.settings.rampStepDuration, state.settings.rampStepReplies};
    if (leaf.cold.confirmed)
        advanceRamp(leaf.cold, rampLimits(leaf), settings, {reply.state, shed, slow}, now);
    if (shed)
        ++leaf.counters.shed;
    if (reply.outcome == Outcome::Done)
        record(leaf.latency, reply.elapsed, now);
}

// Updates the leaf and the connection from a reply, or from the end of a send without one.
auto recordSendResult(DispatchState &state, LeafState &leaf, const Attempt &attempt,
                      const TargetReply &reply, TimePoint now) -> void
{
    auto &connection = leaf.connections[toUnderlying(attempt.connection)];
    const auto abandoned = attempt.phase == AttemptPhase::Abandoned;
    connection.open = reply.connectionOpen;
    if (reply.startId.empty()) {
        // A connection that was closed by this side says nothing about the target.
        if (!reply.connectionOpen && !abandoned && !attempt.cancelled)
            markIdentityUnconfirmed(leaf.cold);
        return;
    }
    if (!recordTargetIdentity(leaf, reply.startId, reply.state, now)) {
        connection.open = false;
        return;
    }
    connection.startNumber = leaf.cold.startNumber;
    recordTargetReply(state, leaf, attempt, reply, now);
}

auto isEligible(const DispatchState &state, const LeafState &leaf, const LeafRequest &request)
        -> bool
{
    return leaf.heldShares[request.ordinal] && !state.selfOut
           && leafRefusalReason(leaf) == Reason::None
           && leaf.waiting.entries.size() < queueCapacity(state, leaf);
}

// Sends a request once more if its first send provably didn't reach the target. A restart closes
// all idle connections, and without this each of them would fail a request.
auto tryResend(DispatchState &state, std::uint32_t index, const TargetReply &reply, TimePoint now)
        -> bool
{
    auto &attempt = state.attempts.attempts[index];
    auto &leaf = state.leafs[attempt.leaf];
    const auto proven
            = reply.reason == Reason::ConnectionLost && isProvablyNotRun(leaf, attempt, reply);
    const auto lost = reply.reason == Reason::ConnectionLost && state.mutations.resendAlways;
    if (attempt.phase != AttemptPhase::Running || attempt.resent || attempt.cancelled
        || !isEligible(state, leaf, attempt.request) || (!proven && !lost)
        || timeRefusalReason(state, leaf, attempt.request, 0, now) != Reason::None)
        return false;
    check(proven, Invariant::AtMostOnce, "a request that may have run is sent again");
    freeConnection(leaf, toUnderlying(attempt.connection));
    attempt.resent = true;
    attempt.targetReplied = false;
    attempt.send = {};
    enqueueAttempt(state, index, now);
    return true;
}

// Closes connections beyond the limits, after a share was lost while they were in use.
auto closeExcess(LeafState &leaf, DispatchActions &actions) -> void
{
    if (leaf.connections.size() <= requestConnectionLimit(leaf.size))
        return;
    actions.emplace_back(CloseTargetConnections{leaf.id});
    closeIdleConnections(leaf);
}

auto afterRelease(DispatchState &state, std::uint32_t leafIndex, TimePoint now,
                  DispatchActions &actions) -> void
{
    auto &leaf = state.leafs[leafIndex];
    if (hasShare(leaf))
        closeExcess(leaf, actions);
    else
        retireLeaf(state, leafIndex, actions);
    sendWaiting(state, leafIndex, now, actions);
}

// True if a request whose send has ended here no longer runs at the target either.
auto hasEnded(const LeafState &leaf, const Attempt &attempt, const TargetReply &reply,
              TimePoint now) -> bool
{
    // A response, even an invalid one, ends the request. So does a cancel, unless the connection
    // was closed because it was silent.
    const auto responded = !reply.startId.empty() || reply.connectionOpen;
    const auto cancelled = attempt.cancelled && attempt.phase == AttemptPhase::Running;
    return responded || cancelled || reply.outcome == Outcome::Done
           || isProvablyNotRun(leaf, attempt, reply) || now >= attempt.sentDeadline;
}

// Keeps the slot of an answered attempt occupied until its deadline, and probes the target at once:
// if the target has restarted, the slot is freed earlier.
auto keepSlot(DispatchState &state, std::uint32_t index, TimePoint now, DispatchActions &actions)
        -> void
{
    auto &attempt = state.attempts.attempts[index];
    if (attempt.phase == AttemptPhase::Abandoned)
        return;
    attempt.phase = AttemptPhase::Abandoned;
    arm(state.attemptTimers, index, attempt.sentDeadline);
    sendProbe(state, state.leafs[attempt.leaf], ProbeKind::RestartCheck, now, actions);
}

// Frees the slots of answered attempts whose target process has ended.
auto releaseEnded(DispatchState &state, const LeafState &leaf) -> void
{
    for (const auto &connection : leaf.connections) {
        if (!isSentToEndedProcess(leaf, connection))
            continue;
        const auto &attempt = state.attempts.attempts[connection.attempt];
        if (attempt.phase == AttemptPhase::Abandoned && attempt.targetReplied)
            release(state, connection.attempt);
    }
}

auto onTargetReply(DispatchState &state, TargetReply &reply, TimePoint now,
                   DispatchActions &actions) -> void
{
    const auto index = findAttempt(state.attempts, reply.send);
    if (!index)
        return;
    auto &attempt = state.attempts.attempts[*index];
    const auto leafIndex = attempt.leaf;
    auto &leaf = state.leafs[leafIndex];
    recordSendResult(state, leaf, attempt, reply, now);
    if (leafRefusalReason(leaf) == Reason::TargetLeaving)
        refuseAllWaiting(state, leaf, Reason::TargetLeaving, now, actions);
    attempt.targetReplied = true;
    if (!tryResend(state, *index, reply, now)) {
        if (attempt.phase == AttemptPhase::Running)
            answerFromTarget(state, leaf, attempt, reply, now, actions);
        if (hasEnded(leaf, attempt, reply, now))
            release(state, *index);
        else
            keepSlot(state, *index, now, actions);
    }
    releaseEnded(state, leaf);
    afterRelease(state, leafIndex, now, actions);
}

auto onProbeReply(DispatchState &state, const ProbeReply &reply, TimePoint now,
                  DispatchActions &actions) -> void
{
    const auto found = state.leafIndexes.find(reply.leaf);
    if (found == state.leafIndexes.end() || !state.leafs[found->second].probe.outstanding)
        return;
    auto &leaf = state.leafs[found->second];
    const auto probe = leaf.probe;
    leaf.probe = {};
    leaf.probe.lastFailed = !reply.answered;
    const auto start = leaf.cold.startNumber;
    if (reply.answered)
        recordTargetIdentity(leaf, reply.startId, reply.state, now);
    if (probe.kind == ProbeKind::SilentCheck && reply.answered && leaf.cold.startNumber == start)
        ++leaf.counters.silentConnections;
    // More than one connection is affected: the target itself doesn't answer.
    if (probe.kind != ProbeKind::Health && !reply.answered)
        markIdentityUnconfirmed(leaf.cold);
    if (leafRefusalReason(leaf) == Reason::TargetLeaving)
        refuseAllWaiting(state, leaf, Reason::TargetLeaving, now, actions);
    if (probe.nextKind != ProbeKind::Health)
        sendProbe(state, leaf, probe.nextKind, now, actions);
    releaseEnded(state, leaf);
    afterRelease(state, found->second, now, actions);
}

auto onWaitingTimer(DispatchState &state, std::uint32_t index, TimePoint now,
                    DispatchActions &actions) -> void
{
    auto &attempt = state.attempts.attempts[index];
    auto &leaf = state.leafs[attempt.leaf];
    const auto reason = timeRefusalReason(state, leaf, attempt.request, 0, now);
    if (reason != Reason::None) {
        refuseWaiting(state, index,
                      reason == Reason::DeadlineTooShort ? Reason::Overloaded : reason, now,
                      actions);
        return;
    }
    // The lease was renewed or the leaf became faster since the timer was set.
    arm(state.attemptTimers, index,
        std::min(attempt.request.deadline,
                 std::max(now + Duration(1), state.view->leaseValidUntil)));
}

auto abandon(DispatchState &state, std::uint32_t index, Reason reason, TimePoint now,
             DispatchActions &actions) -> void
{
    auto &attempt = state.attempts.attempts[index];
    auto &leaf = state.leafs[attempt.leaf];
    answerUnknown(state, attempt, reason, now, actions);
    actions.emplace_back(CancelTargetRequest{attempt.send, true});
    attempt.phase = AttemptPhase::Abandoned;
    // No reply will show the service time. On a fresh connection the target was slow, and the time
    // so far is recorded. An older connection may have gone silent, which says nothing about the
    // target, so a probe checks it.
    if (attempt.opensConnection)
        record(leaf.latency, now - attempt.sentAt, now);
    else
        sendProbe(state, leaf, ProbeKind::SilentCheck, now, actions);
    if (now < attempt.sentDeadline)
        arm(state.attemptTimers, index, attempt.sentDeadline);
}

auto onRunningTimer(DispatchState &state, std::uint32_t index, TimePoint now,
                    DispatchActions &actions) -> void
{
    const auto &attempt = state.attempts.attempts[index];
    if (now >= attempt.sentDeadline) {
        const auto byLease = attempt.sentDeadline < attempt.request.deadline;
        abandon(state, index, byLease ? Reason::NoLease : Reason::DeadlineExceeded, now, actions);
        return;
    }
    // The service times may have changed since the request was sent.
    const auto timeoutAt
            = silenceTimeoutAt(state.leafs[attempt.leaf], state.settings, attempt.sentAt, now);
    if (timeoutAt && *timeoutAt <= now)
        abandon(state, index, Reason::ConnectionSilent, now, actions);
    else
        arm(state.attemptTimers, index,
            std::min(attempt.sentDeadline, timeoutAt.value_or(attempt.sentDeadline)));
}

auto onAttemptTimer(DispatchState &state, std::uint32_t index, TimePoint now,
                    DispatchActions &actions) -> void
{
    const auto &attempt = state.attempts.attempts[index];
    const auto leafIndex = attempt.leaf;
    switch (attempt.phase) {
    case AttemptPhase::Waiting:
        onWaitingTimer(state, index, now, actions);
        break;
    case AttemptPhase::Running:
        onRunningTimer(state, index, now, actions);
        break;
    case AttemptPhase::Abandoned:
        // The connection stays in use until the runtime has reported the end of the send.
        if (attempt.targetReplied) {
            release(state, index);
            afterRelease(state, leafIndex, now, actions);
        }
        break;
    case AttemptPhase::Free:
        break;
    }
}

auto onLeafTimer(DispatchState &state, std::uint32_t index, TimePoint now, DispatchActions &actions)
        -> void
{
    auto &leaf = state.leafs[index];
    const auto interval = state.settings.healthInterval;
    const auto repliedRecently
            = now - leaf.lastReplyAt < interval && leaf.lastReplyAt != TimePoint();
    if (!repliedRecently && leaf.outReason == Reason::None && hasShare(leaf))
        sendProbe(state, leaf, ProbeKind::Health, now, actions);
    arm(state.leafTimers, index, (repliedRecently ? leaf.lastReplyAt : now) + interval);
}

auto fireTimers(DispatchState &state, TimePoint now, DispatchActions &actions) -> void
{
    while (const auto index = popDue(state.attemptTimers, now))
        onAttemptTimer(state, *index, now, actions);
    while (const auto index = popDue(state.leafTimers, now))
        onLeafTimer(state, *index, now, actions);
}

// Runs after each event.
auto finishEvent(DispatchState &state, TimePoint now, DispatchActions &actions) -> void
{
    fireTimers(state, now, actions);
    reportDrained(state, actions);
}

} // namespace

auto DispatchStateDeleter::operator()(DispatchState *state) const -> void
{
    delete state;
}

auto makeDispatchState(const DispatchSettings &settings) -> DispatchStatePtr
{
    auto state = DispatchStatePtr(new DispatchState());
    state->settings = settings;
    return state;
}

auto handle(DispatchState &state, const DispatchEvent &event, TimePoint now,
            DispatchActions &actions) -> void
{
    if (const auto *reply = std::get_if<TargetReply>(&event)) {
        handle(state, DispatchEvent(*reply), now, actions);
        return;
    }
    std::visit(
            Overloaded{
                    [&](const LeafRequest &request) {
                        onLeafRequest(state, request, now, actions);
                    },
                    [&](const CancelLeafRequest &cancel) { onCancel(state, cancel, now, actions); },
                    [](const TargetReply &) {},
                    [&](const ProbeReply &reply) { onProbeReply(state, reply, now, actions); },
                    [&](const ViewChanged &changed) {
                        applyView(state, changed.view, now, actions);
                    },
                    [](const Tick &) {},
            },
            event);
    finishEvent(state, now, actions);
}

auto handle(DispatchState &state, DispatchEvent &&event, TimePoint now, DispatchActions &actions)
        -> void
{
    auto *reply = std::get_if<TargetReply>(&event);
    if (reply == nullptr) {
        handle(state, std::as_const(event), now, actions);
        return;
    }
    onTargetReply(state, *reply, now, actions);
    finishEvent(state, now, actions);
}

auto nextTickAt(const DispatchState &state) -> std::optional<TimePoint>
{
    const auto attempt = nextDue(state.attemptTimers);
    const auto leaf = nextDue(state.leafTimers);
    return attempt && leaf ? std::min(attempt, leaf) : std::max(attempt, leaf);
}

auto leafStatus(const DispatchState &state) -> std::vector<LeafStatus>
{
    auto rows = std::vector<LeafStatus>();
    for (const auto &leaf : state.leafs) {
        if (!leaf.used)
            continue;
        const auto limits = rampLimits(leaf);
        const auto concurrency = concurrencyLimit(leaf, state.settings);
        auto row = LeafStatus();
        row.leaf = leaf.id;
        row.running = leaf.running;
        row.waiting = static_cast<std::uint32_t>(leaf.waiting.entries.size());
        row.concurrencyLimit = concurrency;
        row.slots = leaf.size.slots;
        row.connections = countUsage(leaf).connections;
        row.targetState = leaf.targetState;
        row.cold = concurrency < limits.slots || !leaf.cold.confirmed;
        row.leaving = leaf.draining || leaf.listedLeaving;
        row.out = leaf.outReason != Reason::None;
        row.p50 = quantile(leaf.latency, 0.50);
        row.p99 = quantile(leaf.latency, 0.99);
        row.sent = leaf.counters.sent;
        row.shed = leaf.counters.shed;
        row.silentConnections = leaf.counters.silentConnections;
        rows.push_back(row);
    }
    return rows;
}

auto requestsInFlight(const DispatchState &state) -> std::size_t
{
    return state.attempts.attempts.size() - state.attempts.freeSlots.size();
}

} // namespace crocusreach

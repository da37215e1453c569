#include "sending.h"

#include "invariants.h"

#include <algorithm>

namespace crocusreach {

namespace {

// No target can serve a request in less time than this.
constexpr Duration minUsefulLeaseTime = std::chrono::milliseconds(1);

auto makeReply(const LeafState *leaf, const LeafRequest &request, Outcome outcome, Reason reason)
        -> LeafReply
{
    auto reply = LeafReply();
    reply.attempt = request.attempt;
    reply.leaf = request.leaf;
    reply.shard = request.shard;
    reply.outcome = outcome;
    reply.reason = reason;
    reply.version = request.version;
    reply.layout = request.layout;
    if (leaf != nullptr) {
        reply.targetState = leaf->targetState;
        reply.queueLength = static_cast<std::uint32_t>(leaf->waiting.entries.size());
    }
    return reply;
}

// The connection for a request, if the limits allow one now.
struct SendPlan
{
    std::size_t connection = 0;
    bool unverified = false;
    bool closeIdle = false; // no closed connection is left for a request that needs a fresh one
};

auto canSendUnverified(const DispatchState &state, const LeafState &leaf) -> bool
{
    return !state.settings.coldRamp || state.mutations.ignoreColdSlots
           || leaf.unverified < rampLimits(leaf).coldSlots;
}

auto planIdempotent(const DispatchState &state, const LeafState &leaf,
                    const ConnectionChoice &choice) -> std::optional<SendPlan>
{
    if (choice.verified)
        return SendPlan{*choice.verified, false, false};
    if (!canSendUnverified(state, leaf))
        return std::nullopt;
    if (choice.closed)
        return SendPlan{*choice.closed, true, false};
    if (choice.unverified)
        return SendPlan{*choice.unverified, true, false};
    return std::nullopt;
}

// A client library may resend a request by itself when a reused connection closes before the reply.
// A request marked non-idempotent therefore gets a fresh connection.
auto planNonIdempotent(const DispatchState &state, const LeafState &leaf,
                       const ConnectionChoice &choice) -> std::optional<SendPlan>
{
    if (!canSendUnverified(state, leaf))
        return std::nullopt;
    if (choice.closed)
        return SendPlan{*choice.closed, true, false};
    if (choice.unverified)
        return SendPlan{*choice.unverified, true, true};
    if (choice.verified)
        return SendPlan{*choice.verified, true, true};
    return std::nullopt;
}

auto hasFreeSlot(const DispatchState &state, const LeafState &leaf) -> bool
{
    const auto &mutations = state.mutations;
    if (leaf.running >= leaf.size.slots && !mutations.ignoreSlots)
        return false;
    return runningOnCurrentProcess(leaf) < concurrencyLimit(leaf, state.settings)
           || mutations.ignoreSlots || mutations.ignoreColdSlots;
}

auto chooseConnectionsForSend(const DispatchState &state, LeafState &leaf) -> ConnectionChoice
{
    if (state.mutations.ignoreConnections)
        leaf.connections.emplace_back();
    auto choice = chooseConnections(leaf);
    if (state.mutations.ignoreConnections)
        choice = {std::nullopt, leaf.connections.size() - 1, std::nullopt};
    return choice;
}

struct Candidate
{
    std::uint32_t attempt = 0;
    SendPlan plan;
};

// The waiting request with the earliest deadline that the limits allow to be sent. A request that
// needs a fresh connection doesn't block a later one that can use a verified connection.
auto nextCandidate(const DispatchState &state, LeafState &leaf) -> std::optional<Candidate>
{
    if (leaf.waiting.entries.empty() || !hasFreeSlot(state, leaf))
        return std::nullopt;
    const auto choice = chooseConnectionsForSend(state, leaf);
    const auto forIdempotent = planIdempotent(state, leaf, choice);
    const auto forNonIdempotent = planNonIdempotent(state, leaf, choice);
    if (!forIdempotent && !forNonIdempotent)
        return std::nullopt;
    const auto &entries = leaf.waiting.entries;
    for (auto position = entries.size(); position-- > 0;) {
        const auto attempt = entries[position].attempt;
        const auto &request = state.attempts.attempts[attempt].request;
        if (const auto &plan = request.idempotent ? forIdempotent : forNonIdempotent)
            return Candidate{attempt, *plan};
    }
    return std::nullopt;
}

auto checkLimits(const DispatchState &state, const LeafState &leaf) -> void
{
    const auto usage = countUsage(leaf);
    check(usage.running <= leaf.size.slots, Invariant::SlotLimit,
          "more requests run at a leaf than the shares held have slots");
    check(usage.connections + (canProbe(leaf) ? 1 : 0) <= leaf.size.connections,
          Invariant::ConnectionLimit, "more connections than the shares held have");
    if (!state.settings.coldRamp)
        return;
    check(usage.unverified <= leaf.size.coldSlots, Invariant::ColdLimit,
          "more requests on unverified connections than the shares held have cold slots");
    check(runningOnCurrentProcess(leaf) <= concurrencyLimit(leaf, state.settings),
          Invariant::ColdLimit, "more requests than the ramp allows");
}

// Checks against the view itself rather than against state derived from it.
auto checkSendAllowed(const DispatchState &state, const LeafState &leaf, const Attempt &attempt,
                      TimePoint now) -> void
{
    check(attempt.sentDeadline <= state.view->leaseValidUntil && now < state.view->leaseValidUntil,
          Invariant::NoDispatchWithoutLease, "a request's deadline is after the end of the lease");
    const auto *entry = findLeaf(*state.view->leafIndex, leaf.id);
    check(entry != nullptr && isInRotation(*entry), Invariant::NoWorkToFailureDomainOut,
          "a request to a leaf whose failure domain or service is out");
    check(!leaf.draining && !leaf.listedLeaving, Invariant::NoWorkToLeavingTarget,
          "a request to a leaf that is leaving");
}

auto send(DispatchState &state, LeafState &leaf, const Candidate &candidate, TimePoint now,
          DispatchActions &actions) -> void
{
    auto &attempt = state.attempts.attempts[candidate.attempt];
    const auto &request = attempt.request;
    const auto &connection = leaf.connections[candidate.plan.connection];
    if (candidate.plan.closeIdle) {
        actions.emplace_back(CloseTargetConnections{leaf.id});
        closeIdleConnections(leaf);
    }
    check(attempt.phase == AttemptPhase::Waiting, Invariant::AtMostOnce,
          "a request that was sent before is sent again");
    attempt.phase = AttemptPhase::Running;
    attempt.send = nextSendId(state.attempts, candidate.attempt);
    attempt.sentAt = now;
    attempt.sentDeadline
            = state.mutations.ignoreLease ? request.deadline : targetDeadline(state, request);
    attempt.connection = static_cast<ConnectionIndex>(candidate.plan.connection);
    attempt.opensConnection = !connection.open;
    attempt.identityGeneration = leaf.cold.identityGeneration;
    occupyConnection(leaf, candidate.plan.connection, candidate.attempt, candidate.plan.unverified);
    ++leaf.counters.sent;
    checkLimits(state, leaf);
    checkSendAllowed(state, leaf, attempt, now);
    auto due = attempt.sentDeadline;
    if (request.idempotent)
        due = std::min(due, silenceTimeoutAt(leaf, state.settings, now, now).value_or(due));
    arm(state.attemptTimers, candidate.attempt, due);
    actions.emplace_back(SendTargetRequest{attempt.send, leaf.id, leaf.address, attempt.connection,
                                           candidate.plan.unverified, request.idempotent,
                                           request.shard, request.version, request.layout,
                                           attempt.sentDeadline, request.requestId, request.body});
}

} // namespace

auto refuse(DispatchState &state, const LeafRequest &request, Reason reason,
            DispatchActions &actions) -> void
{
    const auto found = state.leafIndexes.find(request.leaf);
    const auto *leaf = found == state.leafIndexes.end() ? nullptr : &state.leafs[found->second];
    auto reply = makeReply(leaf, request, Outcome::NotRun, reason);
    reply.step = Step::Queue;
    reply.peer = state.selfName;
    actions.emplace_back(SendLeafReply{request.origin, std::move(reply)});
}

auto refuseWaiting(DispatchState &state, std::uint32_t index, Reason reason, TimePoint now,
                   DispatchActions &actions) -> void
{
    auto &attempt = state.attempts.attempts[index];
    auto &leaf = state.leafs[attempt.leaf];
    check(attempt.phase == AttemptPhase::Waiting, Invariant::NotRunIsProvable,
          "a request that was sent is refused as not run");
    removeEntry(leaf.waiting, {attempt.request.deadline, index});
    auto reply = makeReply(&leaf, attempt.request, Outcome::NotRun, reason);
    reply.step = Step::Queue;
    reply.peer = state.selfName;
    reply.timings.queued = now - attempt.arrivedAt;
    actions.emplace_back(SendLeafReply{attempt.request.origin, std::move(reply)});
    release(state, index);
}

auto refuseAllWaiting(DispatchState &state, LeafState &leaf, Reason reason, TimePoint now,
                      DispatchActions &actions) -> void
{
    while (!leaf.waiting.entries.empty())
        refuseWaiting(state, leaf.waiting.entries.back().attempt, reason, now, actions);
}

auto answerUnknown(DispatchState &state, const Attempt &attempt, Reason reason, TimePoint now,
                   DispatchActions &actions) -> void
{
    const auto &leaf = state.leafs[attempt.leaf];
    auto reply = makeReply(&leaf, attempt.request, Outcome::Unknown, reason);
    reply.step = Step::TargetCall;
    reply.peer = leaf.address;
    reply.timings.queued = attempt.sentAt - attempt.arrivedAt;
    reply.timings.target = now - attempt.sentAt;
    actions.emplace_back(SendLeafReply{attempt.request.origin, std::move(reply)});
}

auto release(DispatchState &state, std::uint32_t index) -> void
{
    auto &attempt = state.attempts.attempts[index];
    if (attempt.phase != AttemptPhase::Waiting)
        freeConnection(state.leafs[attempt.leaf], toUnderlying(attempt.connection));
    disarm(state.attemptTimers, index);
    releaseAttempt(state.attempts, index);
}

auto enqueueAttempt(DispatchState &state, std::uint32_t index, TimePoint now) -> void
{
    auto &attempt = state.attempts.attempts[index];
    auto &leaf = state.leafs[attempt.leaf];
    attempt.phase = AttemptPhase::Waiting;
    enqueue(leaf.waiting, {attempt.request.deadline, index});
    const auto &latency = summarize(leaf.latency, now);
    const auto latest = attempt.request.deadline - (latency.valid ? latency.p10 : Duration());
    arm(state.attemptTimers, index, std::min(std::max(now, latest), state.view->leaseValidUntil));
}

auto targetDeadline(const DispatchState &state, const LeafRequest &request) -> TimePoint
{
    return std::min(request.deadline, state.view->leaseValidUntil);
}

auto timeRefusalReason(const DispatchState &state, LeafState &leaf, const LeafRequest &request,
                       std::size_t queuedAhead, TimePoint now) -> Reason
{
    if (request.deadline <= now)
        return Reason::DeadlineExceeded;
    const auto &latency = summarize(leaf.latency, now);
    const auto minServiceTime = latency.valid ? latency.p10 : Duration();
    const auto medianServiceTime = latency.valid ? latency.p50 : Duration();
    const auto left = state.view->leaseValidUntil - now;
    const auto leaseEndsFirst = state.view->leaseValidUntil < request.deadline;
    if (leaseEndsFirst && left <= std::max(minServiceTime, minUsefulLeaseTime)
        && !state.mutations.ignoreLease)
        return Reason::NoLease;
    const auto load
            = LoadEstimate{queuedAhead, leaf.running, concurrencyLimit(leaf, state.settings),
                           minServiceTime, medianServiceTime};
    return deadlineRefusalReason(load, request.deadline, now);
}

auto sendWaiting(DispatchState &state, std::uint32_t leafIndex, TimePoint now,
                 DispatchActions &actions) -> void
{
    auto &leaf = state.leafs[leafIndex];
    while (const auto candidate = nextCandidate(state, leaf)) {
        const auto &request = state.attempts.attempts[candidate->attempt].request;
        const auto reason = timeRefusalReason(state, leaf, request, 0, now);
        if (reason != Reason::None) {
            // The request was admitted with enough time left; the wait in the queue has used it up.
            refuseWaiting(state, candidate->attempt,
                          reason == Reason::DeadlineTooShort ? Reason::Overloaded : reason, now,
                          actions);
            continue;
        }
        removeEntry(leaf.waiting, {request.deadline, candidate->attempt});
        send(state, leaf, *candidate, now, actions);
    }
}

auto sendProbe(DispatchState &state, LeafState &leaf, ProbeKind kind, TimePoint now,
               DispatchActions &actions) -> void
{
    // After this many health intervals without a reply, a probe no longer counts as outstanding.
    constexpr auto probeTimeoutIntervals = 5;
    if (!canProbe(leaf))
        return;
    if (leaf.probe.outstanding
        && now - leaf.probe.sentAt < state.settings.healthInterval * probeTimeoutIntervals) {
        leaf.probe.nextKind = std::max(leaf.probe.nextKind, kind);
        return;
    }
    const auto newConnection = kind != ProbeKind::Health || leaf.probe.lastFailed;
    leaf.probe = {true, now, kind, ProbeKind::Health, false};
    actions.emplace_back(ProbeTarget{leaf.id, leaf.address, newConnection});
}

} // namespace crocusreach

#include "forwardcalls.h"

#include "forwardanswer.h"
#include "forwardquota.h"
#include "forwardsend.h"
#include "forwardwaiting.h"
#include "serviceability.h"

#include <algorithm>
#include <utility>

namespace crocusreach::forward {

namespace {

auto summarize(Forwarder &forwarder, const Call &call, CallEnd end, TimePoint now) -> CallSummary
{
    auto summary = CallSummary();
    summary.requestId = call.request->id;
    summary.route = call.route->name;
    summary.tenant = tenantNameOf(call);
    summary.version = call.table->version;
    summary.stateAge = stateAgeOf(forwarder, now);
    summary.end = end;
    summary.elapsed = now - call.arrivedAt;
    summary.timeLeftAtArrival = call.request->timeLeft;
    summary.timeAllowed = call.deadline - call.arrivedAt;
    summary.parts = call.parts.size();
    summary.missing = missingParts(call);
    summary.closeDelimited = static_cast<std::size_t>(
            std::count_if(call.parts.begin(), call.parts.end(),
                          [](const Part &part) { return part.answer.endsWithConnection; }));
    summary.sends = call.sends;
    summary.hedges = call.hedges;
    summary.retries = call.retries;
    summary.late = call.elapsedBeforeArrival + summary.elapsed > call.route->targetLatency;
    summary.typicalLatency = typicalLatency(*call.stats, *call.route);
    auto leaf = call.lastAnswerLeaf;
    summary.leafLatency = call.lastAnswerLatency;
    for (const auto &part : call.parts) {
        if (part.state == PartState::Answered || part.triedLeafs.empty())
            continue;
        leaf = part.triedLeafs.back();
        if (!part.activeSends.empty())
            summary.leafLatency = now - forwarder.sends.at(part.activeSends.back()).sentAt;
    }
    if (leaf) {
        const auto &state = leafAt(forwarder.leafs, *leaf);
        summary.lastLeaf = state.record.id;
        summary.timeSinceLeafAnswer = timeSinceAnswer(state, now);
        summary.leafCold = now < state.coldUntil;
    }
    return summary;
}

// Reports the sends of unanswered parts, whose answers come too late for the call.
auto reportUnansweredSends(Forwarder &forwarder, const Call &call, TimePoint now,
                           std::vector<ForwardAction> &actions) -> void
{
    for (const auto &part : call.parts) {
        if (part.state != PartState::Open)
            continue;
        for (const auto id : part.activeSends)
            reportFailedSend(forwarder, call, forwarder.sends.at(id), RetryReason::Slow, {}, now,
                             actions);
    }
}

// True if the call has not been sent anywhere, and a newer desired state no longer lets its key use
// the route for the same tenant.
auto isKeyWithdrawn(const Forwarder &forwarder, const Call &call) -> bool
{
    if (call.sends > 0 || call.table == forwarder.table || !call.table->tenants.isEnforced)
        return false;
    const auto access = checkAccess(forwarder.table->tenants, *call.route, call.request->key);
    const auto isSameTenant = !call.tenant || !forwarder.table->tenants.isEnforced
                              || (access.tenant
                                  && forwarder.table->tenants.tenants.at(*access.tenant).name
                                             == tenantNameOf(call));
    return !access.isAllowed || !isSameTenant;
}

} // namespace

auto answerCaller(CallId call, CallAnswer &&answer, std::vector<ForwardAction> &actions) -> void
{
    auto &action = std::get<AnswerCaller>(actions.emplace_back(AnswerCaller()));
    action.call = call;
    action.answer = std::move(answer);
}

auto stateAgeOf(const Forwarder &forwarder, TimePoint now) -> std::optional<Duration>
{
    const auto &confirmedAt = forwarder.tableConfirmedAt;
    return confirmedAt ? std::optional(now - *confirmedAt) : std::nullopt;
}

auto shortenToStop(Forwarder &forwarder, Call &call) -> void
{
    if (!forwarder.answersUntil || call.deadline <= *forwarder.answersUntil)
        return;
    call.deadline = *forwarder.answersUntil;
    call.endsAtStop = true;
    addTimer(forwarder, call.deadline, TimerKind::Call, static_cast<std::uint64_t>(call.id));
    changeDeadline(forwarder.waiting, call.id, call.deadline);
}

auto endCall(Forwarder &forwarder, Call &call, CallEnd end, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    ++forwarder.counters.ends.at(static_cast<std::size_t>(end));
    reportUnansweredSends(forwarder, call, now, actions);
    actions.emplace_back(CallEnded{summarize(forwarder, call, end, now)});
    removeWaiting(forwarder.waiting, call.id);
    forwarder.calls.erase(call.id);
}

auto advance(Forwarder &forwarder, Call &call, TimePoint now, std::vector<ForwardAction> &actions)
        -> void
{
    if (isKeyWithdrawn(forwarder, call)) {
        answerCaller(call.id, LocalAnswer{LocalStatus::UnknownKey, {}}, actions);
        return endCall(forwarder, call, CallEnd::UnknownKey, now, actions);
    }
    if (now < call.deadline && !forwarder.confirmationDueAt)
        sendDueParts(forwarder, call, now, actions);
    if (call.needsNewToken)
        return renewToken(forwarder, call, now, actions);
    auto outcome = decideOutcome(forwarder, call, now);
    if (!outcome)
        return;
    answerCaller(call.id, std::move(outcome->answer), actions);
    endCall(forwarder, call, outcome->end, now, actions);
}

auto advanceWaitingCalls(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions)
        -> void
{
    for (const auto id : callsToAdvance(forwarder, now)) {
        const auto call = forwarder.calls.find(id);
        if (call != forwarder.calls.end())
            advance(forwarder, *call->second, now, actions);
    }
    refuseUnservableCalls(forwarder, now, actions);
}

} // namespace crocusreach::forward

#include "forwardanswer.h"

#include "records.h"

#include <algorithm>
#include <iterator>

namespace crocusreach::forward {

namespace {

// Fractions of the time that the caller has left. Callers honour a wait of up to a third of it.
constexpr double maxRetryAfterFraction = 0.25;
constexpr double minRetryAfterFraction = 0.05;

// A random part of the time, between the two fractions of it.
auto randomPart(Forwarder &forwarder, Duration time, double least, double most) -> Duration
{
    constexpr std::uint64_t steps = 1000;
    const auto random = static_cast<double>(nextRandom(forwarder.random) % steps) / steps;
    const auto fraction = least + random * (most - least);
    return Duration(static_cast<Duration::rep>(fraction * static_cast<double>(time.count())));
}

auto countParts(const Call &call, PartState state) -> std::size_t
{
    return static_cast<std::size_t>(
            std::count_if(call.parts.begin(), call.parts.end(),
                          [state](const Part &part) { return part.state == state; }));
}

// True if no leaf has run the request of the call or can still run it.
auto isProvablyNotRun(const Call &call) -> bool
{
    return std::all_of(call.parts.begin(), call.parts.end(), [](const Part &part) {
        return part.state != PartState::Answered && part.activeSends.empty() && !part.mayHaveRun;
    });
}

auto localOutcome(Forwarder &forwarder, const Call &call, LocalStatus status, CallEnd end,
                  TimePoint now) -> CallOutcome
{
    auto answer = LocalAnswer{status, {}};
    if (status == LocalStatus::NotRun)
        answer.retryAfter
                = retryAfter(forwarder, end, call.arrivedAt + call.request->timeLeft - now);
    return {answer, end};
}

auto failureOutcome(Forwarder &forwarder, const Call &call, CallEnd end, TimePoint now)
        -> CallOutcome
{
    const auto status = isProvablyNotRun(call) ? LocalStatus::NotRun : LocalStatus::Failed;
    return localOutcome(forwarder, call, status, end, now);
}

auto mergedOutcome(Call &call) -> CallOutcome
{
    auto merged = MergedAnswer();
    auto bodies = std::vector<std::string_view>();
    for (const auto &part : call.parts) {
        if (part.state != PartState::Answered)
            continue;
        merged.receipts.push_back(part.answer.receipt);
        bodies.emplace_back(part.answer.body);
    }
    merged.missing = call.parts.size() - merged.receipts.size();
    merged.body = mergeTopRecords(bodies, call.route->topRecords);
    const auto end = merged.missing == 0 ? CallEnd::Complete : CallEnd::Partial;
    return {std::move(merged), end};
}

// True if the last attempt allowed for the shard is overdue at a leaf that is unlikely to answer
// soon.
auto isUnlikelyToAnswer(const Call &call, const Part &part, TimePoint now) -> bool
{
    return part.unreliable && part.hedgeAt <= now && part.attempts >= call.route->maxAttempts;
}

auto gatherOutcome(Forwarder &forwarder, Call &call, TimePoint now) -> std::optional<CallOutcome>
{
    const auto answered = countParts(call, PartState::Answered);
    const auto open = countParts(call, PartState::Open);
    const auto required = requiredParts(call);
    if (answered + open < required) {
        const auto failedPart
                = std::find_if(call.parts.begin(), call.parts.end(),
                               [](const Part &part) { return part.state == PartState::Failed; });
        return failureOutcome(forwarder, call, failedPart->failedAs, now);
    }
    if (open == 0)
        return mergedOutcome(call);
    if (answered < required)
        return {};
    const auto noneLikelyToAnswer
            = std::all_of(call.parts.begin(), call.parts.end(), [&](const Part &p) {
                  return p.state != PartState::Open || isUnlikelyToAnswer(call, p, now);
              });
    if (now >= call.partialAnswerAt || noneLikelyToAnswer)
        return mergedOutcome(call);
    return {};
}

auto singleOutcome(Forwarder &forwarder, Call &call, TimePoint now) -> std::optional<CallOutcome>
{
    auto &part = call.parts.front();
    if (part.state == PartState::Open)
        return {};
    if (part.state == PartState::Answered)
        return CallOutcome{ForwardedAnswer{std::move(part.answer)}, CallEnd::Complete};
    const auto statusIsReliable = call.route->idempotent || !part.answer.statusImpliesNotRun;
    if (part.answer.status != 0 && part.answer.kind == LeafAnswerKind::Failure && statusIsReliable)
        return CallOutcome{ForwardedAnswer{std::move(part.answer)}, CallEnd::LeafFailure};
    return failureOutcome(forwarder, call, part.mayHaveRun ? CallEnd::MayHaveRun : part.failedAs,
                          now);
}

} // namespace

auto tenantNameOf(const Call &call) -> std::string
{
    return call.tenant ? call.table->tenants.tenants.at(*call.tenant).name : std::string();
}

auto requiredParts(const Call &call) -> std::size_t
{
    return requiredShards(*call.route);
}

auto missingParts(const Call &call) -> std::size_t
{
    return call.parts.size() - countParts(call, PartState::Answered);
}

auto retryAfter(Forwarder &forwarder, CallEnd end, Duration timeLeft) -> Duration
{
    // Any other instance can serve the caller at once.
    if (end == CallEnd::Stopping)
        return randomPart(forwarder, timeLeft, 0, minRetryAfterFraction);
    return randomPart(forwarder, timeLeft, minRetryAfterFraction, maxRetryAfterFraction);
}

auto decideOutcome(Forwarder &forwarder, Call &call, TimePoint now) -> std::optional<CallOutcome>
{
    const auto isQuery = !call.route->shards.empty();
    auto outcome
            = isQuery ? gatherOutcome(forwarder, call, now) : singleOutcome(forwarder, call, now);
    if (outcome || now < call.deadline)
        return outcome;
    if (isQuery && countParts(call, PartState::Answered) >= requiredParts(call))
        return mergedOutcome(call);
    if (call.endsAtStop)
        return failureOutcome(forwarder, call, CallEnd::Stopping, now);
    const auto status = isProvablyNotRun(call) ? LocalStatus::NotRun : LocalStatus::TimedOut;
    return localOutcome(forwarder, call, status, CallEnd::TimedOut, now);
}

} // namespace crocusreach::forward

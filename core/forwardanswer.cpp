#include "forwardanswer.h"

#include "records.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace crocusreach::forward {

namespace {

// Callers honour a wait of up to a third of the time that they have left.
constexpr double longestRetryAfter = 0.25;
constexpr double shortestRetryAfter = 0.05;

auto countParts(const Call &call, PartState state) -> std::size_t
{
    return static_cast<std::size_t>(
            std::count_if(call.parts.begin(), call.parts.end(),
                          [state](const Part &part) { return part.state == state; }));
}

// True if no send of the call has run or can still run.
auto provablyNotRun(const Call &call) -> bool
{
    return std::all_of(call.parts.begin(), call.parts.end(), [](const Part &part) {
        return part.state != PartState::Answered && part.running.empty() && !part.mayHaveRun;
    });
}

auto ownOutcome(Forwarder &forwarder, const Call &call, OwnStatus status, CallEnd end,
                TimePoint now) -> CallOutcome
{
    auto answer = OwnAnswer{status, {}};
    if (status == OwnStatus::NotRun)
        answer.retryAfter = retryAfter(forwarder, call.arrivedAt + call.request->timeLeft - now);
    return {answer, end};
}

auto failureOutcome(Forwarder &forwarder, const Call &call, CallEnd end, TimePoint now)
        -> CallOutcome
{
    const auto status = provablyNotRun(call) ? OwnStatus::NotRun : OwnStatus::Failed;
    return ownOutcome(forwarder, call, status, end, now);
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

// A shard whose only hope is a leaf that stands still or has failed lately.
auto isHopeless(const Call &call, const Part &part, TimePoint now) -> bool
{
    return part.doubtful && part.hedgeAt <= now && part.attempts >= call.route->maxAttempts;
}

auto gatherOutcome(Forwarder &forwarder, Call &call, TimePoint now) -> std::optional<CallOutcome>
{
    const auto answered = countParts(call, PartState::Answered);
    const auto open = countParts(call, PartState::Open);
    const auto required = requiredParts(call);
    if (answered + open < required) {
        const auto lost = std::find_if(call.parts.begin(), call.parts.end(), [](const Part &part) {
            return part.state == PartState::GivenUp;
        });
        return failureOutcome(forwarder, call, lost->lostBy, now);
    }
    if (open == 0)
        return mergedOutcome(call);
    if (answered < required)
        return {};
    const auto onlyHopeless = std::all_of(call.parts.begin(), call.parts.end(), [&](const Part &p) {
        return p.state != PartState::Open || isHopeless(call, p, now);
    });
    if (now >= call.partialAt || onlyHopeless)
        return mergedOutcome(call);
    return {};
}

auto singleOutcome(Forwarder &forwarder, Call &call, TimePoint now) -> std::optional<CallOutcome>
{
    auto &part = call.parts.front();
    if (part.state == PartState::Open)
        return {};
    if (part.state == PartState::Answered)
        return CallOutcome{PassedAnswer{std::move(part.answer)}, CallEnd::Complete};
    const auto truthful = call.route->idempotent || !part.answer.soundsNotRun;
    if (part.answer.status != 0 && part.answer.kind == LeafAnswerKind::Failure && truthful)
        return CallOutcome{PassedAnswer{std::move(part.answer)}, CallEnd::LeafFailure};
    return failureOutcome(forwarder, call, part.mayHaveRun ? CallEnd::MayHaveRun : part.lostBy,
                          now);
}

} // namespace

auto requiredParts(const Call &call) -> std::size_t
{
    // The ratio has few digits, so that a product just above a whole number is that number.
    constexpr double tolerance = 1e-9;
    const auto least = call.route->minShardRatio * static_cast<double>(call.parts.size());
    return std::max(std::size_t(1), static_cast<std::size_t>(std::ceil(least - tolerance)));
}

auto missingParts(const Call &call) -> std::size_t
{
    return call.parts.size() - countParts(call, PartState::Answered);
}

auto retryAfter(Forwarder &forwarder, Duration timeLeft) -> Duration
{
    constexpr std::uint64_t steps = 1000;
    const auto fraction = static_cast<double>(nextRandom(forwarder.random) % steps) / steps;
    const auto part = shortestRetryAfter + fraction * (longestRetryAfter - shortestRetryAfter);
    return Duration(static_cast<Duration::rep>(part * static_cast<double>(timeLeft.count())));
}

auto decideOutcome(Forwarder &forwarder, Call &call, TimePoint now) -> std::optional<CallOutcome>
{
    const auto gathers = !call.route->shards.empty();
    auto outcome
            = gathers ? gatherOutcome(forwarder, call, now) : singleOutcome(forwarder, call, now);
    if (outcome || now < call.endAt)
        return outcome;
    if (gathers && countParts(call, PartState::Answered) >= requiredParts(call))
        return mergedOutcome(call);
    const auto status = provablyNotRun(call) ? OwnStatus::NotRun : OwnStatus::TimedOut;
    return ownOutcome(forwarder, call, status, CallEnd::TimedOut, now);
}

} // namespace crocusreach::forward

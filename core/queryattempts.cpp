#include "queryattempts.h"

#include "hedging.h"
#include "invariants.h"
#include "querystatistics.h"

#include <algorithm>
#include <utility>

namespace crocusreach {

namespace {

// Each hop subtracts this from the deadline that it passes on, to leave time for the reply to
// return.
constexpr Duration hopDeadlineMargin = std::chrono::milliseconds(1);

// Chooses the candidate for an attempt. A share that was tried is not used again. A hedge or retry
// goes to another leaf if one is usable, since another holder leads to the same slow target.
auto findRoute(QueryState &state, const RunningQuery &query, const ShardProgress &shard,
               AttemptKind kind, TimePoint now) -> RouteChoice
{
    auto tried = std::array<ShareKey, maxAttemptsPerShard>();
    for (std::size_t index = 0; index < shard.attemptCount; ++index)
        tried[index] = shard.attempts[index].share;
    const auto &candidates = query.routes->shards[toUnderlying(shard.shard)];
    auto constraint = RouteConstraint{query.snapshot, std::span(tried).first(shard.attemptCount),
                                      kind != AttemptKind::First};
    const auto choose = [&] {
        return chooseRoute(candidates, constraint, state.routing, state.snapshots,
                           state.settings.domainAwareRouting, now, state.random);
    };
    auto choice = choose();
    if (choice.candidate == nullptr && constraint.avoidTriedLeafs) {
        constraint.avoidTriedLeafs = false;
        choice = choose();
    }
    return choice;
}

auto refillBudgets(QueryState &state, ServiceId service, LeafId leaf) -> void
{
    for (auto *budgets : {&state.serviceBudgets[service], &state.leafBudgets[leaf]}) {
        refill(budgets->hedges, state.settings.hedgeBudget);
        refill(budgets->retries, state.settings.retryBudget);
    }
}

auto countAttempt(QueryState &state, const RunningQuery &query, LeafId leaf, AttemptKind kind)
        -> void
{
    switch (kind) {
    case AttemptKind::First:
        ++state.counters.firstAttempts;
        refillBudgets(state, query.service->id, leaf);
        break;
    case AttemptKind::Retry:
        ++state.counters.retries;
        break;
    case AttemptKind::Hedge:
        ++state.counters.hedges;
        break;
    }
}

auto scheduleHedge(QueryState &state, const RunningQuery &query, LeafId leaf, AttemptId attempt,
                   TimePoint now) -> void
{
    if (!state.settings.hedging || !query.request.idempotent)
        return;
    const auto latency = state.latency.find(leaf);
    if (latency == state.latency.end())
        return;
    const auto delay = hedgeDelay(latency->second, query.deadline - now);
    if (delay)
        state.timers.push({now + *delay, TimerKind::Hedge, query.request.query, attempt});
}

auto makeRequest(const QueryState &state, const RunningQuery &query, const Candidate &candidate,
                 ShardNumber shard, AttemptId attempt, AttemptKind kind) -> LeafRequest
{
    auto request = LeafRequest();
    request.attempt = attempt;
    request.origin = state.view->self;
    request.service = query.service->id;
    request.leaf = candidate.leaf->id;
    request.ordinal = candidate.ordinal;
    request.shard = shard;
    request.version = query.snapshot.version;
    request.layout = query.snapshot.layout;
    request.deadline = query.deadline - hopDeadlineMargin - candidate.roundTrip / 2;
    request.idempotent = query.request.idempotent;
    request.hedge = kind == AttemptKind::Hedge;
    request.requestId = query.request.requestId;
    request.body = query.request.body;
    return request;
}

// At most one attempt of a non-idempotent request may ever run, and only under its claim.
auto checkAtMostOnce(const RunningQuery &query, const ShardProgress &shard) -> void
{
    if (query.request.idempotent)
        return;
    check(query.claim.held && !query.mayHaveRun && !isRunning(shard), Invariant::AtMostOnce,
          "a non-idempotent request was about to be sent a second time, or without its claim");
}

} // namespace

auto isRunning(const ShardProgress &shard) -> bool
{
    return std::ranges::any_of(shard.attempts, [](const ShardAttempt &attempt) {
        return toUnderlying(attempt.runningId) != 0;
    });
}

auto startAttempt(QueryState &state, RunningQuery &query, std::uint32_t shardIndex,
                  AttemptKind kind, TimePoint now, QueryActions &actions) -> Reason
{
    auto &shard = query.shards[shardIndex];
    if (shard.attemptCount == maxAttemptsPerShard)
        return Reason::NoReplica;
    const auto choice = findRoute(state, query, shard, kind, now);
    if (choice.candidate == nullptr)
        return choice.reason;
    checkAtMostOnce(query, shard);
    const auto &candidate = *choice.candidate;
    const auto share = ShareKey{candidate.leaf->id, candidate.ordinal};
    const auto attempt = addAttempt(
            state.attempts, {query.request.query, shardIndex, shard.shard, share, candidate.holder,
                             now, kind == AttemptKind::Hedge, kind == AttemptKind::Retry});
    shard.attempts[shard.attemptCount++] = {share, attempt};
    recordSent(state.routing, share);
    countAttempt(state, query, candidate.leaf->id, kind);
    if (kind == AttemptKind::First)
        scheduleHedge(state, query, candidate.leaf->id, attempt, now);
    actions.emplace_back(SendLeafRequest{
            candidate.holder, makeRequest(state, query, candidate, shard.shard, attempt, kind)});
    return Reason::None;
}

auto retryShard(QueryState &state, RunningQuery &query, std::uint32_t shardIndex, LeafId failedLeaf,
                Reason reason, Outcome outcome, TimePoint now, QueryActions &actions) -> bool
{
    const auto rule = retryRule(reason, outcome, query.request.idempotent);
    if (rule == RetryRule::Never || now + hopDeadlineMargin >= query.deadline)
        return false;
    auto &serviceBudget = state.serviceBudgets[query.service->id].retries;
    auto &leafBudget = state.leafBudgets[failedLeaf].retries;
    const auto budgeted = rule == RetryRule::Budgeted;
    if (budgeted && !(canConsume(serviceBudget) && canConsume(leafBudget))) {
        ++state.counters.retriesDenied;
        return false;
    }
    if (startAttempt(state, query, shardIndex, AttemptKind::Retry, now, actions) != Reason::None)
        return false;
    ++state.counters.retriesByReason[static_cast<std::size_t>(reason)];
    if (budgeted) {
        consume(serviceBudget);
        consume(leafBudget);
    }
    return true;
}

auto sendHedge(QueryState &state, AttemptId attemptId, TimePoint now, QueryActions &actions) -> void
{
    const auto *attempt = findAttempt(state.attempts, attemptId);
    if (attempt == nullptr)
        return;
    auto &query = state.queries.at(attempt->query);
    auto &shard = query.shards[attempt->shardIndex];
    if (shard.hedged || shard.status != ShardStatus::Waiting)
        return;
    auto &serviceBudget = state.serviceBudgets[query.service->id].hedges;
    auto &leafBudget = state.leafBudgets[attempt->share.leaf].hedges;
    if (!canConsume(serviceBudget) || !canConsume(leafBudget)) {
        ++state.counters.hedgesDenied;
        return;
    }
    const auto shardIndex = attempt->shardIndex;
    if (startAttempt(state, query, shardIndex, AttemptKind::Hedge, now, actions) != Reason::None)
        return;
    shard.hedged = true;
    consume(serviceBudget);
    consume(leafBudget);
}

auto removeAttempt(QueryState &state, RunningQuery &query, AttemptId id) -> void
{
    const auto *found = findAttempt(state.attempts, id);
    for (auto &attempt : query.shards[found->shardIndex].attempts) {
        if (attempt.runningId == id)
            attempt.runningId = {};
    }
    removeAttempt(state.attempts, id);
}

auto cancelShard(QueryState &state, RunningQuery &query, ShardProgress &shard, Reason reason,
                 TimePoint now, QueryActions &actions) -> void
{
    for (const auto &shardAttempt : shard.attempts) {
        const auto id = shardAttempt.runningId;
        if (toUnderlying(id) == 0)
            continue;
        query.mayHaveRun = true;
        const auto &attempt = *findAttempt(state.attempts, id);
        recordAbandoned(state, query, attempt, reason, now);
        actions.emplace_back(SendCancel{attempt.holder, {state.view->self, id}});
        recordEnded(state.routing, shardAttempt.share);
        removeAttempt(state, query, id);
    }
}

auto cancelAll(QueryState &state, RunningQuery &query, Reason reason, TimePoint now,
               QueryActions &actions) -> void
{
    for (auto &shard : query.shards)
        cancelShard(state, query, shard, reason, now, actions);
}

} // namespace crocusreach

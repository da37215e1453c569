#include "query.h"

#include "invariants.h"
#include "merge.h"
#include "queryattempts.h"
#include "queryclaim.h"
#include "querystate.h"
#include "querystatistics.h"

#include <algorithm>
#include <utility>

namespace crocusreach {

namespace {

// A shorter deadline can't be met by any request through a holder and a target.
constexpr Duration minDeadline = std::chrono::milliseconds(2);

auto reasonIndex(Reason reason) -> std::size_t
{
    return static_cast<std::size_t>(reason);
}

// Refuses a request without planning it.
auto refuse(QueryState &state, const QueryArrived &request, Outcome outcome, Reason reason,
            std::string_view text, TimePoint now, QueryActions &actions) -> void
{
    auto answer = QueryAnswer();
    answer.query = request.query;
    answer.service = request.service;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.text = text;
    ++state.counters.refused;
    ++state.counters.refusalsByReason[reasonIndex(reason)];
    // An undeclared service gets no statistics, so that callers can't fill the memory with names.
    if (state.view != nullptr
        && findService(*state.view->configuration, request.service) != nullptr) {
        auto &statistics
                = currentPeriod(state.statistics, now).services[serviceId(request.service)];
        ++statistics.queries;
        ++statistics.refused;
        ++statistics.refusals[reasonIndex(reason)];
    }
    actions.emplace_back(std::move(answer));
}

auto recordAnswer(QueryState &state, const RunningQuery &query, const QueryAnswer &answer,
                  TimePoint now) -> void
{
    auto &statistics = currentPeriod(state.statistics, now).services[query.service->id];
    ++statistics.queries;
    statistics.restarts += query.restarts;
    statistics.elapsed += answer.elapsed;
    statistics.deadline += query.deadline - query.arrivedAt;
    statistics.shardsAsked += answer.asked;
    statistics.shardsAnswered += answer.answered;
    switch (answer.status) {
    case AnswerStatus::Complete:
        ++statistics.complete;
        ++state.counters.complete;
        break;
    case AnswerStatus::Partial:
        ++statistics.partial;
        ++state.counters.partial;
        break;
    case AnswerStatus::Refused:
        ++statistics.refused;
        ++statistics.refusals[reasonIndex(answer.reason)];
        ++state.counters.refused;
        ++state.counters.refusalsByReason[reasonIndex(answer.reason)];
        break;
    }
    for (const auto &missing : answer.missing) {
        ++statistics.missing[reasonIndex(missing.reason)];
        ++state.counters.missingByReason[reasonIndex(missing.reason)];
    }
}

auto attachTrace(const RunningQuery &query, QueryAnswer &answer) -> void
{
    if (!query.request.explain)
        return;
    answer.trace = QueryTrace{query.deadline - query.arrivedAt, query.claim.claimingTime,
                              answer.elapsed, query.restarts, query.attemptTraces};
}

// Sends the answer and removes the query. Its attempts must have ended, except for a non-idempotent
// one that outlives the deadline, which onDeadline() removes.
auto sendAnswer(QueryState &state, RunningQuery &query, QueryAnswer &&answer, TimePoint now,
                QueryActions &actions) -> void
{
    // A query may end late only if no event was handled between its deadline and now.
    check(now <= query.deadline || state.lastEventAt <= query.deadline,
          Invariant::QueryEndsByDeadline, "a query was still running after its deadline");
    check(answer.outcome != Outcome::NotRun || !query.mayHaveRun, Invariant::NotRunIsProvable,
          "a query that may have run was refused as not run");
    answer.query = query.request.query;
    answer.service = query.request.service;
    answer.elapsed = now - query.arrivedAt;
    attachTrace(query, answer);
    recordAnswer(state, query, answer, now);
    const auto id = query.request.query;
    actions.emplace_back(std::move(answer));
    state.queries.erase(id);
}

// Completes or removes the claim of a non-idempotent query that ends. If the outcome is unknown,
// the claim stays, so that a late reply can complete it.
auto finishClaim(QueryState &state, const RunningQuery &query, const QueryAnswer &answer,
                 TimePoint now, QueryActions &actions) -> void
{
    if (!query.claim.held)
        return;
    if (answer.outcome == Outcome::Done)
        completeClaim(query, answer, actions);
    else if (answer.outcome == Outcome::NotRun)
        releaseClaim(query, actions);
    else
        keepUnresolvedClaim(state, query, now);
}

// Answers with the merged shards. No shard may still be waiting.
auto finish(QueryState &state, RunningQuery &query, TimePoint now, QueryActions &actions) -> void
{
    auto answer = QueryAnswer();
    fillAnswer(query, answer);
    if (!query.request.idempotent)
        finishClaim(state, query, answer, now, actions);
    sendAnswer(state, query, std::move(answer), now, actions);
}

auto finishIfNoneWaiting(QueryState &state, RunningQuery &query, TimePoint now,
                         QueryActions &actions) -> void
{
    if (query.waitingShards == 0)
        finish(state, query, now, actions);
}

auto routesOf(QueryState &state, const Service &service) -> std::shared_ptr<const ServiceRoutes>
{
    auto &cached = state.routes[service.id];
    if (cached.view != state.view)
        cached = {state.view,
                  std::make_shared<const ServiceRoutes>(buildRoutes(*state.view, service))};
    return cached.routes;
}

auto shardsAsked(const QueryArrived &request, const Service &service) -> std::vector<ShardProgress>
{
    auto shards = std::vector<ShardProgress>();
    if (!request.shardKey.empty()) {
        shards.emplace_back().shard = ShardNumber{
                static_cast<std::uint32_t>(hashName(request.shardKey) % service.shardCount)};
        return shards;
    }
    shards.resize(service.shardCount);
    for (std::uint32_t shard = 0; shard < service.shardCount; ++shard)
        shards[shard].shard = ShardNumber{shard};
    return shards;
}

// Pins the view and the snapshot, and sends the first attempt of each shard.
auto plan(QueryState &state, RunningQuery &query, std::optional<IndexVersion> excluded,
          TimePoint now, QueryActions &actions) -> void
{
    query.view = state.view;
    query.service = findService(*query.view->configuration, query.request.service);
    query.routes = routesOf(state, *query.service);
    query.snapshot = chooseSnapshot(state.snapshots, *query.service, excluded);
    query.shards = shardsAsked(query.request, *query.service);
    query.waitingShards = static_cast<std::uint32_t>(query.shards.size());
    query.rows.clear();
    for (std::uint32_t shard = 0; shard < query.shards.size(); ++shard) {
        const auto reason = startAttempt(state, query, shard, AttemptKind::First, now, actions);
        if (reason != Reason::None)
            markMissing(query, query.shards[shard], reason, Step::Route, query.service->name);
    }
}

// Starts the whole query again on another snapshot: at most once, and only while at least half of
// its time is left. Returns true if it did.
auto restart(QueryState &state, RunningQuery &query, TimePoint now, QueryActions &actions) -> bool
{
    const auto half = (query.deadline - query.arrivedAt) / 2;
    const auto *service = findService(*state.view->configuration, query.request.service);
    if (!query.request.idempotent || query.restarts > 0 || query.deadline - now < half
        || service == nullptr)
        return false;
    // If the layout is unchanged, the pinned version is the one that is no longer served.
    const auto excluded = service->layout == query.snapshot.layout
                                  ? std::optional(query.snapshot.version)
                                  : std::nullopt;
    if (excluded && toUnderlying(chooseSnapshot(state.snapshots, *service, excluded).version) == 0)
        return false;
    cancelAll(state, query, Reason::Cancelled, now, actions);
    ++query.restarts;
    ++state.counters.restarts;
    plan(state, query, excluded, now, actions);
    return true;
}

auto validateRequest(const QueryArrived &request) -> std::string_view
{
    if (request.idempotent)
        return {};
    if (!isRequestId(request.requestId))
        return "a non-idempotent request needs a request_id of 1 to 128 letters, digits, '-', '_' "
               "or '.'";
    if (request.shardKey.empty())
        return "a non-idempotent request needs a shard_key";
    return {};
}

struct Refusal
{
    Reason reason = Reason::None;
    std::string_view text;
};

// Checks whether a request can be accepted. Returns Reason::None, or why it must be refused.
auto checkAdmission(const QueryState &state, const QueryArrived &request) -> Refusal
{
    if (state.view == nullptr || state.view->configuration->services.empty())
        return {Reason::StoreUnavailable, "this instance has no configuration yet"};
    if (isSelfOut(*state.view))
        return {Reason::InstanceOut, "operators have taken this instance out of rotation"};
    const auto *service = findService(*state.view->configuration, request.service);
    if (service == nullptr)
        return {Reason::UnknownService, "no such service"};
    if (const auto fault = validateRequest(request); !fault.empty())
        return {Reason::BadRequest, fault};
    if (service->decision.state == DesiredState::Out)
        return {Reason::ServiceOut, "operators have taken this service out of rotation"};
    if (state.queries.size() >= state.settings.queriesInFlightLimit)
        return {Reason::Overloaded, "too many queries in flight at this instance"};
    if (request.deadline && *request.deadline < minDeadline)
        return {Reason::DeadlineTooShort, "the deadline is shorter than 2 ms"};
    return {};
}

auto onEvent(QueryState &state, const QueryArrived &request, TimePoint now, QueryActions &actions)
        -> void
{
    ++state.counters.queries;
    const auto refusal = checkAdmission(state, request);
    if (refusal.reason != Reason::None) {
        // An earlier request with the same non-idempotent id may have run. Refusing this one then
        // doesn't prove NotRun, unless the caller states that it is the first attempt.
        const auto provable = request.idempotent || request.firstAttempt
                              || refusal.reason == Reason::BadRequest
                              || refusal.reason == Reason::UnknownService;
        refuse(state, request, provable ? Outcome::NotRun : Outcome::Unknown, refusal.reason,
               refusal.text, now, actions);
        return;
    }
    auto &query = state.queries[request.query];
    query.request = request;
    query.arrivedAt = now;
    const auto allowed = request.deadline.value_or(state.settings.defaultDeadline);
    query.deadline = now + std::min(allowed, state.settings.maxDeadline);
    query.view = state.view;
    query.service = findService(*state.view->configuration, request.service);
    state.timers.push({query.deadline, TimerKind::Deadline, request.query, {}});
    if (!request.idempotent) {
        startClaim(state, query, now, actions);
        return;
    }
    plan(state, query, {}, now, actions);
    finishIfNoneWaiting(state, query, now, actions);
}

auto onEvent(QueryState &state, const CallerLeft &left, TimePoint now, QueryActions &actions)
        -> void
{
    const auto found = state.queries.find(left.query);
    // A non-idempotent request continues, so that its outcome is recorded.
    if (found == state.queries.end() || !found->second.request.idempotent)
        return;
    cancelAll(state, found->second, Reason::Cancelled, now, actions);
    ++state.counters.callersLeft;
    state.queries.erase(found);
}

// Handles an attempt without usable rows: retries its shard, restarts the query, or marks the shard
// missing unless another attempt for it is running.
auto onFailure(QueryState &state, RunningQuery &query, const QueryAttempt &attempt,
               const LeafReply &reply, Reason reason, TimePoint now, QueryActions &actions) -> void
{
    auto &shard = query.shards[attempt.shardIndex];
    if (shard.status != ShardStatus::Waiting)
        return;
    if (retryShard(state, query, attempt.shardIndex, attempt.share.leaf, reason, reply.outcome, now,
                   actions))
        return;
    if (isRunning(shard))
        return;
    const auto otherSnapshot
            = reason == Reason::VersionNotServed || reason == Reason::LayoutNotServed;
    if (otherSnapshot && restart(state, query, now, actions))
        return;
    markMissing(query, shard, reason, reply.step, reply.peer);
}

auto latencyOf(QueryState &state, LeafId leaf) -> LatencyHistogram &
{
    const auto found = state.latency.find(leaf);
    if (found != state.latency.end())
        return found->second;
    return state.latency.emplace(leaf, makeLatencyHistogram()).first->second;
}

auto onEvent(QueryState &state, LeafReply &&reply, TimePoint now, QueryActions &actions) -> void
{
    const auto *found = findAttempt(state.attempts, reply.attempt);
    if (found == nullptr) {
        ++state.counters.lateReplies;
        completeUnresolvedClaim(state, reply, actions);
        return;
    }
    const auto attempt = *found;
    auto &query = state.queries.at(attempt.query);
    auto &shard = query.shards[attempt.shardIndex];
    if (!check(reply.shard == attempt.shard && reply.leaf == attempt.share.leaf,
               Invariant::AnswerBelongsToQuery,
               "a reply names another shard or leaf than its attempt"))
        return;
    recordServedVersions(state.snapshots, query.service->id, reply.leaf, reply.layout,
                         reply.servedVersions);
    // Version 0 stands for an unknown version, so rows without a version can't be part of a
    // snapshot.
    if (reply.reason == Reason::None && toUnderlying(reply.version) == 0)
        reply.reason = Reason::BadReply;
    removeAttempt(state, query, reply.attempt);
    const auto succeeded = reply.outcome == Outcome::Done && reply.reason == Reason::None;
    query.mayHaveRun = query.mayHaveRun || reply.outcome != Outcome::NotRun;
    auto merged = MergeResult::Late;
    if (succeeded) {
        recordCompleted(state.routing, attempt.share, now - attempt.sentAt);
        record(latencyOf(state, attempt.share.leaf), now - attempt.sentAt, now);
        // A non-idempotent request runs once, at one shard, so its reply defines the snapshot.
        if (!query.request.idempotent)
            query.snapshot = {reply.version, query.snapshot.layout};
        merged = mergeReply(query, shard, reply);
    } else {
        recordRefusal(state.routing, attempt.share, reply.reason, now);
    }
    recordReply(state, query, attempt, reply, merged == MergeResult::Merged, now);
    if (merged == MergeResult::Merged) {
        state.counters.hedgeWins += attempt.hedge ? 1 : 0;
        cancelShard(state, query, shard, Reason::Cancelled, now, actions);
    } else if (merged == MergeResult::SnapshotMismatch) {
        onFailure(state, query, attempt, reply, Reason::VersionNotServed, now, actions);
    } else if (!succeeded) {
        onFailure(state, query, attempt, reply, reply.reason, now, actions);
    }
    finishIfNoneWaiting(state, query, now, actions);
}

auto onEvent(QueryState &state, const HolderDisconnected &disconnected, TimePoint now,
             QueryActions &actions) -> void
{
    const auto *peer = state.view == nullptr ? nullptr : findPeer(*state.view, disconnected.holder);
    for (const auto id : attemptsAt(state.attempts, disconnected.holder)) {
        const auto *attempt = findAttempt(state.attempts, id);
        if (attempt == nullptr)
            continue; // an earlier reply of this loop ended its query
        auto reply = LeafReply();
        reply.attempt = id;
        reply.leaf = attempt->share.leaf;
        reply.shard = attempt->shard;
        reply.reason = Reason::HolderLost;
        reply.step = Step::PeerCall;
        reply.peer = peer == nullptr ? "" : peer->name;
        onEvent(state, std::move(reply), now, actions);
    }
}

// Answers a repeated non-idempotent request with the recorded outcome of the earlier one.
auto replay(QueryState &state, RunningQuery &query, const ClaimRecord &record, TimePoint now,
            QueryActions &actions) -> void
{
    auto answer = QueryAnswer();
    answer.status = AnswerStatus::Complete;
    answer.outcome = Outcome::Done;
    answer.replayed = true;
    answer.version = record.version;
    answer.layout = record.layout;
    answer.asked = 1;
    answer.answered = 1;
    for (const auto &row : record.rows)
        answer.rows.push_back({record.shard, row});
    sendAnswer(state, query, std::move(answer), now, actions);
}

auto refuseUnknown(QueryState &state, RunningQuery &query, TimePoint now, QueryActions &actions)
        -> void
{
    auto answer = QueryAnswer();
    answer.outcome = Outcome::Unknown;
    answer.reason = Reason::ClaimTaken;
    answer.text
            = "an earlier request with this request_id may have run; its outcome isn't recorded";
    sendAnswer(state, query, std::move(answer), now, actions);
}

auto onEvent(QueryState &state, const ClaimReply &reply, TimePoint now, QueryActions &actions)
        -> void
{
    const auto found = state.queries.find(reply.query);
    const auto isClaiming
            = reply.operation == ClaimOperation::Create || reply.operation == ClaimOperation::Read;
    if (found == state.queries.end() || found->second.claim.held || !isClaiming)
        return;
    auto &query = found->second;
    auto step = continueClaim(state, query, reply, now, actions);
    switch (step.kind) {
    case ClaimStep::Kind::Wait:
        return;
    case ClaimStep::Kind::Replay:
        replay(state, query, step.record, now, actions);
        return;
    case ClaimStep::Kind::Refuse:
        refuseUnknown(state, query, now, actions);
        return;
    case ClaimStep::Kind::Dispatch:
        plan(state, query, {}, now, actions);
        finishIfNoneWaiting(state, query, now, actions);
        return;
    }
}

auto onEvent(QueryState &state, const ViewChanged &changed, TimePoint /*now*/,
             QueryActions & /*actions*/) -> void
{
    const auto newConfiguration
            = state.view == nullptr || state.view->configuration != changed.view->configuration;
    state.view = changed.view;
    if (newConfiguration)
        onConfigurationChanged(state.snapshots, *state.view->leafIndex);
}

auto onEvent(QueryState & /*state*/, const Tick & /*tick*/, TimePoint /*now*/,
             QueryActions & /*actions*/) -> void
{
    // handle() runs the timers after each event.
}

// Refuses a query whose claim was not made in time. It did not run, but an earlier request with the
// same id may have.
auto refuseUnclaimed(QueryState &state, RunningQuery &query, TimePoint now, QueryActions &actions)
        -> void
{
    auto answer = QueryAnswer();
    answer.outcome = query.request.firstAttempt ? Outcome::NotRun : Outcome::Unknown;
    answer.reason = Reason::StoreUnavailable;
    answer.text = "the request_id could not be claimed in the store; this request did not run";
    sendAnswer(state, query, std::move(answer), now, actions);
}

auto onDeadline(QueryState &state, QueryId id, TimePoint now, QueryActions &actions) -> void
{
    const auto found = state.queries.find(id);
    if (found == state.queries.end())
        return;
    auto &query = found->second;
    if (!query.request.idempotent && !query.claim.held) {
        refuseUnclaimed(state, query, now, actions);
        return;
    }
    for (auto &shard : query.shards) {
        if (shard.status != ShardStatus::Waiting)
            continue;
        const auto *entry = findLeaf(*query.view->leafIndex, shard.attempts[0].share.leaf);
        query.mayHaveRun = query.mayHaveRun || isRunning(shard);
        markMissing(query, shard, Reason::DeadlineExceeded, Step::TargetCall,
                    entry == nullptr ? std::string() : entry->leaf->address);
    }
    if (query.request.idempotent) {
        cancelAll(state, query, Reason::DeadlineExceeded, now, actions);
        finish(state, query, now, actions);
        return;
    }
    // The attempt continues at its target; a late reply completes the claim.
    const auto running = query.shards.front();
    finish(state, query, now, actions);
    for (const auto &attempt : running.attempts) {
        if (toUnderlying(attempt.runningId) != 0) {
            recordEnded(state.routing, attempt.share);
            removeAttempt(state.attempts, attempt.runningId);
        }
    }
}

auto runTimers(QueryState &state, TimePoint now, QueryActions &actions) -> void
{
    while (!state.timers.empty() && state.timers.top().at <= now) {
        const auto timer = state.timers.top();
        state.timers.pop();
        if (timer.kind == TimerKind::Deadline)
            onDeadline(state, timer.query, now, actions);
        else
            sendHedge(state, timer.attempt, now, actions);
    }
}

} // namespace

auto QueryStateDeleter::operator()(QueryState *state) const -> void
{
    delete state;
}

auto toString(AnswerStatus status) -> std::string_view
{
    switch (status) {
    case AnswerStatus::Complete:
        return "complete";
    case AnswerStatus::Partial:
        return "partial";
    case AnswerStatus::Refused:
        return "refused";
    }
    return "invalid";
}

auto makeQueryState(const QuerySettings &settings, std::uint64_t seed) -> QueryStatePtr
{
    auto state = QueryStatePtr(new QueryState());
    state->settings = settings;
    state->random.value = seed;
    return state;
}

auto handle(QueryState &state, QueryEvent event, TimePoint now, QueryActions &actions) -> void
{
    std::visit(
            [&](auto &&typedEvent) {
                onEvent(state, std::forward<decltype(typedEvent)>(typedEvent), now, actions);
            },
            std::move(event));
    runTimers(state, now, actions);
    state.lastEventAt = now;
}

auto nextTickAt(const QueryState &state) -> std::optional<TimePoint>
{
    if (state.timers.empty())
        return {};
    return state.timers.top().at;
}

auto queriesInFlight(const QueryState &state) -> std::size_t
{
    return state.queries.size();
}

auto counters(const QueryState &state) -> const QueryCounters &
{
    return state.counters;
}

auto statistics(const QueryState &state) -> const RollingStatistics &
{
    return state.statistics;
}

} // namespace crocusreach

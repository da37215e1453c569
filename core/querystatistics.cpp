#include "querystatistics.h"

#include <algorithm>
#include <utility>

namespace crocusreach {

namespace {

auto makeTrace(const RunningQuery &query, const QueryAttempt &attempt, TimePoint now)
        -> AttemptTrace
{
    auto trace = AttemptTrace();
    trace.shard = attempt.shard;
    trace.leaf = attempt.share.leaf;
    trace.holder = attempt.holder;
    trace.hedge = attempt.hedge;
    trace.retry = attempt.retry;
    trace.startedAfter = attempt.sentAt - query.arrivedAt;
    trace.elapsed = now - attempt.sentAt;
    return trace;
}

auto recordTrace(QueryState &state, RunningQuery &query, AttemptTrace &&trace, TimePoint now)
        -> void
{
    recordAttempt(state.statistics, query.service->id, trace, now);
    if (query.request.explain)
        query.attemptTraces.push_back(std::move(trace));
}

} // namespace

auto recordReply(QueryState &state, RunningQuery &query, const QueryAttempt &attempt,
                 const LeafReply &reply, bool merged, TimePoint now) -> void
{
    auto trace = makeTrace(query, attempt, now);
    trace.outcome = reply.outcome;
    trace.reason = reply.reason;
    trace.step = reply.step;
    trace.merged = merged;
    trace.cold = reply.targetState == TargetState::Cold;
    trace.breakdown.queued = reply.timings.queued;
    trace.breakdown.connecting = reply.timings.connecting;
    trace.breakdown.target = reply.timings.target;
    const auto accountedTime
            = reply.timings.queued + reply.timings.connecting + reply.timings.target;
    trace.breakdown.network = std::max(trace.elapsed - accountedTime, Duration());
    if (query.request.explain)
        trace.peer = reply.peer;
    recordTrace(state, query, std::move(trace), now);
}

auto recordAbandoned(QueryState &state, RunningQuery &query, const QueryAttempt &attempt,
                     Reason reason, TimePoint now) -> void
{
    auto trace = makeTrace(query, attempt, now);
    trace.reason = reason;
    trace.step = Step::TargetCall;
    trace.breakdown.unanswered = trace.elapsed;
    recordTrace(state, query, std::move(trace), now);
}

} // namespace crocusreach

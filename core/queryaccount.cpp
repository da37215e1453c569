#include "queryaccount.h"

#include <algorithm>
#include <utility>

namespace crocusreach {

namespace {

auto beginAccount(const RunningQuery &query, const QueryAttempt &attempt, TimePoint now)
        -> AttemptAccount
{
    auto account = AttemptAccount();
    account.shard = attempt.shard;
    account.leaf = attempt.share.leaf;
    account.holder = attempt.holder;
    account.hedge = attempt.hedge;
    account.retry = attempt.retry;
    account.startedAfter = attempt.sentAt - query.arrivedAt;
    account.elapsed = now - attempt.sentAt;
    return account;
}

auto keep(QueryState &state, RunningQuery &query, AttemptAccount &&account, TimePoint now) -> void
{
    addAttempt(state.accounts, query.service->id, account, now);
    if (query.request.explain)
        query.attempts.push_back(std::move(account));
}

} // namespace

auto accountForReply(QueryState &state, RunningQuery &query, const QueryAttempt &attempt,
                     const LeafReply &reply, bool merged, TimePoint now) -> void
{
    auto account = beginAccount(query, attempt, now);
    account.outcome = reply.outcome;
    account.reason = reply.reason;
    account.step = reply.step;
    account.merged = merged;
    account.cold = reply.targetState == TargetState::Cold;
    account.parts.queued = reply.timings.queued;
    account.parts.connecting = reply.timings.connecting;
    account.parts.target = reply.timings.target;
    const auto explained = reply.timings.queued + reply.timings.connecting + reply.timings.target;
    account.parts.network = std::max(account.elapsed - explained, Duration());
    if (query.request.explain)
        account.peer = reply.peer;
    keep(state, query, std::move(account), now);
}

auto accountForGivenUp(QueryState &state, RunningQuery &query, const QueryAttempt &attempt,
                       Reason reason, TimePoint now) -> void
{
    auto account = beginAccount(query, attempt, now);
    account.reason = reason;
    account.step = Step::TargetCall;
    account.parts.unanswered = account.elapsed;
    keep(state, query, std::move(account), now);
}

} // namespace crocusreach

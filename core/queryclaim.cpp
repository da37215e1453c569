#include "queryclaim.h"

#include <algorithm>

namespace crocusreach {

namespace {

// The claim may take a part of the query's time; a slower store counts as unavailable.
constexpr Duration claimTimeout = std::chrono::milliseconds(500);
// A target ends a request by its deadline, so a reply that is later than this doesn't come.
constexpr Duration lateClaimTime = std::chrono::seconds(10);

auto callStore(const RunningQuery &query, ClaimOperation operation, TimePoint now,
               QueryActions &actions) -> void
{
    auto call = ClaimCall();
    call.query = query.request.query;
    call.operation = operation;
    call.key = query.claim.key;
    call.record.nonce = query.claim.nonce;
    call.timeout = std::min(claimTimeout, query.deadline - now);
    actions.emplace_back(std::move(call));
}

} // namespace

auto beginClaim(QueryState &state, RunningQuery &query, TimePoint now, QueryActions &actions)
        -> void
{
    query.claim.key = claimKey(query.request.service, query.request.requestId);
    query.claim.nonce = nextRandom(state.random);
    query.claim.startedAt = now;
    callStore(query, ClaimOperation::Create, now, actions);
}

auto continueClaim(QueryState &state, RunningQuery &query, const ClaimReply &reply, TimePoint now,
                   QueryActions &actions) -> ClaimStep
{
    auto &claim = query.claim;
    const auto hold = [&] {
        claim.held = true;
        claim.version = reply.version;
        claim.waited = now - claim.startedAt;
        return ClaimStep{ClaimStep::Kind::Dispatch, {}};
    };
    if (reply.operation == ClaimOperation::Create && reply.status == ClaimStatus::Ok)
        return hold();
    if (reply.operation == ClaimOperation::Read && reply.status == ClaimStatus::Ok) {
        switch (decideOnClaim(reply.record, claim.nonce)) {
        case ClaimDecision::Dispatch:
            return hold();
        case ClaimDecision::Replay:
            return {ClaimStep::Kind::Replay, reply.record};
        case ClaimDecision::RefuseUnknown:
            return {ClaimStep::Kind::Refuse, {}};
        }
    }
    // A conflict may be this arrival's own create whose reply was lost, so the nonce decides. A
    // create without a reply is repeated: it is conditional, so at most one takes effect.
    const auto conflict
            = reply.operation == ClaimOperation::Create && reply.status == ClaimStatus::Conflict;
    const auto readFailed
            = reply.operation == ClaimOperation::Read && reply.status == ClaimStatus::Unknown;
    callStore(query, conflict || readFailed ? ClaimOperation::Read : ClaimOperation::Create, now,
              actions);
    ++state.counters.claimRepeats;
    return {};
}

auto completeClaim(const RunningQuery &query, const QueryAnswered &answer, QueryActions &actions)
        -> void
{
    auto call = ClaimCall();
    call.query = query.request.query;
    call.operation = ClaimOperation::Update;
    call.key = query.claim.key;
    call.version = query.claim.version;
    call.timeout = claimTimeout;
    call.record = {ClaimState::Done, query.claim.nonce, query.shards.front().shard,
                   answer.version,   answer.layout,     {}};
    for (const auto &row : answer.rows)
        call.record.rows.push_back(row.row);
    actions.emplace_back(std::move(call));
}

auto releaseClaim(const RunningQuery &query, QueryActions &actions) -> void
{
    auto call = ClaimCall();
    call.query = query.request.query;
    call.operation = ClaimOperation::Remove;
    call.key = query.claim.key;
    call.version = query.claim.version;
    call.timeout = claimTimeout;
    actions.emplace_back(std::move(call));
}

auto keepLateClaim(QueryState &state, const RunningQuery &query, TimePoint now) -> void
{
    std::erase_if(state.lateClaims,
                  [&](const auto &entry) { return entry.second.forgetAt <= now; });
    for (const auto &shard : query.shards) {
        for (const auto &tried : shard.tried) {
            if (toUnderlying(tried.running) != 0) {
                state.lateClaims[tried.running] = {query.claim.key, query.claim.nonce,
                                                   query.claim.version, now + lateClaimTime};
            }
        }
    }
}

auto completeLateClaim(QueryState &state, const LeafReply &reply, QueryActions &actions) -> void
{
    const auto found = state.lateClaims.find(reply.attempt);
    if (found == state.lateClaims.end())
        return;
    const auto &late = found->second;
    auto call = ClaimCall();
    call.key = late.key;
    call.version = late.version;
    call.timeout = claimTimeout;
    if (reply.outcome == Outcome::Done && reply.reason == Reason::None) {
        call.operation = ClaimOperation::Update;
        call.record = {ClaimState::Done, late.nonce,   reply.shard,
                       reply.version,    reply.layout, reply.rows};
        actions.emplace_back(std::move(call));
    }
    state.lateClaims.erase(found);
}

} // namespace crocusreach

#include "queryclaim.h"

#include <algorithm>

namespace crocusreach {

namespace {

// Timeout of a store request, so that the claim takes only part of the query's time. A slower store
// counts as unavailable.
constexpr Duration claimTimeout = std::chrono::milliseconds(500);
// Targets end requests by their deadlines, so no reply is expected this long after a query's
// answer.
constexpr Duration unresolvedClaimTimeout = std::chrono::seconds(10);

auto sendClaimRequest(const RunningQuery &query, ClaimOperation operation, TimePoint now,
                      QueryActions &actions) -> void
{
    auto request = ClaimRequest();
    request.query = query.request.query;
    request.operation = operation;
    request.key = query.claim.key;
    request.record.nonce = query.claim.nonce;
    request.timeout = std::min(claimTimeout, query.deadline - now);
    actions.emplace_back(std::move(request));
}

} // namespace

auto startClaim(QueryState &state, RunningQuery &query, TimePoint now, QueryActions &actions)
        -> void
{
    query.claim.key = claimKey(query.request.service, query.request.requestId);
    query.claim.nonce = nextRandom(state.random);
    query.claim.startedAt = now;
    sendClaimRequest(query, ClaimOperation::Create, now, actions);
}

auto continueClaim(QueryState &state, RunningQuery &query, const ClaimReply &reply, TimePoint now,
                   QueryActions &actions) -> ClaimStep
{
    auto &claim = query.claim;
    const auto holdClaim = [&] {
        claim.held = true;
        claim.version = reply.version;
        claim.claimingTime = now - claim.startedAt;
        return ClaimStep{ClaimStep::Kind::Dispatch, {}};
    };
    if (reply.operation == ClaimOperation::Create && reply.status == ClaimStatus::Ok)
        return holdClaim();
    if (reply.operation == ClaimOperation::Read && reply.status == ClaimStatus::Ok) {
        switch (decideOnClaim(reply.record, claim.nonce)) {
        case ClaimDecision::Dispatch:
            return holdClaim();
        case ClaimDecision::Replay:
            return {ClaimStep::Kind::Replay, reply.record};
        case ClaimDecision::RefuseUnknown:
            return {ClaimStep::Kind::Refuse, {}};
        }
    }
    // A conflict may come from this query's own create whose reply was lost, so the claim is read
    // and its nonce compared. A create without a reply is repeated: creates are conditional, so at
    // most one takes effect.
    const auto conflict
            = reply.operation == ClaimOperation::Create && reply.status == ClaimStatus::Conflict;
    const auto readFailed
            = reply.operation == ClaimOperation::Read && reply.status == ClaimStatus::Unknown;
    sendClaimRequest(query, conflict || readFailed ? ClaimOperation::Read : ClaimOperation::Create,
                     now, actions);
    ++state.counters.claimRetries;
    return {};
}

auto completeClaim(const RunningQuery &query, const QueryAnswer &answer, QueryActions &actions)
        -> void
{
    auto request = ClaimRequest();
    request.query = query.request.query;
    request.operation = ClaimOperation::Update;
    request.key = query.claim.key;
    request.version = query.claim.version;
    request.timeout = claimTimeout;
    request.record = {ClaimState::Done, query.claim.nonce, query.shards.front().shard,
                      answer.version,   answer.layout,     {}};
    for (const auto &row : answer.rows)
        request.record.rows.push_back(row.row);
    actions.emplace_back(std::move(request));
}

auto releaseClaim(const RunningQuery &query, QueryActions &actions) -> void
{
    auto request = ClaimRequest();
    request.query = query.request.query;
    request.operation = ClaimOperation::Remove;
    request.key = query.claim.key;
    request.version = query.claim.version;
    request.timeout = claimTimeout;
    actions.emplace_back(std::move(request));
}

auto keepUnresolvedClaim(QueryState &state, const RunningQuery &query, TimePoint now) -> void
{
    std::erase_if(state.unresolvedClaims,
                  [&](const auto &entry) { return entry.second.validUntil <= now; });
    for (const auto &shard : query.shards) {
        for (const auto &attempt : shard.attempts) {
            if (toUnderlying(attempt.runningId) != 0) {
                state.unresolvedClaims[attempt.runningId]
                        = {query.claim.key, query.claim.nonce, query.claim.version,
                           now + unresolvedClaimTimeout};
            }
        }
    }
}

auto completeUnresolvedClaim(QueryState &state, const LeafReply &reply, QueryActions &actions)
        -> void
{
    const auto found = state.unresolvedClaims.find(reply.attempt);
    if (found == state.unresolvedClaims.end())
        return;
    const auto &claim = found->second;
    auto request = ClaimRequest();
    request.key = claim.key;
    request.version = claim.version;
    request.timeout = claimTimeout;
    if (reply.outcome == Outcome::Done && reply.reason == Reason::None) {
        request.operation = ClaimOperation::Update;
        request.record = {ClaimState::Done, claim.nonce,  reply.shard,
                          reply.version,    reply.layout, reply.rows};
        actions.emplace_back(std::move(request));
    }
    state.unresolvedClaims.erase(found);
}

} // namespace crocusreach

#pragma once

#include "query.h"
#include "querystate.h"

// The claim of a non-idempotent query: it is made before the request is dispatched, and records the
// request's outcome.

namespace crocusreach {

// Asks the store to create the claim.
auto startClaim(QueryState &state, RunningQuery &query, TimePoint now, QueryActions &actions)
        -> void;

// What to do after a reply of the store.
struct ClaimStep
{
    enum class Kind : std::uint8_t {
        Wait, // another store request was sent
        Dispatch, // the claim is held
        Replay, // answer with the recorded outcome
        Refuse, // another request with the same id holds the claim
    };

    Kind kind = Kind::Wait;
    ClaimRecord record; // for Replay
};

auto continueClaim(QueryState &state, RunningQuery &query, const ClaimReply &reply, TimePoint now,
                   QueryActions &actions) -> ClaimStep;

// Records the outcome of a request that ran.
auto completeClaim(const RunningQuery &query, const QueryAnswer &answer, QueryActions &actions)
        -> void;

// Removes the claim of a request that provably did not run.
auto releaseClaim(const RunningQuery &query, QueryActions &actions) -> void;

// Keeps what is needed to record the outcome if the reply comes after the query has ended.
auto keepUnresolvedClaim(QueryState &state, const RunningQuery &query, TimePoint now) -> void;

// Records the outcome of a late reply if it belongs to an unresolved claim.
auto completeUnresolvedClaim(QueryState &state, const LeafReply &reply, QueryActions &actions)
        -> void;

} // namespace crocusreach

#pragma once

#include "query.h"
#include "querystate.h"

// The claim of a non-idempotent query: making it before the dispatch, and recording the outcome.

namespace crocusreach {

// Asks the store to create the claim.
auto startClaim(QueryState &state, RunningQuery &query, TimePoint now, QueryActions &actions)
        -> void;

// What follows from a reply of the store.
struct ClaimStep
{
    enum class Kind : std::uint8_t {
        Wait, // another call was made
        Dispatch, // the claim is held
        Replay, // answer with the record
        Refuse, // another arrival holds the claim
    };

    Kind kind = Kind::Wait;
    ClaimRecord record; // for Replay
};

auto continueClaim(QueryState &state, RunningQuery &query, const ClaimReply &reply, TimePoint now,
                   QueryActions &actions) -> ClaimStep;

// Records the outcome of a request that ran.
auto completeClaim(const RunningQuery &query, const QueryAnswer &answer, QueryActions &actions)
        -> void;

// Gives the claim up after proof that the request did not run.
auto releaseClaim(const RunningQuery &query, QueryActions &actions) -> void;

// Keeps what is needed to record the outcome if the reply comes after the query has ended.
auto keepUnresolvedClaim(QueryState &state, const RunningQuery &query, TimePoint now) -> void;

// Records the outcome of a late reply, if it is one of a claimed request.
auto completeUnresolvedClaim(QueryState &state, const LeafReply &reply, QueryActions &actions)
        -> void;

} // namespace crocusreach

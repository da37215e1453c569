#pragma once

#include "query.h"
#include "querystate.h"

// Sends the attempts for the shards of a query (first attempts, retries and hedges) and cancels
// them.

namespace crocusreach {

enum class AttemptKind : std::uint8_t { First, Retry, Hedge };

// Sends an attempt for a shard if there is a usable candidate and the shard has attempts left.
// Returns Reason::None, or why nothing was sent.
auto startAttempt(QueryState &state, RunningQuery &query, std::uint32_t shardIndex,
                  AttemptKind kind, TimePoint now, QueryActions &actions) -> Reason;

// Retries a shard after a failure if the rules and the budgets allow it. Returns true if an attempt
// was sent.
auto retryShard(QueryState &state, RunningQuery &query, std::uint32_t shardIndex, LeafId failedLeaf,
                Reason reason, Outcome outcome, TimePoint now, QueryActions &actions) -> bool;

// Sends a hedge for an attempt that is still running, if the budgets allow it and its shard has had
// none.
auto sendHedge(QueryState &state, AttemptId attempt, TimePoint now, QueryActions &actions) -> void;

// Removes an attempt that has ended.
auto removeAttempt(QueryState &state, RunningQuery &query, AttemptId id) -> void;

// Cancels all running attempts of a shard, or of the whole query. The reason is recorded in the
// statistics.
auto cancelShard(QueryState &state, RunningQuery &query, ShardProgress &shard, Reason reason,
                 TimePoint now, QueryActions &actions) -> void;
auto cancelAll(QueryState &state, RunningQuery &query, Reason reason, TimePoint now,
               QueryActions &actions) -> void;

auto isRunning(const ShardProgress &shard) -> bool;

} // namespace crocusreach

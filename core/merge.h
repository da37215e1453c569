#pragma once

#include "query.h"
#include "querystate.h"

// Merge of leaf replies into the answer of a query, and the coverage that the answer reports.

namespace crocusreach {

enum class MergeResult : std::uint8_t {
    Merged,
    Late, // the shard is already merged or missing
    SnapshotMismatch, // the reply has another version or layout than the query
};

// Merges the rows of a reply if its shard is still waiting. If the query's index version isn't
// known yet, the reply pins it.
auto mergeReply(RunningQuery &query, ShardProgress &shard, LeafReply &reply) -> MergeResult;

// Marks a shard missing if it is still waiting.
auto markMissing(RunningQuery &query, ShardProgress &shard, Reason reason, Step step,
                 std::string peer) -> void;

// Fills in status, snapshot, coverage and the best rows. No shard may still be waiting. A key that
// came from two shards is kept once, with its best score.
auto fillAnswer(RunningQuery &query, QueryAnswer &answer) -> void;

} // namespace crocusreach

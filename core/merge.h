#pragma once

#include "query.h"
#include "querystate.h"

// Merge of leaf replies into the answer of a query, and the coverage that the answer reports.

namespace crocusreach {

enum class MergeResult : std::uint8_t {
    Merged,
    Late, // the shard was already merged, or given up
    SnapshotMismatch, // the reply is of another version or layout than the query's
};

// Merges the rows of a reply into a shard that is still waiting. The first reply of a query whose
// version isn't known yet pins it.
auto mergeReply(RunningQuery &query, ShardProgress &shard, LeafReply &reply) -> MergeResult;

// Gives up a shard that is still waiting.
auto markMissing(RunningQuery &query, ShardProgress &shard, Reason reason, Step step,
                 std::string peer) -> void;

// Fills status, snapshot, coverage and the best rows. Shards that still wait must have been given
// up. A key that came from two shards is kept once, with its best score.
auto fillAnswer(RunningQuery &query, QueryAnswer &answer) -> void;

} // namespace crocusreach

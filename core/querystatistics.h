#pragma once

#include "query.h"
#include "querystate.h"

// Accounts of ended attempts: the rolling ones, and the query's own if the caller asked for it.

namespace crocusreach {

// An attempt that got a reply. What the reply's timings don't explain was spent on the network.
auto recordReply(QueryState &state, RunningQuery &query, const QueryAttempt &attempt,
                 const LeafReply &reply, bool merged, TimePoint now) -> void;

// An attempt that was cancelled or outlived its query; nobody can tell where its time went.
auto recordAbandoned(QueryState &state, RunningQuery &query, const QueryAttempt &attempt,
                     Reason reason, TimePoint now) -> void;

} // namespace crocusreach

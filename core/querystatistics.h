#pragma once

#include "query.h"
#include "querystate.h"

// Records ended attempts in the rolling statistics, and in the query's trace if the caller asked
// for one.

namespace crocusreach {

// Records an attempt that got a reply. Time that the reply's timings don't cover is counted as
// spent on the network.
auto recordReply(QueryState &state, RunningQuery &query, const QueryAttempt &attempt,
                 const LeafReply &reply, bool merged, TimePoint now) -> void;

// Records an attempt that was cancelled without a reply. Where its time was spent is not known, so
// all of it counts as unanswered.
auto recordAbandoned(QueryState &state, RunningQuery &query, const QueryAttempt &attempt,
                     Reason reason, TimePoint now) -> void;

} // namespace crocusreach

#pragma once

#include "forwardstate.h"
#include "leaftable.h"

#include <string_view>

// When a part that isn't answered is sent a second time. Handles leafs that stall for a moment, and
// bursts in which all leafs of a service are slow and hedges would only add to their queues.

namespace crocusreach::forward {

// The least time until a hedge, and between two looks for a leaf that can take it.
constexpr Duration minHedgeDelay = std::chrono::milliseconds(4);

// How long after its send a request is hedged.
auto hedgeDelay(const RouteStats &stats, const Route &route) -> Duration;

// True if a send to the leaf is slow because the service's leafs have at least as many requests as
// slots, by their recent reports, rather than because of this leaf, which has answered lately. A
// hedge would then take the time of another request. False without reports.
auto isSlowByLoad(LeafTable &table, LeafNumber leaf, std::string_view service, TimePoint now)
        -> bool;

} // namespace crocusreach::forward

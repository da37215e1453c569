#pragma once

#include "dispatchstate.h"
#include "types.h"

// Applies a new cluster view to the dispatch core: shares, limits, desired states and listings.

namespace crocusreach {

// A stopping instance keeps using the shares it holds until an epoch moves them, because queries
// that it has accepted may depend on them.
auto applyView(DispatchState &state, const ClusterViewPtr &view, TimePoint now,
               DispatchActions &actions) -> void;

// Reports the shares given up as drained once nothing runs on them. To be called after each event.
auto reportDrained(DispatchState &state, DispatchActions &actions) -> void;

// Removes a leaf of which no share is held here, unless requests still run or wait.
auto retireLeaf(DispatchState &state, std::uint32_t index, DispatchActions &actions) -> void;

} // namespace crocusreach

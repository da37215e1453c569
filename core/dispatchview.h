#pragma once

#include "dispatchstate.h"
#include "types.h"

// What a new cluster view changes for the holder: shares, limits, desired states, listings.

namespace crocusreach {

// A stopping instance goes on with the shares it holds until an epoch moves them, because queries
// that it has accepted may depend on them.
auto applyView(DispatchState &state, const ClusterViewPtr &view, TimePoint now,
               DispatchActions &actions) -> void;

// Reports shares given up once nothing runs on them any more. To be called after each event.
auto reportDrained(DispatchState &state, DispatchActions &actions) -> void;

// Forgets a leaf without shares held here once nothing runs at it.
auto retireLeaf(DispatchState &state, std::uint32_t index, DispatchActions &actions) -> void;

} // namespace crocusreach

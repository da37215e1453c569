#pragma once

#include "control.h"

// The view of the cell that the control core publishes to the other cores.

namespace crocusreach {

// Without the held shares and the leaf listings, which publishView() adds.
auto makeView(const ControlState &state, TimePoint now) -> ClusterView;

// Publishes a view if it differs from the last published one.
auto publishView(ControlState &state, TimePoint now, ControlActions &actions) -> void;

} // namespace crocusreach

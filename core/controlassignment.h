#pragma once

#include "control.h"

#include <cstddef>
#include <span>
#include <vector>

// Decides which assignment should replace the current one, and when this instance writes it.

namespace crocusreach {

// The reachable members, and this instance if it is a member, ordered by id.
auto liveMembers(const ControlState &state, TimePoint now) -> std::vector<InstanceId>;
// Index of an instance among the live members; their number if it isn't one of them.
auto rankIn(std::span<const InstanceId> live, InstanceId id) -> std::size_t;

// Writes the desired assignment to the store if it differs from the current one and it is this
// instance's turn. A read of the configuration first confirms that it is computed from the newest.
auto proposeAssignment(ControlState &state, TimePoint now, ControlActions &actions) -> void;

} // namespace crocusreach

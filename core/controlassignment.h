#pragma once

#include "control.h"

#include <cstddef>
#include <span>
#include <vector>

// Which assignment should follow the present one, and which instance writes it when.

namespace crocusreach {

// Members heard lately and this instance if it is a member, by id.
auto liveMembers(const ControlState &state, TimePoint now) -> std::vector<InstanceId>;
// Place of an instance among the live members, by id.
auto rankIn(std::span<const InstanceId> live, InstanceId id) -> std::size_t;

// Writes a wanted assignment, after a read that shows that the configuration is the newest.
auto proposeAssignment(ControlState &state, TimePoint now, ControlActions &actions) -> void;

} // namespace crocusreach

#include "controlstate.h"

namespace crocusreach {

auto selfId(const ControlState &state) -> InstanceId
{
    return state.settings.self.id;
}

auto isSelfMember(const ControlState &state) -> bool
{
    return isMember(*state.propagation.assignment, selfId(state), state.settings.self.incarnation);
}

auto isSelfSuperseded(const ControlState &state) -> bool
{
    const auto *member = findMember(*state.propagation.assignment, selfId(state));
    return member != nullptr && member->incarnation > state.settings.self.incarnation;
}

} // namespace crocusreach

#pragma once

#include "core/control.h"
#include "coretask.h"
#include "storetask.h"

#include <functional>
#include <string>
#include <variant>

// The task of the control core.

namespace crocusreach {

using ControlTask = CoreTask<ControlStatePtr, ControlEvent, ControlAction, Tick>;

// What the control core sends to other instances.
using ControlToPeer
        = std::variant<SendHeartbeat, SendHeartbeatReply, SendFetchState, SendFetchedState>;

// Where the control task's messages go.
struct ControlOutlets
{
    std::string cell;
    std::function<auto(StoreMessage &&)->void> store;
    std::function<auto(ControlToPeer &&)->void> peer;
    std::function<auto(ClusterViewPtr)->void> publish; // to all tasks
    std::function<auto(ControlEvent &&)->void> control; // replies of the store, back to the task
};

auto performControlActions(ControlOutlets outlets) -> ControlTask::Perform;

} // namespace crocusreach

#pragma once

#include "core/control.h"
#include "core/dispatch.h"
#include "core/query.h"
#include "coretask.h"
#include "targettask.h"

#include <functional>

// The task of the dispatch core.

namespace crocusreach {

using DispatchTask = CoreTask<DispatchStatePtr, DispatchEvent, DispatchAction, Tick>;

// Where the dispatch task's messages go.
struct DispatchOutlets
{
    InstanceId self = {};
    std::function<auto(TargetMessage &&)->void> target;
    std::function<auto(QueryEvent &&)->void> query; // replies to requests of this instance
    std::function<auto(SendLeafReply &&)->void> peer; // replies to requests of others
    std::function<auto(ControlEvent &&)->void> control;
};

auto performDispatchActions(DispatchOutlets outlets) -> DispatchTask::Perform;

} // namespace crocusreach

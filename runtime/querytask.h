#pragma once

#include "core/query.h"
#include "coretask.h"
#include "objectapi.h"

#include <functional>

// The task of the query core.

namespace crocusreach {

using QueryTask = CoreTask<QueryStatePtr, QueryEvent, QueryAction, Tick>;

// Where the query task's messages go.
struct QueryOutlets
{
    InstanceId self = {};
    std::function<auto(DispatchEvent &&)->void> dispatch; // requests to shares held here
    std::function<auto(SendLeafRequest &&)->void> peerRequest; // to other holders
    std::function<auto(const SendCancel &)->void> peerCancel;
    std::function<auto(ObjectCall &&)->void> store;
    std::function<auto(QueryAnswer &&)->void> front;
    std::function<auto(QueryEvent &&)->void> query; // replies of the store, back to the task
};

auto performQueryActions(QueryOutlets outlets) -> QueryTask::Perform;

} // namespace crocusreach

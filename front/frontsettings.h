#pragma once

#include "core/callermemory.h"
#include "core/copyage.h"
#include "core/forwardmessages.h"
#include "core/lifecycle.h"

#include <string>
#include <vector>

// What a front is told at its start, and again whenever its settings change.

namespace crocusreach {

struct FrontSettings
{
    std::string instance; // name of this instance
    std::string callerAddress; // IP:port, as are the following
    std::string readyAddress; // where the balancer asks
    std::string adminAddress; // metrics; empty: none
    std::string storeAddress;
    std::string relayAddress; // where other instances read the store's objects; empty: nowhere
    std::vector<std::string> seeds; // addresses of the instances that watch the store for others
    // Other instances learn where to send messages to this one: a feature that is in force needs
    // it.
    bool exchangesWithPeers = false;
    bool expectsTenants = false; // the desired state will name tenants
    forward::ChangeTimeouts changeTimeouts;
    forward::LifecycleSettings lifecycle;
    forward::ForwarderSettings forwarder;
    forward::CallerLimits callerLimits;
};

} // namespace crocusreach

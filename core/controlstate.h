#pragma once

#include "control.h"
#include "lease.h"
#include "membership.h"
#include "propagation.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

// The state of the control core, for the files that decide on it.

namespace crocusreach {

struct ControlState
{
    ControlSettings settings;
    Membership membership;
    Lease lease;
    Propagation propagation;
    std::unordered_map<LeafId, TargetListing> leafListings;
    std::map<std::string, TargetListing> targetListings; // by address
    bool stopping = false;
    std::optional<TimePoint> startedAt;
    TimePoint nextHeartbeatAt = {};
    TimePoint lastHeartbeatAt = {};
    TimePoint nextBootstrapAt = {};
    TimePoint nextListReadAt = {};
    TimePoint nextAssignmentReadAt = {};
    TimePoint assignmentAdoptedAt = {}; // the newest assignment
    std::optional<TimePoint> proposalDueSince; // a different assignment
    Duration proposalJitter = {};
    std::vector<HeldShare> heldShares; // published with the view
    bool heldSharesChanged = false; // shares were taken or lost since held was made
    bool leafListingsChanged = false;
    ClusterViewPtr view;
    // The last placement tried, and what it was tried for.
    std::shared_ptr<const Assignment> cachedPlacement;
    std::shared_ptr<const Assignment> cachedPlacementFormer;
    std::shared_ptr<const Configuration> cachedPlacementConfiguration;
};

auto selfId(const ControlState &state) -> InstanceId;
auto isSelfMember(const ControlState &state) -> bool;
// True if a later start of this instance has joined.
auto isSelfSuperseded(const ControlState &state) -> bool;

} // namespace crocusreach

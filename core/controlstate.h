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

// The state of the control core, shared by its source files.

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
    TimePoint assignmentAdoptedAt = {};
    // Since when the desired assignment differs from the current one.
    std::optional<TimePoint> proposalDueSince;
    Duration proposalJitter = {};
    std::vector<HeldShare> heldShares; // published with the view
    bool heldSharesChanged = false; // shares were taken over or lost since heldShares was computed
    bool leafListingsChanged = false;
    ClusterViewPtr view;
    // The last computed placement, and the assignment and configuration that it was computed from.
    std::shared_ptr<const Assignment> cachedPlacement;
    std::shared_ptr<const Assignment> cachedPlacementFormer;
    std::shared_ptr<const Configuration> cachedPlacementConfiguration;
};

auto selfId(const ControlState &state) -> InstanceId;
auto isSelfMember(const ControlState &state) -> bool;
// True if a later incarnation of this instance is a member.
auto isSelfSuperseded(const ControlState &state) -> bool;

} // namespace crocusreach

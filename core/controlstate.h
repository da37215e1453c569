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
    std::unordered_map<LeafId, TargetListing> listing;
    std::map<std::string, TargetListing> listedTargets; // by address
    bool stopping = false;
    std::optional<TimePoint> startedAt;
    TimePoint nextHeartbeat = {};
    TimePoint lastHeartbeat = {};
    TimePoint nextSeeds = {};
    TimePoint nextList = {};
    TimePoint nextAssignmentRead = {};
    TimePoint adoptedAt = {}; // the newest assignment
    std::optional<TimePoint> wantedSince; // a different assignment
    Duration wantedJitter = {};
    std::vector<HeldShare> held; // published with the view
    bool heldChanged = false; // shares were taken or lost since held was made
    bool listingChanged = false;
    ClusterViewPtr view;
    // The last placement tried, and what it was tried for.
    std::shared_ptr<const Assignment> placed;
    std::shared_ptr<const Assignment> placedFrom;
    std::shared_ptr<const Configuration> placedFor;
};

auto selfId(const ControlState &state) -> InstanceId;
auto isSelfMember(const ControlState &state) -> bool;
// True if a later start of this instance has joined.
auto isSelfSuperseded(const ControlState &state) -> bool;

} // namespace crocusreach

#pragma once

#include "assignment.h"
#include "configuration.h"
#include "types.h"

#include <memory>
#include <unordered_map>
#include <vector>

// The control core's view of the cell: an immutable object, shared by the messages to other cores.

namespace crocusreach {

// A peer as this instance sees it.
struct PeerView
{
    InstanceId id = {};
    Incarnation incarnation = {};
    std::string name;
    std::string address; // IP:port of the peer listener
    DomainId domain = {};
    bool reachable = false; // sent a heartbeat or a reply recently
    bool leaving = false;
    Revision revision = {}; // newest configuration that it reported
    Epoch epoch = {};
    Duration roundTrip = {}; // of the last heartbeat
};

// What the instance list says of a target.
enum class TargetListing : std::uint8_t { Unlisted, Live, Leaving };

// A share that this instance may use until its lease ends.
struct HeldShare
{
    LeafId leaf = {};
    std::uint8_t ordinal = 0;
    ShareSize size;
};

struct ClusterView
{
    InstanceId self = {};
    DomainId selfDomain = {};
    std::shared_ptr<const Configuration> configuration; // never null
    std::shared_ptr<const LeafIndex> leafIndex; // of that configuration
    std::shared_ptr<const Assignment> assignment; // never null
    // Shares that may be used now: those of the newest epoch without pending takeovers.
    std::vector<HeldShare> heldShares;
    // No request to a target may have a deadline after this. In the past if the lease was never
    // renewed.
    TimePoint leaseValidUntil = {};
    std::vector<PeerView> peers;
    std::unordered_map<LeafId, TargetListing> leafListings;
    bool storeReachable = false;
    bool stopping = false;
};

using ClusterViewPtr = std::shared_ptr<const ClusterView>;

// The peer with this id, or nullptr.
auto findPeer(const ClusterView &view, InstanceId id) -> const PeerView *;

// True if operators have taken this instance or its failure domain out of rotation.
auto isSelfOut(const ClusterView &view) -> bool;

} // namespace crocusreach

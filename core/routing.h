#pragma once

#include "clusterview.h"
#include "snapshot.h"
#include "types.h"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

// Choice of the leaf, and of the holder of one of its shares, for a leaf request.

namespace crocusreach {

// A share of a replica of a shard.
struct Candidate
{
    const Leaf *leaf = nullptr; // owned by the view's configuration
    std::uint8_t ordinal = 0;
    InstanceId holder = {};
    Duration roundTrip = {}; // to the holder
    Reason unusable = Reason::None; // why no work may go there now
};

// The candidates of each shard of a service under one view.
struct ServiceRoutes
{
    std::vector<std::vector<Candidate>> shards; // index is the shard number
};

auto buildRoutes(const ClusterView &view, const Service &service) -> ServiceRoutes;

// What this instance's own requests through one share have shown.
struct ShareObservation
{
    // Exponentially weighted mean of complete leaf requests; 0 if none yet.
    Duration meanLatency = {};
    std::uint32_t outstanding = 0;
    // Set after the holder refused for lack of a lease, or could not be reached.
    TimePoint avoidUntil = {};
};

struct ShareKey
{
    LeafId leaf = {};
    std::uint8_t ordinal = 0;

    auto operator==(const ShareKey &) const -> bool = default;
};

struct ShareKeyHash
{
    auto operator()(const ShareKey &key) const -> std::size_t
    {
        return static_cast<std::size_t>(toUnderlying(key.leaf)) ^ key.ordinal;
    }
};

struct RoutingTable
{
    std::unordered_map<ShareKey, ShareObservation, ShareKeyHash> shares;
};

auto recordSent(RoutingTable &table, ShareKey share) -> void;
auto recordCompleted(RoutingTable &table, ShareKey share, Duration elapsed) -> void;
// An attempt ended without a usable latency, for example cancelled.
auto recordEnded(RoutingTable &table, ShareKey share) -> void;
auto recordRefusal(RoutingTable &table, ShareKey share, Reason reason, TimePoint now) -> void;

// Latency that is expected of a further request through the candidate.
auto expectedLatency(const RoutingTable &table, const Candidate &candidate, bool domainAware)
        -> Duration;

// State of a random number generator whose choices are reproducible.
struct RandomState
{
    std::uint64_t value = 1;
};

auto nextRandom(RandomState &random) -> std::uint64_t;

// Restricts which candidates may be chosen.
struct RouteConstraint
{
    Snapshot snapshot;
    std::span<const ShareKey> tried;
    bool avoidTriedLeafs = false; // also avoid the leafs of tried shares
};

struct RouteChoice
{
    const Candidate *candidate = nullptr; // null if none is usable
    Reason reason = Reason::NoReplica; // why there is none
};

// Chooses the better of two random usable candidates by expected latency. Candidates that refused
// lately are used only if there is no other.
auto chooseRoute(std::span<const Candidate> candidates, const RouteConstraint &constraint,
                 const RoutingTable &table, const SnapshotTable &snapshots, bool domainAware,
                 TimePoint now, RandomState &random) -> RouteChoice;

} // namespace crocusreach

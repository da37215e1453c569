#pragma once

#include "leaftable.h"
#include "reachability.h"
#include "routing.h"

#include <optional>
#include <span>

// Choice of the leaf for one send. It answers these loads: leafs that stand still for a moment each
// few seconds, leafs that turn slow or full, connections that cost time to open and are capped over
// all instances, and leafs in other failure domains, to which bytes are dear.

namespace crocusreach::forward {

// A new connection takes a leaf up to this time.
constexpr Duration connectTime = std::chrono::milliseconds(6);
// A connection serves at least about this many requests, which share the time to open it. Counted
// whole for one request, it would keep a leaf of the own failure domain out of use for good, as
// long as one of another domain has an idle connection.
constexpr std::int64_t requestsPerConnection = 4;

// What this instance may use of a leaf, as its part of what all instances may.
struct InstanceShare
{
    std::uint32_t instances = 1; // that may be alive, never too low
    std::uint64_t instanceHash = 0; // of this instance's name
    double coldOvershoot = 1; // factor on the stated cold rate that is still borne
};

// Connections that this instance may keep to one leaf. After a loss of power, leafs still count the
// connections of before for some time, so that all instances together use at most half.
auto connectionLimit(const ServiceSpec *spec, const InstanceShare &share) -> std::size_t;

struct PlacementQuery
{
    std::string_view service;
    const ServiceSpec *spec = nullptr;
    std::string_view ownDomain;
    Duration typicalLatency = {}; // of the route at a leaf
    std::span<const LeafNumber> triedLeafs; // not to be used again
    const Reachability *reachability = nullptr; // null: all domains can be reached
};

struct Placement
{
    LeafNumber leaf = {};
    std::optional<ConnectionId> idleConnection; // open one if absent
    bool unreliable = false; // the leaf stands still or has failed lately
};

// How long a connection to the leaf may be idle before it is closed. In a deployment with more
// instances than a leaf accepts connections, each keeps them to a few leafs of a service only;
// those to others are closed soon after use.
auto idleTimeout(const LeafState &leaf, const LeafConnection &connection) -> Duration;

// The usable leaf with the least expected time; none if all are in use up to the limit, tried or
// unusable.
auto placeSend(LeafTable &table, const PlacementQuery &query, const InstanceShare &share,
               RandomState &random, TimePoint now) -> std::optional<Placement>;

// True if a leaf of the service may be used now or later without a change of the registry.
auto hasUsableLeaf(LeafTable &table, std::string_view service) -> bool;

// True if one of them isn't silent, in a domain that can be reached.
auto hasResponsiveLeaf(LeafTable &table, std::string_view service, const Reachability &reachability,
                       TimePoint now) -> bool;

} // namespace crocusreach::forward

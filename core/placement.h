#pragma once

#include "domaincrossing.h"
#include "leaftable.h"
#include "reachability.h"
#include "routing.h"

#include <optional>
#include <span>

// Choice of the leaf for one send, by expected latency. It copes with leafs that stall for a moment
// every few seconds, leafs that turn slow or full, connections that take time to open and are
// limited over all instances, and leafs in other failure domains, to which traffic is expensive.

namespace crocusreach::forward {

// Opening a connection to a leaf takes up to this time.
constexpr Duration connectTime = std::chrono::milliseconds(6);
// A connection serves at least about this many requests, which share the time to open it. If the
// first one were charged with all of it, a leaf of the instance's own failure domain would never be
// used as long as one of another domain has an idle connection.
constexpr std::int64_t requestsPerConnection = 4;

// What this instance may use of a leaf, as its share of what all instances may use together.
struct InstanceShare
{
    std::uint32_t instances = 1; // upper bound of the running instances
    std::uint64_t instanceHash = 0; // of this instance's name
    double coldOvershoot = 1; // factor by which the stated cold rate may be exceeded
};

// The share of a rate limit that a leaf states.
auto rateShareOf(const InstanceShare &share, const LeafState &leaf) -> RateShare;

// Maximum number of connections from this instance to one leaf. After a power loss, leafs still
// count the earlier connections for some time, so all instances together use about half of the
// limit. Where the share has a fraction, that part of the instances may open one more.
auto connectionLimit(const ServiceSpec *spec, const InstanceShare &share, const LeafState &leaf)
        -> std::size_t;

struct PlacementQuery
{
    std::string_view service;
    const ServiceSpec *spec = nullptr;
    std::string_view ownDomain;
    Duration typicalLatency = {}; // of a leaf on the route
    std::span<const LeafNumber> triedLeafs; // not to be used again
    const Reachability *reachability = nullptr; // null: all domains can be reached
    std::size_t waitingCalls = 0; // of this instance, that wait for a connection already
    CrossingState *crossing = nullptr; // of the service; null: other domains have a fixed cost
    const CrossingLimits *crossingLimits = nullptr;
    double answerBytes = 0; // of the route's answers, on average
    VersionUse versionUse = VersionUse::InUse; // of the leafs to choose from
};

struct Placement
{
    LeafNumber leaf = {};
    std::optional<ConnectionId> idleConnection; // if empty, a new one is to be opened
    bool unreliable = false; // the leaf is stalled, has failed lately, or may be unreachable
    bool otherDomain = false;
};

// How long a connection to the leaf may be idle before it is closed. If a deployment has more
// instances than a leaf accepts connections, each instance keeps connections to a few leafs of a
// service only; those to others are closed soon after use.
auto idleTimeout(const LeafState &leaf, const LeafConnection &connection) -> Duration;

// Chooses the usable leaf with the lowest expected latency. Empty if every leaf is unusable, was
// tried, or can't take a request now because of the limits on connections or on the rate of cold
// leafs; also if a leaf whose connections are in use is worth the wait for one of them.
auto placeSend(LeafTable &table, const PlacementQuery &query, const InstanceShare &share,
               RandomState &random, TimePoint now) -> std::optional<Placement>;

// False if placeSend() would find no leaf, whatever the call, its former attempts and the uses of
// versions are.
auto canTakeSend(LeafTable &table, const PlacementQuery &query, const InstanceShare &share,
                 TimePoint now) -> bool;

// The usable leaf of the service that its rate limit allows to be used next, and when.
struct NextSend
{
    LeafNumber leaf = {};
    TimePoint at = {};
};

auto findNextSend(LeafTable &table, std::string_view service, TimePoint now)
        -> std::optional<NextSend>;

// True if a leaf of the service may be used now or later without a change of the registry.
auto hasUsableLeaf(LeafTable &table, std::string_view service, TimePoint now) -> bool;

// True if the service has a usable leaf that is responsive, in a domain that isn't suspect.
auto hasResponsiveLeaf(LeafTable &table, std::string_view service, const Reachability &reachability,
                       TimePoint now) -> bool;

} // namespace crocusreach::forward

#pragma once

#include "tenants.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// The operators' desired state of routes: which request goes to which service, within which limits.

namespace crocusreach::forward {

// A service that gets a weighted share of a route's requests.
struct WeightedService
{
    std::string service;
    double weight = 1;
};

// Exactly one of split and shards is filled.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; // begins and ends with a slash
    bool idempotent = false;
    Duration timeout = {}; // maximum time until a request is answered
    Duration targetLatency = {}; // answers that take longer are worth less
    std::uint32_t priority = 0; // 0 is the most urgent
    std::uint32_t maxAttempts = 1; // sends of one request, for each shard
    std::vector<WeightedService> split;
    std::vector<std::string> shards; // a request is sent to one leaf of each of these services
    std::size_t topRecords = 0; // records in a merged answer
    double minShardRatio = 1; // a smaller fraction of answered shards is a failure
    bool anonymous = false; // requests need no key
};

struct ServiceSpec
{
    std::string name;
    std::uint32_t maxConnections = 0; // of one leaf, from all instances; 0: not stated
    double coldRate = 0; // requests a second that a cold leaf tolerates; 0: not stated
};

// Limits on the requests of callers. Sizes in bytes.
struct RequestLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 262144;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

struct RouteTable
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    TenantTable tenants;
    RequestLimits limits;
    std::unordered_map<std::string, std::vector<std::size_t>> byHost; // indexes of routes
    std::unordered_map<std::string, std::size_t> byService; // indexes of services
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

// Builds the lookup tables. Must be called once the lists are filled.
auto indexRoutes(RouteTable &table) -> void;

// The route with the longest prefix of the path among those of the host, which may carry a port;
// null if there is none.
auto findRoute(const RouteTable &table, std::string_view host, std::string_view path)
        -> const Route *;

// How many of the route's shards have to answer; 1 for a route without shards.
auto requiredShards(const Route &route) -> std::size_t;

auto findServiceSpec(const RouteTable &table, std::string_view service) -> const ServiceSpec *;

} // namespace crocusreach::forward

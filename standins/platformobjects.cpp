#include "platformobjects.h"

#include <sstream>
#include <vector>

namespace crocusreach::standins {

using Json = nlohmann::json;

namespace {

auto routeSpec(std::string_view prefix, bool idempotent, const RouteOptions &options) -> Json
{
    return {{"name", std::string("r").append(prefix)},
            {"hostname", "a.example"},
            {"path_prefix", prefix},
            {"type", idempotent ? "safe" : "unsafe"},
            {"timeout_ms", options.timeout},
            {"target_latency_ms", options.targetLatency},
            {"priority", options.priority},
            {"max_attempts", 2}};
}

} // namespace

auto leafSpec(const RegisteredLeaf &entry) -> Json
{
    return {{"backend", entry.service},
            {"address", entry.address},
            {"zone", entry.domain},
            {"version", entry.version},
            {"slots", 4},
            {"state", entry.draining ? "draining" : "ready"},
            {"warmup_left_ms", entry.coldLeft},
            {"seq", 1}};
}

auto gatherRouteSpec(std::string_view prefix, std::span<const std::string> shards, double ratio,
                     const RouteOptions &options) -> Json
{
    auto route = routeSpec(prefix, true, options);
    route["gather"] = std::vector<std::string>(shards.begin(), shards.end());
    route["top_k"] = 5;
    route["min_shard_ratio"] = ratio;
    return route;
}

auto singleRouteSpec(std::string_view prefix, std::string_view service, bool idempotent,
                     const RouteOptions &options) -> Json
{
    auto route = routeSpec(prefix, idempotent, options);
    route["backend"] = service;
    return route;
}

auto desiredStateSpec(std::int64_t version, const Json &routes, const Json &limits,
                      std::span<const ServiceLimit> services) -> Json
{
    auto entries = Json::array();
    for (const auto &service : services)
        entries.push_back({{"name", service.service}, {"max_conns", service.mostConnections}});
    return {{"version", version}, {"routes", routes}, {"backends", entries}, {"limits", limits}};
}

auto settingsText(const FrontSettingsFile &file) -> std::string
{
    auto text = std::ostringstream();
    text << "node_name=" << file.name << "\nzone=" << file.domain << "\nip=" << file.ip
         << "\nlisten_addrs.front=" << file.callerAddress
         << "\nlisten_addrs.ready=" << file.readyAddress
         << "\nlisten_addrs.control=" << file.relayAddress << "\nseeds=" << file.seeds
         << "\nplatform.address=" << file.storeAddress << "\nbounds.grace_s=" << file.grace
         << "\nbounds.drain_ms=3000\nbounds.retry_budget_ratio=0.2\nbounds.retry_slack=50"
         << "\nbounds.budget_window_s=10\n# change " << file.change << "\n";
    return text.str();
}

auto callerRequestText(std::string_view method, std::string_view target, std::string_view id,
                       std::int64_t timeLeft, std::string_view body) -> std::string
{
    auto text = std::string(method);
    text.append(" ").append(target).append(" HTTP/1.1\r\nHost: a.example\r\n");
    text.append("Crocusreach-Request-Id: ").append(id).append("\r\n");
    text.append("Crocusreach-Deadline-Ms: ").append(std::to_string(timeLeft)).append("\r\n");
    if (method != "POST")
        return text.append("\r\n");
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
    return text.append(body);
}

} // namespace crocusreach::standins

#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

// What operators, leafs and callers write on the users' platform, in the platform's own words, so
// that tests and the soak don't need to know them.

namespace crocusreach::standins {

// Kinds of objects in the store, and the name of the only desired state.
constexpr auto leafKind = "servers";
constexpr auto evacuationKind = "evacuations";
constexpr auto rolloutKind = "rollouts";
constexpr auto desiredStateKind = "config";
constexpr auto desiredStateName = "main";

// Environment variable that names the settings file.
constexpr auto settingsVariable = "CROCUSREACH_SETTINGS";

constexpr auto readyTarget = "/api/ready";
constexpr auto missingPartsHeader = "Crocusreach-Missing-Parts";
constexpr auto partReceiptsHeader = "Crocusreach-Part-Stamps";
constexpr auto requestIdHeader = "Crocusreach-Request-Id";
constexpr auto receiptHeader = "Crocusreach-Server-Stamp";

struct RegisteredLeaf
{
    std::string service;
    std::string address;
    std::string domain;
    bool draining = false;
    std::int64_t coldLeft = 0; // milliseconds
    std::string version = "v1";
};

auto leafSpec(const RegisteredLeaf &entry) -> nlohmann::json;

struct RouteOptions
{
    std::int64_t timeout = 2000; // milliseconds
    std::int64_t targetLatency = 1000; // milliseconds
    int priority = 1;
};

// Routes of the host a.example, with two attempts.
auto gatherRouteSpec(std::string_view prefix, std::span<const std::string> shards, double ratio,
                     const RouteOptions &options) -> nlohmann::json;
auto singleRouteSpec(std::string_view prefix, std::string_view service, bool idempotent,
                     const RouteOptions &options) -> nlohmann::json;

struct ServiceLimit
{
    std::string service;
    int mostConnections = 0; // of one leaf, from all instances
};

auto desiredStateSpec(std::int64_t version, const nlohmann::json &routes,
                      const nlohmann::json &limits, std::span<const ServiceLimit> services = {})
        -> nlohmann::json;

// The settings of a front, as the platform writes them.
struct FrontSettingsFile
{
    std::string name;
    std::string domain;
    std::string ip;
    std::string callerAddress;
    std::string readyAddress;
    std::string relayAddress;
    std::string seeds; // addresses, joined by commas
    std::string storeAddress;
    std::int64_t grace = 4; // seconds
    std::uint32_t change = 0; // makes the file differ from the former one
};

auto settingsText(const FrontSettingsFile &file) -> std::string;

// A caller's request to a.example; only a POST has the body.
auto callerRequestText(std::string_view method, std::string_view target, std::string_view id,
                       std::int64_t timeLeft, std::string_view body = "{}") -> std::string;

} // namespace crocusreach::standins

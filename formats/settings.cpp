#include "settings.h"

#include "core/text.h"
#include "jsonreader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>

namespace crocusreach {

namespace {

constexpr std::uint64_t longestInterval = 3'600'000; // 1 hour in ms
constexpr std::uint64_t largestCount = 1'000'000;
constexpr std::size_t maxNameLength = 64;
// Shorter tokens can be guessed by trying.
constexpr std::size_t shortestToken = 16;
constexpr double percent = 100.0;

constexpr std::array<std::string_view, 6> logLevels
        = {"trace", "debug", "info", "warning", "error", "fatal"};

enum class PortZero : std::uint8_t { Refused, Allowed };

auto isIpHost(std::string_view host) -> bool
{
    auto buffer = std::array<unsigned char, sizeof(in6_addr)>();
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        const auto inner = std::string(host.substr(1, host.size() - 2));
        return inet_pton(AF_INET6, inner.c_str(), buffer.data()) == 1;
    }
    return inet_pton(AF_INET, std::string(host).c_str(), buffer.data()) == 1;
}

auto isIpPort(std::string_view text, PortZero portZero) -> bool
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !isIpHost(text.substr(0, colon)))
        return false;
    const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
    return port && (*port != 0 || portZero == PortZero::Allowed);
}

auto isName(std::string_view text) -> bool
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
               || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= maxNameLength && std::ranges::all_of(text, allowed);
}

auto requireName(JsonObject &object, std::string_view key, std::string &target) -> void
{
    if (requireString(object, key, target) && !isName(target))
        addFieldFault(object, key, "must be 1 to 64 letters, digits, '-', '_' or '.'");
}

auto requireListener(JsonObject &object, std::string_view key, std::string &target) -> void
{
    if (requireString(object, key, target) && !isIpPort(target, PortZero::Allowed))
        addFieldFault(object, key, "must be IP:port; port 0 lets the kernel choose");
}

auto readAddress(JsonObject &object, std::string_view key, std::string &target) -> void
{
    if (readString(object, key, target) && !target.empty() && !isIpPort(target, PortZero::Refused))
        addFieldFault(object, key, "must be IP:port");
}

auto readSeeds(JsonObject &object, std::vector<std::string> &seeds) -> void
{
    if (!readStrings(object, "seeds", seeds))
        return;
    for (std::size_t index = 0; index < seeds.size(); ++index) {
        if (!isIpPort(seeds[index], PortZero::Refused))
            addFieldFault(object, "seeds[" + std::to_string(index) + "]", "must be IP:port");
    }
}

// Faults never quote a token.
auto readToken(JsonObject &object, std::vector<AdminToken> &tokens) -> void
{
    const auto isVisible = [](char c) { return c > ' ' && c < 0x7f; };
    auto token = AdminToken();
    requireName(object, "name", token.name);
    if (requireString(object, "token", token.token)) {
        if (token.token.size() < shortestToken || !std::ranges::all_of(token.token, isVisible))
            addFieldFault(object, "token", "must be at least 16 printable characters, no spaces");
        if (std::ranges::find(tokens, token.token, &AdminToken::token) != tokens.end())
            addFieldFault(object, "token", "is the token of another name too");
    }
    if (std::ranges::find(tokens, token.name, &AdminToken::name) != tokens.end())
        addFieldFault(object, "name", "duplicate name");
    tokens.push_back(std::move(token));
}

auto readPercent(JsonObject &object, std::string_view key, double &ratio) -> void
{
    auto value = 0.0;
    if (readNumber(object, key, 0, percent, value))
        ratio = value / percent;
}

// Opens a nested object; its key is optional.
auto openNested(JsonObject &parent, std::string_view key) -> JsonObject
{
    const auto *field = findField(parent, key);
    if (field == nullptr)
        return {nullptr, fieldPath(parent, key), parent.faults, {}};
    return openObject(*field, fieldPath(parent, key), *parent.faults);
}

auto readDispatch(JsonObject object, DispatchSettings &settings) -> void
{
    readInteger(object, "queue_capacity_requests", 1, largestCount, settings.queueCapacity);
    readMilliseconds(object, "ramp_step_ms", 1, longestInterval, settings.rampStepDuration);
    readInteger(object, "ramp_step_replies", 1, largestCount, settings.rampStepReplies);
    readMilliseconds(object, "silent_floor_ms", 1, longestInterval, settings.minSilenceTimeout);
    readNumber(object, "silent_factor_of_p99", 1, 1000, settings.silenceTimeoutFactor);
    readMilliseconds(object, "health_interval_ms", 10, longestInterval, settings.healthInterval);
    readBool(object, "cold_ramp", settings.coldRamp);
    closeObject(object);
}

auto readQuery(JsonObject object, QuerySettings &settings) -> void
{
    readMilliseconds(object, "default_deadline_ms", 1, longestInterval, settings.defaultDeadline);
    readMilliseconds(object, "longest_deadline_ms", 1, longestInterval, settings.maxDeadline);
    readInteger(object, "in_flight_queries", 1, largestCount, settings.queriesInFlightLimit);
    readPercent(object, "hedge_budget_percent", settings.hedgeBudget);
    readPercent(object, "retry_budget_percent", settings.retryBudget);
    readBool(object, "hedging", settings.hedging);
    readBool(object, "domain_aware_routing", settings.domainAwareRouting);
    if (settings.defaultDeadline > settings.maxDeadline)
        addFieldFault(object, "default_deadline_ms", "must be at most longest_deadline_ms");
    closeObject(object);
}

auto readControl(JsonObject object, ControlSettings &settings) -> void
{
    constexpr std::uint64_t shortest = 10;
    const auto read = [&](std::string_view key, Duration &target) {
        readMilliseconds(object, key, shortest, longestInterval, target);
    };
    read("heartbeat_interval_ms", settings.heartbeatInterval);
    read("suspect_after_ms", settings.suspectAfter);
    read("lease_time_ms", settings.leaseTime);
    read("clock_drift_ms", settings.clockDrift);
    read("watch_check_interval_ms", settings.watchCheckInterval);
    read("list_interval_ms", settings.listInterval);
    read("store_timeout_ms", settings.storeTimeout);
    read("store_backoff_limit_ms", settings.storeBackoffLimit);
    readInteger(object, "cell_capacity_members", 1, 12, settings.cellCapacity);
    // A lease that ends before the next heartbeat, or peers suspected after one lost heartbeat,
    // would stop the service without any fault.
    if (settings.suspectAfter < 2 * settings.heartbeatInterval)
        addFieldFault(object, "suspect_after_ms", "must be at least twice heartbeat_interval_ms");
    if (settings.leaseTime < 2 * settings.heartbeatInterval)
        addFieldFault(object, "lease_time_ms", "must be at least twice heartbeat_interval_ms");
    closeObject(object);
}

auto readTop(JsonObject &object) -> Settings
{
    auto settings = Settings();
    requireName(object, "instance", settings.instance);
    requireName(object, "region", settings.region);
    requireName(object, "failure_domain", settings.failureDomain);
    requireName(object, "cell", settings.cell);
    requireListener(object, "caller_address", settings.callerAddress);
    requireListener(object, "peer_address", settings.peerAddress);
    requireListener(object, "admin_address", settings.adminAddress);
    readSeeds(object, settings.seeds);
    readAddress(object, "store_address", settings.storeAddress);
    readAddress(object, "instance_list_address", settings.instanceListAddress);
    readString(object, "embedded_configuration", settings.embeddedConfiguration);
    readObjects(object, "admin_tokens",
                [&](JsonObject &item) { readToken(item, settings.adminTokens); });
    if (readString(object, "log_level", settings.logLevel)
        && std::ranges::find(logLevels, settings.logLevel) == logLevels.end())
        addFieldFault(object, "log_level", "must be trace, debug, info, warning, error or fatal");
    readMilliseconds(object, "balancer_grace_ms", 0, longestInterval, settings.balancerGrace);
    readMilliseconds(object, "stop_deadline_ms", 1, longestInterval, settings.stopDeadline);
    if (!settings.storeAddress.empty() && !settings.embeddedConfiguration.empty())
        addFieldFault(object, "embedded_configuration", "can't be used with store_address");
    readDispatch(openNested(object, "dispatch"), settings.dispatch);
    readQuery(openNested(object, "query"), settings.query);
    readControl(openNested(object, "control"), settings.control);
    // A query that is taken at the end of the grace time must end before the instance does.
    if (settings.stopDeadline <= settings.balancerGrace + settings.query.maxDeadline)
        addFieldFault(object, "stop_deadline_ms",
                      "must be more than balancer_grace_ms and query.longest_deadline_ms together");
    return settings;
}

auto fillControl(Settings &settings) -> void
{
    auto &self = settings.control.self;
    self.id = instanceId(settings.instance);
    self.name = settings.instance;
    self.address = settings.peerAddress;
    self.domain = domainId(settings.failureDomain);
    settings.control.cell = settings.cell;
    settings.control.bootstrapAddresses = settings.seeds;
}

} // namespace

auto parseSettings(std::string_view text, std::string_view source) -> Result<Settings>
{
    auto faults = JsonFaults();
    const auto json = parseJson(text, JsonComments::Allowed, faults);
    if (!json)
        return toError(faults, Step::Settings, source);
    auto object = openObject(*json, "", faults);
    auto settings = readTop(object);
    closeObject(object);
    if (hasFaults(faults))
        return toError(faults, Step::Settings, source);
    fillControl(settings);
    return settings;
}

} // namespace crocusreach

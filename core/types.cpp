#include "types.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <utility>

namespace crocusreach {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(Reason::Count)> reasonNames = {
        "none",           "bad_request",        "unknown_service",    "service_out",
        "domain_out",     "instance_out",       "stopping",           "overloaded",
        "queue_full",     "deadline_too_short", "deadline_exceeded",  "cancelled",
        "no_replica",     "not_holder",         "no_lease",           "holder_unreachable",
        "holder_lost",    "cold_target",        "target_leaving",     "target_shed",
        "target_expired", "target_error",       "version_not_served", "layout_not_served",
        "connect_failed", "connection_lost",    "connection_silent",  "bad_reply",
        "claim_taken",    "store_unavailable",
};

constexpr std::array<std::string_view, static_cast<std::size_t>(Step::Count)> stepNames = {
        "settings", "configuration", "sheet",   "accept",         "plan",        "claim",
        "route",    "peer_call",     "queue",   "connect",        "target_call", "merge",
        "store",    "instance_list", "control", "administration",
};

} // namespace

auto hashName(std::string_view name) -> std::uint64_t
{
    return XXH3_64bits(name.data(), name.size());
}

auto hashPair(std::uint64_t left, std::uint64_t right) -> std::uint64_t
{
    const std::array<std::uint64_t, 2> values = {left, right};
    return XXH3_64bits(values.data(), sizeof(values));
}

auto serviceId(std::string_view name) -> ServiceId
{
    return ServiceId{hashName(name)};
}

auto leafId(std::string_view service, std::string_view leaf) -> LeafId
{
    return LeafId{hashPair(hashName(service), hashName(leaf))};
}

auto domainId(std::string_view name) -> DomainId
{
    return DomainId{hashName(name)};
}

auto instanceId(std::string_view name) -> InstanceId
{
    return InstanceId{hashName(name)};
}

auto toString(Outcome outcome) -> std::string_view
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

auto toString(Reason reason) -> std::string_view
{
    const auto index = static_cast<std::size_t>(reason);
    return index < reasonNames.size() ? reasonNames[index] : "invalid";
}

auto toString(Step step) -> std::string_view
{
    const auto index = static_cast<std::size_t>(step);
    return index < stepNames.size() ? stepNames[index] : "invalid";
}

auto reasonFromString(std::string_view name) -> Reason
{
    for (std::size_t index = 0; index < reasonNames.size(); ++index) {
        if (reasonNames[index] == name)
            return static_cast<Reason>(index);
    }
    return Reason::Count;
}

auto describe(const Error &error) -> std::string
{
    auto text = std::string(toString(error.step));
    if (!error.peer.empty())
        text += " at " + error.peer;
    return text + ": " + error.text;
}

} // namespace crocusreach

#include "configurationjson.h"

#include "jsonreader.h"
#include "timetext.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace crocusreach {

namespace {

constexpr std::uint64_t anyNumber = std::numeric_limits<std::uint64_t>::max();

auto readTime(JsonObject &object, std::string_view key, WallTime &target) -> void
{
    auto text = std::string();
    if (!readString(object, key, text))
        return;
    const auto time = parseTime(text);
    if (!time)
        return addFieldFault(object, key, "must be a time like 2026-12-04T06:30:00Z");
    target = *time;
}

auto readState(JsonObject &object, std::string_view key, DesiredState &target) -> void
{
    auto text = std::string();
    if (!readString(object, key, text))
        return;
    if (text != "in" && text != "out")
        return addFieldFault(object, key, "must be \"in\" or \"out\"");
    target = text == "in" ? DesiredState::In : DesiredState::Out;
}

auto readDecision(JsonObject &parent, Decision &decision) -> void
{
    const auto *field = findField(parent, "decision");
    if (field == nullptr)
        return;
    auto object = openObject(*field, fieldPath(parent, "decision"), *parent.faults);
    readState(object, "state", decision.state);
    readString(object, "author", decision.author);
    readTime(object, "at", decision.at);
    readString(object, "reason", decision.reason);
    closeObject(object);
}

auto readDomain(JsonObject &object) -> FailureDomain
{
    auto domain = FailureDomain();
    requireString(object, "name", domain.name);
    requireString(object, "region", domain.region);
    readDecision(object, domain.decision);
    domain.id = domainId(domain.name);
    return domain;
}

auto readShards(JsonObject &object, std::vector<ShardNumber> &shards) -> void
{
    const auto *field = requireField(object, "shards");
    if (field == nullptr)
        return;
    const auto isShard = [](const Json &item) {
        return item.is_number_unsigned() && item.get<std::uint64_t>() <= UINT32_MAX;
    };
    if (!field->is_array() || !std::ranges::all_of(*field, isShard))
        return addFieldFault(object, "shards", "must be a list of shard numbers");
    for (const auto &item : *field)
        shards.push_back(ShardNumber{item.get<std::uint32_t>()});
}

auto readLeaf(JsonObject &object, std::string_view service) -> Leaf
{
    auto leaf = Leaf();
    auto domain = std::string();
    requireString(object, "name", leaf.name);
    requireString(object, "address", leaf.address);
    requireString(object, "failure_domain", domain);
    requireField(object, "slots");
    readInteger(object, "slots", 1, UINT16_MAX, leaf.slots);
    requireField(object, "cold_slots");
    readInteger(object, "cold_slots", 1, UINT16_MAX, leaf.coldSlots);
    requireField(object, "connections");
    readInteger(object, "connections", 1, UINT16_MAX, leaf.connections);
    readShards(object, leaf.shards);
    leaf.domain = domainId(domain);
    leaf.id = leafId(service, leaf.name);
    return leaf;
}

auto readService(JsonObject &object) -> Service
{
    auto service = Service();
    requireString(object, "name", service.name);
    requireString(object, "cell", service.cell);
    requireField(object, "layout");
    readInteger(object, "layout", 0, UINT32_MAX, service.layout);
    requireField(object, "shard_count");
    readInteger(object, "shard_count", 1, UINT32_MAX, service.shardCount);
    readDecision(object, service.decision);
    readObjects(object, "leafs",
                [&](JsonObject &leaf) { service.leafs.push_back(readLeaf(leaf, service.name)); });
    service.id = serviceId(service.name);
    return service;
}

auto readInstance(JsonObject &object) -> DeclaredInstance
{
    auto instance = DeclaredInstance();
    requireString(object, "name", instance.name);
    readDecision(object, instance.decision);
    instance.id = instanceId(instance.name);
    return instance;
}

auto readChange(JsonObject &object) -> Change
{
    auto change = Change();
    readInteger(object, "revision", 0, anyNumber, change.revision);
    requireString(object, "change_id", change.changeId);
    readString(object, "author", change.author);
    readTime(object, "at", change.at);
    readString(object, "summary", change.summary);
    return change;
}

auto readConfiguration(JsonObject &object) -> Configuration
{
    auto configuration = Configuration();
    readObjects(object, "failure_domains",
                [&](JsonObject &item) { configuration.domains.push_back(readDomain(item)); });
    readObjects(object, "services",
                [&](JsonObject &item) { configuration.services.push_back(readService(item)); });
    readObjects(object, "instances",
                [&](JsonObject &item) { configuration.instances.push_back(readInstance(item)); });
    readObjects(object, "changes",
                [&](JsonObject &item) { configuration.changes.push_back(readChange(item)); });
    if (configuration.changes.size() > changeHistoryLimit)
        addFieldFault(object, "changes",
                      "has more than " + std::to_string(changeHistoryLimit) + " changes");
    return configuration;
}

auto decisionJson(const Decision &decision) -> Json
{
    auto json = Json::object();
    json["state"] = toString(decision.state);
    json["author"] = decision.author;
    json["at"] = writeTime(decision.at);
    json["reason"] = decision.reason;
    return json;
}

auto leafJson(const Leaf &leaf, const Configuration &configuration) -> Json
{
    const auto *domain = findDomain(configuration, leaf.domain);
    auto json = Json::object();
    json["name"] = leaf.name;
    json["address"] = leaf.address;
    json["failure_domain"] = domain == nullptr ? "" : domain->name;
    json["slots"] = leaf.slots;
    json["cold_slots"] = leaf.coldSlots;
    json["connections"] = leaf.connections;
    json["shards"] = Json::array();
    for (const auto shard : leaf.shards)
        json["shards"].push_back(toUnderlying(shard));
    return json;
}

auto serviceJson(const Service &service, const Configuration &configuration) -> Json
{
    auto json = Json::object();
    json["name"] = service.name;
    json["cell"] = service.cell;
    json["layout"] = toUnderlying(service.layout);
    json["shard_count"] = service.shardCount;
    json["decision"] = decisionJson(service.decision);
    json["leafs"] = Json::array();
    for (const auto &leaf : service.leafs)
        json["leafs"].push_back(leafJson(leaf, configuration));
    return json;
}

auto changeJson(const Change &change) -> Json
{
    auto json = Json::object();
    json["revision"] = toUnderlying(change.revision);
    json["change_id"] = change.changeId;
    json["author"] = change.author;
    json["at"] = writeTime(change.at);
    json["summary"] = change.summary;
    return json;
}

// Ids are written as text, since many JSON tools round numbers beyond 53 bits.
template <typename Id>
auto idText(Id id) -> std::string
{
    auto buffer = std::array<char, 24>();
    std::snprintf(buffer.data(), buffer.size(), "%016llx",
                  static_cast<unsigned long long>(toUnderlying(id)));
    return buffer.data();
}

template <typename Id>
auto requireId(JsonObject &object, std::string_view key, Id &target) -> void
{
    auto text = std::string();
    if (!requireString(object, key, text))
        return;
    auto value = std::uint64_t();
    const auto *last = text.data() + text.size();
    const auto [end, status] = std::from_chars(text.data(), last, value, 16);
    if (text.size() != 16 || status != std::errc() || end != last)
        return addFieldFault(object, key, "must be an id of 16 hexadecimal digits");
    target = Id{value};
}

auto readMember(JsonObject &object) -> Member
{
    auto member = Member();
    requireString(object, "name", member.name);
    requireField(object, "incarnation");
    readInteger(object, "incarnation", 0, anyNumber, member.incarnation);
    requireString(object, "address", member.address);
    requireId(object, "failure_domain", member.domain);
    member.id = instanceId(member.name);
    return member;
}

auto readShare(JsonObject &object) -> Share
{
    auto share = Share();
    requireId(object, "leaf", share.leaf);
    readInteger(object, "ordinal", 0, maxSharesPerLeaf - 1, share.ordinal);
    readInteger(object, "slots", 0, UINT16_MAX, share.size.slots);
    readInteger(object, "cold_slots", 0, UINT16_MAX, share.size.coldSlots);
    readInteger(object, "connections", 0, UINT16_MAX, share.size.connections);
    requireId(object, "holder", share.holder);
    readInteger(object, "holder_incarnation", 0, anyNumber, share.holderIncarnation);
    readInteger(object, "since", 0, anyNumber, share.since);
    requireId(object, "former_holder", share.formerHolder);
    readInteger(object, "former_incarnation", 0, anyNumber, share.formerIncarnation);
    return share;
}

auto memberJson(const Member &member) -> Json
{
    auto json = Json::object();
    json["name"] = member.name;
    json["incarnation"] = toUnderlying(member.incarnation);
    json["address"] = member.address;
    json["failure_domain"] = idText(member.domain);
    return json;
}

auto shareJson(const Share &share) -> Json
{
    auto json = Json::object();
    json["leaf"] = idText(share.leaf);
    json["ordinal"] = share.ordinal;
    json["slots"] = share.size.slots;
    json["cold_slots"] = share.size.coldSlots;
    json["connections"] = share.size.connections;
    json["holder"] = idText(share.holder);
    json["holder_incarnation"] = toUnderlying(share.holderIncarnation);
    json["since"] = toUnderlying(share.since);
    json["former_holder"] = idText(share.formerHolder);
    json["former_incarnation"] = toUnderlying(share.formerIncarnation);
    return json;
}

} // namespace

auto parseConfiguration(std::string_view text, std::string_view source) -> Result<Configuration>
{
    auto faults = JsonFaults();
    const auto json = parseJson(text, JsonComments::Allowed, faults);
    if (!json)
        return toError(faults, Step::Configuration, source);
    auto object = openObject(*json, "", faults);
    auto configuration = readConfiguration(object);
    closeObject(object);
    for (const auto &error : validate(configuration)) {
        // A field whose type is wrong was already reported and would be reported again as empty.
        const auto reported = std::ranges::any_of(faults.lines, [&](const std::string &line) {
            return line.starts_with(error.peer + ":");
        });
        if (!reported)
            addFault(faults, error.peer, error.text);
    }
    if (hasFaults(faults))
        return toError(faults, Step::Configuration, source);
    return configuration;
}

auto writeConfiguration(const Configuration &configuration) -> std::string
{
    auto json = Json::object();
    json["failure_domains"] = Json::array();
    for (const auto &domain : configuration.domains) {
        auto item = Json::object();
        item["name"] = domain.name;
        item["region"] = domain.region;
        item["decision"] = decisionJson(domain.decision);
        json["failure_domains"].push_back(std::move(item));
    }
    json["services"] = Json::array();
    for (const auto &service : configuration.services)
        json["services"].push_back(serviceJson(service, configuration));
    json["instances"] = Json::array();
    for (const auto &instance : configuration.instances) {
        auto item = Json::object();
        item["name"] = instance.name;
        item["decision"] = decisionJson(instance.decision);
        json["instances"].push_back(std::move(item));
    }
    json["changes"] = Json::array();
    for (const auto &change : configuration.changes)
        json["changes"].push_back(changeJson(change));
    return writeJson(json);
}

auto parseAssignment(std::string_view text, std::string_view source) -> Result<Assignment>
{
    auto faults = JsonFaults();
    const auto json = parseJson(text, JsonComments::Allowed, faults);
    if (!json)
        return toError(faults, Step::Configuration, source);
    auto object = openObject(*json, "", faults);
    auto assignment = Assignment();
    requireString(object, "cell", assignment.cell);
    readObjects(object, "members",
                [&](JsonObject &item) { assignment.members.push_back(readMember(item)); });
    readObjects(object, "retired",
                [&](JsonObject &item) { assignment.retired.push_back(readMember(item)); });
    readObjects(object, "shares",
                [&](JsonObject &item) { assignment.shares.push_back(readShare(item)); });
    closeObject(object);
    if (hasFaults(faults))
        return toError(faults, Step::Configuration, source);
    return assignment;
}

auto writeAssignment(const Assignment &assignment) -> std::string
{
    auto json = Json::object();
    json["cell"] = assignment.cell;
    json["members"] = Json::array();
    for (const auto &member : assignment.members)
        json["members"].push_back(memberJson(member));
    json["retired"] = Json::array();
    for (const auto &member : assignment.retired)
        json["retired"].push_back(memberJson(member));
    json["shares"] = Json::array();
    for (const auto &share : assignment.shares)
        json["shares"].push_back(shareJson(share));
    return writeJson(json);
}

} // namespace crocusreach

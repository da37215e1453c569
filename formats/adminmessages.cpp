#include "adminmessages.h"

#include "configurationjson.h"
#include "jsonreader.h"
#include "timetext.h"

#include <algorithm>

namespace crocusreach {

namespace {

constexpr std::size_t longestReason = 200;

auto milliseconds(Duration duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

// One detail of an error: the place is "line N" or a field.
auto detailJson(std::string_view place, std::string_view message) -> Json
{
    auto json = Json::object();
    if (place.starts_with("line "))
        json["line"] = std::strtoull(std::string(place.substr(5)).c_str(), nullptr, 10);
    else
        json["field"] = place;
    json["message"] = message;
    return json;
}

// An error of a parser holds several faults, one a line, or a single one with its place in the
// peer.
auto addDetails(const Error &error, Json &details) -> void
{
    if (error.text.find('\n') == std::string::npos) {
        const auto separator = error.peer.rfind(": ");
        const auto place
                = separator == std::string::npos ? error.peer : error.peer.substr(separator + 2);
        details.push_back(detailJson(place, error.text));
        return;
    }
    auto rest = std::string_view(error.text);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('\n'), rest.size());
        const auto line = rest.substr(0, end);
        const auto separator = line.find(": ");
        if (separator == std::string_view::npos)
            details.push_back(detailJson("document", line));
        else
            details.push_back(detailJson(line.substr(0, separator), line.substr(separator + 2)));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
}

auto errorJson(std::string_view code, std::string_view message, std::span<const Error> errors)
        -> Json
{
    auto json = Json::object();
    json["code"] = code;
    json["message"] = message;
    json["details"] = Json::array();
    for (const auto &error : errors)
        addDetails(error, json["details"]);
    return json;
}

auto differencesJson(std::span<const Difference> differences) -> Json
{
    auto json = Json::array();
    for (const auto &one : differences) {
        auto item = Json::object();
        item["item"] = one.item;
        item["before"] = one.before;
        item["after"] = one.after;
        json.push_back(std::move(item));
    }
    return json;
}

auto changesJson(std::span<const Change> changes) -> Json
{
    auto json = Json::array();
    for (const auto &change : changes) {
        auto item = Json::object();
        item["revision"] = toUnderlying(change.revision);
        item["change_id"] = change.changeId;
        item["author"] = change.author;
        item["at"] = writeTime(change.at);
        item["summary"] = change.summary;
        json.push_back(std::move(item));
    }
    return json;
}

auto confirmationJson(const Confirmation &confirmation) -> Json
{
    auto json = Json::object();
    json["message"] = describe(confirmation);
    if (const auto *newer = std::get_if<NewerDecision>(&confirmation)) {
        json["line"] = newer->row.line;
        json["author"] = newer->decision.author;
        json["at"] = writeTime(newer->decision.at);
    }
    return json;
}

auto planJson(const SheetPlan &plan) -> Json
{
    auto json = Json::object();
    json["base_revision"] = toUnderlying(plan.baseRevision);
    json["changes"] = Json::array();
    for (const auto &change : plan.changes) {
        auto item = Json::object();
        item["line"] = change.row.line;
        item["kind"] = toString(change.row.kind);
        item["name"] = change.row.name;
        item["before"] = toString(change.former.state);
        item["after"] = toString(change.row.state);
        item["reason"] = change.row.reason;
        json["changes"].push_back(std::move(item));
    }
    json["unlisted"] = Json::array();
    for (const auto &unlisted : plan.unlisted) {
        auto item = Json::object();
        item["kind"] = toString(unlisted.kind);
        item["name"] = unlisted.name;
        item["state"] = toString(unlisted.state);
        json["unlisted"].push_back(std::move(item));
    }
    json["confirmations"] = Json::array();
    for (const auto &confirmation : plan.confirmations)
        json["confirmations"].push_back(confirmationJson(confirmation));
    json["token"] = plan.token;
    return json;
}

auto acceptedJson(const ChangeResult &result) -> Json
{
    auto json = Json::object();
    json["status"] = toString(result.status);
    json["revision"] = toUnderlying(result.revision);
    json["repeated"] = result.repeated;
    json["plan"] = planJson(result.plan);
    json["warnings"] = Json::array();
    for (const auto &shard : result.shardsWithoutReplica)
        json["warnings"].push_back(describe(Confirmation(shard)));
    return json;
}

auto conflictMessage(const ChangeResult &result) -> std::string
{
    if (result.conflicting.empty())
        return "the stored configuration has revision "
               + std::to_string(toUnderlying(result.revision));
    const auto &newest = result.conflicting.front();
    return newest.author + " changed the configuration at " + writeTime(newest.at) + " (revision "
           + std::to_string(toUnderlying(newest.revision)) + ": " + newest.summary + ")";
}

auto rejectedJson(const ChangeResult &result) -> Json
{
    switch (result.status) {
    case ChangeStatus::Conflict: {
        auto json = errorJson("conflict", conflictMessage(result), {});
        json["conflicting"] = changesJson(result.conflicting);
        json["differences"] = differencesJson(result.differences);
        return json;
    }
    case ChangeStatus::ConfirmationNeeded: {
        auto json = errorJson("confirmation_needed",
                              "apply the sheet again with this token to confirm", {});
        json["token"] = result.plan.token;
        json["plan"] = planJson(result.plan);
        return json;
    }
    case ChangeStatus::NotAccepted:
        return errorJson("store_unavailable", result.errors.front().text, {});
    case ChangeStatus::Uncertain:
        return errorJson("outcome_unknown", result.errors.front().text, {});
    default:
        return errorJson("invalid", "nothing was changed", result.errors);
    }
}

struct NamedDecision
{
    std::string_view name;
    const Decision *decision;
};

auto namedDecisions(const Configuration &configuration, ItemKind kind) -> std::vector<NamedDecision>
{
    auto named = std::vector<NamedDecision>();
    const auto addAll = [&](const auto &items) {
        for (const auto &item : items)
            named.push_back({item.name, &item.decision});
    };
    if (kind == ItemKind::Domain)
        addAll(configuration.domains);
    else if (kind == ItemKind::Service)
        addAll(configuration.services);
    else
        addAll(configuration.instances);
    std::ranges::sort(named, {}, &NamedDecision::name);
    return named;
}

auto domainName(const Configuration &configuration, DomainId id) -> std::string
{
    const auto *domain = findDomain(configuration, id);
    return domain == nullptr ? "" : domain->name;
}

auto peerJson(const PeerView &peer, const Configuration &configuration) -> Json
{
    auto json = Json::object();
    json["instance"] = peer.name;
    json["address"] = peer.address;
    json["failure_domain"] = domainName(configuration, peer.domain);
    json["reachable"] = peer.reachable;
    json["leaving"] = peer.leaving;
    json["revision"] = toUnderlying(peer.revision);
    json["epoch"] = toUnderlying(peer.epoch);
    json["round_trip_ms"] = milliseconds(peer.roundTrip);
    return json;
}

auto leafJson(const LeafStatus &status, const ClusterView &view) -> Json
{
    auto json = Json::object();
    const auto *entry = findLeaf(*view.leafIndex, status.leaf);
    json["service"] = entry == nullptr ? "" : entry->service->name;
    json["leaf"] = entry == nullptr ? "" : entry->leaf->name;
    json["address"] = entry == nullptr ? "" : entry->leaf->address;
    json["failure_domain"]
            = entry == nullptr ? "" : domainName(*view.configuration, entry->leaf->domain);
    json["running"] = status.running;
    json["waiting"] = status.waiting;
    json["allowed"] = status.concurrencyLimit;
    json["slots"] = status.slots;
    json["connections"] = status.connections;
    json["state"] = toString(status.targetState);
    json["cold"] = status.cold;
    json["leaving"] = status.leaving;
    json["out"] = status.out;
    json["p50_ms"] = milliseconds(status.p50);
    json["p99_ms"] = milliseconds(status.p99);
    json["sent"] = status.sent;
    json["shed"] = status.shed;
    json["silent_connections"] = status.silentConnections;
    return json;
}

} // namespace

auto writeError(std::string_view code, std::string_view message, std::span<const Error> errors)
        -> std::string
{
    auto json = Json::object();
    json["error"] = errorJson(code, message, errors);
    return writeJson(json);
}

auto parseStateBody(std::string_view text) -> Result<StateBody>
{
    auto faults = JsonFaults();
    const auto json = parseJson(text, JsonComments::Refused, faults);
    if (!json)
        return toError(faults, Step::Administration, "request");
    auto object = openObject(*json, "", faults);
    auto body = StateBody();
    const auto isControl = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
    requireString(object, "change_id", body.changeId);
    readString(object, "reason", body.reason);
    if (body.reason.size() > longestReason || std::ranges::any_of(body.reason, isControl))
        addFieldFault(object, "reason", "must be at most 200 bytes without control characters");
    closeObject(object);
    if (hasFaults(faults))
        return toError(faults, Step::Administration, "request");
    return body;
}

auto writeChangeResult(const ChangeResult &result) -> std::string
{
    if (httpStatus(result) == 200)
        return writeJson(acceptedJson(result));
    auto json = Json::object();
    json["error"] = rejectedJson(result);
    return writeJson(json);
}

auto httpStatus(const ChangeResult &result) -> unsigned
{
    switch (result.status) {
    case ChangeStatus::Applied:
    case ChangeStatus::Unchanged:
        return 200;
    case ChangeStatus::Conflict:
        return 412;
    case ChangeStatus::ConfirmationNeeded:
        return 409;
    case ChangeStatus::Invalid:
        return 400;
    case ChangeStatus::NotAccepted:
    case ChangeStatus::Uncertain:
        return 503;
    }
    return 503;
}

auto writePlan(const SheetPlan &plan) -> std::string
{
    return writeJson(planJson(plan));
}

auto writePlanSummary(const SheetPlan &plan, std::size_t rows) -> std::string
{
    auto json = Json::object();
    json["base_revision"] = toUnderlying(plan.baseRevision);
    json["rows"] = rows;
    json["changes"] = plan.changes.size();
    json["unlisted"] = plan.unlisted.size();
    json["confirmations"] = plan.confirmations.size();
    return writeJson(json);
}

auto writeDifferences(Revision base, std::span<const Difference> differences) -> std::string
{
    auto json = Json::object();
    json["base_revision"] = toUnderlying(base);
    json["differences"] = differencesJson(differences);
    return writeJson(json);
}

auto writeCurrent(const Configuration &configuration) -> std::string
{
    auto json = Json::object();
    json["revision"] = toUnderlying(configuration.revision);
    json["configuration"] = Json::parse(writeConfiguration(configuration));
    return writeJson(json);
}

auto writeHistory(const Configuration &configuration, Revision after, std::size_t limit)
        -> std::string
{
    auto changes = history(configuration);
    if (after != Revision{0})
        std::erase_if(changes, [&](const Change &change) { return change.revision >= after; });
    const auto count = std::min(limit, changes.size());
    auto json = Json::object();
    json["changes"] = changesJson(std::span(changes).first(count));
    json["more"] = count < changes.size();
    return writeJson(json);
}

auto writeItems(const Configuration &configuration, ItemKind kind, std::string_view after,
                std::size_t limit) -> std::string
{
    auto named = namedDecisions(configuration, kind);
    std::erase_if(named, [&](const NamedDecision &item) { return item.name <= after; });
    const auto count = std::min(limit, named.size());
    auto json = Json::object();
    json["revision"] = toUnderlying(configuration.revision);
    json["items"] = Json::array();
    for (const auto &[name, decision] : std::span(named).first(count)) {
        auto item = Json::object();
        item["name"] = name;
        item["state"] = toString(decision->state);
        item["author"] = decision->author;
        item["at"] = decision->at == WallTime() ? "" : writeTime(decision->at);
        item["reason"] = decision->reason;
        json["items"].push_back(std::move(item));
    }
    json["more"] = count < named.size();
    return writeJson(json);
}

auto writeStatus(const StatusReport &report) -> std::string
{
    const auto &view = *report.view;
    auto json = Json::object();
    json["instance"] = report.instance;
    json["version"] = report.version;
    json["failure_domain"] = domainName(*view.configuration, view.selfDomain);
    json["revision"] = toUnderlying(view.configuration->revision);
    json["epoch"] = toUnderlying(view.assignment->epoch);
    json["store_reachable"] = view.storeReachable;
    json["stopping"] = view.stopping;
    json["lease_left_ms"] = std::max(0.0, milliseconds(report.leaseLeft));
    json["members"] = Json::array();
    for (const auto &peer : view.peers)
        json["members"].push_back(peerJson(peer, *view.configuration));
    json["leafs"] = Json::array();
    for (const auto &leaf : report.leafs)
        json["leafs"].push_back(leafJson(leaf, view));
    return writeJson(json);
}

auto writeExplanation(std::string_view service, std::span<const std::string> sentences)
        -> std::string
{
    auto json = Json::object();
    json["service"] = service;
    json["sentences"] = Json::array();
    for (const auto &sentence : sentences)
        json["sentences"].push_back(sentence);
    return writeJson(json);
}

} // namespace crocusreach

#include "text.h"

#include <algorithm>
#include <array>
#include <map>
#include <span>
#include <vector>

namespace crocusreach::ctl {

namespace {

// What a reply says in a field, as text; empty if it isn't there.
auto fieldText(const Json &json, std::string_view key) -> std::string
{
    const auto found = json.find(key);
    if (found == json.end() || found->is_null())
        return {};
    if (found->is_string())
        return found->get<std::string>();
    return writeJson(*found);
}

auto listOf(const Json &json, std::string_view key) -> Json
{
    const auto found = json.find(key);
    return found != json.end() && found->is_array() ? *found : Json::array();
}

using Row = std::vector<std::string>;

// Columns as wide as their widest cell; the last one isn't padded.
auto tableText(std::span<const Row> rows) -> std::string
{
    auto widths = std::vector<std::size_t>();
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t index = 0; index < row.size(); ++index)
            widths[index] = std::max(widths[index], row[index].size());
    }
    auto text = std::string();
    for (const auto &row : rows) {
        auto line = std::string();
        for (std::size_t index = 0; index < row.size(); ++index) {
            line += row[index];
            if (index + 1 < row.size())
                line.append(widths[index] - row[index].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

// The rows of a list with the given fields, under a heading of the fields' names.
auto fieldsTable(const Json &list, std::span<const std::string_view> fields) -> std::string
{
    auto rows = std::vector<Row>();
    rows.emplace_back(fields.begin(), fields.end());
    for (const auto &item : list) {
        auto row = Row();
        for (const auto field : fields)
            row.push_back(fieldText(item, field));
        rows.push_back(std::move(row));
    }
    return tableText(rows);
}

auto detailText(const Json &detail) -> std::string
{
    const auto line = fieldText(detail, "line");
    const auto field = fieldText(detail, "field");
    const auto place = line.empty() ? field : "line " + line;
    return "  " + (place.empty() ? "" : place + ": ") + fieldText(detail, "message") + "\n";
}

// One line for each kind and state.
auto unlistedText(const Json &unlisted) -> std::string
{
    if (unlisted.empty())
        return {};
    auto groups = std::map<std::string, std::string>();
    for (const auto &item : unlisted) {
        auto &names = groups[fieldText(item, "kind") + " " + fieldText(item, "state")];
        names += (names.empty() ? "" : ", ") + fieldText(item, "name");
    }
    auto text = std::to_string(unlisted.size()) + " items not listed; they keep their state\n";
    for (const auto &[group, names] : groups)
        text.append("  ").append(group).append(": ").append(names).append("\n");
    return text;
}

} // namespace

auto planText(const Json &plan) -> std::string
{
    auto text = std::string();
    const auto changes = listOf(plan, "changes");
    text += std::to_string(changes.size()) + " changes\n";
    for (const auto &change : changes) {
        text += "  " + fieldText(change, "kind") + " " + fieldText(change, "name") + ": "
                + fieldText(change, "before") + " -> " + fieldText(change, "after");
        const auto reason = fieldText(change, "reason");
        text += (reason.empty() ? "" : " (" + reason + ")") + "\n";
    }
    text += unlistedText(listOf(plan, "unlisted"));
    const auto confirmations = listOf(plan, "confirmations");
    if (!confirmations.empty())
        text += "to be confirmed\n";
    for (const auto &confirmation : confirmations) {
        const auto at = fieldText(confirmation, "at");
        text += "  " + fieldText(confirmation, "message") + (at.empty() ? "" : " (" + at + ")")
                + "\n";
    }
    const auto token = fieldText(plan, "token");
    if (!token.empty())
        text += "apply with --confirm " + token + "\n";
    return text;
}

auto differencesText(const Json &differences) -> std::string
{
    if (differences.empty())
        return "no differences\n";
    auto text = std::string();
    for (const auto &one : differences) {
        text += fieldText(one, "item") + "\n  - " + fieldText(one, "before") + "\n  + "
                + fieldText(one, "after") + "\n";
    }
    return text;
}

auto historyText(const Json &changes) -> std::string
{
    constexpr auto fields
            = std::to_array<std::string_view>({"revision", "at", "author", "change_id", "summary"});
    return fieldsTable(changes, fields);
}

auto itemsText(const Json &items) -> std::string
{
    constexpr auto fields
            = std::to_array<std::string_view>({"name", "state", "at", "author", "reason"});
    return fieldsTable(items, fields);
}

auto statusText(const Json &status) -> std::string
{
    constexpr auto memberFields
            = std::to_array<std::string_view>({"instance", "failure_domain", "revision", "epoch",
                                               "reachable", "leaving", "round_trip_ms"});
    constexpr auto leafFields = std::to_array<std::string_view>(
            {"service", "leaf", "failure_domain", "state", "running", "waiting", "allowed", "slots",
             "connections", "cold", "leaving", "out", "p50_ms", "p99_ms", "shed"});
    auto text = std::string();
    for (const auto *field : {"instance", "version", "failure_domain", "revision", "epoch",
                              "store_reachable", "stopping", "lease_left_ms"})
        text += std::string(field) + ": " + fieldText(status, field) + "\n";
    text += "\nmembers\n" + fieldsTable(listOf(status, "members"), memberFields);
    text += "\nleafs held\n" + fieldsTable(listOf(status, "leafs"), leafFields);
    return text;
}

auto explanationText(const Json &explanation) -> std::string
{
    auto text = std::string();
    for (const auto &sentence : listOf(explanation, "sentences"))
        text += sentence.get<std::string>() + "\n";
    return text;
}

auto previewText(const Json &preview) -> std::string
{
    auto text = std::string();
    for (const auto *field : {"outcome", "route", "version", "needs_key", "required_services"})
        text += std::string(field) + ": " + fieldText(preview, field) + "\n";
    for (const auto &service : listOf(preview, "services")) {
        const auto weight = fieldText(service, "weight");
        text += "\n" + fieldText(service, "service") + (weight.empty() ? "" : ", weight " + weight)
                + "\n";
        auto rows = std::vector<Row>{{"rank", "leaf", "domain", "open", "idle", "reasons"}};
        for (const auto &leaf : listOf(service, "leafs")) {
            auto reasons = std::string();
            for (const auto &reason : listOf(leaf, "reasons"))
                reasons += (reasons.empty() ? "" : "; ") + reason.get<std::string>();
            const auto rank = fieldText(leaf, "rank");
            rows.push_back({rank == "0" ? "-" : rank, fieldText(leaf, "leaf"),
                            fieldText(leaf, "domain"), fieldText(leaf, "open_sends"),
                            fieldText(leaf, "idle_connections"), reasons});
        }
        text += tableText(rows);
    }
    return text;
}

auto requestText(const Json &result) -> std::string
{
    auto text = std::string();
    for (const auto &log : result["logs"]) {
        text.append(log["log"].get<std::string>()).append(":\n");
        for (const auto &line : log["lines"])
            text.append("  ").append(line.get<std::string>()).append("\n");
        text.append(log["place"].get<std::string>()).append(": ");
        text.append(log["sentence"].get<std::string>()).append("\n");
    }
    return text;
}

auto errorText(const Json &error) -> std::string
{
    auto text = fieldText(error, "code") + ": " + fieldText(error, "message") + "\n";
    for (const auto &detail : listOf(error, "details"))
        text += detailText(detail);
    const auto conflicting = listOf(error, "conflicting");
    if (!conflicting.empty())
        text += "changes by others\n" + historyText(conflicting);
    const auto differences = listOf(error, "differences");
    if (!differences.empty())
        text += "what differs\n" + differencesText(differences);
    if (error.contains("plan"))
        text += planText(error["plan"]);
    return text;
}

auto changeText(const Json &result) -> std::string
{
    const auto revision = fieldText(result, "revision");
    auto text = std::string();
    if (fieldText(result, "status") == "unchanged")
        text = "nothing to change; revision " + revision + "\n";
    else if (result.value("repeated", false))
        text = "revision " + revision + " was accepted by an earlier try\n";
    else
        text = "revision " + revision + " accepted\n";
    for (const auto &warning : listOf(result, "warnings"))
        text += "warning: " + warning.get<std::string>() + "\n";
    return text;
}

} // namespace crocusreach::ctl

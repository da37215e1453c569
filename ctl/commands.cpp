#include "commands.h"

#include "apicall.h"
#include "base/gobject.h"
#include "files.h"
#include "formats/configurationjson.h"
#include "formats/requestlog.h"
#include "formats/settings.h"
#include "formats/sheetcsv.h"
#include "inforce.h"
#include "text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <iostream>

namespace crocusreach::ctl {

namespace {

constexpr std::string_view revisionComment = "// revision ";
constexpr std::string_view pageSize = "500";

auto fail(const Options &options, std::string_view code, const std::string &message, ExitCode exit)
        -> ExitCode
{
    if (options.json) {
        auto json = Json::object();
        json["error"] = {{"code", code}, {"message", message}};
        std::cout << writeJson(json, 2) << "\n";
    } else {
        std::cerr << code << ": " << message << "\n";
    }
    return exit;
}

auto badUsage(const Options &options, const std::string &message) -> ExitCode
{
    return fail(options, "usage", message + "; see crocusreachctl --help", ExitCode::BadUsage);
}

auto exitCodeOf(const ApiReply &reply) -> ExitCode
{
    switch (reply.status) {
    case 200:
        return ExitCode::Success;
    case 401:
        return ExitCode::BadUsage;
    case 409:
        return ExitCode::ConfirmationNeeded;
    case 412:
        return ExitCode::Conflict;
    case 0:
    case 503:
        return ExitCode::Unreachable;
    default:
        return ExitCode::Failure;
    }
}

auto reportUnknown(const Options &options, const ApiCall &call) -> void
{
    if (!options.json)
        std::cerr << "It isn't known whether the change took effect. Repeat the command with "
                     "--change_id "
                  << call.changeId << "\n";
}

auto reportFailure(const Options &options, const ApiCall &call, const ApiReply &reply) -> ExitCode
{
    const auto exit = exitCodeOf(reply);
    if (!reply.body.is_object() || !reply.body.contains("error")) {
        fail(options, "unreachable", reply.failure, exit);
    } else if (options.json) {
        auto json = reply.body;
        if (reply.outcomeUnknown)
            json["error"]["change_id"] = call.changeId;
        std::cout << writeJson(json, 2) << "\n";
    } else {
        std::cerr << errorText(reply.body["error"]);
    }
    if (reply.outcomeUnknown)
        reportUnknown(options, call);
    return exit;
}

// Prints a reply in the form asked for.
auto printReply(const Options &options, const Json &body,
                const std::function<auto(const Json &)->std::string> &toText) -> ExitCode
{
    std::cout << (options.json ? writeJson(body, 2) + "\n" : toText(body));
    return ExitCode::Success;
}

auto query(const Options &options, const ApiCall &call,
           const std::function<auto(const Json &)->std::string> &toText) -> ExitCode
{
    const auto reply = callAny(options, call);
    if (reply.status != 200)
        return reportFailure(options, call, reply);
    return printReply(options, reply.body, toText);
}

// Sends a change, and prints its revision and where it is in force.
auto change(const Options &options, const ApiCall &call) -> ExitCode
{
    const auto reply = callAny(options, call);
    if (reply.status != 200)
        return reportFailure(options, call, reply);
    const auto revision = reply.body.value("revision", std::uint64_t());
    const auto inForce
            = options.wait ? waitInForce(options, revision) : findInForce(options, revision);
    auto json = reply.body;
    json["in_force"] = toJson(inForce);
    printReply(options, json, [&](const Json &body) { return changeText(body) + toText(inForce); });
    return !options.wait || isEverywhere(inForce) ? ExitCode::Success : ExitCode::Failure;
}

auto changeIdOf(const Options &options) -> std::string
{
    if (!options.changeId.empty())
        return options.changeId;
    return CharactersPtr(g_uuid_string_random()).get();
}

// Names go into paths as they are, so only what a name may hold is let through.
auto isName(std::string_view text) -> bool
{
    const auto allowed = [](char c) {
        return g_ascii_isalnum(c) != FALSE || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && std::ranges::all_of(text, allowed);
}

// An instance also knows which items are declared. Without one, the errors of the text are told.
auto reportBadSheet(const Options &options, const std::string &sheet, std::span<const Error> errors)
        -> ExitCode
{
    const auto call = ApiCall{"POST", "/admin/v1/sheet/check", sheet, "text/csv"};
    const auto reply = callAny(options, call);
    if (reply.status == 400)
        return reportFailure(options, call, reply);
    auto text = std::string("the sheet is wrong; nothing was changed");
    for (const auto &error : errors)
        text += "\n  " + error.peer + ": " + error.text;
    return fail(options, "bad_sheet", text, ExitCode::Failure);
}

auto checkedSheetText(const Json &summary) -> std::string
{
    return "the sheet is right: " + writeJson(summary["rows"]) + " rows, "
           + writeJson(summary["changes"]) + " changes, " + writeJson(summary["unlisted"])
           + " items not listed, " + writeJson(summary["confirmations"]) + " to be confirmed\n";
}

auto runSheet(const Options &options) -> ExitCode
{
    const auto &words = options.words;
    if (words.size() != 3)
        return badUsage(options, "sheet needs check, diff or apply and a file");
    auto text = readFile(words[2]);
    if (isError(text))
        return fail(options, "usage", describe(std::get<Error>(text)), ExitCode::BadUsage);
    const auto &sheet = std::get<std::string>(text);
    const auto parsed = parseSheet(sheet);
    if (!parsed.errors.empty())
        return reportBadSheet(options, sheet, parsed.errors);
    auto call = ApiCall{"POST", "/admin/v1/sheet/" + words[1], sheet, "text/csv"};
    if (words[1] == "check")
        return query(options, call, checkedSheetText);
    if (words[1] == "diff")
        return query(options, call, planText);
    if (words[1] != "apply")
        return badUsage(options, "sheet has no command " + words[1]);
    if (!options.confirm.empty()) {
        if (!isName(options.confirm))
            return badUsage(options, "--confirm takes the token that sheet apply printed");
        call.path += "?confirm=" + options.confirm;
    }
    call.changeId = changeIdOf(options);
    return change(options, call);
}

// Reads all pages of a list. The key names the field that the next page starts after.
auto readPages(const Options &options, const std::string &path, const char *list, const char *key)
        -> ApiReply
{
    const auto first = path + "?limit=" + std::string(pageSize);
    auto all = Json::array();
    auto after = std::string();
    while (true) {
        auto page = callAny(options, {"GET", first + after});
        if (page.status != 200)
            return page;
        for (const auto &item : page.body[list])
            all.push_back(item);
        if (!page.body.value("more", false) || all.empty()) {
            page.body[list] = std::move(all);
            return page;
        }
        const auto &last = all.back()[key];
        after = "&after=" + (last.is_string() ? last.get<std::string>() : writeJson(last));
    }
}

auto showItems(const Options &options) -> ExitCode
{
    const auto &words = options.words;
    const auto path = "/admin/v1/" + words[0];
    auto reply = readPages(options, path, "items", "name");
    if (reply.status != 200)
        return reportFailure(options, {"GET", path}, reply);
    if (words.size() == 3) {
        auto chosen = Json::array();
        for (const auto &item : reply.body["items"]) {
            if (item.value("name", "") == words[2])
                chosen.push_back(item);
        }
        if (chosen.empty())
            return fail(options, "not_found", words[0] + " " + words[2] + " is not declared",
                        ExitCode::Failure);
        reply.body["items"] = std::move(chosen);
    }
    return printReply(options, reply.body,
                      [](const Json &body) { return itemsText(body["items"]); });
}

auto runItem(const Options &options) -> ExitCode
{
    const auto &words = options.words;
    const auto command = words.size() > 1 ? words[1] : std::string();
    if (command == "status" && words.size() <= 3)
        return showItems(options);
    if ((command != "in" && command != "out") || words.size() != 3)
        return badUsage(options, words[0] + " needs out NAME, in NAME or status [NAME]");
    if (!isName(words[2]))
        return badUsage(options, "\"" + words[2] + "\" is not a name");
    auto call = ApiCall{"POST", "/admin/v1/" + words[0] + "/" + words[2] + "/" + command};
    call.changeId = changeIdOf(options);
    auto body = Json::object();
    body["reason"] = options.reason;
    body["change_id"] = call.changeId;
    call.body = writeJson(body);
    return change(options, call);
}

// The revision that 'config get' wrote into the first line.
auto revisionIn(std::string_view text) -> std::optional<std::uint64_t>
{
    if (!text.starts_with(revisionComment))
        return std::nullopt;
    text.remove_prefix(revisionComment.size());
    auto revision = std::uint64_t();
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), revision);
    return status == std::errc() ? std::optional(revision) : std::nullopt;
}

auto currentText(const Json &body) -> std::string
{
    return std::string(revisionComment) + writeJson(body["revision"]) + "\n"
           + writeJson(body["configuration"], 2) + "\n";
}

auto applyConfiguration(const Options &options, const std::string &text) -> ExitCode
{
    const auto revision = options.revision ? options.revision : revisionIn(text);
    if (!revision)
        return badUsage(options, "config apply needs --revision, or a file from config get");
    auto call = ApiCall{"PUT", "/admin/v1/configuration", text};
    call.changeId = changeIdOf(options);
    call.expectedRevision = std::to_string(*revision);
    return change(options, call);
}

auto runConfigurationFile(const Options &options) -> ExitCode
{
    auto read = readFile(options.words[2]);
    if (isError(read))
        return fail(options, "usage", describe(std::get<Error>(read)), ExitCode::BadUsage);
    const auto &text = std::get<std::string>(read);
    const auto parsed = parseConfiguration(text, options.words[2]);
    if (isError(parsed))
        return fail(options, "bad_configuration", describe(std::get<Error>(parsed)),
                    ExitCode::Failure);
    if (options.words[1] == "apply")
        return applyConfiguration(options, text);
    return query(options, {"POST", "/admin/v1/configuration/diff", text},
                 [](const Json &body) { return differencesText(body["differences"]); });
}

auto runConfiguration(const Options &options) -> ExitCode
{
    const auto &words = options.words;
    const auto command = words.size() > 1 ? words[1] : std::string();
    if (command == "get" && words.size() == 2)
        return query(options, {"GET", "/admin/v1/configuration"}, currentText);
    if (command == "history" && words.size() == 2) {
        const auto path = std::string("/admin/v1/history");
        const auto reply = readPages(options, path, "changes", "revision");
        if (reply.status != 200)
            return reportFailure(options, {"GET", path}, reply);
        return printReply(options, reply.body,
                          [](const Json &body) { return historyText(body["changes"]); });
    }
    if ((command == "diff" || command == "apply") && words.size() == 3)
        return runConfigurationFile(options);
    return badUsage(options, "config needs get, history, diff FILE or apply FILE");
}

auto runStatus(const Options &options) -> ExitCode
{
    if (options.words.size() != 1)
        return badUsage(options, "status takes no further words");
    return query(options, {"GET", "/admin/v1/status"}, statusText);
}

// What the log of one instance says of the request; null if it has no line of it.
auto explainLog(const std::string &path, std::string_view content, const std::string &requestId)
        -> Json
{
    auto log = RequestLog();
    log.requestId = requestId;
    while (!content.empty()) {
        const auto end = std::min(content.find('\n'), content.size());
        takeLine(log, content.substr(0, end));
        content.remove_prefix(std::min(end + 1, content.size()));
    }
    if (log.lines.empty())
        return {};
    const auto finding = forward::diagnoseRequest(log.history);
    auto json = Json::object();
    json["log"] = path;
    json["lines"] = log.lines;
    json["place"] = toString(finding.location);
    json["where"] = finding.component;
    json["sentence"] = finding.description;
    return json;
}

auto runExplainRequest(const Options &options) -> ExitCode
{
    auto paths = std::vector<std::string>(options.words.begin() + 1, options.words.end());
    if (paths.empty())
        paths.emplace_back("-");
    auto logs = Json::array();
    for (const auto &path : paths) {
        const auto content = readFile(path);
        if (isError(content))
            return fail(options, "usage", describe(std::get<Error>(content)), ExitCode::BadUsage);
        auto log = explainLog(path, std::get<std::string>(content), options.request);
        if (!log.is_null())
            logs.push_back(std::move(log));
    }
    if (logs.empty())
        return fail(options, "not_found",
                    "not known: no line of request " + options.request
                            + "; its instance may have left the line out or been killed",
                    ExitCode::Failure);
    auto result = Json::object();
    result["request"] = options.request;
    result["logs"] = std::move(logs);
    return printReply(options, result, requestText);
}

auto escapeQuery(const std::string &text) -> std::string
{
    const auto escaped = CharactersPtr(g_uri_escape_string(text.c_str(), nullptr, FALSE));
    return escaped.get();
}

auto runExplainTarget(const Options &options) -> ExitCode
{
    if (options.words.size() != 1 || options.host.empty() || !options.target.starts_with('/'))
        return badUsage(options, "explain needs --host NAME and --target PATH");
    const auto call = ApiCall{"GET", "/explain?host=" + escapeQuery(options.host)
                                             + "&target=" + escapeQuery(options.target)};
    return query(options, call, previewText);
}

auto runExplain(const Options &options) -> ExitCode
{
    if (!options.request.empty())
        return runExplainRequest(options);
    if (!options.host.empty() || !options.target.empty())
        return runExplainTarget(options);
    if (options.words.size() != 1 || !isName(options.service))
        return badUsage(options,
                        "explain needs --service NAME, --request ID or --host and --target");
    return query(options, {"GET", "/admin/v1/explain?service=" + options.service}, explanationText);
}

auto runSettings(const Options &options) -> ExitCode
{
    const auto &words = options.words;
    if (words.size() != 3 || words[1] != "check")
        return badUsage(options, "settings needs check FILE");
    auto text = readFile(words[2]);
    if (isError(text))
        return fail(options, "usage", describe(std::get<Error>(text)), ExitCode::BadUsage);
    const auto parsed = parseSettings(std::get<std::string>(text), words[2]);
    if (isError(parsed))
        return fail(options, "bad_settings", describe(std::get<Error>(parsed)), ExitCode::BadUsage);
    auto result = Json::object();
    result["instance"] = std::get<Settings>(parsed).instance;
    return printReply(options, result, [](const Json &body) {
        return "the settings of instance " + body["instance"].get<std::string>() + " are right\n";
    });
}

struct Command
{
    std::string_view word;
    ExitCode (*run)(const Options &);
};

constexpr std::array<Command, 8> commands = {{
        {"sheet", runSheet},
        {"domain", runItem},
        {"service", runItem},
        {"instance", runItem},
        {"config", runConfiguration},
        {"status", runStatus},
        {"explain", runExplain},
        {"settings", runSettings},
}};

} // namespace

auto runCommand(const Options &options) -> ExitCode
{
    if (options.words.empty())
        return badUsage(options, "a command is needed");
    const auto found = std::ranges::find(commands, options.words[0], &Command::word);
    if (found == commands.end())
        return badUsage(options, "no command " + options.words[0]);
    return found->run(options);
}

} // namespace crocusreach::ctl

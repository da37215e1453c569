#include "adminanswers.h"

#include "base/gobject.h"
#include "core/text.h"
#include "formats/adminmessages.h"
#include "formats/configurationjson.h"
#include "formats/sheetcsv.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <optional>

namespace crocusreach {

namespace {

constexpr std::string_view bearer = "Bearer ";

auto digestOf(std::string_view text) -> std::string
{
    const auto digest = CharactersPtr(g_compute_checksum_for_data(
            G_CHECKSUM_SHA256, reinterpret_cast<const guchar *>(text.data()), text.size()));
    return digest.get();
}

// Compares every character whatever the first ones are.
auto areSameDigests(std::string_view left, std::string_view right) -> bool
{
    auto different = 0U;
    for (std::size_t index = 0; index < left.size(); ++index)
        different |= static_cast<unsigned>(left[index] ^ right[index]);
    return different == 0;
}

auto fieldOf(const QueryFields &query, std::string_view key) -> std::string_view
{
    const auto found = query.find(key);
    return found == query.end() ? std::string_view() : std::string_view(found->second);
}

// The limit of a page; null if it is wrong.
auto pageLimit(const QueryFields &query) -> std::optional<std::size_t>
{
    const auto text = fieldOf(query, "limit");
    if (text.empty())
        return defaultPage;
    const auto limit = parseNumber<std::uint64_t>(text);
    if (!limit || *limit == 0 || *limit > largestPage)
        return std::nullopt;
    return *limit;
}

auto badField(std::string_view field, std::string_view text) -> HttpAnswer
{
    const auto error = Error{Step::Administration, std::string(field), std::string(text)};
    return errorAnswer(400, "bad_request", "the request is wrong", std::span(&error, 1));
}

auto badLimit() -> HttpAnswer
{
    return badField("limit", "must be from 1 to " + std::to_string(largestPage));
}

auto badSheet(std::span<const Error> errors) -> HttpAnswer
{
    return errorAnswer(400, "bad_sheet", "the sheet is wrong; nothing was changed", errors);
}

// The line that an error of a sheet names; the count of further errors has none and comes last.
auto lineOf(const Error &error) -> std::uint64_t
{
    constexpr std::string_view prefix = "line ";
    if (!error.peer.starts_with(prefix))
        return std::numeric_limits<std::uint64_t>::max();
    return parseNumber<std::uint64_t>(std::string_view(error.peer).substr(prefix.size()))
            .value_or(0);
}

auto badConfiguration(const Error &error) -> HttpAnswer
{
    return errorAnswer(400, "bad_configuration", "the configuration is wrong; nothing was changed",
                       std::span(&error, 1));
}

} // namespace

auto authenticate(std::string_view header, std::span<const AdminToken> tokens) -> std::string
{
    if (!header.starts_with(bearer))
        return {};
    const auto given = digestOf(header.substr(bearer.size()));
    auto name = std::string();
    for (const auto &token : tokens) {
        if (areSameDigests(given, digestOf(token.token)))
            name = token.name;
    }
    return name;
}

auto errorAnswer(unsigned status, std::string_view code, std::string_view message,
                 std::span<const Error> errors) -> HttpAnswer
{
    return {status, writeError(code, message, errors)};
}

auto answerHistory(const Configuration &configuration, const QueryFields &query) -> HttpAnswer
{
    const auto limit = pageLimit(query);
    if (!limit)
        return badLimit();
    const auto afterText = fieldOf(query, "after");
    const auto after = afterText.empty() ? 0 : parseNumber<std::uint64_t>(afterText);
    if (!after)
        return badField("after", "must be a revision");
    return {200, writeHistory(configuration, Revision{*after}, *limit)};
}

auto answerItems(const Configuration &configuration, ItemKind kind, const QueryFields &query)
        -> HttpAnswer
{
    const auto limit = pageLimit(query);
    if (!limit)
        return badLimit();
    return {200, writeItems(configuration, kind, fieldOf(query, "after"), *limit)};
}

auto answerDifference(const Configuration &configuration, std::string_view body,
                      std::string_view author, WallTime now) -> HttpAnswer
{
    const auto wanted = parseConfiguration(body, "request");
    if (isError(wanted))
        return badConfiguration(std::get<Error>(wanted));
    const auto result
            = replaceConfiguration(configuration, std::get<Configuration>(wanted), author, now);
    return {200, writeDifferences(configuration.revision, difference(configuration, result))};
}

auto answerSheet(const Configuration &configuration, std::string_view body, SheetDetail detail,
                 WallTime now) -> HttpAnswer
{
    auto parsed = parseSheet(body);
    const auto &sheet = parsed.sheet;
    const auto plan = planSheet(sheet, configuration, now);
    // Errors of rows come with errors of the text, so that one correction is enough.
    if (!sheet.rows.empty())
        std::ranges::copy(plan.errors, std::back_inserter(parsed.errors));
    std::ranges::stable_sort(parsed.errors, {}, lineOf);
    if (!parsed.errors.empty())
        return badSheet(parsed.errors);
    if (detail == SheetDetail::Summary)
        return {200, writePlanSummary(plan, sheet.rows.size())};
    return {200, writePlan(plan)};
}

auto readSheetChange(std::string_view body, const QueryFields &query, const ChangeHeaders &headers,
                     std::string_view author) -> std::variant<ChangeRequest, HttpAnswer>
{
    auto parsed = parseSheet(body);
    if (!parsed.errors.empty())
        return badSheet(parsed.errors);
    return ChangeRequest{
            headers.changeId, std::string(author),
            ApplySheet{std::move(parsed.sheet), std::string(fieldOf(query, "confirm"))}};
}

auto readConfigurationChange(std::string_view body, const ChangeHeaders &headers,
                             std::string_view author) -> std::variant<ChangeRequest, HttpAnswer>
{
    const auto expected = parseNumber<std::uint64_t>(headers.expectedRevision);
    if (!expected)
        return badField("If-Match", "must be the revision that the change is based on");
    auto parsed = parseConfiguration(body, "request");
    if (isError(parsed))
        return badConfiguration(std::get<Error>(parsed));
    auto wanted = std::make_shared<const Configuration>(std::get<Configuration>(std::move(parsed)));
    return ChangeRequest{headers.changeId, std::string(author),
                         ReplaceConfiguration{std::move(wanted), Revision{*expected}}};
}

auto readStateChange(std::string_view body, ItemKind kind, std::string_view name,
                     DesiredState state, std::string_view author)
        -> std::variant<ChangeRequest, HttpAnswer>
{
    auto parsed = parseStateBody(body);
    if (const auto *error = std::get_if<Error>(&parsed))
        return errorAnswer(400, "bad_request", "the request is wrong", std::span(error, 1));
    auto &content = std::get<StateBody>(parsed);
    return ChangeRequest{content.changeId, std::string(author),
                         SetState{kind, std::string(name), state, std::move(content.reason)}};
}

} // namespace crocusreach

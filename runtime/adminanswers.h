#pragma once

#include "core/administration.h"
#include "core/configuration.h"
#include "formats/settings.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>

// Answers of the administration API that need nothing but the request and a configuration.

namespace crocusreach {

struct HttpAnswer
{
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
};

using QueryFields = std::map<std::string, std::string, std::less<>>;

// The name of the token in an Authorization header; empty if none fits. The time that it takes
// doesn't depend on how much of a token fits.
auto authenticate(std::string_view header, std::span<const AdminToken> tokens) -> std::string;

auto errorAnswer(unsigned status, std::string_view code, std::string_view message,
                 std::span<const Error> errors = {}) -> HttpAnswer;

auto answerHistory(const Configuration &configuration, const QueryFields &query) -> HttpAnswer;
auto answerItems(const Configuration &configuration, ItemKind kind, const QueryFields &query)
        -> HttpAnswer;
auto answerDifference(const Configuration &configuration, std::string_view body,
                      std::string_view author, WallTime now) -> HttpAnswer;

enum class SheetDetail : std::uint8_t { Summary, Plan };

auto answerSheet(const Configuration &configuration, std::string_view body, SheetDetail detail,
                 WallTime now) -> HttpAnswer;

// What the headers of a change say.
struct ChangeHeaders
{
    std::string changeId; // X-Change-Id
    std::string expectedRevision; // If-Match
};

// The change that a request asks for, or the answer that refuses it.
auto readSheetChange(std::string_view body, const QueryFields &query, const ChangeHeaders &headers,
                     std::string_view author) -> std::variant<ChangeRequest, HttpAnswer>;
auto readConfigurationChange(std::string_view body, const ChangeHeaders &headers,
                             std::string_view author) -> std::variant<ChangeRequest, HttpAnswer>;
auto readStateChange(std::string_view body, ItemKind kind, std::string_view name,
                     DesiredState state, std::string_view author)
        -> std::variant<ChangeRequest, HttpAnswer>;

} // namespace crocusreach

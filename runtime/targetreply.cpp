#include "targetreply.h"

#include "base/gobject.h"
#include "core/text.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace crocusreach {

namespace {

auto header(SoupMessageHeaders *headers, const char *name) -> std::string_view
{
    return viewOf(soup_message_headers_get_one(headers, name));
}

auto parseState(std::string_view text) -> TargetState
{
    if (text == "warm")
        return TargetState::Warm;
    if (text == "cold")
        return TargetState::Cold;
    if (text == "draining")
        return TargetState::Draining;
    return TargetState::Unknown;
}

auto trimmed(std::string_view text) -> std::string_view
{
    while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
    while (!text.empty() && text.back() == ' ')
        text.remove_suffix(1);
    return text;
}

auto parseVersions(std::string_view text) -> std::vector<IndexVersion>
{
    auto versions = std::vector<IndexVersion>();
    for (const auto item : splitList(text)) {
        if (const auto value = parseNumber<std::uint64_t>(trimmed(item)))
            versions.push_back(IndexVersion(*value));
    }
    return versions;
}

// Reads {"results":[{"key","score","body"}]} without building a document. Other members are
// skipped. The library fixes the names of the functions.
struct ResultReader : nlohmann::json_sax<nlohmann::json>
{
    std::vector<ResultRow> *rows = nullptr;
    std::string member;
    std::size_t depth = 0;
    bool inResults = false;
    bool found = false;
    bool valid = true;

    auto null() -> bool override { return this->scalar(false); }
    auto boolean(bool /*value*/) -> bool override { return this->scalar(false); }
    auto number_integer(number_integer_t value) -> bool override
    {
        return this->number(static_cast<double>(value));
    }
    auto number_unsigned(number_unsigned_t value) -> bool override
    {
        return this->number(static_cast<double>(value));
    }
    auto number_float(number_float_t value, const string_t & /*text*/) -> bool override
    {
        return this->number(value);
    }
    auto string(string_t &value) -> bool override
    {
        if (!this->isRowMember())
            return this->scalar(false);
        if (this->member == "key")
            this->rows->back().key = std::move(value);
        else if (this->member == "body")
            this->rows->back().body = std::move(value);
        else
            return this->scalar(this->member != "score");
        return true;
    }
    auto binary(binary_t & /*value*/) -> bool override { return false; }
    auto start_object(std::size_t /*elements*/) -> bool override
    {
        ++this->depth;
        if (this->depth == 3 && this->inResults)
            this->rows->emplace_back();
        return this->depth != 4 || !this->inResults;
    }
    auto end_object() -> bool override
    {
        --this->depth;
        return true;
    }
    auto start_array(std::size_t /*elements*/) -> bool override
    {
        ++this->depth;
        if (this->depth == 2 && this->member == "results")
            this->inResults = this->found = true;
        return true;
    }
    auto end_array() -> bool override
    {
        if (--this->depth == 1)
            this->inResults = false;
        return true;
    }
    auto key(string_t &value) -> bool override
    {
        this->member = std::move(value);
        return true;
    }
    auto parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) -> bool override
    {
        return false;
    }

    auto isRowMember() const -> bool { return this->inResults && this->depth == 3; }
    auto scalar(bool allowed) -> bool
    {
        // Key, score and body must have their types; a result must be an object.
        const auto typed
                = this->member == "key" || this->member == "score" || this->member == "body";
        if (this->inResults && (this->depth == 2 || (this->isRowMember() && typed)))
            this->valid = this->valid && allowed;
        return this->valid;
    }
    auto number(double value) -> bool
    {
        if (!this->isRowMember() || this->member != "score")
            return this->scalar(false);
        this->rows->back().score = value;
        return true;
    }
};

auto readRows(std::string_view body, std::vector<ResultRow> &rows) -> bool
{
    auto reader = ResultReader();
    reader.rows = &rows;
    const auto parsed = nlohmann::json::sax_parse(body, &reader);
    return parsed && reader.found && reader.valid;
}

auto setResult(TargetReply &reply, Outcome outcome, Reason reason) -> void
{
    reply.outcome = outcome;
    reply.reason = reason;
}

} // namespace

auto readTargetHeaders(SoupMessageHeaders *headers, TargetReply &reply) -> void
{
    reply.startId = header(headers, "X-Start-Id");
    reply.state = parseState(header(headers, "X-State"));
    reply.load = parseNumber<double>(header(headers, "X-Load")).value_or(0);
    reply.version = IndexVersion(
            parseNumber<std::uint64_t>(header(headers, "X-Index-Version")).value_or(0));
    reply.layout
            = LayoutVersion(parseNumber<std::uint32_t>(header(headers, "X-Layout")).value_or(0));
    reply.servedVersions = parseVersions(header(headers, "X-Index-Versions"));
}

auto readTargetResult(unsigned status, SoupMessageHeaders *headers, std::string_view body,
                      TargetReply &reply) -> void
{
    if (status == SOUP_STATUS_OK) {
        if (readRows(body, reply.rows))
            return setResult(reply, Outcome::Done, Reason::None);
        reply.rows.clear();
        return setResult(reply, Outcome::Done, Reason::BadReply);
    }
    if (status == SOUP_STATUS_SERVICE_UNAVAILABLE && header(headers, "X-Shed") == "1")
        return setResult(reply, Outcome::NotRun, Reason::TargetShed);
    if (status == SOUP_STATUS_SERVICE_UNAVAILABLE && reply.state == TargetState::Draining)
        return setResult(reply, Outcome::NotRun, Reason::TargetLeaving);
    if (status == SOUP_STATUS_REQUEST_TIMEOUT)
        return setResult(reply, Outcome::NotRun, Reason::TargetExpired);
    if (status == SOUP_STATUS_CONFLICT)
        return setResult(reply, Outcome::NotRun, Reason::VersionNotServed);
    setResult(reply, Outcome::Unknown, Reason::TargetError);
}

} // namespace crocusreach

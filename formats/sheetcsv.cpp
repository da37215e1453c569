#include "sheetcsv.h"

#include "core/text.h"
#include "jsonreader.h"
#include "timetext.h"

#include <algorithm>
#include <array>
#include <optional>
#include <span>

namespace crocusreach {

namespace {

constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";
constexpr std::size_t columnCount = 4;
constexpr std::array<std::string_view, columnCount> columnNames
        = {"kind", "name", "state", "reason"};
constexpr std::size_t maxNameLength = 64;
constexpr std::size_t longestReason = 200;

struct Record
{
    std::size_t line = 0; // of its first character
    std::vector<std::string> fields;
};

struct SheetErrors
{
    std::vector<Error> list;
    std::size_t omitted = 0;
};

auto addError(SheetErrors &errors, std::size_t line, std::string text) -> void
{
    if (errors.list.size() >= reportedSheetErrors) {
        ++errors.omitted;
        return;
    }
    errors.list.push_back({Step::Sheet, "line " + std::to_string(line), std::move(text)});
}

// What is left of the text, with the line that it starts in.
struct Cursor
{
    std::string_view rest;
    std::size_t line = 1;
};

// Takes a line end off the front, if there is one.
auto takeLineEnd(Cursor &cursor) -> bool
{
    for (const auto *end : {"\r\n", "\n"}) {
        if (cursor.rest.starts_with(end)) {
            cursor.rest.remove_prefix(std::string_view(end).size());
            ++cursor.line;
            return true;
        }
    }
    return false;
}

auto takeBlanks(Cursor &cursor) -> void
{
    while (!cursor.rest.empty() && (cursor.rest.front() == ' ' || cursor.rest.front() == '\t'))
        cursor.rest.remove_prefix(1);
}

// Takes the rest of a quoted field, after its opening quote.
auto takeQuoted(Cursor &cursor, SheetErrors &errors) -> std::string
{
    const auto firstLine = cursor.line;
    auto field = std::string();
    while (!cursor.rest.empty()) {
        const auto c = cursor.rest.front();
        cursor.rest.remove_prefix(1);
        if (c == '"' && !cursor.rest.starts_with('"'))
            return field;
        if (c == '"')
            cursor.rest.remove_prefix(1);
        if (c == '\n')
            ++cursor.line;
        field += c;
    }
    addError(errors, firstLine, "a quote isn't closed; the sheet may be truncated");
    return field;
}

auto takePlain(Cursor &cursor) -> std::string
{
    const auto end = std::min(cursor.rest.find_first_of(",\n"), cursor.rest.size());
    auto field = std::string(cursor.rest.substr(0, end));
    // The carriage return of a line end isn't part of the field.
    const auto isLineEnd = end < cursor.rest.size() && cursor.rest[end] == '\n';
    cursor.rest.remove_prefix(end);
    if (isLineEnd && field.ends_with('\r'))
        field.pop_back();
    while (field.ends_with(' ') || field.ends_with('\t'))
        field.pop_back();
    return field;
}

auto takeField(Cursor &cursor, SheetErrors &errors) -> std::string
{
    takeBlanks(cursor);
    if (!cursor.rest.starts_with('"'))
        return takePlain(cursor);
    const auto line = cursor.line;
    cursor.rest.remove_prefix(1);
    auto field = takeQuoted(cursor, errors);
    if (!takePlain(cursor).empty())
        addError(errors, line, "text after a closing quote");
    return field;
}

auto takeRecord(Cursor &cursor, SheetErrors &errors) -> Record
{
    auto record = Record{cursor.line, {}};
    record.fields.push_back(takeField(cursor, errors));
    while (cursor.rest.starts_with(',')) {
        cursor.rest.remove_prefix(1);
        record.fields.push_back(takeField(cursor, errors));
    }
    if (!takeLineEnd(cursor))
        addError(errors, record.line, "the last line has no line end; the sheet may be truncated");
    return record;
}

auto isEmpty(const Record &record) -> bool
{
    return record.fields.size() == 1 && record.fields.front().empty();
}

auto splitRecords(std::string_view text, SheetErrors &errors) -> std::vector<Record>
{
    if (text.starts_with(byteOrderMark))
        text.remove_prefix(byteOrderMark.size());
    auto cursor = Cursor{text, 1};
    auto records = std::vector<Record>();
    while (!cursor.rest.empty()) {
        auto record = takeRecord(cursor, errors);
        if (!isEmpty(record))
            records.push_back(std::move(record));
    }
    return records;
}

auto isUtf8(const std::string &text) -> bool
{
    try {
        Json(text).dump();
        return true;
    } catch (const Json::exception &) {
        return false;
    }
}

// Checks what goes into logs and the store as it is.
auto checkText(const Record &record, std::string_view what, const std::string &text,
               std::size_t longest, SheetErrors &errors) -> void
{
    const auto isControl = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
    if (text.size() > longest) {
        addError(errors, record.line,
                 std::string(what) + " is longer than " + std::to_string(longest) + " bytes");
    }
    if (!isUtf8(text) || std::ranges::any_of(text, isControl))
        addError(errors, record.line, std::string(what) + " has control characters or isn't UTF-8");
}

auto checkFieldCount(const Record &record, SheetErrors &errors) -> bool
{
    if (record.fields.size() == columnCount)
        return true;
    addError(errors, record.line,
             "has " + std::to_string(record.fields.size()) + " fields, not "
                     + std::to_string(columnCount));
    return false;
}

// Reads the header and returns the number of rows that it declares.
auto readHeader(const Record &record, Sheet &sheet, SheetErrors &errors)
        -> std::optional<std::size_t>
{
    if (record.fields.front() != "sheet") {
        addError(errors, record.line, "must be \"sheet,<exported-at>,<author>,<rows>\"");
        return std::nullopt;
    }
    if (!checkFieldCount(record, errors))
        return std::nullopt;
    const auto time = parseTime(record.fields[1]);
    if (!time)
        addError(errors, record.line, "the export time must be like 2026-12-04T06:30:00Z");
    sheet.exportedAt = time.value_or(WallTime());
    sheet.author = record.fields[2];
    if (sheet.author.empty())
        addError(errors, record.line, "the author is empty");
    checkText(record, "the author", sheet.author, maxNameLength, errors);
    const auto count = parseNumber<std::size_t>(record.fields[3]);
    if (!count)
        addError(errors, record.line, "the number of rows must be a whole number");
    return count;
}

auto readColumns(const Record &record, SheetErrors &errors) -> void
{
    if (!std::ranges::equal(record.fields, columnNames))
        addError(errors, record.line, "must be \"kind,name,state,reason\"");
}

auto parseKind(std::string_view text) -> std::optional<ItemKind>
{
    for (const auto kind : {ItemKind::Domain, ItemKind::Service, ItemKind::Instance}) {
        if (text == toString(kind))
            return kind;
    }
    return std::nullopt;
}

auto readRow(const Record &record, Sheet &sheet, SheetErrors &errors) -> void
{
    const auto errorsBefore = errors.list.size() + errors.omitted;
    if (!checkFieldCount(record, errors))
        return;
    const auto kind = parseKind(record.fields[0]);
    if (!kind)
        addError(errors, record.line, "the kind must be domain, service or instance");
    const auto &state = record.fields[2];
    if (state != "in" && state != "out")
        addError(errors, record.line, "the state must be in or out");
    if (record.fields[1].empty())
        addError(errors, record.line, "the name is empty");
    checkText(record, "the name", record.fields[1], maxNameLength, errors);
    checkText(record, "the reason", record.fields[3], longestReason, errors);
    if (errors.list.size() + errors.omitted > errorsBefore)
        return;
    sheet.rows.push_back({record.line, *kind, record.fields[1],
                          state == "out" ? DesiredState::Out : DesiredState::In, record.fields[3]});
}

auto checkRowCount(const Record &header, std::size_t declared, std::size_t found,
                   SheetErrors &errors) -> void
{
    if (declared == found)
        return;
    addError(errors, header.line,
             "the header declares " + std::to_string(declared) + " rows but "
                     + std::to_string(found) + " follow; the sheet may be truncated");
}

auto readRecords(std::span<const Record> records, SheetErrors &errors) -> Sheet
{
    auto sheet = Sheet();
    if (records.empty()) {
        addError(errors, 1, "the sheet is empty");
        return sheet;
    }
    const auto declared = readHeader(records.front(), sheet, errors);
    if (records.size() < 2) {
        addError(errors, records.front().line,
                 "the column row \"kind,name,state,reason\" is missing");
        return sheet;
    }
    readColumns(records[1], errors);
    const auto rows = records.subspan(2);
    for (const auto &record : rows)
        readRow(record, sheet, errors);
    if (declared)
        checkRowCount(records.front(), *declared, rows.size(), errors);
    if (rows.empty())
        addError(errors, records[1].line, "the sheet has no rows");
    return sheet;
}

} // namespace

auto parseSheet(std::string_view text) -> ParsedSheet
{
    auto errors = SheetErrors();
    const auto records = splitRecords(text, errors);
    auto sheet = readRecords(records, errors);
    if (errors.omitted > 0) {
        errors.list.push_back(
                {Step::Sheet, "sheet", "and " + std::to_string(errors.omitted) + " more errors"});
    }
    return {std::move(sheet), std::move(errors.list)};
}

} // namespace crocusreach

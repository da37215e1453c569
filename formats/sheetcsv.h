#pragma once

#include "core/sheet.h"
#include "core/types.h"

#include <string_view>
#include <variant>
#include <vector>

// The sheet as CSV: a header row "sheet,<exported-at>,<author>,<rows>", a column row
// "kind,name,state,reason", and the rows that the header counts.

namespace crocusreach {

// More errors than this are counted in a last one.
constexpr std::size_t reportedSheetErrors = 100;

// Accepts a byte-order mark, LF or CRLF, quoted fields, blanks around fields and empty lines. Every
// error has Step::Sheet and "line N" as peer. A last line without its line end, or another number
// of rows than the header says, counts as truncated.
auto parseSheet(std::string_view text) -> std::variant<Sheet, std::vector<Error>>;

} // namespace crocusreach

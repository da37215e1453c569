#pragma once

#include "core/sheet.h"
#include "core/types.h"

#include <string_view>
#include <vector>

// The sheet as CSV: a header row "sheet,<exported-at>,<author>,<rows>", a column row
// "kind,name,state,reason", and the rows that the header counts.

namespace crocusreach {

// More errors than this are counted in a last one.
constexpr std::size_t reportedSheetErrors = 100;

// A sheet may be applied only if there are no errors. With errors it has the rows that are right,
// so that these can be checked too.
struct ParsedSheet
{
    Sheet sheet;
    std::vector<Error> errors; // Step::Sheet, "line N" as peer
};

// Accepts a byte-order mark, LF or CRLF, quoted fields, blanks around fields and empty lines. A
// last line without its line end, or another number of rows than the header says, counts as
// truncated.
auto parseSheet(std::string_view text) -> ParsedSheet;

} // namespace crocusreach

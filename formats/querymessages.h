#pragma once

#include "core/claims.h"
#include "core/query.h"
#include "core/types.h"

#include <string>
#include <string_view>

// The callers' requests and answers as JSON (docs/protocols.md).

namespace crocusreach {

constexpr std::uint32_t mostRows = 1000; // in one answer

// Parses the body of a query. The query id is left at 0. On failure the error has Step::Accept and
// names every fault with its field.
auto parseQuery(std::string_view body, std::string_view service) -> Result<QueryArrived>;

// Writes an answer. Results that aren't valid UTF-8 have the invalid bytes replaced by U+FFFD.
auto writeAnswer(const QueryAnswer &answer) -> std::string;

// 200, 400, 404, 503 or 504.
auto httpStatus(const QueryAnswer &answer) -> unsigned;

} // namespace crocusreach

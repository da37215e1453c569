#pragma once

#include "core/types.h"

#include <optional>
#include <string>
#include <string_view>

// Wall-clock times as text in UTC, for example "2026-12-04T06:30:00.000Z".

namespace crocusreach {

auto writeTime(WallTime time) -> std::string;

// Accepts seconds with up to three decimals or none, and "Z" or an offset like "+05:30". Null if
// the text is anything else or names a date that doesn't exist.
auto parseTime(std::string_view text) -> std::optional<WallTime>;

} // namespace crocusreach

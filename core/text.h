#pragma once

#include "types.h"

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Text functions that settings, headers and logs share.

namespace crocusreach {

// The items between commas, empty ones included. A comma at the end adds none.
auto splitList(std::string_view list) -> std::vector<std::string_view>;

// Parses a number that takes up the whole text; nothing if it is malformed or out of the
// type's range.
template <typename Number>
auto parseNumber(std::string_view text) -> std::optional<Number>
{
    auto value = Number();
    const auto *const end = text.data() + text.size();
    const auto [stopped, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stopped != end)
        return {};
    return value;
}

// Whole milliseconds, without the unit.
auto millisecondsText(Duration duration) -> std::string;

} // namespace crocusreach

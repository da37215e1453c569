#pragma once

#include <cstdint>
#include <string>

namespace crocusreach::tests {

// A text and a number. g++ 12 warns falsely of overlapping copies if `text +
// std::to_string(number)` is inlined in a Release build.
inline auto numbered(const char *text, std::uint64_t number) -> std::string
{
    return std::string(text).append(std::to_string(number));
}

} // namespace crocusreach::tests

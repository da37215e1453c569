#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

// Merge of the parts of an answer: records of fixed size, compared byte by byte.

namespace crocusreach::forward {

constexpr std::size_t recordBytes = 16;

// The greatest records of all parts, greatest first; equal records all count. A remainder of a part
// that is shorter than a record is left out.
auto mergeTopRecords(std::span<const std::string_view> parts, std::size_t count) -> std::string;

} // namespace crocusreach::forward

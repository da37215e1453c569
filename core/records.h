#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

// Merges the parts of an answer, which consist of records of fixed size, compared byte by byte.

namespace crocusreach::forward {

constexpr std::size_t recordBytes = 16;

// The greatest records of all parts in descending order. Equal records are all kept. An incomplete
// record at the end of a part is ignored.
auto mergeTopRecords(std::span<const std::string_view> parts, std::size_t count) -> std::string;

} // namespace crocusreach::forward

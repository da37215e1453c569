#include "records.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace crocusreach::forward {

auto mergeTopRecords(std::span<const std::string_view> parts, std::size_t count) -> std::string
{
    auto records = std::vector<std::string_view>();
    for (const auto part : parts) {
        for (std::size_t start = 0; start + recordBytes <= part.size(); start += recordBytes)
            records.push_back(part.substr(start, recordBytes));
    }
    // String views compare as unsigned bytes.
    const auto kept = std::min(count, records.size());
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept),
                      records.end(), std::greater<>());
    auto merged = std::string();
    merged.reserve(kept * recordBytes);
    for (std::size_t index = 0; index < kept; ++index)
        merged += records[index];
    return merged;
}

} // namespace crocusreach::forward

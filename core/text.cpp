#include "text.h"

#include <algorithm>

namespace crocusreach {

auto splitList(std::string_view list) -> std::vector<std::string_view>
{
    auto items = std::vector<std::string_view>();
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        items.push_back(list.substr(0, comma));
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return items;
}

auto millisecondsText(Duration duration) -> std::string
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace crocusreach

#include "connectionend.h"

#include <algorithm>
#include <array>

namespace crocusreach {

namespace {

constexpr auto names = std::to_array<std::string_view>(
        {"open", "closed", "refused", "reset", "timed_out", "unreachable", "failed"});
static_assert(names.size() == static_cast<std::size_t>(ConnectionEnd::Count));

} // namespace

auto toString(ConnectionEnd end) -> std::string_view
{
    return names.at(static_cast<std::size_t>(end));
}

auto connectionEndFromString(std::string_view name) -> std::optional<ConnectionEnd>
{
    const auto *const found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return {};
    return static_cast<ConnectionEnd>(found - names.begin());
}

} // namespace crocusreach

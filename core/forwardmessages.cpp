#include "forwardmessages.h"

#include <array>

namespace crocusreach::forward {

auto toString(CallEnd end) -> std::string_view
{
    static constexpr auto names = std::to_array<std::string_view>(
            {"complete", "partial", "leaf_failure", "no_routes", "no_route", "no_leaf",
             "overloaded", "too_few_shards", "budget_exhausted", "may_have_run", "timed_out",
             "caller_left", "stopping"});
    static_assert(names.size() == static_cast<std::size_t>(CallEnd::Count));
    return names.at(static_cast<std::size_t>(end));
}

} // namespace crocusreach::forward

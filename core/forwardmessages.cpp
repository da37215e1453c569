#include "forwardmessages.h"

#include <array>

namespace crocusreach::forward {

auto toString(CallEnd end) -> std::string_view
{
    static constexpr auto names = std::to_array<std::string_view>(
            {"complete", "partial", "leaf_failure", "no_routes", "no_route", "no_leaf",
             "overloaded", "too_few_shards", "budget_exhausted", "may_have_run", "timed_out",
             "caller_left", "stopping", "cut_off", "silent_leafs"});
    static_assert(names.size() == static_cast<std::size_t>(CallEnd::Count));
    return names.at(static_cast<std::size_t>(end));
}

auto toString(RepeatReason reason) -> std::string_view
{
    static constexpr auto names = std::to_array<std::string_view>(
            {"slow", "not_run", "other_leaf", "failure", "lost", "invalid", "not_sent"});
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace crocusreach::forward

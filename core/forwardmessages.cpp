#include "forwardmessages.h"

#include <algorithm>
#include <array>
#include <span>

namespace crocusreach::forward {

namespace {

constexpr auto callEndNames = std::to_array<std::string_view>(
        {"complete",    "partial",     "leaf_failure",   "no_routes",        "no_route",
         "no_leaf",     "overloaded",  "too_few_shards", "budget_exhausted", "may_have_run",
         "timed_out",   "caller_left", "stopping",       "cut_off",          "silent_leafs",
         "unknown_key", "over_quota",  "quota_unknown",  "key_unconfirmed",  "no_capacity"});
static_assert(callEndNames.size() == static_cast<std::size_t>(CallEnd::Count));

constexpr auto retryReasonNames = std::to_array<std::string_view>(
        {"slow", "not_run", "other_leaf", "failure", "lost", "invalid", "not_sent"});
static_assert(retryReasonNames.size() == static_cast<std::size_t>(RetryReason::Count));

template <typename Value>
auto valueOf(std::span<const std::string_view> names, std::string_view name) -> std::optional<Value>
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return {};
    return static_cast<Value>(found - names.begin());
}

} // namespace

auto toString(CallEnd end) -> std::string_view
{
    return callEndNames.at(static_cast<std::size_t>(end));
}

auto callEndFromString(std::string_view name) -> std::optional<CallEnd>
{
    return valueOf<CallEnd>(callEndNames, name);
}

auto toString(RetryReason reason) -> std::string_view
{
    return retryReasonNames.at(static_cast<std::size_t>(reason));
}

auto retryReasonFromString(std::string_view name) -> std::optional<RetryReason>
{
    return valueOf<RetryReason>(retryReasonNames, name);
}

} // namespace crocusreach::forward

#include "invariants.h"

#include <cstdio>
#include <cstdlib>

namespace crocusreach {

namespace {

constexpr auto invariantCount = static_cast<std::size_t>(Invariant::Count);

constexpr std::array<std::string_view, invariantCount> invariantNames = {
        "one_snapshot_per_answer",
        "coverage_is_true",
        "cold_limit",
        "no_work_to_failure_domain_out",
        "answer_belongs_to_query",
        "not_run_is_provable",
        "at_most_once",
        "no_work_to_leaving_target",
        "nothing_open_at_stop",
        "revision_never_falls",
        "slot_limit",
        "connection_limit",
        "shares_within_leaf",
        "one_holder_per_share",
        "query_ends_by_deadline",
        "no_dispatch_without_lease",
        "queue_bounded",
};

auto abortOnViolation(Invariant invariant, std::string_view detail) -> void
{
    const auto name = toString(invariant);
    std::fprintf(stderr, "invariant violated: %.*s: %.*s\n", static_cast<int>(name.size()),
                 name.data(), static_cast<int>(detail.size()), detail.data());
    std::abort();
}

std::array<std::atomic<std::uint64_t>, invariantCount> counts = {};
std::atomic<ViolationHandler> currentHandler = &abortOnViolation;

} // namespace

auto toString(Invariant invariant) -> std::string_view
{
    const auto index = static_cast<std::size_t>(invariant);
    return index < invariantNames.size() ? invariantNames[index] : "invalid";
}

auto setViolationHandler(ViolationHandler handler) -> ViolationHandler
{
    return currentHandler.exchange(handler);
}

auto reportViolation(Invariant invariant, std::string_view detail) -> void
{
    counts[static_cast<std::size_t>(invariant)].fetch_add(1, std::memory_order_relaxed);
    currentHandler.load()(invariant, detail);
}

auto violationCount(Invariant invariant) -> std::uint64_t
{
    return counts[static_cast<std::size_t>(invariant)].load(std::memory_order_relaxed);
}

} // namespace crocusreach

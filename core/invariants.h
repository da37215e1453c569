#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

// Invariants that the program checks while it runs, also in the shipped build.

namespace crocusreach {

enum class Invariant : std::uint8_t {
    OneSnapshotPerAnswer,
    CoverageIsTrue,
    ColdLimit,
    NoWorkToFailureDomainOut,
    AnswerBelongsToQuery,
    NotRunIsProvable,
    AtMostOnce,
    NoWorkToLeavingTarget,
    NothingOpenAtStop,
    RevisionNeverFalls,
    SlotLimit,
    ConnectionLimit,
    SharesWithinLeaf,
    OneHolderPerShare,
    QueryEndsByDeadline,
    NoDispatchWithoutLease,
    QueueBounded,
    Count
};

auto toString(Invariant invariant) -> std::string_view;

// Called for each violation, after it is counted. The detail is a short text without personal data.
using ViolationHandler = void (*)(Invariant invariant, std::string_view detail);

// Replaces the handler of the process. The default one prints to standard error and aborts; the
// shipped instance installs one that logs the violation and continues. Returns the former handler.
auto setViolationHandler(ViolationHandler handler) -> ViolationHandler;

// Counts and reports a violation.
auto reportViolation(Invariant invariant, std::string_view detail) -> void;

// Violations since the start of the process.
auto violationCount(Invariant invariant) -> std::uint64_t;

// Reports a violation if the condition is false. Returns the condition.
inline auto check(bool condition, Invariant invariant, std::string_view detail) -> bool
{
    if (!condition) [[unlikely]]
        reportViolation(invariant, detail);
    return condition;
}

} // namespace crocusreach

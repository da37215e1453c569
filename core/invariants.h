#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

// Invariants asserted inside the program. They stay on in the shipped build.

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

// Called on each violation, after it is counted. The detail is a short text without personal data.
using ViolationHandler = void (*)(Invariant invariant, std::string_view detail);

// Replaces the handler of the process. The default prints to standard error and aborts; the
// shipped instance installs one that logs and goes on. Returns the former handler.
auto setViolationHandler(ViolationHandler handler) -> ViolationHandler;

// Counts and reports a violation.
auto reportViolation(Invariant invariant, std::string_view detail) -> void;

// Violations since the start of the process.
auto violationCount(Invariant invariant) -> std::uint64_t;

// Reports a violation unless the condition holds. Returns the condition.
inline auto check(bool condition, Invariant invariant, std::string_view detail) -> bool
{
    if (!condition) [[unlikely]]
        reportViolation(invariant, detail);
    return condition;
}

} // namespace crocusreach

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

// Whether a service's new version is worse than the one in use, from the counts of all instances.

namespace crocusreach::forward {

struct EvidenceCounts
{
    std::uint64_t ended = 0; // sends that ran or may have run
    std::uint64_t failed = 0; // of these
    std::uint64_t timed = 0; // of these, those whose latency counts: not of cold leafs
    std::uint64_t slow = 0; // of these
};

// Counts of one route's sends to one leaf of the target version, or to all leafs of other versions.
struct EvidenceRow
{
    std::string route;
    std::string leaf; // of the target version; empty: the other versions
    EvidenceCounts counts;
};

// An answer that takes this many times the route's typical latency is slow. The work of fewer than
// one request in fifty varies that much by itself.
constexpr double slowLatencyFactor = 2.5;

enum class BadKind : std::uint8_t { Failures, Slow };

// The counts that show a version to be bad.
struct BadEvidence
{
    BadKind kind = BadKind::Failures;
    std::string route; // empty: all routes together
    std::uint64_t targetBad = 0;
    std::uint64_t targetTotal = 0;
    std::uint64_t oldBad = 0;
    std::uint64_t oldTotal = 0;
};

// Adds a row's counts to the row of the same route and leaf.
auto addRow(std::vector<EvidenceRow> &rows, const EvidenceRow &added) -> void;

// Absent if the counts don't show that the target version is bad. If trouble of a single leaf
// explains them as well, the version isn't bad; the number of the version's leafs tells whether
// there are others.
auto findBadEvidence(std::span<const EvidenceRow> rows, std::size_t targetLeafs)
        -> std::optional<BadEvidence>;

// Likewise when the version would be judged to be good: less evidence is needed, since this is
// looked at once, not all the time.
auto findLateEvidence(std::span<const EvidenceRow> rows, std::size_t targetLeafs)
        -> std::optional<BadEvidence>;

// Likewise if there isn't enough evidence for that: whether a version of which one answer in ten
// fails explains the counts better than one that is as good as the old version.
auto findLikelyEvidence(std::span<const EvidenceRow> rows, std::size_t targetLeafs)
        -> std::optional<BadEvidence>;

// True if the late evidence would almost certainly show a target version of which one answer in ten
// fails, or one in five is slow.
auto hasEnoughEvidence(std::span<const EvidenceRow> rows) -> bool;

// Probability of at least this many bad ones of all bad answers on the target's side, if its share
// of the bad answers is that of all answers (binomial, exact).
auto chanceOfExcess(std::uint64_t targetBad, std::uint64_t targetTotal, std::uint64_t oldBad,
                    std::uint64_t oldTotal) -> double;

} // namespace crocusreach::forward

#include "rolloutevidence.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace crocusreach::forward {

namespace {

// An order is judged up to about a thousand times for each of a few routes, by failures and by
// latency. Most looks see the same counts, so that at this chance for one of them fewer than one
// good version in a thousand is found bad.
constexpr double falseAlarmOfOneLook = 1e-6;
// For the look that decides on the switch, on which a version that is bad in a smaller part
// depends.
constexpr double falseAlarmOfLastLook = 1e-4;
// During the order, a fault of the version must explain the counts this many times better than
// trouble of one leaf. A likelihood ratio exceeds this bound at any of the looks, if the leaf alone
// is in trouble, with a probability of about its inverse.
constexpr double leafOddsOfOneLook = 1e4;
// For the look that decides on the switch.
constexpr double leafOddsOfLastLook = 10;
// With many answers, differences become significant that don't matter, such as those between leafs
// of near and far failure domains. Least differences of the shares:
constexpr double leastFailureExcess = 0.01;
constexpr double leastSlowExcess = 0.05;
constexpr double leastShareRatio = 2;
// A version of which this share of the answers is bad must not go unnoticed.
constexpr double detectedFailureShare = 0.1;
constexpr double detectedSlowShare = 0.2;
// With a greater probability to miss such a version, the evidence is too little for the test.
constexpr double missOfLastLook = 1e-3;

// When the counts show a fault of the version.
struct Strictness
{
    double falseAlarm = 0;
    double leafOdds = 1;
};

constexpr auto firstLooks = Strictness{falseAlarmOfOneLook, leafOddsOfOneLook};
constexpr auto lastLook = Strictness{falseAlarmOfLastLook, leafOddsOfLastLook};
// With little evidence, the better explanation decides.
constexpr auto likelyLook = Strictness{falseAlarmOfLastLook, 1};

struct Sample
{
    std::uint64_t targetBad = 0;
    std::uint64_t targetTotal = 0;
    std::uint64_t oldBad = 0;
    std::uint64_t oldTotal = 0;
};

auto badOf(const EvidenceCounts &counts, BadKind kind) -> std::uint64_t
{
    return kind == BadKind::Failures ? counts.failed : counts.slow;
}

auto totalOf(const EvidenceCounts &counts, BadKind kind) -> std::uint64_t
{
    return kind == BadKind::Failures ? counts.ended : counts.timed;
}

// Of one route, or of all if it is empty, without one of the target's leafs if it is named.
auto sample(std::span<const EvidenceRow> rows, BadKind kind, const std::string &route,
            const std::string &leftOutLeaf) -> Sample
{
    auto sum = Sample();
    for (const auto &row : rows) {
        if (!route.empty() && row.route != route)
            continue;
        if (row.leaf.empty()) {
            sum.oldBad += badOf(row.counts, kind);
            sum.oldTotal += totalOf(row.counts, kind);
        } else if (row.leaf != leftOutLeaf) {
            sum.targetBad += badOf(row.counts, kind);
            sum.targetTotal += totalOf(row.counts, kind);
        }
    }
    return sum;
}

auto shareOf(std::uint64_t bad, std::uint64_t total) -> double
{
    return total == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(total);
}

auto isWorse(const Sample &sum, BadKind kind, double falseAlarm) -> bool
{
    const auto target = shareOf(sum.targetBad, sum.targetTotal);
    const auto old = shareOf(sum.oldBad, sum.oldTotal);
    const auto excess = kind == BadKind::Failures ? leastFailureExcess : leastSlowExcess;
    if (target < old + excess || target < leastShareRatio * old)
        return false;
    return chanceOfExcess(sum.targetBad, sum.targetTotal, sum.oldBad, sum.oldTotal) < falseAlarm;
}

auto logBinomial(std::uint64_t total, std::uint64_t chosen) -> double
{
    const auto logFactorial
            = [](std::uint64_t number) { return std::lgamma(static_cast<double>(number) + 1); };
    return logFactorial(total) - logFactorial(chosen) - logFactorial(total - chosen);
}

auto logLikelihood(std::uint64_t bad, std::uint64_t total, double badShare) -> double
{
    const auto term = [](std::uint64_t count, double share) {
        return count == 0 ? 0 : static_cast<double>(count) * std::log(share);
    };
    return term(bad, badShare) + term(total - bad, 1 - badShare);
}

// With the share that explains the counts best.
auto bestLogLikelihood(std::uint64_t bad, std::uint64_t total) -> double
{
    return logLikelihood(bad, total, shareOf(bad, total));
}

// Of the target version.
auto leafsOf(std::span<const EvidenceRow> rows) -> std::set<std::string>
{
    auto leafs = std::set<std::string>();
    for (const auto &row : rows) {
        if (!row.leaf.empty())
            leafs.insert(row.leaf);
    }
    return leafs;
}

// How many times better a fault of the version explains the bad answers than trouble of one of its
// leafs, of which the others answer as the old version does. Logarithm.
auto logOddsAgainstLeaf(const Sample &sum, const Sample &others) -> double
{
    const auto ofVersion = bestLogLikelihood(sum.targetBad, sum.targetTotal)
                           + bestLogLikelihood(sum.oldBad, sum.oldTotal);
    const auto ofLeaf = bestLogLikelihood(sum.targetBad - others.targetBad,
                                          sum.targetTotal - others.targetTotal)
                        + bestLogLikelihood(others.targetBad + others.oldBad,
                                            others.targetTotal + others.oldTotal);
    return ofVersion - ofLeaf;
}

// True if no single leaf's trouble explains the route's bad answers, or if the other leafs are
// worse by themselves. A leaf is in trouble on all routes, which have more evidence than one of
// them: by one route's evidence alone, 10 of 5,000 good versions with such a leaf were rolled back,
// and 1 with both.
auto isVersionsFault(std::span<const EvidenceRow> rows, BadKind kind, const std::string &route,
                     const Strictness &strictness) -> bool
{
    const auto leastOdds = std::log(strictness.leafOdds);
    const auto onRoute = sample(rows, kind, route, {});
    const auto onAll = sample(rows, kind, {}, {});
    const auto leafs = leafsOf(rows);
    return std::all_of(leafs.begin(), leafs.end(), [&](const std::string &leaf) {
        const auto others = sample(rows, kind, route, leaf);
        if (isWorse(others, kind, strictness.falseAlarm))
            return true;
        return logOddsAgainstLeaf(onRoute, others) >= leastOdds
               && (route.empty()
                   || logOddsAgainstLeaf(onAll, sample(rows, kind, {}, leaf)) >= leastOdds);
    });
}

auto makeEvidence(BadKind kind, const std::string &route, const Sample &sum) -> BadEvidence
{
    return {kind, route, sum.targetBad, sum.targetTotal, sum.oldBad, sum.oldTotal};
}

auto find(std::span<const EvidenceRow> rows, std::size_t targetLeafs, const Strictness &strictness)
        -> std::optional<BadEvidence>
{
    auto routes = std::set<std::string>{{}};
    for (const auto &row : rows)
        routes.insert(row.route);
    for (const auto kind : {BadKind::Failures, BadKind::Slow}) {
        for (const auto &route : routes) {
            const auto sum = sample(rows, kind, route, {});
            if (isWorse(sum, kind, strictness.falseAlarm)
                && (targetLeafs <= 1 || isVersionsFault(rows, kind, route, strictness)))
                return makeEvidence(kind, route, sum);
        }
    }
    return {};
}

// The least share of bad answers that the version must not go unnoticed with. Where the old version
// has nearly as many, this is no fault of the new one.
auto detectedShare(const Sample &sum, BadKind kind) -> double
{
    const auto detected = kind == BadKind::Failures ? detectedFailureShare : detectedSlowShare;
    return std::min(1.0, std::max(detected, leastShareRatio * shareOf(sum.oldBad, sum.oldTotal)));
}

// Probability of fewer bad ones than a number, of all answers, at a share of bad ones.
auto chanceOfFewer(std::uint64_t number, std::uint64_t total, double badShare) -> double
{
    auto chance = 0.0;
    for (auto bad = std::uint64_t(0); bad < std::min(number, total + 1); ++bad)
        chance += std::exp(logBinomial(total, bad) + logLikelihood(bad, total, badShare));
    return chance;
}

// Whether the look that decides on the switch finds a version that must not go unnoticed.
auto hasEnough(const Sample &sum, BadKind kind) -> bool
{
    if (sum.targetTotal == 0 || sum.oldTotal == 0)
        return false;
    auto found = sum;
    for (found.targetBad = 1; found.targetBad <= found.targetTotal; ++found.targetBad) {
        if (isWorse(found, kind, falseAlarmOfLastLook))
            return chanceOfFewer(found.targetBad, found.targetTotal, detectedShare(sum, kind))
                   < missOfLastLook;
    }
    return false;
}

} // namespace

auto addRow(std::vector<EvidenceRow> &rows, const EvidenceRow &added) -> void
{
    const auto found = std::find_if(rows.begin(), rows.end(), [&](const EvidenceRow &row) {
        return row.route == added.route && row.leaf == added.leaf;
    });
    if (found == rows.end()) {
        rows.push_back(added);
        return;
    }
    found->counts.ended += added.counts.ended;
    found->counts.failed += added.counts.failed;
    found->counts.timed += added.counts.timed;
    found->counts.slow += added.counts.slow;
}

auto findBadEvidence(std::span<const EvidenceRow> rows, std::size_t targetLeafs)
        -> std::optional<BadEvidence>
{
    return find(rows, targetLeafs, firstLooks);
}

auto findLateEvidence(std::span<const EvidenceRow> rows, std::size_t targetLeafs)
        -> std::optional<BadEvidence>
{
    return find(rows, targetLeafs, lastLook);
}

auto findLikelyEvidence(std::span<const EvidenceRow> rows, std::size_t targetLeafs)
        -> std::optional<BadEvidence>
{
    constexpr auto kind = BadKind::Failures;
    const auto sum = sample(rows, kind, {}, {});
    if (sum.targetBad == 0)
        return {};
    const auto share = std::max(detectedShare(sum, kind), shareOf(sum.targetBad, sum.targetTotal));
    const auto ifBad = logLikelihood(sum.targetBad, sum.targetTotal, share)
                       + bestLogLikelihood(sum.oldBad, sum.oldTotal);
    const auto ifGood
            = bestLogLikelihood(sum.targetBad + sum.oldBad, sum.targetTotal + sum.oldTotal);
    if (ifBad <= ifGood || (targetLeafs > 1 && !isVersionsFault(rows, kind, {}, likelyLook)))
        return {};
    return makeEvidence(kind, {}, sum);
}

auto hasEnoughEvidence(std::span<const EvidenceRow> rows) -> bool
{
    return hasEnough(sample(rows, BadKind::Failures, {}, {}), BadKind::Failures)
           && hasEnough(sample(rows, BadKind::Slow, {}, {}), BadKind::Slow);
}

auto chanceOfExcess(std::uint64_t targetBad, std::uint64_t targetTotal, std::uint64_t oldBad,
                    std::uint64_t oldTotal) -> double
{
    const auto all = targetTotal + oldTotal;
    if (targetBad == 0 || oldTotal == 0 || targetTotal == 0)
        return 1;
    const auto share = static_cast<double>(targetTotal) / static_cast<double>(all);
    const auto bad = static_cast<double>(targetBad + oldBad);
    auto chance = 0.0;
    for (auto count = targetBad; count <= targetBad + oldBad; ++count) {
        const auto hits = static_cast<double>(count);
        const auto term = std::exp(logBinomial(targetBad + oldBad, count)
                                   + logLikelihood(count, targetBad + oldBad, share));
        chance += term;
        // The terms fall from the mean on, so that the rest adds nothing.
        if (hits > bad * share && term < chance * 1e-9)
            break;
    }
    return std::min(1.0, chance);
}

} // namespace crocusreach::forward

#include "diagnosis.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <initializer_list>
#include <utility>

namespace crocusreach {

namespace {

// Findings below this weight occur in a healthy service, too.
constexpr double minWeight = 0.02;
// A target is slow if its mean time is at least this many times the median of its service.
constexpr double slowFactor = 2.5;
// A part of the path may be the location of a fault if it takes at least this fraction of the time
// of attempts.
constexpr double dominantFraction = 0.4;
// Times below this are too short to be a fault.
constexpr Duration negligibleTime = std::chrono::milliseconds(2);

struct LeafStatistics
{
    const Leaf *leaf = nullptr;
    AttemptStatistics statistics;
};

struct Evidence
{
    const ClusterView &view;
    const Service &service;
    ServiceStatistics statistics;
    std::vector<LeafStatistics> leafs;
};

auto ratio(double part, double whole) -> double
{
    return whole > 0 ? part / whole : 0;
}

auto toMicroseconds(Duration duration) -> double
{
    return static_cast<double>(duration.count());
}

auto milliseconds(double microseconds) -> std::string
{
    auto text = std::array<char, 32>();
    std::snprintf(text.data(), text.size(), "%.1f ms", microseconds / 1000.0);
    return text.data();
}

auto percent(double fraction) -> std::string
{
    auto text = std::array<char, 32>();
    std::snprintf(text.data(), text.size(), "%.1f %%", 100.0 * fraction);
    return text.data();
}

auto sumReasons(const auto &counts, std::initializer_list<Reason> reasons) -> double
{
    auto sum = 0.0;
    for (const auto reason : reasons)
        sum += static_cast<double>(counts[static_cast<std::size_t>(reason)]);
    return sum;
}

// Fraction of the requested shards that are missing for one of the reasons.
auto missingFraction(const Evidence &evidence, std::initializer_list<Reason> reasons) -> double
{
    return ratio(sumReasons(evidence.statistics.missing, reasons),
                 static_cast<double>(evidence.statistics.shardsAsked));
}

// Fraction of all attempts that ended for one of the reasons.
auto attemptFraction(const Evidence &evidence, std::initializer_list<Reason> reasons) -> double
{
    return ratio(sumReasons(evidence.statistics.attempts.reasons, reasons),
                 static_cast<double>(evidence.statistics.attempts.attempts));
}

// Mean time that an attempt spent at its target, or waited for it without a reply.
auto meanTargetTime(const AttemptStatistics &statistics) -> double
{
    return ratio(toMicroseconds(statistics.breakdown.target + statistics.breakdown.unanswered),
                 static_cast<double>(statistics.attempts));
}

// The leaf with the most attempts that ended for one of the reasons.
auto mostAffected(const Evidence &evidence, std::initializer_list<Reason> reasons)
        -> const LeafStatistics *
{
    const LeafStatistics *most = nullptr;
    auto highest = 0.0;
    for (const auto &leaf : evidence.leafs) {
        const auto hits = sumReasons(leaf.statistics.reasons, reasons);
        if (hits > highest) {
            highest = hits;
            most = &leaf;
        }
    }
    return most;
}

auto describeLeaf(const LeafStatistics *leaf) -> std::string
{
    return leaf == nullptr ? std::string() : leaf->leaf->name + " (" + leaf->leaf->address + ")";
}

auto collectEvidence(const RollingStatistics &statistics, const ClusterView &view,
                     const Service &service) -> Evidence
{
    auto evidence = Evidence{view, service, sumOf(statistics, service.id), {}};
    for (const auto &leaf : service.leafs) {
        const auto total = sumOf(statistics, leaf.id);
        if (total.attempts > 0)
            evidence.leafs.push_back({&leaf, total});
    }
    return evidence;
}

auto findDomainOut(const Evidence &evidence) -> Finding
{
    auto names = std::string();
    for (const auto &domain : evidence.view.configuration->domains) {
        if (domain.decision.state == DesiredState::Out)
            names += (names.empty() ? "" : ", ") + domain.name;
    }
    const auto fraction = missingFraction(evidence, {Reason::DomainOut, Reason::ServiceOut});
    return {FaultLocation::FailureDomainOut, names, fraction,
            "Operators have taken " + (names.empty() ? std::string("a failure domain") : names)
                    + " out of rotation; " + percent(fraction)
                    + " of the requested shards have no other replica."};
}

auto findIndexChange(const Evidence &evidence) -> Finding
{
    const auto reasons = {Reason::VersionNotServed, Reason::LayoutNotServed};
    const auto missing = missingFraction(evidence, reasons);
    const auto restarted = ratio(static_cast<double>(evidence.statistics.restarts),
                                 static_cast<double>(evidence.statistics.queries));
    return {FaultLocation::IndexChange,
            {},
            missing + restarted / 2,
            "The index version or layout is changing: " + percent(restarted)
                    + " of the queries were restarted, and " + percent(missing)
                    + " of the shards had no replica with the version of the answer."};
}

auto findCold(const Evidence &evidence) -> Finding
{
    const auto *worst = static_cast<const LeafStatistics *>(nullptr);
    for (const auto &leaf : evidence.leafs) {
        if (leaf.statistics.cold > 0
            && (worst == nullptr || leaf.statistics.cold > worst->statistics.cold))
            worst = &leaf;
    }
    const auto cold = ratio(static_cast<double>(evidence.statistics.attempts.cold),
                            static_cast<double>(evidence.statistics.attempts.attempts));
    const auto missing = missingFraction(evidence, {Reason::ColdTarget});
    return {FaultLocation::ColdTarget, describeLeaf(worst), missing + cold / 2,
            "A target is in cold start and accepts only a light load: " + percent(cold)
                    + " of the attempts met a cold target"
                    + (worst == nullptr ? "" : ", most at " + describeLeaf(worst)) + "."};
}

auto findCapReached(const Evidence &evidence) -> Finding
{
    const auto reasons = {Reason::QueueFull, Reason::DeadlineTooShort, Reason::TargetShed};
    const auto &breakdown = evidence.statistics.attempts.breakdown;
    const auto attempts = static_cast<double>(evidence.statistics.attempts.attempts);
    const auto waiting = ratio(toMicroseconds(breakdown.queued),
                               toMicroseconds(evidence.statistics.attempts.elapsed));
    const auto mean = ratio(toMicroseconds(breakdown.queued), attempts);
    const auto dominant = waiting >= dominantFraction && mean >= toMicroseconds(negligibleTime);
    const auto missing = missingFraction(evidence, {Reason::QueueFull, Reason::TargetShed})
                         + (dominant ? missingFraction(
                                    evidence, {Reason::DeadlineExceeded, Reason::DeadlineTooShort})
                                     : 0);
    const auto *worst = mostAffected(evidence, reasons);
    return {FaultLocation::CapReached, describeLeaf(worst), missing + (dominant ? waiting : 0),
            "The slots of the targets are all in use: attempts wait " + milliseconds(mean)
                    + " for a slot, " + percent(waiting) + " of their time; " + percent(missing)
                    + " of the shards are missing because of it."};
}

auto findSilentConnection(const Evidence &evidence) -> Finding
{
    const auto reasons = {Reason::ConnectionSilent};
    const auto attempts = attemptFraction(evidence, reasons);
    const auto *worst = mostAffected(evidence, reasons);
    return {FaultLocation::SilentConnection, describeLeaf(worst),
            missingFraction(evidence, reasons) + 2 * attempts,
            "Open connections went silent while new ones worked: " + percent(attempts)
                    + " of the attempts"
                    + (worst == nullptr ? "" : ", most towards " + describeLeaf(worst))
                    + ". The target itself answers; check the network path to it."};
}

auto findSlowTarget(const Evidence &evidence) -> Finding
{
    auto means = std::vector<double>();
    for (const auto &leaf : evidence.leafs)
        means.push_back(meanTargetTime(leaf.statistics));
    const auto slowest = std::max_element(means.begin(), means.end());
    if (slowest == means.end() || *slowest < toMicroseconds(negligibleTime))
        return {};
    const auto &leaf = evidence.leafs[static_cast<std::size_t>(slowest - means.begin())];
    const auto highest = *slowest;
    // The lower median, so that of two leafs the slower one is compared with the other.
    std::nth_element(means.begin(),
                     means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2),
                     means.end());
    const auto median = means[(means.size() - 1) / 2];
    if (means.size() > 1 && highest >= slowFactor * median) {
        const auto excess = (highest - median) * static_cast<double>(leaf.statistics.attempts);
        const auto fraction = ratio(excess, toMicroseconds(evidence.statistics.attempts.elapsed));
        const auto late = missingFraction(evidence, {Reason::DeadlineExceeded});
        return {FaultLocation::SlowTarget, describeLeaf(&leaf), fraction + late,
                "One target is slow: " + describeLeaf(&leaf) + " takes " + milliseconds(highest)
                        + " per attempt, the service's median target " + milliseconds(median)
                        + "."};
    }
    const auto &all = evidence.statistics.attempts;
    const auto fraction = ratio(toMicroseconds(all.breakdown.target + all.breakdown.unanswered),
                                toMicroseconds(all.elapsed));
    const auto late = missingFraction(evidence, {Reason::DeadlineExceeded});
    if (fraction < dominantFraction || late < minWeight)
        return {};
    return {FaultLocation::SlowTarget,
            {},
            late + fraction / 2,
            "All targets of the service are slow: " + percent(fraction)
                    + " of an attempt's time is spent at the target, " + milliseconds(median)
                    + " at the median target."};
}

auto findFailingTarget(const Evidence &evidence) -> Finding
{
    const auto reasons = {Reason::TargetError,    Reason::BadReply,      Reason::ConnectFailed,
                          Reason::ConnectionLost, Reason::TargetLeaving, Reason::TargetExpired};
    const auto missing = missingFraction(evidence, reasons);
    const auto attempts = attemptFraction(evidence, reasons);
    const auto *worst = mostAffected(evidence, reasons);
    return {FaultLocation::FailingTarget, describeLeaf(worst), missing + attempts,
            percent(attempts) + " of the attempts failed at a target or its connection"
                    + (worst == nullptr ? "" : ", most at " + describeLeaf(worst)) + "."};
}

// Mean heartbeat round trip to the reachable peers.
auto meanRoundTrip(const ClusterView &view) -> double
{
    auto sum = 0.0;
    auto peers = 0.0;
    for (const auto &peer : view.peers) {
        if (!peer.reachable)
            continue;
        sum += toMicroseconds(peer.roundTrip);
        peers += 1;
    }
    return ratio(sum, peers);
}

auto findSlowLink(const Evidence &evidence) -> Finding
{
    const auto &all = evidence.statistics.attempts;
    const auto fraction = ratio(toMicroseconds(all.breakdown.network), toMicroseconds(all.elapsed));
    const auto mean
            = ratio(toMicroseconds(all.breakdown.network), static_cast<double>(all.attempts));
    const auto roundTrip = meanRoundTrip(evidence.view);
    if (fraction < dominantFraction || mean < toMicroseconds(negligibleTime) + roundTrip / 2)
        return {};
    const auto late = missingFraction(evidence, {Reason::DeadlineExceeded});
    return {FaultLocation::SlowLink,
            {},
            fraction + late,
            "The network between instances is slow: " + milliseconds(mean) + " per attempt, "
                    + percent(fraction) + " of its time; the mean heartbeat round trip is "
                    + milliseconds(roundTrip) + "."};
}

auto findHolderUnreachable(const Evidence &evidence) -> Finding
{
    const auto reasons = {Reason::HolderUnreachable, Reason::HolderLost, Reason::NoLease,
                          Reason::NotHolder, Reason::NoReplica};
    const auto missing = missingFraction(evidence, reasons);
    auto names = std::string();
    for (const auto &peer : evidence.view.peers) {
        if (!peer.reachable)
            names += (names.empty() ? "" : ", ") + peer.name;
    }
    return {FaultLocation::HolderUnreachable, names,
            missing + attemptFraction(evidence, reasons) / 2,
            percent(missing) + " of the shards had no instance that may use their targets"
                    + (names.empty() ? std::string() : "; unreachable: " + names) + "."};
}

auto findOverload(const Evidence &evidence) -> Finding
{
    const auto refused = ratio(sumReasons(evidence.statistics.refusals, {Reason::Overloaded}),
                               static_cast<double>(evidence.statistics.queries));
    return {FaultLocation::OwnInstanceOverloaded,
            {},
            refused,
            "This instance refused " + percent(refused) + " of the queries as overloaded."};
}

auto findShortDeadline(const Evidence &evidence) -> Finding
{
    const auto &all = evidence.statistics.attempts;
    const auto late
            = missingFraction(evidence, {Reason::DeadlineExceeded, Reason::DeadlineTooShort});
    const auto allowed = ratio(toMicroseconds(evidence.statistics.deadline),
                               static_cast<double>(evidence.statistics.queries));
    const auto answered = static_cast<double>(all.attempts)
                          - sumReasons(all.reasons, {Reason::DeadlineExceeded});
    const auto needed = ratio(toMicroseconds(all.elapsed - all.breakdown.unanswered), answered);
    // If no attempt was answered in time, the time that a target needs is not known. Only deadlines
    // of a few milliseconds are then reported as the cause.
    const auto tooShort
            = answered > 0 ? allowed < 1.5 * needed : allowed < 5 * toMicroseconds(negligibleTime);
    if (!tooShort || late < minWeight)
        return {};
    return {FaultLocation::ShortDeadline,
            {},
            2 * late,
            "The callers' deadlines are too short: " + milliseconds(allowed)
                    + " on average, while an answered attempt takes " + milliseconds(needed) + "."};
}

auto findStoreUnavailable(const Evidence &evidence) -> Finding
{
    const auto refused = ratio(sumReasons(evidence.statistics.refusals, {Reason::StoreUnavailable}),
                               static_cast<double>(evidence.statistics.queries));
    return {FaultLocation::StoreUnavailable,
            {},
            refused,
            "The platform's store could not be reached; " + percent(refused)
                    + " of the queries were refused because of it."};
}

auto noFault(const Evidence &evidence) -> Finding
{
    const auto mean = ratio(toMicroseconds(evidence.statistics.elapsed),
                            static_cast<double>(evidence.statistics.queries));
    const auto coverage = ratio(static_cast<double>(evidence.statistics.shardsAnswered),
                                static_cast<double>(evidence.statistics.shardsAsked));
    return {FaultLocation::NoFault,
            {},
            0,
            "No fault is visible here: answers take " + milliseconds(mean)
                    + " on average with a coverage of " + percent(coverage)
                    + ". If a caller sees longer times, check the path between the caller and this "
                      "instance."};
}

} // namespace

auto diagnose(const RollingStatistics &statistics, const ClusterView &view, const Service &service)
        -> Diagnosis
{
    const auto evidence = collectEvidence(statistics, view, service);
    auto diagnosis = Diagnosis{service.name, evidence.statistics.queries, {}};
    if (evidence.statistics.queries < minQueries) {
        diagnosis.findings.push_back({FaultLocation::NotEnoughEvidence,
                                      {},
                                      0,
                                      "Only " + std::to_string(evidence.statistics.queries)
                                              + " queries ended at this instance in the last 5 "
                                                "minutes; that is too little evidence."});
        return diagnosis;
    }
    for (const auto find :
         {findDomainOut, findIndexChange, findCold, findCapReached, findSilentConnection,
          findSlowTarget, findFailingTarget, findSlowLink, findHolderUnreachable, findOverload,
          findShortDeadline, findStoreUnavailable}) {
        auto finding = find(evidence);
        if (finding.weight >= minWeight)
            diagnosis.findings.push_back(std::move(finding));
    }
    std::stable_sort(
            diagnosis.findings.begin(), diagnosis.findings.end(),
            [](const Finding &left, const Finding &right) { return left.weight > right.weight; });
    if (diagnosis.findings.empty())
        diagnosis.findings.push_back(noFault(evidence));
    return diagnosis;
}

auto explainText(const Diagnosis &diagnosis) -> std::string
{
    const auto &first = diagnosis.findings.front();
    auto text = diagnosis.service + ": " + first.description;
    if (diagnosis.findings.size() > 1 && diagnosis.findings[1].weight > first.weight / 2)
        text += "\nAlso: " + diagnosis.findings[1].description;
    return text + "\nEvidence: " + std::to_string(diagnosis.queries)
           + " queries of the last 5 minutes.";
}

} // namespace crocusreach

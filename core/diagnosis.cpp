#include "diagnosis.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <initializer_list>
#include <utility>

namespace crocusreach {

namespace {

// A finding below this weight is within what a healthy service shows.
constexpr double leastWeight = 0.02;
// A target is slow if its mean time is at least this many times the median of its service.
constexpr double slowFactor = 2.5;
// A part of the time is the place of a fault if it takes at least this share of an attempt.
constexpr double dominantPart = 0.4;
// Times below this are too short to be a fault.
constexpr Duration shortTime = std::chrono::milliseconds(2);

struct LeafSums
{
    const Leaf *leaf = nullptr;
    AccountSums sums;
};

struct Evidence
{
    const ClusterView &view;
    const Service &service;
    ServiceSums sums;
    std::vector<LeafSums> leafs;
};

auto ratio(double part, double whole) -> double
{
    return whole > 0 ? part / whole : 0;
}

auto count(Duration duration) -> double
{
    return static_cast<double>(duration.count());
}

auto milliseconds(double microseconds) -> std::string
{
    auto text = std::array<char, 32>();
    std::snprintf(text.data(), text.size(), "%.1f ms", microseconds / 1000.0);
    return text.data();
}

auto percent(double part) -> std::string
{
    auto text = std::array<char, 32>();
    std::snprintf(text.data(), text.size(), "%.1f %%", 100.0 * part);
    return text.data();
}

auto sumReasons(const auto &counts, std::initializer_list<Reason> reasons) -> double
{
    auto sum = 0.0;
    for (const auto reason : reasons)
        sum += static_cast<double>(counts[static_cast<std::size_t>(reason)]);
    return sum;
}

// Part of the shards asked that are missing for one of the reasons.
auto missingPart(const Evidence &evidence, std::initializer_list<Reason> reasons) -> double
{
    return ratio(sumReasons(evidence.sums.missing, reasons),
                 static_cast<double>(evidence.sums.shardsAsked));
}

// Part of all attempts that ended for one of the reasons.
auto attemptPart(const Evidence &evidence, std::initializer_list<Reason> reasons) -> double
{
    return ratio(sumReasons(evidence.sums.attempts.reasons, reasons),
                 static_cast<double>(evidence.sums.attempts.attempts));
}

// Mean time that an attempt at a target spent there, or waited for it in vain.
auto meanTargetTime(const AccountSums &sums) -> double
{
    return ratio(count(sums.parts.target + sums.parts.unanswered),
                 static_cast<double>(sums.attempts));
}

// The leaf with the most attempts that ended for one of the reasons.
auto mostAffected(const Evidence &evidence, std::initializer_list<Reason> reasons)
        -> const LeafSums *
{
    const LeafSums *most = nullptr;
    auto highest = 0.0;
    for (const auto &leaf : evidence.leafs) {
        const auto hits = sumReasons(leaf.sums.reasons, reasons);
        if (hits > highest) {
            highest = hits;
            most = &leaf;
        }
    }
    return most;
}

auto nameOf(const LeafSums *leaf) -> std::string
{
    return leaf == nullptr ? std::string() : leaf->leaf->name + " (" + leaf->leaf->address + ")";
}

auto collect(const RollingAccounts &accounts, const ClusterView &view, const Service &service)
        -> Evidence
{
    auto evidence = Evidence{view, service, sumOf(accounts, service.id), {}};
    for (const auto &leaf : service.leafs) {
        const auto sums = sumOf(accounts, leaf.id);
        if (sums.attempts > 0)
            evidence.leafs.push_back({&leaf, sums});
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
    const auto part = missingPart(evidence, {Reason::DomainOut, Reason::ServiceOut});
    return {FaultPlace::FailureDomainOut, names, part,
            "Operators have taken " + (names.empty() ? std::string("a failure domain") : names)
                    + " out; " + percent(part) + " of the shards asked have no other replica."};
}

auto findIndexChange(const Evidence &evidence) -> Finding
{
    const auto reasons = {Reason::VersionNotServed, Reason::LayoutNotServed};
    const auto missing = missingPart(evidence, reasons);
    const auto restarted = ratio(static_cast<double>(evidence.sums.restarts),
                                 static_cast<double>(evidence.sums.queries));
    return {FaultPlace::IndexChange,
            {},
            missing + restarted / 2,
            "The index version or layout is changing: " + percent(restarted)
                    + " of the queries started again, and " + percent(missing)
                    + " of the shards had no replica with the version of the answer."};
}

auto findCold(const Evidence &evidence) -> Finding
{
    const auto *worst = static_cast<const LeafSums *>(nullptr);
    for (const auto &leaf : evidence.leafs) {
        if (leaf.sums.cold > 0 && (worst == nullptr || leaf.sums.cold > worst->sums.cold))
            worst = &leaf;
    }
    const auto cold = ratio(static_cast<double>(evidence.sums.attempts.cold),
                            static_cast<double>(evidence.sums.attempts.attempts));
    const auto missing = missingPart(evidence, {Reason::ColdTarget});
    return {FaultPlace::ColdTarget, nameOf(worst), missing + cold / 2,
            "A target is in cold start and takes light load only: " + percent(cold)
                    + " of the attempts met a cold target"
                    + (worst == nullptr ? "" : ", most at " + nameOf(worst)) + "."};
}

auto findCapReached(const Evidence &evidence) -> Finding
{
    const auto reasons = {Reason::QueueFull, Reason::DeadlineTooShort, Reason::TargetShed};
    const auto &parts = evidence.sums.attempts.parts;
    const auto attempts = static_cast<double>(evidence.sums.attempts.attempts);
    const auto waiting = ratio(count(parts.queued), count(evidence.sums.attempts.elapsed));
    const auto mean = ratio(count(parts.queued), attempts);
    const auto dominant = waiting >= dominantPart && mean >= count(shortTime);
    const auto missing = missingPart(evidence, {Reason::QueueFull, Reason::TargetShed})
                         + (dominant ? missingPart(
                                    evidence, {Reason::DeadlineExceeded, Reason::DeadlineTooShort})
                                     : 0);
    const auto *worst = mostAffected(evidence, reasons);
    return {FaultPlace::CapReached, nameOf(worst), missing + (dominant ? waiting : 0),
            "The slots of the targets are all in use: attempts wait " + milliseconds(mean)
                    + " for a slot, " + percent(waiting) + " of their time; " + percent(missing)
                    + " of the shards were lost to it."};
}

auto findSilentConnection(const Evidence &evidence) -> Finding
{
    const auto reasons = {Reason::ConnectionSilent};
    const auto attempts = attemptPart(evidence, reasons);
    const auto *worst = mostAffected(evidence, reasons);
    return {FaultPlace::SilentConnection, nameOf(worst),
            missingPart(evidence, reasons) + 2 * attempts,
            "Open connections went silent while new ones worked: " + percent(attempts)
                    + " of the attempts"
                    + (worst == nullptr ? "" : ", most towards " + nameOf(worst))
                    + ". The target itself answers; look at what lies between."};
}

auto findSlowTarget(const Evidence &evidence) -> Finding
{
    auto means = std::vector<double>();
    for (const auto &leaf : evidence.leafs)
        means.push_back(meanTargetTime(leaf.sums));
    const auto slowest = std::max_element(means.begin(), means.end());
    if (slowest == means.end() || *slowest < count(shortTime))
        return {};
    const auto &leaf = evidence.leafs[static_cast<std::size_t>(slowest - means.begin())];
    const auto highest = *slowest;
    // The lower median, so that one of two leafs can be told from the other.
    std::nth_element(means.begin(),
                     means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2),
                     means.end());
    const auto median = means[(means.size() - 1) / 2];
    if (means.size() > 1 && highest >= slowFactor * median) {
        const auto excess = (highest - median) * static_cast<double>(leaf.sums.attempts);
        const auto part = ratio(excess, count(evidence.sums.attempts.elapsed));
        const auto late = missingPart(evidence, {Reason::DeadlineExceeded});
        return {FaultPlace::SlowTarget, nameOf(&leaf), part + late,
                "One target is slow: " + nameOf(&leaf) + " takes " + milliseconds(highest)
                        + " an attempt, the service's median target " + milliseconds(median) + "."};
    }
    const auto &all = evidence.sums.attempts;
    const auto part = ratio(count(all.parts.target + all.parts.unanswered), count(all.elapsed));
    const auto late = missingPart(evidence, {Reason::DeadlineExceeded});
    if (part < dominantPart || late < leastWeight)
        return {};
    return {FaultPlace::SlowTarget,
            {},
            late + part / 2,
            "The targets of the service are slow as a whole: " + percent(part)
                    + " of an attempt's time passes at the target, " + milliseconds(median)
                    + " at the median one."};
}

auto findFailingTarget(const Evidence &evidence) -> Finding
{
    const auto reasons = {Reason::TargetError,    Reason::BadReply,      Reason::ConnectFailed,
                          Reason::ConnectionLost, Reason::TargetLeaving, Reason::TargetExpired};
    const auto missing = missingPart(evidence, reasons);
    const auto attempts = attemptPart(evidence, reasons);
    const auto *worst = mostAffected(evidence, reasons);
    return {FaultPlace::FailingTarget, nameOf(worst), missing + attempts,
            percent(attempts) + " of the attempts failed at a target or its connection"
                    + (worst == nullptr ? "" : ", most at " + nameOf(worst)) + "."};
}

// Mean round trip to the peers, as heartbeats see it.
auto meanRoundTrip(const ClusterView &view) -> double
{
    auto sum = 0.0;
    auto peers = 0.0;
    for (const auto &peer : view.peers) {
        if (!peer.reachable)
            continue;
        sum += count(peer.roundTrip);
        peers += 1;
    }
    return ratio(sum, peers);
}

auto findSlowLink(const Evidence &evidence) -> Finding
{
    const auto &all = evidence.sums.attempts;
    const auto part = ratio(count(all.parts.network), count(all.elapsed));
    const auto mean = ratio(count(all.parts.network), static_cast<double>(all.attempts));
    const auto roundTrip = meanRoundTrip(evidence.view);
    if (part < dominantPart || mean < count(shortTime) + roundTrip / 2)
        return {};
    const auto late = missingPart(evidence, {Reason::DeadlineExceeded});
    return {FaultPlace::SlowLink,
            {},
            part + late,
            "The way between instances is slow: " + milliseconds(mean) + " an attempt, "
                    + percent(part) + " of its time; heartbeats take " + milliseconds(roundTrip)
                    + " there and back."};
}

auto findHolderUnreachable(const Evidence &evidence) -> Finding
{
    const auto reasons = {Reason::HolderUnreachable, Reason::HolderLost, Reason::NoLease,
                          Reason::NotHolder, Reason::NoReplica};
    const auto missing = missingPart(evidence, reasons);
    auto names = std::string();
    for (const auto &peer : evidence.view.peers) {
        if (!peer.reachable)
            names += (names.empty() ? "" : ", ") + peer.name;
    }
    return {FaultPlace::HolderUnreachable, names, missing + attemptPart(evidence, reasons) / 2,
            percent(missing) + " of the shards had no instance that may use their targets"
                    + (names.empty() ? std::string() : "; unreachable: " + names) + "."};
}

auto findOverload(const Evidence &evidence) -> Finding
{
    const auto refused = ratio(sumReasons(evidence.sums.refusals, {Reason::Overloaded}),
                               static_cast<double>(evidence.sums.queries));
    return {FaultPlace::OwnInstanceOverloaded,
            {},
            refused,
            "This instance refused " + percent(refused) + " of the queries as overloaded."};
}

auto findShortDeadline(const Evidence &evidence) -> Finding
{
    const auto &all = evidence.sums.attempts;
    const auto late = missingPart(evidence, {Reason::DeadlineExceeded, Reason::DeadlineTooShort});
    const auto allowed
            = ratio(count(evidence.sums.deadline), static_cast<double>(evidence.sums.queries));
    const auto answered = static_cast<double>(all.attempts)
                          - sumReasons(all.reasons, {Reason::DeadlineExceeded});
    const auto needed = ratio(count(all.elapsed - all.parts.unanswered), answered);
    // With nothing answered in time there is no measure of what a target needs; deadlines of a few
    // milliseconds are then the likelier cause.
    const auto tooShort = answered > 0 ? allowed < 1.5 * needed : allowed < 5 * count(shortTime);
    if (!tooShort || late < leastWeight)
        return {};
    return {FaultPlace::ShortDeadline,
            {},
            2 * late,
            "The callers' deadlines are too short: " + milliseconds(allowed)
                    + " on average, while an answered attempt takes " + milliseconds(needed) + "."};
}

auto findStoreUnavailable(const Evidence &evidence) -> Finding
{
    const auto refused = ratio(sumReasons(evidence.sums.refusals, {Reason::StoreUnavailable}),
                               static_cast<double>(evidence.sums.queries));
    return {FaultPlace::StoreUnavailable,
            {},
            refused,
            "The platform's store could not be reached; " + percent(refused)
                    + " of the queries were refused for it."};
}

auto noFault(const Evidence &evidence) -> Finding
{
    const auto mean = ratio(count(evidence.sums.spent), static_cast<double>(evidence.sums.queries));
    const auto coverage = ratio(static_cast<double>(evidence.sums.shardsAnswered),
                                static_cast<double>(evidence.sums.shardsAsked));
    return {FaultPlace::NoFault,
            {},
            0,
            "No fault is visible here: answers take " + milliseconds(mean)
                    + " on average with a coverage of " + percent(coverage)
                    + ". If a caller sees more, look between the caller and this instance."};
}

} // namespace

auto diagnose(const RollingAccounts &accounts, const ClusterView &view, const Service &service)
        -> Diagnosis
{
    const auto evidence = collect(accounts, view, service);
    auto diagnosis = Diagnosis{service.name, evidence.sums.queries, {}};
    if (evidence.sums.queries < leastQueries) {
        diagnosis.findings.push_back({FaultPlace::NotEnoughEvidence,
                                      {},
                                      0,
                                      "Only " + std::to_string(evidence.sums.queries)
                                              + " queries ended at this instance in the last 5 "
                                                "minutes; that is too little evidence."});
        return diagnosis;
    }
    for (const auto find :
         {findDomainOut, findIndexChange, findCold, findCapReached, findSilentConnection,
          findSlowTarget, findFailingTarget, findSlowLink, findHolderUnreachable, findOverload,
          findShortDeadline, findStoreUnavailable}) {
        auto finding = find(evidence);
        if (finding.weight >= leastWeight)
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
    auto text = diagnosis.service + ": " + first.sentence;
    if (diagnosis.findings.size() > 1 && diagnosis.findings[1].weight > first.weight / 2)
        text += "\nAlso: " + diagnosis.findings[1].sentence;
    return text + "\nEvidence: " + std::to_string(diagnosis.queries)
           + " queries of the last 5 minutes.";
}

} // namespace crocusreach

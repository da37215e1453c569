#include "requestdiagnosis.h"

#include "text.h"

#include <algorithm>
#include <initializer_list>
#include <span>
#include <utility>

namespace crocusreach::forward {

namespace {

// A change at most this long before a request's end may be its cause. Within this time a change is
// in force on all instances and a leaf has drained.
constexpr Duration recentChangeWindow = std::chrono::seconds(10);
// Less time than this many typical latencies of a leaf is too short for the route.
constexpr std::int64_t minLatencyMultiple = 2;
// A request without a reply for this many typical latencies, while its leaf answered others, points
// to a silent connection and not to a slow leaf.
constexpr std::int64_t silenceLatencyMultiple = 10;
// From this many silent leafs of one failure domain, the domain is reported instead of a leaf.
constexpr std::size_t minSilentLeafsOfDomain = 3;
// Changes of the desired state are in force within this time.
constexpr Duration maxStateAge = std::chrono::seconds(3);

auto milliseconds(Duration duration) -> std::string
{
    return millisecondsText(duration).append(" ms");
}

auto joinNames(const std::set<std::string, std::less<>> &names) -> std::string
{
    auto text = std::string();
    for (const auto &name : names)
        text.append(text.empty() ? "" : ", ").append(name);
    return text;
}

auto concatenate(std::initializer_list<std::string_view> parts) -> std::string
{
    auto text = std::string();
    for (const auto part : parts)
        text.append(part);
    return text;
}

auto makeFinding(FaultLocation location, std::string component, std::string text) -> Finding
{
    return {location, std::move(component), 0, std::move(text)};
}

auto isRecent(const std::optional<Duration> &since) -> bool
{
    return since && *since <= recentChangeWindow;
}

auto isUnanswered(const SendFailureReport &send) -> bool
{
    return send.reason == RetryReason::Slow || send.reason == RetryReason::NotSent
           || send.reason == RetryReason::Lost;
}

auto diagnoseMissingState(const RequestHistory &history) -> Finding
{
    if (history.unreachableChannels.empty())
        return makeFinding(FaultLocation::StoreUnavailable, {},
                           "The instance had just started and had not yet read the desired state.");
    return makeFinding(
            FaultLocation::StoreUnavailable, {},
            concatenate({"The instance knew no desired state, since the store didn't answer for ",
                         joinNames(history.unreachableChannels), "."}));
}

auto diagnoseNoRoute(const RequestHistory &history, const CallSummary &summary) -> Finding
{
    const auto version = std::to_string(summary.version);
    if (isRecent(history.sinceRoutesChanged))
        return makeFinding(FaultLocation::DesiredStateChange, {},
                           concatenate({"No route matches in version ", version,
                                        " of the desired state, which came into force ",
                                        milliseconds(*history.sinceRoutesChanged), " before."}));
    return makeFinding(
            FaultLocation::Caller, {},
            concatenate({"No route matches the caller's host and path in version ", version,
                         " of the desired state, which has not changed lately."}));
}

auto diagnoseNoLeaf(const RequestHistory &history, const CallSummary &summary) -> Finding
{
    if (!history.evacuated.empty())
        return makeFinding(FaultLocation::FailureDomainOut, joinNames(history.evacuated),
                           concatenate({"Route ", summary.route,
                                        " has too few usable leafs while operators keep ",
                                        joinNames(history.evacuated), " evacuated."}));
    if (isRecent(history.sinceLeafRemoved))
        return makeFinding(
                FaultLocation::DesiredStateChange, {},
                concatenate({"Route ", summary.route, " has too few usable leafs; a leaf left ",
                             milliseconds(*history.sinceLeafRemoved), " before."}));
    if (isRecent(history.sinceRoutesChanged))
        return makeFinding(FaultLocation::DesiredStateChange, {},
                           concatenate({"Route ", summary.route,
                                        " has too few usable leafs; its desired state changed ",
                                        milliseconds(*history.sinceRoutesChanged), " before."}));
    return makeFinding(
            FaultLocation::NotEnoughEvidence, {},
            concatenate({"Route ", summary.route,
                         " has too few usable leafs; the reason is not known from this log."}));
}

// True if the leaf has answered another request since this one was sent.
auto hasAnsweredMeanwhile(const SendFailureReport &send) -> bool
{
    return send.timeSinceLeafAnswer && *send.timeSinceLeafAnswer < send.waited;
}

// The failure domain of all leafs that were silent for this request, if there are enough of them.
auto findSilentDomain(std::span<const SendFailureReport> sends) -> std::optional<Finding>
{
    auto leafs = std::set<std::string, std::less<>>();
    auto domains = std::set<std::string, std::less<>>();
    for (const auto &send : sends) {
        if (!isUnanswered(send) || hasAnsweredMeanwhile(send))
            continue;
        leafs.insert(send.leaf);
        domains.insert(send.domain);
    }
    if (domains.size() != 1 || leafs.size() < minSilentLeafsOfDomain)
        return {};
    const auto &domain = *domains.begin();
    return makeFinding(FaultLocation::FailureDomainOut, domain,
                       concatenate({std::to_string(leafs.size()), " leafs of failure domain ",
                                    domain, " were silent, and no leaf of any other domain."}));
}

auto diagnoseUnanswered(const SendFailureReport &send, const CallSummary &summary) -> Finding
{
    const auto typicalLatency = summary.typicalLatency;
    const auto waited = milliseconds(send.waited);
    if (send.waited < minLatencyMultiple * typicalLatency && send.waited < summary.elapsed / 2)
        return makeFinding(
                FaultLocation::CapReached, send.service,
                concatenate({"Leaf ", send.leaf, " got the request only ", waited,
                             " before the end of ", milliseconds(summary.elapsed),
                             ": before that, no connection was free or other leafs had failed."}));
    if (send.leafCold)
        return makeFinding(
                FaultLocation::ColdTarget, send.leaf,
                concatenate({"Leaf ", send.leaf, " was in cold start and had not answered after ",
                             waited, "."}));
    if (!send.timeSinceLeafAnswer)
        return makeFinding(
                FaultLocation::StalledTarget, send.leaf,
                concatenate({"Leaf ", send.leaf,
                             " was stalled or could not be reached: the request waited ", waited,
                             " for it, and it had never answered this instance."}));
    if (!hasAnsweredMeanwhile(send))
        return makeFinding(
                FaultLocation::StalledTarget, send.leaf,
                concatenate({"Leaf ", send.leaf,
                             " was stalled or could not be reached: the request waited ", waited,
                             " for it, and it had not answered this instance for ",
                             milliseconds(*send.timeSinceLeafAnswer), "."}));
    if (send.waited >= silenceLatencyMultiple * typicalLatency)
        return makeFinding(FaultLocation::SilentConnection, send.leaf,
                           concatenate({"The connection to leaf ", send.leaf, " was silent for ",
                                        waited, " while the leaf answered on others ",
                                        milliseconds(*send.timeSinceLeafAnswer), " before."}));
    return makeFinding(
            FaultLocation::SlowTarget, send.leaf,
            concatenate({"Leaf ", send.leaf, " had not answered after ", waited,
                         "; the typical latency on the route is ", milliseconds(typicalLatency),
                         ". It answered other requests meanwhile."}));
}

auto diagnoseFailed(const SendFailureReport &send) -> Finding
{
    switch (send.reason) {
    case RetryReason::NotRun:
        if (send.leafCold)
            return makeFinding(FaultLocation::ColdTarget, send.leaf,
                               concatenate({"Leaf ", send.leaf,
                                            " was in cold start and refused the request."}));
        return makeFinding(FaultLocation::CapReached, send.leaf,
                           concatenate({"Leaf ", send.leaf, " of service ", send.service,
                                        " was at capacity and refused the request."}));
    case RetryReason::OtherLeaf:
        return makeFinding(FaultLocation::DesiredStateChange, send.leaf,
                           concatenate({"Another leaf had the address of leaf ", send.leaf,
                                        "; its entry was out of date."}));
    case RetryReason::Lost:
        if (send.connection.answerBytes > 0)
            return makeFinding(FaultLocation::FailingTarget, send.leaf,
                               concatenate({"Leaf ", send.leaf, " of service ", send.service,
                                            " in ", send.domain, " broke off its answer after ",
                                            std::to_string(send.connection.answerBytes),
                                            " bytes; its connection ended as ",
                                            toString(send.connection.end), "."}));
        break;
    case RetryReason::Failure:
    case RetryReason::Invalid:
    case RetryReason::NotSent:
    case RetryReason::Slow:
    case RetryReason::Count:
        break;
    }
    return makeFinding(FaultLocation::FailingTarget, send.leaf,
                       concatenate({"Leaf ", send.leaf, " of service ", send.service, " in ",
                                    send.domain, " failed (", toString(send.reason), ") after ",
                                    milliseconds(send.waited), "."}));
}

// A leaf that fails only at the end of the time that it was given is slow, whatever it answers.
auto usedWholeTimeout(const SendFailureReport &send, const CallSummary &summary) -> bool
{
    constexpr std::int64_t toleranceDivisor = 10;
    return send.reason == RetryReason::Failure
           && send.waited >= summary.timeAllowed - summary.timeAllowed / toleranceDivisor;
}

// Diagnoses the failed send that took the most time.
auto diagnoseSends(std::span<const SendFailureReport> sends, const CallSummary &summary) -> Finding
{
    if (auto domain = findSilentDomain(sends))
        return *domain;
    const auto longest
            = std::max_element(sends.begin(), sends.end(),
                               [](const SendFailureReport &left, const SendFailureReport &right) {
                                   return left.waited < right.waited;
                               });
    if (longest->reason == RetryReason::Slow || usedWholeTimeout(*longest, summary))
        return diagnoseUnanswered(*longest, summary);
    return diagnoseFailed(*longest);
}

auto diagnoseShortDeadline(const CallSummary &summary) -> Finding
{
    const auto byCaller = summary.timeLeftAtArrival < minLatencyMultiple * summary.typicalLatency;
    return makeFinding(
            FaultLocation::ShortDeadline, {},
            concatenate({byCaller ? "The caller gave " : "The route's timeout left ",
                         milliseconds(byCaller ? summary.timeLeftAtArrival : summary.timeAllowed),
                         "; a single leaf typically takes ", milliseconds(summary.typicalLatency),
                         " on route ", summary.route, "."}));
}

auto diagnoseLate(const CallSummary &summary) -> Finding
{
    if (summary.lastLeaf.empty())
        return makeFinding(FaultLocation::NotEnoughEvidence, {},
                           "The reason for the delay is not known.");
    // Time before the request was sent to the leaf that answered last.
    const auto before = summary.elapsed - summary.leafLatency;
    if (before > summary.leafLatency)
        return makeFinding(
                FaultLocation::CapReached, {},
                concatenate({"The request waited ", milliseconds(before),
                             " before it was sent to the leaf that answered last: for a free "
                             "connection, or for leafs tried before."}));
    return makeFinding(
            summary.leafCold ? FaultLocation::ColdTarget : FaultLocation::SlowTarget,
            summary.lastLeaf,
            concatenate({"Leaf ", summary.lastLeaf, summary.leafCold ? ", in cold start," : "",
                         " took ", milliseconds(summary.leafLatency),
                         "; the typical latency on the route is ",
                         milliseconds(summary.typicalLatency), "."}));
}

// What the log line of the request's end contains about the leaf that it waited for last. Used if
// the log left out the lines of its sends.
auto lastSendOf(const CallSummary &summary) -> SendFailureReport
{
    auto send = SendFailureReport();
    send.leaf = summary.lastLeaf;
    send.waited = summary.leafLatency;
    send.timeSinceLeafAnswer = summary.timeSinceLeafAnswer;
    send.leafCold = summary.leafCold;
    return send;
}

auto diagnoseEnded(const RequestHistory &history, const CallSummary &summary) -> Finding
{
    const auto isCutShort = summary.end == CallEnd::TimedOut || summary.end == CallEnd::CallerLeft;
    if (isCutShort && summary.timeAllowed < minLatencyMultiple * summary.typicalLatency)
        return diagnoseShortDeadline(summary);
    if (!history.failedSends.empty())
        return diagnoseSends(history.failedSends, summary);
    if (summary.missing > 0 && !summary.lastLeaf.empty())
        return diagnoseUnanswered(lastSendOf(summary), summary);
    if (summary.end == CallEnd::TimedOut && summary.sends < summary.parts)
        return makeFinding(FaultLocation::CapReached, {},
                           concatenate({"No leaf was free: ", std::to_string(summary.sends), " of ",
                                        std::to_string(summary.parts),
                                        " parts could be sent within the request's time."}));
    if (summary.end == CallEnd::CallerLeft)
        return makeFinding(
                FaultLocation::Caller, {},
                concatenate({"The caller disconnected after ", milliseconds(summary.elapsed),
                             " of the ", milliseconds(summary.timeLeftAtArrival),
                             " that it had allowed."}));
    if (summary.late)
        return diagnoseLate(summary);
    return makeFinding(
            FaultLocation::NotEnoughEvidence, {},
            concatenate({"The location is not known: the request ended as ", toString(summary.end),
                         " and the log has no line of a failed send."}));
}

auto diagnoseStopping(const CallSummary &summary) -> Finding
{
    if (summary.sends == 0)
        return makeFinding(FaultLocation::OwnInstanceStopping, {},
                           "The instance was stopping and took no request that might outlast it.");
    return makeFinding(
            FaultLocation::OwnInstanceStopping, {},
            concatenate({"The instance stopped ", milliseconds(summary.elapsed),
                         " after the request's arrival. Until then, leaf ", summary.lastLeaf,
                         " had not answered for ", milliseconds(summary.leafLatency), "."}));
}

auto locateFault(const RequestHistory &history) -> Finding
{
    if (!history.summary)
        return makeFinding(
                FaultLocation::NotEnoughEvidence, {},
                "The location is not known: the log has no line of the request's end. The "
                "instance may have left the line out, been killed, or never read the "
                "request.");
    const auto &summary = *history.summary;
    switch (summary.end) {
    case CallEnd::NoRoutes:
        return diagnoseMissingState(history);
    case CallEnd::NoRoute:
        return diagnoseNoRoute(history, summary);
    case CallEnd::NoLeaf:
        return diagnoseNoLeaf(history, summary);
    case CallEnd::Overloaded:
        return makeFinding(FaultLocation::OwnInstanceOverloaded, {},
                           "The instance had reached its limit of requests in progress.");
    case CallEnd::NoCapacity:
        return makeFinding(FaultLocation::CapReached, {},
                           concatenate({"The leafs of route ", summary.route,
                                        " could not take the request in time: their rate limits, "
                                        "pauses or connections were used up by calls ahead of "
                                        "it."}));
    case CallEnd::Stopping:
        return diagnoseStopping(summary);
    case CallEnd::CutOff:
        return makeFinding(
                FaultLocation::FailureDomainOut, {},
                "The instance could not reach any leaf in any failure domain; its own network is "
                "probably down.");
    case CallEnd::UnknownKey:
        return makeFinding(FaultLocation::Caller, {},
                           "The request had no key of a tenant that the desired state names.");
    case CallEnd::OverQuota:
        return makeFinding(FaultLocation::Caller, {},
                           "The request's tenant had used up its quota at all instances together.");
    case CallEnd::QuotaUnknown:
        return makeFinding(FaultLocation::HolderUnreachable, {},
                           "No instance that grants the quota of the request's tenant replied.");
    case CallEnd::KeyUnconfirmed:
        return makeFinding(FaultLocation::StoreUnavailable, {},
                           "The instance's copy of the desired state was too old to tell whether "
                           "the request's key was still valid.");
    case CallEnd::SilentLeafs:
        return makeFinding(FaultLocation::FailingTarget, {},
                           concatenate({"Too few leafs of route ", summary.route,
                                        " answer this instance, as earlier requests showed."}));
    case CallEnd::Complete:
        if (!summary.late)
            return makeFinding(FaultLocation::NoFault, {},
                               concatenate({"No fault: the complete answer was given after ",
                                            milliseconds(summary.elapsed), "."}));
        break;
    default:
        break;
    }
    return diagnoseEnded(history, summary);
}

} // namespace

auto diagnoseRequest(const RequestHistory &history) -> Finding
{
    auto finding = locateFault(history);
    const auto age = history.summary ? history.summary->stateAge : std::nullopt;
    if (age && *age > maxStateAge)
        finding.description
                += concatenate({" Version ", std::to_string(history.summary->version),
                                " of the desired state was last confirmed ", milliseconds(*age),
                                " before and may have been outdated."});
    return finding;
}

} // namespace crocusreach::forward

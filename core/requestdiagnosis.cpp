#include "requestdiagnosis.h"

#include "text.h"

#include <algorithm>
#include <initializer_list>
#include <span>
#include <utility>

namespace crocusreach::forward {

namespace {

// A change at most this long before a request's end may be its cause: the bound within which a
// change is in force everywhere, and the drain time of a leaf.
constexpr Duration recentChangeWindow = std::chrono::seconds(10);
// A time below this many usual latencies of a leaf is too short for the route.
constexpr std::int64_t minLatencyMultiple = 2;
// A leaf that answers others, but not one request for this many usual latencies, is not slow.
constexpr std::int64_t silenceLatencyMultiple = 10;
// Silent leafs of one failure domain that point to the domain instead of the leafs.
constexpr std::size_t minSilentLeafsOfDomain = 3;

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

// The parts of a sentence in one string.
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
    return makeFinding(FaultLocation::NotEnoughEvidence, {},
                       concatenate({"Route ", summary.route,
                                    " has too few usable leafs; why is not known from this log."}));
}

// A failure domain most of whose leafs that the request met were silent.
auto findSilentDomain(std::span<const SendFailureReport> sends) -> std::optional<Finding>
{
    auto leafs = std::set<std::string, std::less<>>();
    auto domains = std::set<std::string, std::less<>>();
    for (const auto &send : sends) {
        if (!isUnanswered(send) || send.timeSinceLeafAnswer < send.waited)
            continue;
        leafs.insert(send.leaf);
        domains.insert(send.domain);
    }
    if (domains.size() != 1 || leafs.size() < minSilentLeafsOfDomain)
        return {};
    const auto &domain = *domains.begin();
    return makeFinding(FaultLocation::FailureDomainOut, domain,
                       concatenate({std::to_string(leafs.size()), " leafs of failure domain ",
                                    domain, " were silent, and none of another one."}));
}

auto diagnoseUnanswered(const SendFailureReport &send, const CallSummary &summary) -> Finding
{
    const auto usual = summary.typicalLatency;
    const auto waited = milliseconds(send.waited);
    if (send.waited < minLatencyMultiple * usual && send.waited < summary.elapsed / 2)
        return makeFinding(
                FaultLocation::CapReached, send.service,
                concatenate({"Leaf ", send.leaf, " was asked only ", waited, " before the end of ",
                             milliseconds(summary.elapsed),
                             ": until then no connection was free, or other leafs had failed."}));
    if (send.leafCold)
        return makeFinding(
                FaultLocation::ColdTarget, send.leaf,
                concatenate({"Leaf ", send.leaf, " was in cold start and had not answered after ",
                             waited, "."}));
    if (send.timeSinceLeafAnswer >= send.waited)
        return makeFinding(FaultLocation::StalledTarget, send.leaf,
                           concatenate({"Leaf ", send.leaf,
                                        " stood still or could not be reached: the request waited ",
                                        waited, " for it, and it had answered nobody here for ",
                                        milliseconds(send.timeSinceLeafAnswer), "."}));
    if (send.waited >= silenceLatencyMultiple * usual)
        return makeFinding(FaultLocation::SilentConnection, send.leaf,
                           concatenate({"The connection to leaf ", send.leaf, " was silent for ",
                                        waited, " while the leaf answered on others ",
                                        milliseconds(send.timeSinceLeafAnswer), " before."}));
    return makeFinding(FaultLocation::SlowTarget, send.leaf,
                       concatenate({"Leaf ", send.leaf, " had not answered after ", waited,
                                    "; usual on the route are ", milliseconds(usual),
                                    ". It answered other requests meanwhile."}));
}

auto diagnoseFailed(const SendFailureReport &send) -> Finding
{
    switch (send.reason) {
    case RetryReason::NotRun:
        if (send.leafCold)
            return makeFinding(
                    FaultLocation::ColdTarget, send.leaf,
                    concatenate({"Leaf ", send.leaf, " was in cold start and refused."}));
        return makeFinding(FaultLocation::CapReached, send.leaf,
                           concatenate({"Leaf ", send.leaf, " of service ", send.service,
                                        " refused the request as full."}));
    case RetryReason::OtherLeaf:
        return makeFinding(FaultLocation::DesiredStateChange, send.leaf,
                           concatenate({"Another leaf had the address of leaf ", send.leaf,
                                        "; its entry was out of date."}));
    case RetryReason::Failure:
    case RetryReason::Invalid:
    case RetryReason::Lost:
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

// A leaf that gives up at the end of the time that it was told is slow, whatever it answers then.
auto usedWholeTimeout(const SendFailureReport &send, const CallSummary &summary) -> bool
{
    constexpr std::int64_t parts = 10;
    return send.reason == RetryReason::Failure
           && send.waited >= summary.timeAllowed - summary.timeAllowed / parts;
}

// The send that the request lost most time with.
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
                         "; one leaf alone usually takes ", milliseconds(summary.typicalLatency),
                         " on route ", summary.route, "."}));
}

auto diagnoseLate(const CallSummary &summary) -> Finding
{
    if (summary.lastLeaf.empty())
        return makeFinding(FaultLocation::NotEnoughEvidence, {}, "Why it was late is not known.");
    // Time before the last leaf was asked.
    const auto before = summary.elapsed - summary.leafLatency;
    if (before > summary.leafLatency)
        return makeFinding(FaultLocation::CapReached, {},
                           concatenate({"The request waited ", milliseconds(before),
                                        " until the leaf that answered last was asked: for a free "
                                        "connection, or for leafs asked before."}));
    return makeFinding(
            summary.leafCold ? FaultLocation::ColdTarget : FaultLocation::SlowTarget,
            summary.lastLeaf,
            concatenate({"Leaf ", summary.lastLeaf, summary.leafCold ? ", in cold start," : "",
                         " took ", milliseconds(summary.leafLatency), "; usual on the route are ",
                         milliseconds(summary.typicalLatency), "."}));
}

// What the line of the end says of the leaf that was waited for; enough if the lines of the sends
// were left out.
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
    const auto hasEnded = summary.end == CallEnd::TimedOut || summary.end == CallEnd::CallerLeft;
    if (hasEnded && summary.timeAllowed < minLatencyMultiple * summary.typicalLatency)
        return diagnoseShortDeadline(summary);
    if (!history.failedSends.empty())
        return diagnoseSends(history.failedSends, summary);
    if (summary.missing > 0 && !summary.lastLeaf.empty())
        return diagnoseUnanswered(lastSendOf(summary), summary);
    if (summary.end == CallEnd::TimedOut && summary.sends < summary.parts)
        return makeFinding(FaultLocation::CapReached, {},
                           concatenate({"No leaf was free: ", std::to_string(summary.sends), " of ",
                                        std::to_string(summary.parts),
                                        " parts could be sent in the request's time."}));
    if (summary.end == CallEnd::CallerLeft)
        return makeFinding(FaultLocation::Caller, {},
                           concatenate({"The caller left after ", milliseconds(summary.elapsed),
                                        " of ", milliseconds(summary.timeLeftAtArrival), "."}));
    if (summary.late)
        return diagnoseLate(summary);
    return makeFinding(
            FaultLocation::NotEnoughEvidence, {},
            concatenate({"The place is not known: the request ended as ", toString(summary.end),
                         " and the log has no line of a send that failed."}));
}

} // namespace

auto diagnoseRequest(const RequestHistory &history) -> Finding
{
    if (!history.summary)
        return makeFinding(FaultLocation::NotEnoughEvidence, {},
                           "The place is not known: the log has no line of the request's end. The "
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
                           "The instance had as many requests in progress as it takes.");
    case CallEnd::Stopping:
        return makeFinding(FaultLocation::OwnInstanceStopping, {},
                           "The instance was about to end and took no new requests.");
    case CallEnd::CutOff:
        return makeFinding(FaultLocation::FailureDomainOut, {},
                           "The instance reached no leaf in any failure domain; its own network is "
                           "likely cut.");
    case CallEnd::SilentLeafs:
        return makeFinding(
                FaultLocation::FailingTarget, {},
                concatenate({"Too few leafs of route ", summary.route,
                             " answer this instance; requests before this one show it."}));
    case CallEnd::Complete:
        if (!summary.late)
            return makeFinding(FaultLocation::NoFault, {},
                               concatenate({"No fault: the whole answer was given after ",
                                            milliseconds(summary.elapsed), "."}));
        break;
    default:
        break;
    }
    return diagnoseEnded(history, summary);
}

} // namespace crocusreach::forward

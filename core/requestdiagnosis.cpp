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
constexpr Duration recentChange = std::chrono::seconds(10);
// A time below this many usual latencies of a leaf is too short for the route.
constexpr std::int64_t leastLatencies = 2;
// A leaf that answers others, but not one request for this many usual latencies, is not slow.
constexpr std::int64_t latenciesOfSilence = 10;
// Silent leafs of one failure domain that point to the domain instead of the leafs.
constexpr std::size_t leafsOfDomain = 3;

auto milliseconds(Duration duration) -> std::string
{
    return millisecondsText(duration).append(" ms");
}

auto joined(const std::set<std::string, std::less<>> &names) -> std::string
{
    auto text = std::string();
    for (const auto &name : names)
        text.append(text.empty() ? "" : ", ").append(name);
    return text;
}

// The parts of a sentence in one string.
auto sentence(std::initializer_list<std::string_view> parts) -> std::string
{
    auto text = std::string();
    for (const auto part : parts)
        text.append(part);
    return text;
}

auto found(FaultPlace place, std::string where, std::string text) -> Finding
{
    return {place, std::move(where), 0, std::move(text)};
}

auto isRecent(const std::optional<Duration> &since) -> bool
{
    return since && *since <= recentChange;
}

auto isSilence(const SendFailureReport &send) -> bool
{
    return send.reason == RetryReason::Slow || send.reason == RetryReason::NotSent
           || send.reason == RetryReason::Lost;
}

auto diagnoseUnread(const RequestHistory &history) -> Finding
{
    if (history.unreachableChannels.empty())
        return found(FaultPlace::StoreUnavailable, {},
                     "The instance had just started and had not yet read the desired state.");
    return found(FaultPlace::StoreUnavailable, {},
                 sentence({"The instance knew no desired state, since the store didn't answer for ",
                           joined(history.unreachableChannels), "."}));
}

auto diagnoseNoRoute(const RequestHistory &history, const CallSummary &summary) -> Finding
{
    const auto version = std::to_string(summary.version);
    if (isRecent(history.sinceRoutesChanged))
        return found(FaultPlace::DesiredStateChange, {},
                     sentence({"No route matches in version ", version,
                               " of the desired state, which came into force ",
                               milliseconds(*history.sinceRoutesChanged), " before."}));
    return found(FaultPlace::Caller, {},
                 sentence({"No route matches the caller's host and path in version ", version,
                           " of the desired state, which has not changed lately."}));
}

auto diagnoseNoLeaf(const RequestHistory &history, const CallSummary &summary) -> Finding
{
    if (!history.evacuated.empty())
        return found(FaultPlace::FailureDomainOut, joined(history.evacuated),
                     sentence({"Route ", summary.route,
                               " has too few usable leafs while operators keep ",
                               joined(history.evacuated), " evacuated."}));
    if (isRecent(history.sinceLeafRemoved))
        return found(FaultPlace::DesiredStateChange, {},
                     sentence({"Route ", summary.route, " has too few usable leafs; a leaf left ",
                               milliseconds(*history.sinceLeafRemoved), " before."}));
    if (isRecent(history.sinceRoutesChanged))
        return found(FaultPlace::DesiredStateChange, {},
                     sentence({"Route ", summary.route,
                               " has too few usable leafs; its desired state changed ",
                               milliseconds(*history.sinceRoutesChanged), " before."}));
    return found(FaultPlace::NotEnoughEvidence, {},
                 sentence({"Route ", summary.route,
                           " has too few usable leafs; why is not known from this log."}));
}

// A failure domain most of whose leafs that the request met were silent.
auto findSilentDomain(std::span<const SendFailureReport> sends) -> std::optional<Finding>
{
    auto leafs = std::set<std::string, std::less<>>();
    auto domains = std::set<std::string, std::less<>>();
    for (const auto &send : sends) {
        if (!isSilence(send) || send.timeSinceLeafAnswer < send.waited)
            continue;
        leafs.insert(send.leaf);
        domains.insert(send.domain);
    }
    if (domains.size() != 1 || leafs.size() < leafsOfDomain)
        return {};
    const auto &domain = *domains.begin();
    return found(FaultPlace::FailureDomainOut, domain,
                 sentence({std::to_string(leafs.size()), " leafs of failure domain ", domain,
                           " were silent, and none of another one."}));
}

auto diagnoseUnanswered(const SendFailureReport &send, const CallSummary &summary) -> Finding
{
    const auto usual = summary.typicalLatency;
    const auto waited = milliseconds(send.waited);
    if (send.waited < leastLatencies * usual && send.waited < summary.elapsed / 2)
        return found(FaultPlace::CapReached, send.service,
                     sentence({"Leaf ", send.leaf, " was asked only ", waited,
                               " before the end of ", milliseconds(summary.elapsed),
                               ": until then no connection was free, or other leafs had failed."}));
    if (send.leafCold)
        return found(FaultPlace::ColdTarget, send.leaf,
                     sentence({"Leaf ", send.leaf, " was in cold start and had not answered after ",
                               waited, "."}));
    if (send.timeSinceLeafAnswer >= send.waited)
        return found(FaultPlace::StalledTarget, send.leaf,
                     sentence({"Leaf ", send.leaf,
                               " stood still or could not be reached: the request waited ", waited,
                               " for it, and it had answered nobody here for ",
                               milliseconds(send.timeSinceLeafAnswer), "."}));
    if (send.waited >= latenciesOfSilence * usual)
        return found(FaultPlace::SilentConnection, send.leaf,
                     sentence({"The connection to leaf ", send.leaf, " was silent for ", waited,
                               " while the leaf answered on others ",
                               milliseconds(send.timeSinceLeafAnswer), " before."}));
    return found(FaultPlace::SlowTarget, send.leaf,
                 sentence({"Leaf ", send.leaf, " had not answered after ", waited,
                           "; usual on the route are ", milliseconds(usual),
                           ". It answered other requests meanwhile."}));
}

auto diagnoseFailed(const SendFailureReport &send) -> Finding
{
    switch (send.reason) {
    case RetryReason::NotRun:
        if (send.leafCold)
            return found(FaultPlace::ColdTarget, send.leaf,
                         sentence({"Leaf ", send.leaf, " was in cold start and refused."}));
        return found(FaultPlace::CapReached, send.leaf,
                     sentence({"Leaf ", send.leaf, " of service ", send.service,
                               " refused the request as full."}));
    case RetryReason::OtherLeaf:
        return found(FaultPlace::DesiredStateChange, send.leaf,
                     sentence({"Another leaf had the address of leaf ", send.leaf,
                               "; its entry was out of date."}));
    case RetryReason::Failure:
    case RetryReason::Invalid:
    case RetryReason::Lost:
    case RetryReason::NotSent:
    case RetryReason::Slow:
    case RetryReason::Count:
        break;
    }
    return found(FaultPlace::FailingTarget, send.leaf,
                 sentence({"Leaf ", send.leaf, " of service ", send.service, " in ", send.domain,
                           " failed (", toString(send.reason), ") after ",
                           milliseconds(send.waited), "."}));
}

// A leaf that gives up at the end of the time that it was told is slow, whatever it answers then.
auto usedWholeTime(const SendFailureReport &send, const CallSummary &summary) -> bool
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
    if (longest->reason == RetryReason::Slow || usedWholeTime(*longest, summary))
        return diagnoseUnanswered(*longest, summary);
    return diagnoseFailed(*longest);
}

auto diagnoseShortTime(const CallSummary &summary) -> Finding
{
    const auto byCaller = summary.timeLeftAtArrival < leastLatencies * summary.typicalLatency;
    return found(FaultPlace::ShortDeadline, {},
                 sentence({byCaller ? "The caller gave " : "The route's timeout left ",
                           milliseconds(byCaller ? summary.timeLeftAtArrival : summary.timeAllowed),
                           "; one leaf alone usually takes ", milliseconds(summary.typicalLatency),
                           " on route ", summary.route, "."}));
}

auto diagnoseLate(const CallSummary &summary) -> Finding
{
    if (summary.lastLeaf.empty())
        return found(FaultPlace::NotEnoughEvidence, {}, "Why it was late is not known.");
    // Time before the last leaf was asked.
    const auto before = summary.elapsed - summary.leafLatency;
    if (before > summary.leafLatency)
        return found(FaultPlace::CapReached, {},
                     sentence({"The request waited ", milliseconds(before),
                               " until the leaf that answered last was asked: for a free "
                               "connection, or for leafs asked before."}));
    return found(summary.leafCold ? FaultPlace::ColdTarget : FaultPlace::SlowTarget,
                 summary.lastLeaf,
                 sentence({"Leaf ", summary.lastLeaf, summary.leafCold ? ", in cold start," : "",
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
    if (hasEnded && summary.timeAllowed < leastLatencies * summary.typicalLatency)
        return diagnoseShortTime(summary);
    if (!history.failedSends.empty())
        return diagnoseSends(history.failedSends, summary);
    if (summary.missing > 0 && !summary.lastLeaf.empty())
        return diagnoseUnanswered(lastSendOf(summary), summary);
    if (summary.end == CallEnd::TimedOut && summary.sends < summary.parts)
        return found(FaultPlace::CapReached, {},
                     sentence({"No leaf was free: ", std::to_string(summary.sends), " of ",
                               std::to_string(summary.parts),
                               " parts could be sent in the request's time."}));
    if (summary.end == CallEnd::CallerLeft)
        return found(FaultPlace::Caller, {},
                     sentence({"The caller left after ", milliseconds(summary.elapsed), " of ",
                               milliseconds(summary.timeLeftAtArrival), "."}));
    if (summary.late)
        return diagnoseLate(summary);
    return found(FaultPlace::NotEnoughEvidence, {},
                 sentence({"The place is not known: the request ended as ", toString(summary.end),
                           " and the log has no line of a send that failed."}));
}

} // namespace

auto diagnoseRequest(const RequestHistory &history) -> Finding
{
    if (!history.summary)
        return found(FaultPlace::NotEnoughEvidence, {},
                     "The place is not known: the log has no line of the request's end. The "
                     "instance may have left the line out, been killed, or never read the "
                     "request.");
    const auto &summary = *history.summary;
    switch (summary.end) {
    case CallEnd::NoRoutes:
        return diagnoseUnread(history);
    case CallEnd::NoRoute:
        return diagnoseNoRoute(history, summary);
    case CallEnd::NoLeaf:
        return diagnoseNoLeaf(history, summary);
    case CallEnd::Overloaded:
        return found(FaultPlace::OwnInstanceOverloaded, {},
                     "The instance had as many requests in progress as it takes.");
    case CallEnd::Stopping:
        return found(FaultPlace::OwnInstanceStopping, {},
                     "The instance was about to end and took no new requests.");
    case CallEnd::CutOff:
        return found(FaultPlace::FailureDomainOut, {},
                     "The instance reached no leaf in any failure domain; its own network is "
                     "likely cut.");
    case CallEnd::SilentLeafs:
        return found(FaultPlace::FailingTarget, {},
                     sentence({"Too few leafs of route ", summary.route,
                               " answer this instance; requests before this one show it."}));
    case CallEnd::Complete:
        if (!summary.late)
            return found(FaultPlace::NoFault, {},
                         sentence({"No fault: the whole answer was given after ",
                                   milliseconds(summary.elapsed), "."}));
        break;
    default:
        break;
    }
    return diagnoseEnded(history, summary);
}

} // namespace crocusreach::forward

#include "forwarder.h"

#include "forwardadmit.h"
#include "forwardcalls.h"
#include "forwardlinks.h"
#include "forwardprobe.h"
#include "forwardsend.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace crocusreach::forward {

namespace {

// Until enough answers are known, a leaf is assumed to take this part of the target latency.
constexpr std::int64_t assumedLatencyParts = 8;
constexpr std::uint32_t latencyUpdateInterval = 16;
// A pause or a lost answer says little about a leaf's speed; beyond this ratio it isn't weighed.
constexpr double greatestRatio = 4;
// After its caller has left, a send that may be repeated is cancelled if it takes longer than
// this. Shorter ones end by themselves and keep their connection.
constexpr Duration cancelDelay = std::chrono::milliseconds(250);

auto take(Forwarder &forwarder, const StateRead & /*event*/, TimePoint now,
          std::vector<ForwardAction> &actions) -> void
{
    forwarder.stateRead = true;
    for (const auto &item : std::exchange(forwarder.held, {}))
        admit(forwarder, item.event, item.arrivedAt, now, actions);
}

auto take(Forwarder &forwarder, const StateUnavailable & /*event*/, TimePoint now,
          std::vector<ForwardAction> &actions) -> void
{
    forwarder.stateUnavailable = true;
    refuseHeld(forwarder, now, actions);
}

auto take(Forwarder &forwarder, const RequestArrived &event, TimePoint now,
          std::vector<ForwardAction> &actions) -> void
{
    ++forwarder.counters.requests;
    if (forwarder.refusesNew)
        return refuse(forwarder, event, nullptr, OwnStatus::NotRun, CallEnd::Stopping, actions);
    if (forwarder.stateRead)
        return admit(forwarder, event, now, now, actions);
    if (forwarder.stateUnavailable || !hold(forwarder, event, now))
        refuse(forwarder, event, nullptr, OwnStatus::NotRun, CallEnd::NoRoutes, actions);
}

auto take(Forwarder &forwarder, const CallerLeft &event, TimePoint now,
          std::vector<ForwardAction> &actions) -> void
{
    std::erase_if(forwarder.held,
                  [&](const HeldRequest &item) { return item.event.call == event.call; });
    const auto found = forwarder.calls.find(event.call);
    if (found == forwarder.calls.end())
        return;
    auto &call = *found->second;
    for (const auto &part : call.parts) {
        for (const auto id : part.running) {
            auto &send = forwarder.sends.at(id);
            // A request that must not be repeated may be at work; its end isn't forced.
            if (!send.idempotent)
                continue;
            send.endAt = std::min(send.endAt, now + cancelDelay);
            setAlarm(forwarder, send.endAt, true, toUnderlying(id));
        }
    }
    endCall(forwarder, call, CallEnd::CallerLeft, now, actions);
}

// What an answer shows of its leaf, also if its call has ended meanwhile.
auto observe(LeafState &leaf, const Send &send, const LeafAnswer &answer, TimePoint now) -> void
{
    if (answer.load) {
        leaf.load = *answer.load;
        leaf.loadAt = now;
    }
    switch (answer.kind) {
    case LeafAnswerKind::OtherLeaf:
        leaf.misdirected = true;
        return;
    case LeafAnswerKind::NotRun:
    case LeafAnswerKind::Failure:
        return noteFailure(leaf, now);
    case LeafAnswerKind::Success:
        break;
    }
    const auto latency = now - send.sentAt - (send.opened ? linkOpenTime : Duration());
    const auto ratio = static_cast<double>(latency.count())
                       / static_cast<double>(std::max(Duration(1), send.usual).count());
    noteAnswer(leaf, std::clamp(ratio, 0.0, greatestRatio), now);
    if (!send.opened)
        recordLatency(*send.stats, latency, now);
}

auto count(ForwarderCounters &counters, LeafAnswerKind kind) -> void
{
    if (kind == LeafAnswerKind::NotRun)
        ++counters.sheds;
    if (kind == LeafAnswerKind::OtherLeaf)
        ++counters.misdirected;
}

auto toReason(LeafAnswerKind kind) -> RepeatReason
{
    switch (kind) {
    case LeafAnswerKind::NotRun:
        return RepeatReason::NotRun;
    case LeafAnswerKind::OtherLeaf:
        return RepeatReason::OtherLeaf;
    case LeafAnswerKind::Success:
    case LeafAnswerKind::Failure:
        break;
    }
    return RepeatReason::Failure;
}

auto toReason(SendFailure failure) -> RepeatReason
{
    switch (failure) {
    case SendFailure::NotSent:
        return RepeatReason::NotSent;
    case SendFailure::Lost:
        return RepeatReason::Lost;
    case SendFailure::Invalid:
        break;
    }
    return RepeatReason::Invalid;
}

// Takes a failed send into its part. The part is retried if that is allowed.
auto failPart(const Call &call, Part &part, RepeatReason reason, bool mayHaveRun) -> void
{
    part.failure = reason;
    part.mayHaveRun = part.mayHaveRun || mayHaveRun;
    if (!part.running.empty())
        return;
    if (mayHaveRun && !call.route->idempotent) {
        part.state = PartState::GivenUp;
        part.lostBy = CallEnd::MayHaveRun;
    }
}

auto takeAnswer(Call &call, Part &part, const Send &send, const LeafAnswer &answer, TimePoint now)
        -> void
{
    if (part.state != PartState::Open)
        return;
    call.lastLeaf = send.leaf;
    call.lastTook = now - send.sentAt;
    if (answer.kind == LeafAnswerKind::Success) {
        part.state = PartState::Answered;
        part.answer = answer;
        return;
    }
    if (answer.kind == LeafAnswerKind::Failure)
        part.answer = answer;
    failPart(call, part, toReason(answer.kind), answer.kind == LeafAnswerKind::Failure);
}

// Ends a send if it still runs.
auto takeSend(Forwarder &forwarder, SendId id) -> std::optional<Send>
{
    const auto found = forwarder.sends.find(id);
    if (found == forwarder.sends.end())
        return {};
    const auto send = found->second;
    forwarder.sends.erase(found);
    endSend(forwarder, send);
    return send;
}

auto take(Forwarder &forwarder, const LeafAnswered &event, TimePoint now,
          std::vector<ForwardAction> &actions) -> void
{
    const auto ended = takeSend(forwarder, event.send);
    if (!ended)
        return;
    const auto &send = *ended;
    count(forwarder.counters, event.answer.kind);
    auto &leaf = leafAt(forwarder.leafs, send.leaf);
    const auto call = forwarder.calls.find(send.call);
    if (call != forwarder.calls.end() && event.answer.kind != LeafAnswerKind::Success)
        noteFailedSend(forwarder, *call->second, send, toReason(event.answer.kind), now, actions);
    observe(leaf, send, event.answer, now);
    noteDomainAnswer(forwarder.reachability, leaf.record.domain, now);
    if (!event.linkUsable || !leaf.listed)
        closeLink(forwarder, send.link, actions);
    else
        freeLink(forwarder, leaf, event, send.link, now);
    if (call != forwarder.calls.end()) {
        takeAnswer(*call->second, call->second->parts[send.part], send, event.answer, now);
        advance(forwarder, *call->second, now, actions);
    }
    advanceWaiting(forwarder, now, actions);
}

auto take(Forwarder &forwarder, const SendFailed &event, TimePoint now,
          std::vector<ForwardAction> &actions) -> void
{
    const auto ended = takeSend(forwarder, event.send);
    if (!ended)
        return;
    const auto &send = *ended;
    dropLink(forwarder, send.link);
    auto &counters = forwarder.counters;
    ++(event.failure == SendFailure::NotSent ? counters.notSent
       : event.failure == SendFailure::Lost  ? counters.lost
                                             : counters.invalid);
    noteFailure(leafAt(forwarder.leafs, send.leaf), now);
    const auto call = forwarder.calls.find(send.call);
    if (call != forwarder.calls.end()) {
        auto &part = call->second->parts[send.part];
        noteFailedSend(forwarder, *call->second, send, toReason(event.failure), now, actions);
        if (part.state == PartState::Open)
            failPart(*call->second, part, toReason(event.failure),
                     event.failure != SendFailure::NotSent);
        advance(forwarder, *call->second, now, actions);
    }
    advanceWaiting(forwarder, now, actions);
}

auto take(Forwarder &forwarder, const LinkOpened &event, TimePoint now,
          std::vector<ForwardAction> &actions) -> void
{
    takeProbe(forwarder, event.link, now, actions);
    advanceWaiting(forwarder, now, actions);
}

auto take(Forwarder &forwarder, const LinkClosed &event, TimePoint now,
          std::vector<ForwardAction> &actions) -> void
{
    dropProbe(forwarder, event.link);
    dropLink(forwarder, event.link);
    advanceWaiting(forwarder, now, actions);
}

auto take(Forwarder &forwarder, const RoutesChanged &event, TimePoint /*now*/,
          std::vector<ForwardAction> & /*actions*/) -> void
{
    if (forwarder.table != nullptr && event.table->version <= forwarder.table->version)
        return;
    forwarder.table = event.table;
}

auto take(Forwarder &forwarder, const LeafsRegistered &event, TimePoint now,
          std::vector<ForwardAction> &actions) -> void
{
    for (const auto &record : event.leafs)
        putLeaf(forwarder.leafs, record, now);
    closeUnusedLinks(forwarder, actions);
    advanceWaiting(forwarder, now, actions);
}

auto take(Forwarder &forwarder, const LeafsRemoved &event, TimePoint now,
          std::vector<ForwardAction> & /*actions*/) -> void
{
    // Entries that lapsed while the registry was away are back within two seconds of its return.
    constexpr Duration reappearTime = std::chrono::milliseconds(2500);
    // Time that a change takes to get here, off the time within which it must be in force.
    constexpr Duration travelTime = std::chrono::milliseconds(1500);
    const auto wait = event.registryWasAway
                              ? reappearTime
                              : std::max(Duration(), forwarder.settings.drainTime - travelTime);
    for (const auto &id : event.ids)
        removeLeaf(forwarder.leafs, id, now + wait, now);
}

auto take(Forwarder &forwarder, const DomainsEvacuated &event, TimePoint now,
          std::vector<ForwardAction> &actions) -> void
{
    forwarder.leafs.evacuated = event.domains;
    advanceWaiting(forwarder, now, actions);
}

auto take(Forwarder &forwarder, const InstancesCounted &event, TimePoint /*now*/,
          std::vector<ForwardAction> & /*actions*/) -> void
{
    // A list may be old and lack an instance that is there. Too high a number does no harm.
    const auto former = forwarder.instancesKnown ? forwarder.share.instances : 1U;
    forwarder.share.instances = std::max(former, event.instances);
    forwarder.instancesKnown = true;
}

auto take(Forwarder &forwarder, const NewRequestsRefused & /*event*/, TimePoint /*now*/,
          std::vector<ForwardAction> & /*actions*/) -> void
{
    forwarder.refusesNew = true;
}

auto take(Forwarder &forwarder, const SettingsChanged &event, TimePoint /*now*/,
          std::vector<ForwardAction> & /*actions*/) -> void
{
    configure(forwarder, event.settings);
}

// A send that got no answer in its time: the connection may be silent.
auto expireSend(Forwarder &forwarder, SendId id, TimePoint now, std::vector<ForwardAction> &actions)
        -> void
{
    const auto found = forwarder.sends.find(id);
    if (found == forwarder.sends.end() || now < found->second.endAt)
        return;
    const auto send = *takeSend(forwarder, id);
    ++forwarder.counters.overdue;
    if (now - send.sentAt > cancelDelay)
        noteFailure(leafAt(forwarder.leafs, send.leaf), now);
    closeLink(forwarder, send.link, actions);
    const auto call = forwarder.calls.find(send.call);
    if (call != forwarder.calls.end()) {
        call->second->parts[send.part].mayHaveRun = true;
        noteFailedSend(forwarder, *call->second, send, RepeatReason::Slow, now, actions);
    }
}

auto take(Forwarder &forwarder, const ForwarderTick & /*event*/, TimePoint now,
          std::vector<ForwardAction> &actions) -> void
{
    applyRemovals(forwarder.leafs, now);
    refuseHeld(forwarder, now, actions);
    closeStaleLinks(forwarder, now, actions);
    checkReachability(forwarder, now);
    probePath(forwarder, now, actions);
    while (!forwarder.alarms.empty() && forwarder.alarms.top().at <= now) {
        const auto alarm = forwarder.alarms.top();
        forwarder.alarms.pop();
        if (alarm.ofSend) {
            expireSend(forwarder, SendId(alarm.id), now, actions);
            continue;
        }
        const auto call = forwarder.calls.find(CallId(alarm.id));
        if (call != forwarder.calls.end())
            advance(forwarder, *call->second, now, actions);
    }
    advanceWaiting(forwarder, now, actions);
}

} // namespace

auto usualLatency(const RouteStats &stats, const Route &route) -> Duration
{
    return stats.usual > Duration() ? stats.usual : route.targetLatency / assumedLatencyParts;
}

auto recordLatency(RouteStats &stats, Duration latency, TimePoint now) -> void
{
    record(stats.latency, latency, now);
    if (++stats.sinceUpdate < latencyUpdateInterval)
        return;
    stats.sinceUpdate = 0;
    stats.usual = quantile(stats.latency, 0.5);
}

auto handle(Forwarder &forwarder, const ForwardEvent &event, TimePoint now,
            std::vector<ForwardAction> &actions) -> void
{
    std::visit([&](const auto &content) { take(forwarder, content, now, actions); }, event);
}

auto nextTickAt(const Forwarder &forwarder) -> std::optional<TimePoint>
{
    auto wake = forwarder.leafs.nextRemoval;
    if (forwarder.probe.nextAt)
        wake = std::min(wake.value_or(TimePoint::max()), *forwarder.probe.nextAt);
    if (forwarder.nextLinkCheck)
        wake = std::min(wake.value_or(TimePoint::max()), *forwarder.nextLinkCheck);
    for (const auto &item : forwarder.held)
        wake = std::min(wake.value_or(TimePoint::max()), item.heldUntil);
    if (!forwarder.alarms.empty())
        wake = std::min(wake.value_or(TimePoint::max()), forwarder.alarms.top().at);
    return wake;
}

auto configure(Forwarder &forwarder, const ForwarderSettings &settings) -> void
{
    if (forwarder.random.value == RandomState().value)
        forwarder.random.value = settings.seed;
    forwarder.settings = settings;
    forwarder.reachability.ownDomain = settings.domain;
    forwarder.share.instanceHash = settings.seed;
    forwarder.share.coldOvershoot = settings.coldOvershoot;
    if (!forwarder.instancesKnown)
        forwarder.share.instances = settings.assumedInstances;
}

auto reachesLeafs(const Forwarder &forwarder, TimePoint now) -> bool
{
    const auto isolated = isIsolated(forwarder.reachability, now);
    return !isCutOff(forwarder.reachability, now)
           && !(isolated && forwarder.unservable.mostUnservable);
}

auto canServe(const Forwarder &forwarder) -> bool
{
    return forwarder.stateRead && forwarder.table != nullptr && !forwarder.leafs.byService.empty();
}

} // namespace crocusreach::forward

#include "forwarder.h"

#include "forwardanswer.h"
#include "forwardsend.h"
#include "invariants.h"

#include <algorithm>
#include <utility>

namespace crocusreach::forward {

namespace {

// Between the decision to answer and the answer's arrival at the caller: the way there and back
// and the wait for the processor. An answer decided later than this before the target latency
// would count as late.
constexpr Duration answerMargin = std::chrono::milliseconds(12);
// An answer to a caller whose time is nearly over is sent this much earlier.
constexpr Duration endMargin = std::chrono::milliseconds(15);
// Until enough answers are known, a leaf is assumed to take this part of the target latency.
constexpr std::int64_t assumedLatencyParts = 8;
constexpr std::uint32_t latencyUpdateInterval = 16;
// A pause or a lost answer says little about a leaf's speed; beyond this ratio it isn't weighed.
constexpr double greatestRatio = 4;
// A new connection takes a leaf up to this time.
constexpr Duration openTime = std::chrono::milliseconds(6);
// After its caller has left, a send that may be repeated is cancelled if it takes longer than
// this. Shorter ones end by themselves and keep their connection.
constexpr Duration cancelDelay = std::chrono::milliseconds(250);
constexpr Duration routeTrialInterval = std::chrono::milliseconds(150);
constexpr Duration reachabilityInterval = std::chrono::milliseconds(20);
constexpr Duration linkCheckInterval = std::chrono::milliseconds(500);
// Calls in progress take memory; beyond this number new ones are turned away.
constexpr std::size_t mostCalls = 2000;
// At the start, the state is read within some tens of milliseconds. A request is held so long,
// though no longer than this part of its time.
constexpr Duration longestHold = std::chrono::milliseconds(250);
constexpr std::int64_t holdParts = 4;
constexpr std::size_t mostHeld = 500;
// Calls that wait for a connection; beyond this number new ones are turned away.
constexpr std::size_t mostWaiting = 200;

auto statsOf(Forwarder &forwarder, const Route &route) -> RouteStats &
{
    auto &stats = forwarder.routes[route.name];
    if (stats == nullptr)
        stats = std::make_unique<RouteStats>();
    return *stats;
}

// Smooth weighted round robin: over any run of requests, each part gets its share within one.
auto pickPart(RouteStats &stats, const Route &route) -> std::size_t
{
    stats.splitCredit.resize(route.split.size());
    auto total = 0.0;
    auto best = std::size_t(0);
    for (std::size_t index = 0; index < route.split.size(); ++index) {
        stats.splitCredit[index] += route.split[index].weight;
        total += route.split[index].weight;
        if (stats.splitCredit[index] > stats.splitCredit[best])
            best = index;
    }
    stats.splitCredit[best] -= total;
    return best;
}

auto buildParts(RouteStats &stats, const Route &route) -> std::vector<Part>
{
    auto parts = std::vector<Part>();
    const auto add = [&parts](std::string_view service) {
        parts.emplace_back();
        parts.back().service = service;
    };
    if (route.shards.empty()) {
        add(route.split[pickPart(stats, route)].service);
        return parts;
    }
    for (const auto &shard : route.shards)
        add(shard);
    return parts;
}

auto answerCaller(CallId call, CallAnswer &&answer, std::vector<ForwardAction> &actions) -> void
{
    auto &action = std::get<AnswerCaller>(actions.emplace_back(AnswerCaller()));
    action.call = call;
    action.answer = std::move(answer);
}

auto summarize(Forwarder &forwarder, const Call &call, CallEnd end, TimePoint now) -> CallSummary
{
    auto summary = CallSummary();
    summary.requestId = call.request->id;
    summary.route = call.route->name;
    summary.version = call.table->version;
    summary.end = end;
    summary.spent = now - call.arrivedAt;
    summary.timeLeftAtArrival = call.request->timeLeft;
    summary.parts = call.parts.size();
    summary.missing = missingParts(call);
    summary.sends = call.sends;
    summary.hedges = call.hedges;
    summary.retries = call.retries;
    summary.late = summary.spent > call.route->targetLatency;
    auto leaf = call.lastLeaf;
    for (const auto &part : call.parts) {
        if (part.state != PartState::Answered && !part.tried.empty())
            leaf = part.tried.back();
    }
    if (leaf) {
        const auto &state = leafAt(forwarder.leafs, *leaf);
        summary.waitedFor = state.record.id;
        summary.leafAge = now - state.slownessAt;
    }
    return summary;
}

auto endCall(Forwarder &forwarder, Call &call, CallEnd end, TimePoint now,
             std::vector<ForwardAction> &actions) -> void
{
    ++forwarder.counters.ends.at(static_cast<std::size_t>(end));
    actions.emplace_back(CallEnded{summarize(forwarder, call, end, now)});
    if (call.waiting)
        forwarder.waiting.erase(*call.waiting);
    forwarder.calls.erase(call.id);
}

// Sends what is due and answers if the time has come. The call is gone afterwards if it does.
auto advance(Forwarder &forwarder, Call &call, TimePoint now, std::vector<ForwardAction> &actions)
        -> void
{
    if (now < call.endAt)
        sendDueParts(forwarder, call, now, actions);
    auto outcome = decideOutcome(forwarder, call, now);
    if (!outcome)
        return;
    answerCaller(call.id, std::move(outcome->answer), actions);
    endCall(forwarder, call, outcome->end, now, actions);
}

// Calls that wait for a connection, the most urgent first.
auto advanceWaiting(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions)
        -> void
{
    if (forwarder.waiting.empty())
        return;
    const auto keys = std::vector<WaitingKey>(forwarder.waiting.begin(), forwarder.waiting.end());
    for (const auto &key : keys) {
        const auto call = forwarder.calls.find(std::get<CallId>(key));
        if (call != forwarder.calls.end())
            advance(forwarder, *call->second, now, actions);
    }
}

auto refuse(Forwarder &forwarder, const RequestArrived &event, const Route *route, OwnStatus status,
            CallEnd end, std::vector<ForwardAction> &actions) -> void
{
    auto answer = OwnAnswer{status, {}};
    if (status == OwnStatus::NotRun)
        answer.retryAfter = retryAfter(forwarder, event.request->timeLeft);
    ++forwarder.counters.ends.at(static_cast<std::size_t>(end));
    answerCaller(event.call, answer, actions);
    auto summary = CallSummary();
    summary.requestId = event.request->id;
    summary.route = route == nullptr ? std::string() : route->name;
    summary.version = forwarder.table == nullptr ? 0 : forwarder.table->version;
    summary.end = end;
    summary.timeLeftAtArrival = event.request->timeLeft;
    actions.emplace_back(CallEnded{std::move(summary)});
}

// Parts of the call that no leaf serves now.
auto unservedParts(Forwarder &forwarder, const Call &call) -> std::size_t
{
    return static_cast<std::size_t>(
            std::count_if(call.parts.begin(), call.parts.end(), [&](const Part &part) {
                return !hasUsableLeaf(forwarder.leafs, part.service);
            }));
}

// Parts of the call whose leafs are all silent, or that no leaf serves.
auto silentParts(Forwarder &forwarder, const Call &call, TimePoint now) -> std::size_t
{
    return static_cast<std::size_t>(
            std::count_if(call.parts.begin(), call.parts.end(), [&](const Part &part) {
                return !hasAnsweringLeaf(forwarder.leafs, part.service, now);
            }));
}

// While too few leafs of a route answer, a request now and then finds out whether they do again.
auto takeTrial(RouteStats &stats, TimePoint now) -> bool
{
    if (now < stats.nextTrial)
        return false;
    stats.nextTrial = now + routeTrialInterval;
    return true;
}

// A repeated request of a caller has less time left than its first one had.
auto elapsedBefore(RouteStats &stats, Duration timeLeft) -> Duration
{
    stats.longestTimeLeft = std::max(stats.longestTimeLeft, timeLeft);
    return stats.longestTimeLeft - timeLeft;
}

auto checkReachability(Forwarder &forwarder, TimePoint now) -> void
{
    if (now < forwarder.nextReachabilityCheck)
        return;
    forwarder.nextReachabilityCheck = now + reachabilityInterval;
    auto overdue = std::vector<OverdueSend>();
    for (std::size_t number = 0; number < forwarder.leafs.leafs.size(); ++number) {
        const auto &leaf = forwarder.leafs.leafs[number];
        for (const auto &send : leaf.outstanding) {
            if (send.overdueAt <= now)
                overdue.push_back({leaf.record.domain, number});
        }
    }
    updateReachability(forwarder.reachability, overdue, now);
}

// Starts a call, which may have arrived some time ago.
auto admit(Forwarder &forwarder, const RequestArrived &event, TimePoint arrivedAt, TimePoint now,
           std::vector<ForwardAction> &actions) -> void
{
    if (forwarder.table == nullptr)
        return refuse(forwarder, event, nullptr, OwnStatus::NotRun, CallEnd::NoRoutes, actions);
    const auto *route = findRoute(*forwarder.table, event.request->host, event.request->target);
    if (route == nullptr)
        return refuse(forwarder, event, nullptr, OwnStatus::NoRoute, CallEnd::NoRoute, actions);
    checkReachability(forwarder, now);
    if (isCutOff(forwarder.reachability, now) && !takeTrial(forwarder.reachability, now))
        return refuse(forwarder, event, route, OwnStatus::NotRun, CallEnd::CutOff, actions);
    if (forwarder.calls.size() >= mostCalls || forwarder.waiting.size() >= mostWaiting)
        return refuse(forwarder, event, route, OwnStatus::NotRun, CallEnd::Overloaded, actions);
    auto owned = std::make_unique<Call>();
    auto &call = *owned;
    call.id = event.call;
    call.request = event.request;
    call.table = forwarder.table;
    call.route = route;
    call.stats = &statsOf(forwarder, *route);
    call.arrivedAt = arrivedAt;
    call.endAt = arrivedAt + std::min(event.request->timeLeft, route->timeout) - endMargin;
    call.partialAt = arrivedAt + route->targetLatency - answerMargin
                     - elapsedBefore(*call.stats, event.request->timeLeft);
    call.parts = buildParts(*call.stats, *route);
    if (call.endAt <= now)
        return refuse(forwarder, event, route, OwnStatus::NotRun, CallEnd::TimedOut, actions);
    // A query that can't reach its share of the shards is turned away before its first send.
    if (call.parts.size() - unservedParts(forwarder, call) < requiredParts(call))
        return refuse(forwarder, event, route, OwnStatus::NotRun, CallEnd::NoLeaf, actions);
    if (call.parts.size() - silentParts(forwarder, call, now) < requiredParts(call)
        && !takeTrial(*call.stats, now))
        return refuse(forwarder, event, route, OwnStatus::NotRun, CallEnd::SilentLeafs, actions);
    forwarder.calls.emplace(call.id, std::move(owned));
    setAlarm(forwarder, call.endAt, false, static_cast<std::uint64_t>(call.id));
    if (!route->shards.empty())
        setAlarm(forwarder, call.partialAt, false, static_cast<std::uint64_t>(call.id));
    advance(forwarder, call, now, actions);
}

auto hold(Forwarder &forwarder, const RequestArrived &event, TimePoint now) -> void
{
    const auto time = std::min(longestHold, event.request->timeLeft / holdParts);
    forwarder.held.push_back({event, now, now + time});
}

auto refuseHeld(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions) -> void
{
    std::erase_if(forwarder.held, [&](const HeldRequest &item) {
        const auto ended = forwarder.stateUnavailable || item.heldUntil <= now;
        if (ended)
            refuse(forwarder, item.event, nullptr, OwnStatus::NotRun, CallEnd::NoRoutes, actions);
        return ended;
    });
}

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
    if (forwarder.stateUnavailable || forwarder.held.size() >= mostHeld)
        return refuse(forwarder, event, nullptr, OwnStatus::NotRun, CallEnd::NoRoutes, actions);
    hold(forwarder, event, now);
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
            setAlarm(forwarder, send.endAt, true, number(id));
        }
    }
    endCall(forwarder, call, CallEnd::CallerLeft, now, actions);
}

auto freeLink(Forwarder &forwarder, LeafState &leaf, const LeafAnswered &event, LinkId id,
              TimePoint now) -> void
{
    const auto link = std::find_if(leaf.links.begin(), leaf.links.end(),
                                   [id](const Link &item) { return item.id == id; });
    link->state = LinkState::Idle;
    link->idleSince = now;
    if (!forwarder.nextLinkCheck)
        forwarder.nextLinkCheck = now + linkCheckInterval;
    if (event.idleLimit > Duration())
        link->idleLimit = event.idleLimit;
}

auto dropLink(Forwarder &forwarder, LinkId id) -> void
{
    const auto found = forwarder.links.find(id);
    if (found == forwarder.links.end())
        return;
    auto &leaf = leafAt(forwarder.leafs, found->second);
    std::erase_if(leaf.links, [id](const Link &link) { return link.id == id; });
    forwarder.links.erase(found);
}

auto closeLink(Forwarder &forwarder, LinkId id, std::vector<ForwardAction> &actions) -> void
{
    dropLink(forwarder, id);
    actions.emplace_back(CloseLink{id});
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
    const auto latency = now - send.sentAt - (send.opened ? openTime : Duration());
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

auto takeAnswer(Call &call, Part &part, const Send &send, const LeafAnswer &answer) -> void
{
    if (part.state != PartState::Open)
        return;
    call.lastLeaf = send.leaf;
    if (answer.kind == LeafAnswerKind::Success) {
        part.state = PartState::Answered;
        part.answer = answer;
        return;
    }
    if (answer.kind == LeafAnswerKind::Failure)
        part.answer = answer;
    failPart(call, part, toReason(answer.kind), answer.kind == LeafAnswerKind::Failure);
}

auto take(Forwarder &forwarder, const LeafAnswered &event, TimePoint now,
          std::vector<ForwardAction> &actions) -> void
{
    const auto found = forwarder.sends.find(event.send);
    if (found == forwarder.sends.end())
        return;
    const auto send = found->second;
    forwarder.sends.erase(found);
    endSend(forwarder, send);
    count(forwarder.counters, event.answer.kind);
    auto &leaf = leafAt(forwarder.leafs, send.leaf);
    const auto call = forwarder.calls.find(send.call);
    observe(leaf, send, event.answer, now);
    noteDomainAnswer(forwarder.reachability, leaf.record.domain, now);
    if (!event.linkUsable || !leaf.listed)
        closeLink(forwarder, send.link, actions);
    else
        freeLink(forwarder, leaf, event, send.link, now);
    if (call != forwarder.calls.end()) {
        takeAnswer(*call->second, call->second->parts[send.part], send, event.answer);
        advance(forwarder, *call->second, now, actions);
    }
    advanceWaiting(forwarder, now, actions);
}

auto take(Forwarder &forwarder, const SendFailed &event, TimePoint now,
          std::vector<ForwardAction> &actions) -> void
{
    const auto found = forwarder.sends.find(event.send);
    if (found == forwarder.sends.end())
        return;
    const auto send = found->second;
    forwarder.sends.erase(found);
    endSend(forwarder, send);
    dropLink(forwarder, send.link);
    auto &counters = forwarder.counters;
    ++(event.failure == SendFailure::NotSent ? counters.notSent
       : event.failure == SendFailure::Lost  ? counters.lost
                                             : counters.invalid);
    noteFailure(leafAt(forwarder.leafs, send.leaf), now);
    const auto call = forwarder.calls.find(send.call);
    if (call != forwarder.calls.end()) {
        auto &part = call->second->parts[send.part];
        if (part.state == PartState::Open)
            failPart(*call->second, part, toReason(event.failure),
                     event.failure != SendFailure::NotSent);
        advance(forwarder, *call->second, now, actions);
    }
    advanceWaiting(forwarder, now, actions);
}

auto take(Forwarder &forwarder, const LinkClosed &event, TimePoint now,
          std::vector<ForwardAction> &actions) -> void
{
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

// Closes the idle connections of leafs that get nothing any more.
auto closeUnusedLinks(Forwarder &forwarder, std::vector<ForwardAction> &actions) -> void
{
    for (auto &leaf : forwarder.leafs.leafs) {
        if (leaf.links.empty() || (leaf.listed && !leaf.record.draining && !leaf.misdirected))
            continue;
        const auto links = leaf.links;
        for (const auto &link : links) {
            if (link.state == LinkState::Idle)
                closeLink(forwarder, link.id, actions);
        }
    }
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
        removeLeaf(forwarder.leafs, id, now + wait);
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
    const auto send = found->second;
    forwarder.sends.erase(found);
    endSend(forwarder, send);
    ++forwarder.counters.overdue;
    if (now - send.sentAt > cancelDelay)
        noteFailure(leafAt(forwarder.leafs, send.leaf), now);
    closeLink(forwarder, send.link, actions);
    const auto call = forwarder.calls.find(send.call);
    if (call != forwarder.calls.end())
        call->second->parts[send.part].mayHaveRun = true;
}

// Closes connections that were idle for too long, before their leafs do.
auto closeStaleLinks(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions)
        -> void
{
    if (!forwarder.nextLinkCheck || now < *forwarder.nextLinkCheck)
        return;
    auto stale = std::vector<LinkId>();
    for (const auto &leaf : forwarder.leafs.leafs) {
        for (const auto &link : leaf.links) {
            if (link.state == LinkState::Idle && now - link.idleSince > idleTime(leaf, link))
                stale.push_back(link.id);
        }
    }
    for (const auto id : stale)
        closeLink(forwarder, id, actions);
    forwarder.nextLinkCheck.reset();
    if (!forwarder.links.empty())
        forwarder.nextLinkCheck = now + linkCheckInterval;
}

auto take(Forwarder &forwarder, const ForwarderTick & /*event*/, TimePoint now,
          std::vector<ForwardAction> &actions) -> void
{
    applyRemovals(forwarder.leafs, now);
    refuseHeld(forwarder, now, actions);
    closeStaleLinks(forwarder, now, actions);
    checkReachability(forwarder, now);
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

auto nextWake(const Forwarder &forwarder) -> std::optional<TimePoint>
{
    auto wake = forwarder.leafs.nextRemoval;
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
    forwarder.share.instanceHash = settings.seed;
    forwarder.share.coldOvershoot = settings.coldOvershoot;
    if (!forwarder.instancesKnown)
        forwarder.share.instances = settings.assumedInstances;
}

auto reachesLeafs(const Forwarder &forwarder, TimePoint now) -> bool
{
    return !isCutOff(forwarder.reachability, now);
}

auto canServe(const Forwarder &forwarder) -> bool
{
    return forwarder.stateRead && forwarder.table != nullptr && !forwarder.leafs.byService.empty();
}

} // namespace crocusreach::forward

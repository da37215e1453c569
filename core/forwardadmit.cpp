#include "forwardadmit.h"

#include "forwardanswer.h"
#include "forwardcalls.h"
#include "forwardquota.h"
#include "forwardsend.h"
#include "forwardwaiting.h"
#include "serviceability.h"

#include <algorithm>
#include <utility>

namespace crocusreach::forward {

namespace {

// Time from the decision to answer until the answer reaches the caller: the network round trip and
// the wait for the processor. An answer decided later than this before the target latency would
// count as late.
constexpr Duration answerMargin = std::chrono::milliseconds(12);
// A call ends this long before the caller's time is over, so that its answer arrives in time.
constexpr Duration deadlineMargin = std::chrono::milliseconds(15);
// A trial is a caller's request that most likely fails, whereas another instance could serve it if
// it were refused. Trials are therefore limited to one per interval.
constexpr Duration routeTrialInterval = std::chrono::milliseconds(400);
// Callers open a connection within this time. A caller with less time left than the maximum minus
// this has tried before, or has a shorter timeout than others.
constexpr Duration maxConnectTime = std::chrono::milliseconds(20);
// How long the maximum of the time left stays valid; callers seldom change their timeouts.
constexpr Duration timeLeftRetention = std::chrono::minutes(10);
// Short enough for the balancer, which checks once a second whether this instance is ready and
// needs two answers.
constexpr Duration unservableWindowLength = std::chrono::milliseconds(500);
constexpr Duration reachabilityCheckInterval = std::chrono::milliseconds(20);
// Bounds the memory of calls in progress. New requests beyond this number are refused.
constexpr std::size_t callLimit = 2000;
// At the start, the state is read within some tens of milliseconds. A request that arrives earlier
// is held for at most this time, and at most for its time left divided by holdTimeDivisor.
constexpr Duration maxHoldTime = std::chrono::milliseconds(250);
constexpr std::int64_t holdTimeDivisor = 4;
constexpr std::size_t heldRequestLimit = 500;

auto routeStatsOf(Forwarder &forwarder, const Route &route) -> RouteStats &
{
    auto &stats = forwarder.routeStats[route.name];
    if (stats == nullptr)
        stats = std::make_unique<RouteStats>();
    return *stats;
}

// Smooth weighted round robin: over any sequence of requests, the number that a service gets is
// within one of its share.
auto chooseService(RouteStats &stats, const Route &route) -> std::size_t
{
    stats.splitWeights.resize(route.split.size());
    auto total = 0.0;
    auto best = std::size_t(0);
    for (std::size_t index = 0; index < route.split.size(); ++index) {
        stats.splitWeights[index] += route.split[index].weight;
        total += route.split[index].weight;
        if (stats.splitWeights[index] > stats.splitWeights[best])
            best = index;
    }
    stats.splitWeights[best] -= total;
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
        add(route.split[chooseService(stats, route)].service);
        return parts;
    }
    for (const auto &shard : route.shards)
        add(shard);
    return parts;
}

// True if enough parts of the call have a leaf for which the condition holds.
template <typename Condition>
auto canReachRequiredParts(const Call &call, Condition hasLeaf) -> bool
{
    const auto parts = std::count_if(call.parts.begin(), call.parts.end(),
                                     [&](const Part &part) { return hasLeaf(part.service); });
    return static_cast<std::size_t>(parts) >= requiredParts(call);
}

// Estimates how much time a caller spent before its request arrived: the longest time left that
// recent callers of the route had, minus that of this one. A caller that opens a connection for its
// request counts the time for that: with 3 ms one way, it takes 7 to 9 of the 60 ms within which
// the caller wants an answer.
auto recordTimeLeft(RouteStats &stats, Duration timeLeft, TimePoint now) -> Duration
{
    if (timeLeft >= stats.maxTimeLeft || now - stats.maxTimeLeftAt > timeLeftRetention) {
        stats.maxTimeLeft = timeLeft;
        stats.maxTimeLeftAt = now;
    }
    const auto elapsed = stats.maxTimeLeft - timeLeft;
    return elapsed <= maxConnectTime ? elapsed : Duration();
}

// While too few leafs of a route answer, lets one request per interval through to find out whether
// they answer again. Returns whether this request is one.
auto tryStartTrial(RouteStats &stats, TimePoint now) -> bool
{
    if (now < stats.nextTrialAt)
        return false;
    stats.nextTrialAt = now + routeTrialInterval;
    return true;
}

// False if the instance will probably exit before the call ends. A request that must not be
// repeated needs all of its time before the exit, since its caller couldn't tell whether it ran.
auto endsBeforeStop(const Forwarder &forwarder, const Call &call, TimePoint now) -> bool
{
    constexpr double slowFraction = 0.99;
    if (!forwarder.answersUntil || call.deadline <= *forwarder.answersUntil)
        return true;
    if (!call.route->idempotent)
        return false;
    const auto needed
            = std::max(call.route->targetLatency, quantile(call.stats->latency, slowFraction));
    return now + needed <= *forwarder.answersUntil;
}

auto updateUnservableWindow(Forwarder &forwarder, TimePoint now) -> void
{
    auto &window = forwarder.unservable;
    if (now - window.startedAt < unservableWindowLength)
        return;
    const auto &counters = forwarder.counters;
    const auto requests = counters.requests - window.requests;
    const auto unservable = counters.unservable - window.unservable;
    // Once callers are sent to other instances, the few that still arrive aren't representative.
    const auto remainsIsolated
            = window.majorityUnservable && isIsolated(forwarder.reachability, now);
    const auto majorityUnservable = remainsIsolated || (requests > 0 && 2 * unservable >= requests);
    window = {now, counters.requests, counters.unservable, majorityUnservable};
}

} // namespace

auto refuse(Forwarder &forwarder, const RequestArrived &event, TimePoint now, const Route *route,
            LocalStatus status, CallEnd end, std::vector<ForwardAction> &actions,
            std::optional<Duration> retry) -> void
{
    auto answer = LocalAnswer{status, retry};
    if (status == LocalStatus::NotRun && !retry)
        answer.retryAfter = retryAfter(forwarder, end, event.request->timeLeft);
    ++forwarder.counters.ends.at(static_cast<std::size_t>(end));
    answerCaller(event.call, answer, actions);
    auto summary = CallSummary();
    summary.requestId = event.request->id;
    summary.route = route == nullptr ? std::string() : route->name;
    if (forwarder.table != nullptr && event.request->key) {
        const auto &tenants = forwarder.table->tenants;
        if (const auto tenant = findTenant(tenants, *event.request->key))
            summary.tenant = tenants.tenants.at(*tenant).name;
    }
    summary.version = forwarder.table == nullptr ? 0 : forwarder.table->version;
    summary.stateAge = stateAgeOf(forwarder, now);
    summary.end = end;
    summary.timeLeftAtArrival = event.request->timeLeft;
    actions.emplace_back(CallEnded{std::move(summary)});
}

auto checkReachability(Forwarder &forwarder, TimePoint now) -> void
{
    if (now < forwarder.nextReachabilityCheckAt)
        return;
    forwarder.nextReachabilityCheckAt = now + reachabilityCheckInterval;
    auto overdue = std::vector<OverdueSend>();
    for (const auto &[id, send] : forwarder.sends) {
        if (send.overdueAt <= now)
            overdue.push_back({leafAt(forwarder.leafs, send.leaf).record.domain,
                               static_cast<std::size_t>(send.leaf)});
    }
    updateReachability(forwarder.reachability, overdue, now);
    updateUnservableWindow(forwarder, now);
    if (isIsolated(forwarder.reachability, now) && !forwarder.probe.nextAt)
        forwarder.probe.nextAt = now;
}

namespace {

// The token of a request that has one is given.
auto admitRequest(Forwarder &forwarder, const QuotaRequest &request, const QuotaGranted *granted,
                  TimePoint now, std::vector<ForwardAction> &actions) -> void
{
    const auto &event = request.event;
    const auto arrivedAt = request.arrivedAt;
    if (forwarder.table == nullptr)
        return refuse(forwarder, event, now, nullptr, LocalStatus::NotRun, CallEnd::NoRoutes,
                      actions);
    const auto *route = findRoute(*forwarder.table, event.request->host, event.request->target);
    if (route == nullptr)
        return refuse(forwarder, event, now, nullptr, LocalStatus::NoRoute, CallEnd::NoRoute,
                      actions);
    const auto &tenants = forwarder.table->tenants;
    const auto access = checkAccess(tenants, *route, event.request->key);
    if (!access.isAllowed)
        return refuse(forwarder, event, now, route, LocalStatus::UnknownKey, CallEnd::UnknownKey,
                      actions);
    const auto isUnconfirmed
            = access.tenant
              && mayBeRevoked(forwarder.settings.revocation, forwarder.tableConfirmedAt, now);
    // A request that was read before the first desired state with tenants may carry its key along.
    const auto mayLeakKey = tenants.isEnforced && event.request->mayHoldKey;
    if (isUnconfirmed || mayLeakKey)
        return refuse(forwarder, event, now, route, LocalStatus::NotRun, CallEnd::KeyUnconfirmed,
                      actions);
    const auto isLimited = needsToken(forwarder, access.tenant);
    if (isLimited && granted == nullptr)
        return awaitToken(forwarder, *access.tenant, request, now, actions);
    checkReachability(forwarder, now);
    if (isCutOff(forwarder.reachability, now) && !tryStartTrial(forwarder.reachability, now))
        return refuse(forwarder, event, now, route, LocalStatus::NotRun, CallEnd::CutOff, actions);
    const auto priority = effectivePriority(tenants, *route, access.tenant);
    const auto place = findPlace(forwarder, *event.request, priority, access.tenant);
    if (forwarder.calls.size() >= callLimit || !place.isFree)
        return refuse(forwarder, event, now, route, LocalStatus::NotRun, CallEnd::Overloaded,
                      actions);
    auto owned = std::make_unique<Call>();
    auto &call = *owned;
    call.id = event.call;
    call.request = event.request;
    call.table = forwarder.table;
    call.route = route;
    call.tenant = access.tenant;
    call.priority = priority;
    if (isLimited) {
        call.tokenValidUntil = granted->validUntil;
        call.expiredTokens = request.expiredTokens;
    }
    call.stats = &routeStatsOf(forwarder, *route);
    call.arrivedAt = arrivedAt;
    call.deadline = arrivedAt + std::min(event.request->timeLeft, route->timeout) - deadlineMargin;
    // What may be repeated is served even if its caller's time may be over.
    if (!route->idempotent)
        call.deadline -= event.request->maxUnreadTime;
    call.elapsedBeforeArrival = recordTimeLeft(*call.stats, event.request->timeLeft, now);
    call.partialAnswerAt
            = arrivedAt + route->targetLatency - call.elapsedBeforeArrival - answerMargin;
    call.parts = buildParts(*call.stats, *route);
    if (call.deadline <= now)
        return refuse(forwarder, event, now, route, LocalStatus::NotRun, CallEnd::TimedOut,
                      actions);
    if (!endsBeforeStop(forwarder, call, now))
        return refuse(forwarder, event, now, route, LocalStatus::NotRun, CallEnd::Stopping,
                      actions);
    shortenToStop(forwarder, call);
    // A query that can't reach enough shards is refused before its first send.
    const auto isServed = [&](std::string_view service) {
        return canSendInTime(forwarder, call, service, now);
    };
    if (!canReachRequiredParts(call, isServed))
        return refuse(forwarder, event, now, route, LocalStatus::NotRun, CallEnd::NoLeaf, actions);
    const auto isAnswering = [&](std::string_view service) {
        return hasResponsiveLeaf(forwarder.leafs, service, forwarder.reachability, now);
    };
    if (!canReachRequiredParts(call, isAnswering)) {
        ++forwarder.counters.unservable;
        // While the instance is isolated, probes test the network path, so callers' requests aren't
        // used for that.
        if (isIsolated(forwarder.reachability, now) || !tryStartTrial(*call.stats, now))
            return refuse(forwarder, event, now, route, LocalStatus::NotRun, CallEnd::SilentLeafs,
                          actions);
    }
    if (const auto time = findShortage(forwarder, call, now))
        return refuse(forwarder, event, now, route, LocalStatus::NotRun, CallEnd::NoCapacity,
                      actions, retryAfterDrain(forwarder, *time));
    forwarder.calls.emplace(call.id, std::move(owned));
    addTimer(forwarder, call.deadline, TimerKind::Call, static_cast<std::uint64_t>(call.id));
    if (!route->shards.empty())
        addTimer(forwarder, call.partialAnswerAt, TimerKind::Call,
                 static_cast<std::uint64_t>(call.id));
    advance(forwarder, call, now, actions);
    refuseReplaced(forwarder, place, now, actions);
}

} // namespace

auto admit(Forwarder &forwarder, const RequestArrived &event, TimePoint arrivedAt, TimePoint now,
           std::vector<ForwardAction> &actions) -> void
{
    admitRequest(forwarder, {event, arrivedAt}, nullptr, now, actions);
}

auto admitAgain(Forwarder &forwarder, const QuotaRequest &request, TimePoint now,
                std::vector<ForwardAction> &actions) -> void
{
    admitRequest(forwarder, request, nullptr, now, actions);
}

auto admitGranted(Forwarder &forwarder, const QuotaGranted &granted, TimePoint now,
                  std::vector<ForwardAction> &actions) -> void
{
    admitRequest(forwarder, granted.request, &granted, now, actions);
}

auto holdRequest(Forwarder &forwarder, const RequestArrived &event, TimePoint now) -> bool
{
    if (forwarder.heldRequests.size() >= heldRequestLimit)
        return false;
    const auto time = std::min(maxHoldTime, event.request->timeLeft / holdTimeDivisor);
    // The wait for a confirmation ends by itself.
    const auto until = forwarder.stateRead ? TimePoint::max() : now + time;
    forwarder.heldRequests.push_back({event, now, until});
    return true;
}

auto admitHeldRequests(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions)
        -> void
{
    for (const auto &item : std::exchange(forwarder.heldRequests, {}))
        admit(forwarder, item.event, item.arrivedAt, now, actions);
}

auto refuseHeldRequests(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions)
        -> void
{
    std::erase_if(forwarder.heldRequests, [&](const HeldRequest &item) {
        const auto isUnavailable = !forwarder.stateRead && forwarder.stateUnavailable;
        const auto ended = isUnavailable || item.heldUntil <= now;
        if (ended)
            refuse(forwarder, item.event, now, nullptr, LocalStatus::NotRun, CallEnd::NoRoutes,
                   actions);
        return ended;
    });
}

} // namespace crocusreach::forward

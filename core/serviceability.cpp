#include "serviceability.h"

#include "forwardcalls.h"
#include "forwardsend.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace crocusreach::forward {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr auto unlimited = std::numeric_limits<double>::infinity();
// The number of answers in a time varies by about the root of its mean. More than the mean and two
// roots arrive in fewer than one case in forty. The half makes one call that nothing is ahead of
// always count as possible.
constexpr double toleratedDeviations = 2;
constexpr double toleratedPerDeviation = 0.5;
// Of the answers of a call's parts, those that arrive within the time that is kept for them before
// the target latency.
constexpr double answeredFraction = 0.9;
// A refusal is due within a quarter of the target latency, and the shortest targets are 40 ms.
constexpr Duration checkInterval = std::chrono::milliseconds(10);
// Limits and pauses of leafs change, so that a longer time says little.
constexpr Duration maxDrainTime = std::chrono::seconds(5);

// The most sends for which connections to the leaf become free.
auto sendsByConnections(const LeafState &leaf, const DrainQuery &query, const InstanceShare &share,
                        bool isPaused, Duration time) -> double
{
    const auto limit = connectionLimit(query.spec, share, leaf);
    if (limit == std::numeric_limits<std::size_t>::max() || query.answerTime <= Duration())
        return unlimited;
    const auto inUse = isPaused ? std::size_t(0) : std::min(limit, leaf.outstanding.size());
    return static_cast<double>(limit - inUse)
           + static_cast<double>(limit) * (Seconds(time) / Seconds(query.answerTime));
}

auto sendsToLeaf(const LeafState &leaf, const DrainQuery &query, const InstanceShare &share,
                 TimePoint now, TimePoint until) -> double
{
    const auto &statements = leaf.statements;
    const auto from = std::max(now, statements.pausedUntil);
    if (nextSendAt(statements, now) > until)
        return 0;
    const auto bySlots
            = statements.rateLimit ? sendsBetween(statements.schedule, from, until) : unlimited;
    auto scaledQuery = query;
    scaledQuery.answerTime = Duration(static_cast<Duration::rep>(
            static_cast<double>(query.answerTime.count()) * latencyRatioOf(leaf, now)));
    const auto byConnections
            = sendsByConnections(leaf, scaledQuery, share, from > now, until - from);
    const auto most
            = byConnections + query.deviations * (std::sqrt(byConnections) + toleratedPerDeviation);
    return std::min(bySlots, most);
}

// False if the leaf gets no requests, or is silent, so that sends to it don't count. One that only
// a share of the requests goes to counts in full.
auto isAvailable(const LeafTable &table, const LeafState &leaf, const DrainQuery &query,
                 TimePoint now) -> bool
{
    return (isUsable(table, leaf, now) || isUsableAs(table, leaf, VersionUse::Canary, now))
           && !isUnresponsive(leaf, now)
           && (query.reachability == nullptr
               || !isSuspect(*query.reachability, leaf.record.domain, now));
}

// The calls that wait for a leaf, in their order.
auto waitingCallsOf(const Forwarder &forwarder, std::span<const CallId> ids)
        -> std::vector<const Call *>
{
    auto calls = std::vector<const Call *>();
    for (const auto id : orderWaiting(forwarder.waiting, ids)) {
        const auto call = forwarder.calls.find(id);
        calls.push_back(call == forwarder.calls.end() ? nullptr : call->second.get());
    }
    return calls;
}

auto waitingIds(const WaitQueue &queue) -> std::vector<CallId>
{
    auto ids = std::vector<CallId>();
    for (const auto &[id, call] : queue.calls)
        ids.push_back(id);
    return ids;
}

// The waiting calls that would be sent before a new one, which isn't among the calls yet.
auto waitingCallsBefore(Forwarder &forwarder, const Call &call) -> std::vector<const Call *>
{
    auto &queue = forwarder.waiting;
    if (queue.calls.empty())
        return {};
    auto place = WaitingCall();
    place.id = call.id;
    place.priority = call.priority;
    place.tenant = tenantNameOf(call);
    place.deadline = call.deadline;
    putWaiting(queue, std::move(place));
    auto calls = waitingCallsOf(forwarder, waitingIds(queue));
    removeWaiting(queue, call.id);
    calls.erase(std::find(calls.begin(), calls.end(), nullptr), calls.end());
    return calls;
}

auto isWaitingForSend(const Part &part) -> bool
{
    return part.state == PartState::Open && part.activeSends.empty();
}

// The sends that calls further ahead in the queue take, by service.
using SendsAhead = std::unordered_map<std::string_view, double>;

auto aheadOf(const SendsAhead &ahead, std::string_view service) -> double
{
    const auto found = ahead.find(service);
    return found == ahead.end() ? 0 : found->second;
}

auto drainQuery(Forwarder &forwarder, const Call &call, const Part &part) -> DrainQuery
{
    auto query = DrainQuery();
    const auto list = forwarder.leafs.byService.find(std::string(part.service));
    if (list != forwarder.leafs.byService.end())
        query.leafs = list->second;
    query.spec = findServiceSpec(*call.table, part.service);
    query.answerTime = call.stats->medianLatency;
    query.deviations = toleratedDeviations;
    query.reachability = &forwarder.reachability;
    return query;
}

// Counts the sends that the parts of a call will take. A call whose time ends before it can be sent
// takes none.
auto countSendsOf(Forwarder &forwarder, const Call &call, TimePoint now, SendsAhead &ahead) -> void
{
    for (const auto &part : call.parts) {
        const auto found = ahead.find(part.service);
        if (found != ahead.end() && isWaitingForSend(part)
            && canDrain(forwarder.leafs, drainQuery(forwarder, call, part), forwarder.share,
                        found->second + 1, now, call.deadline))
            ++found->second;
    }
}

// True if each request in at least the target latency has found calls that wait for the service.
// The queue then doesn't come from a burst: who joins it at its end is late, as are all behind.
auto hasStandingQueue(const Forwarder &forwarder, const Call &call, const Part &part, TimePoint now)
        -> bool
{
    if (forwarder.serviceQueues.empty())
        return false;
    const auto found = forwarder.serviceQueues.find(std::string(part.service));
    if (found == forwarder.serviceQueues.end())
        return false;
    const auto &queue = found->second;
    return now < queue.standsUntil
           || (queue.since && now - *queue.since >= call.route->targetLatency);
}

// The queue of a service is too long for the target latency. It counts as standing until requests
// have found it short enough for as long as it took to begin; otherwise it would grow to the
// deadline again whenever it has been empty for a moment.
auto keepStanding(Forwarder &forwarder, const Call &call, const Part &part, TimePoint now) -> void
{
    forwarder.serviceQueues[std::string(part.service)].standsUntil
            = now + call.route->targetLatency;
}

// The time until the call could be sent to enough services, if that is too late. A request that
// arrives at a standing queue must be sent in time for its target latency, others for its deadline.
auto shortageBehind(Forwarder &forwarder, const Call &call, const SendsAhead &ahead,
                    bool isArriving, TimePoint now) -> std::optional<Duration>
{
    const auto typical = typicalLatency(*call.stats, *call.route);
    auto times = std::vector<Duration>();
    for (const auto &part : call.parts) {
        auto query = drainQuery(forwarder, call, part);
        auto latest = call.deadline - typical;
        const auto isStanding = isArriving && hasStandingQueue(forwarder, call, part, now);
        if (isStanding) {
            const auto slow = quantile(call.stats->latency, answeredFraction);
            latest = std::min(latest, call.partialAnswerAt - std::max(typical, slow));
            query.deviations = 0;
        }
        // What can be sent at once is, whatever the expectation, since its answer corrects that.
        latest = std::max(latest, now);
        const auto sends = aheadOf(ahead, part.service) + 1;
        if (canDrain(forwarder.leafs, query, forwarder.share, sends, now, latest))
            continue;
        times.push_back(drainTime(forwarder.leafs, query, forwarder.share, sends, now));
        if (isStanding)
            keepStanding(forwarder, call, part, now);
    }
    const auto dispensable = call.parts.size() - requiredParts(call);
    if (times.size() <= dispensable)
        return {};
    std::sort(times.begin(), times.end());
    return times[times.size() - dispensable - 1];
}

// Records whether a request found calls that wait for its services.
auto recordQueues(Forwarder &forwarder, const Call &call, TimePoint now) -> void
{
    auto queued = std::set<std::string_view>();
    for (const auto *other : waitingCallsOf(forwarder, waitingIds(forwarder.waiting))) {
        for (const auto &part : other->parts) {
            if (isWaitingForSend(part))
                queued.insert(part.service);
        }
    }
    auto &queues = forwarder.serviceQueues;
    if (queued.empty() && queues.empty())
        return;
    for (const auto &part : call.parts) {
        const auto name = std::string(part.service);
        if (queued.contains(part.service)) {
            auto &queue = queues[name];
            queue.since = queue.since.value_or(now);
        } else if (const auto found = queues.find(name); found != queues.end()) {
            found->second.since.reset();
            if (now >= found->second.standsUntil)
                queues.erase(found);
        }
    }
}

// Checks again when the interval is over what changed in it. Calls that have been sent somewhere
// need no check.
auto scheduleCheck(Forwarder &forwarder) -> void
{
    if (forwarder.isServiceabilityCheckDue)
        return;
    for (const auto &[id, waiting] : forwarder.waiting.calls) {
        if (forwarder.calls.at(id)->sends > 0)
            continue;
        forwarder.isServiceabilityCheckDue = true;
        return addTimer(forwarder, forwarder.nextServiceabilityCheckAt, TimerKind::Call,
                        toUnderlying(id));
    }
}

} // namespace

auto canDrain(LeafTable &table, const DrainQuery &query, const InstanceShare &share, double sends,
              TimePoint now, TimePoint until) -> bool
{
    auto sum = 0.0;
    auto isAnyAvailable = false;
    for (const auto index : query.leafs) {
        const auto &leaf = leafAt(table, index);
        if (!isAvailable(table, leaf, query, now))
            continue;
        isAnyAvailable = true;
        sum += sendsToLeaf(leaf, query, share, now, until);
        if (sum >= sends)
            return true;
    }
    return !isAnyAvailable;
}

auto drainTime(LeafTable &table, const DrainQuery &query, const InstanceShare &share, double sends,
               TimePoint now) -> Duration
{
    auto least = Duration();
    auto most = maxDrainTime;
    while (most - least > std::chrono::milliseconds(1)) {
        const auto middle = least + (most - least) / 2;
        if (canDrain(table, query, share, sends, now, now + middle))
            most = middle;
        else
            least = middle;
    }
    return most;
}

auto findShortage(Forwarder &forwarder, const Call &call, TimePoint now) -> std::optional<Duration>
{
    auto ahead = SendsAhead();
    if (!forwarder.waiting.calls.empty()) {
        for (const auto &part : call.parts)
            ahead.emplace(part.service, 0);
    }
    for (const auto *other : waitingCallsBefore(forwarder, call))
        countSendsOf(forwarder, *other, now, ahead);
    recordQueues(forwarder, call, now);
    return shortageBehind(forwarder, call, ahead, true, now);
}

auto retryAfterDrain(Forwarder &forwarder, Duration drainTime) -> Duration
{
    const auto range = static_cast<std::uint64_t>(std::max(Duration(1), drainTime).count());
    return drainTime + Duration(static_cast<Duration::rep>(nextRandom(forwarder.random) % range));
}

auto refuseUnservableCalls(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions)
        -> void
{
    if (now < forwarder.nextServiceabilityCheckAt)
        return scheduleCheck(forwarder);
    forwarder.isServiceabilityCheckDue = false;
    if (forwarder.waiting.calls.empty() || forwarder.confirmationDueAt)
        return;
    forwarder.nextServiceabilityCheckAt = now + checkInterval;
    auto ahead = SendsAhead();
    auto refused = std::vector<std::pair<CallId, Duration>>();
    for (const auto *call : waitingCallsOf(forwarder, waitingIds(forwarder.waiting))) {
        for (const auto &part : call->parts)
            ahead.emplace(part.service, 0);
        const auto shortage = call->sends == 0 ? shortageBehind(forwarder, *call, ahead, false, now)
                                               : std::nullopt;
        if (shortage)
            refused.emplace_back(call->id, *shortage);
        else
            countSendsOf(forwarder, *call, now, ahead);
    }
    for (const auto &[id, time] : refused) {
        const auto answer = LocalAnswer{LocalStatus::NotRun, retryAfterDrain(forwarder, time)};
        answerCaller(id, answer, actions);
        endCall(forwarder, *forwarder.calls.at(id), CallEnd::NoCapacity, now, actions);
    }
}

} // namespace crocusreach::forward

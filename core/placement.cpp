#include "placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace crocusreach::forward {

namespace {

// Traffic between failure domains is expensive, and the round trip takes 1 to 3 ms.
constexpr Duration otherDomainCost = std::chrono::milliseconds(3);
// Leafs stall for up to 200 ms.
constexpr Duration stalledCost = std::chrono::milliseconds(200);
constexpr Duration avoidedCost = std::chrono::seconds(2);
// A leaving leaf is used in the rest of its time only if all others have failed or none is known.
constexpr Duration leavingCost = std::chrono::seconds(1);
// For how long an answer of a leaf in another domain shows how fast leafs are there. At most this
// time counts in a change of the share at one send, too.
constexpr Duration otherDomainKnowledge = std::chrono::seconds(2);
// Of a failed send: the time until the retry, and the retry budget that it uses.
constexpr Duration failureCost = std::chrono::milliseconds(100);
constexpr Duration jitter = std::chrono::milliseconds(1);
// A cold leaf is slower by about this fraction.
constexpr double coldSlowdown = 0.6;
// A reported load is ignored after this time, since the requests that it counts have ended by then.
// At an instance that sends a leaf one request a second, an older report would keep requests away
// from an idle leaf.
constexpr Duration loadReportValidity = std::chrono::milliseconds(50);
// Where requests are kept in their domain, an older report counts less and less instead: a queue
// that only the next answers show would have made several requests late by then.
constexpr double loadReportHalfLife = 0.3;
// The pace that a leaf reports changes several times a second.
constexpr double paceHalfLife = 0.25;
// An older pace says nothing any more.
constexpr Duration paceValidity = std::chrono::milliseconds(2500);
// Random part of the expected latency at a leaf with a fresh pace. Instances that see the same
// paces at the same time would otherwise all choose the same leaf.
constexpr double paceSpread = 0.3;
// One failure raises the failure rate to 0.3, which falls to this in 8 s.
constexpr double soundFailureRate = 0.1;
// Fraction of a leaf's stated connection limit that the instances use together. The rest is for as
// many connections left over from instances that lost power.
constexpr double sharedConnectionFraction = 0.5;
// Of a leaf to which this instance doesn't keep connections.
constexpr Duration nonPreferredCost = std::chrono::milliseconds(8);
constexpr Duration minIdleTimeout = std::chrono::milliseconds(300);
constexpr Duration nonPreferredIdleTimeout = std::chrono::seconds(1);
// Fraction of the stated cold rate that the instances use together.
constexpr double sharedColdRateFraction = 0.5;
// Fraction of the announced keep-alive timeout in which an idle connection is used. After that, the
// leaf may close it while a request is in transit.
constexpr double usedKeepAliveFraction = 0.7;
// Assumed for a leaf that announces none.
constexpr Duration assumedKeepAliveTimeout = std::chrono::seconds(4);

auto scaled(Duration duration, double factor) -> Duration
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

auto canReuse(const LeafState &leaf, const LeafConnection &connection, TimePoint now) -> bool
{
    return now - connection.idleSince < idleTimeout(leaf, connection);
}

// The usable connection that was idle for the shortest time.
auto mostRecentIdleConnection(const LeafState &leaf, TimePoint now) -> const LeafConnection *
{
    const LeafConnection *best = nullptr;
    for (const auto &connection : leaf.connections) {
        if (connection.state == ConnectionState::Idle && canReuse(leaf, connection, now)
            && (best == nullptr || connection.idleSince > best->idleSince))
            best = &connection;
    }
    return best;
}

auto requestsAtLeaf(const LeafState &leaf, const PlacementQuery &query, TimePoint now) -> double
{
    const auto own = static_cast<double>(leaf.outstanding.size());
    const auto isOld = now - leaf.loadAt > loadReportValidity;
    if (isOld && query.crossing == nullptr)
        return own;
    auto reported = static_cast<double>(leaf.load.running + leaf.load.waiting);
    if (isOld) {
        const auto age = std::chrono::duration<double>(now - leaf.loadAt).count();
        reported *= std::exp2(-age / loadReportHalfLife);
    }
    return std::max(own, reported);
}

auto isUnreachable(const LeafState &leaf, const PlacementQuery &query, TimePoint now) -> bool
{
    return query.reachability != nullptr && isSuspect(*query.reachability, leaf.record.domain, now);
}

// True if the leaf is unlikely to answer a send soon.
auto isUnreliable(const LeafState &leaf, const PlacementQuery &query, TimePoint now) -> bool
{
    return isStalled(leaf, now) || now < leaf.avoidUntil || isUnreachable(leaf, query, now);
}

// How much the leaf's reported pace says about it now: 1 at first, falling to 0. For leafs that
// change their speed within a moment, which answers show too late.
auto paceWeight(const LeafState &leaf, TimePoint now) -> double
{
    if (leaf.load.pace == 0 || now - leaf.loadAt > paceValidity)
        return 0;
    return std::exp2(-std::chrono::duration<double>(now - leaf.loadAt).count() / paceHalfLife);
}

// Expected latency relative to the typical one of the route, apart from waiting.
auto expectedRatio(const LeafState &leaf, TimePoint now) -> double
{
    const auto prior = latencyRatioOf(leaf, now);
    const auto weight = paceWeight(leaf, now);
    return weight > 0 ? prior + weight * (leaf.load.pace / 100.0 - prior) : prior;
}

// Random extra cost that spreads requests over leafs of about equal cost.
auto randomCost(const LeafState &leaf, Duration latency, RandomState &random, TimePoint now)
        -> Duration
{
    auto range = jitter;
    const auto weight = paceWeight(leaf, now);
    if (weight > 0)
        range = std::max(range, scaled(latency, paceSpread * weight));
    return Duration(static_cast<Duration::rep>(nextRandom(random)
                                               % static_cast<std::uint64_t>(range.count())));
}

// Expected latency without a cost for another domain.
auto expectedLatency(const LeafState &leaf, const PlacementQuery &query, bool opensConnection,
                     TimePoint now) -> Duration
{
    const auto slots = static_cast<double>(std::max(1U, leaf.record.slots));
    const auto busy = requestsAtLeaf(leaf, query, now);
    // Time in the leaf's queue as a multiple of the time for one request, plus a smaller slowdown
    // while slots are free.
    const auto queueing = std::max(0.0, busy + 1 - slots) / slots + 0.3 * busy / slots;
    auto factor = expectedRatio(leaf, now) * (1 + queueing);
    if (now < leaf.coldUntil)
        factor += coldSlowdown;
    auto time = scaled(query.typicalLatency, factor);
    if (!leaf.preferred)
        time += nonPreferredCost;
    if (opensConnection)
        time += connectTime / requestsPerConnection;
    time += scaled(failureCost, failureRateOf(leaf, now));
    if (isStalled(leaf, now) || isUnreachable(leaf, query, now))
        time += stalledCost;
    if (isLeaving(leaf.statements))
        time += leavingCost;
    if (now < leaf.avoidUntil)
        time += avoidedCost;
    return time;
}

// Expected latency of a send to a leaf whose connections are all in use, with the wait for one of
// them. Other calls may wait for the same one.
auto latencyAfterWait(const LeafState &leaf, const PlacementQuery &query, TimePoint now) -> Duration
{
    const auto connections = static_cast<double>(leaf.connections.size());
    const auto turns = static_cast<double>(1 + query.waitingCalls) / connections;
    return expectedLatency(leaf, query, false, now)
           + scaled(query.typicalLatency, expectedRatio(leaf, now) * turns);
}

// This instance's share of the connections to one leaf, which may be less than one; empty if the
// leaf's service states no limit.
auto ownConnectionShare(const ServiceSpec *spec, const InstanceShare &share)
        -> std::optional<double>
{
    if (spec == nullptr || spec->maxConnections == 0)
        return {};
    return sharedConnectionFraction * spec->maxConnections / std::max(1U, share.instances);
}

// Marks the leafs to which this instance keeps connections: all, or if that would be too many,
// those of its own failure domain first and then in the order of a hash that differs between
// instances, so that the instances spread over the leafs.
auto markPreferredLeafs(LeafTable &table, std::span<const LeafNumber> list,
                        const PlacementQuery &query, const InstanceShare &share, TimePoint now)
        -> void
{
    const auto perLeafShare = ownConnectionShare(query.spec, share).value_or(1);
    const auto totalShare = perLeafShare * static_cast<double>(list.size());
    for (const auto index : list) {
        leafAt(table, index).preferred = true;
        leafAt(table, index).connectionShare = std::min(1.0, totalShare);
    }
    if (perLeafShare >= 1)
        return;
    const auto preferredCount = std::max(std::size_t(1), static_cast<std::size_t>(totalShare));
    const auto rank = [&](LeafNumber index) {
        const auto &leaf = leafAt(table, index);
        return std::pair(leaf.record.domain != query.ownDomain,
                         hashPair(share.instanceHash, leaf.idHash));
    };
    for (const auto index : list) {
        const auto better = std::count_if(list.begin(), list.end(), [&](LeafNumber other) {
            return isUsable(table, leafAt(table, other), now) && rank(other) < rank(index);
        });
        leafAt(table, index).preferred = static_cast<std::size_t>(better) < preferredCount;
    }
}

// True if a leaf of the own domain can be used and has hardly failed lately.
auto hasSoundNearLeaf(LeafTable &table, std::span<const LeafNumber> list,
                      const PlacementQuery &query, TimePoint now) -> bool
{
    return std::any_of(list.begin(), list.end(), [&](LeafNumber index) {
        const auto &leaf = leafAt(table, index);
        return leaf.record.domain == query.ownDomain && isUsable(table, leaf, now)
               && !isUnreliable(leaf, query, now) && failureRateOf(leaf, now) < soundFailureRate;
    });
}

// True if a usable leaf of another domain has answered lately.
auto knowsOtherDomains(LeafTable &table, std::span<const LeafNumber> list,
                       const PlacementQuery &query, TimePoint now) -> bool
{
    return std::any_of(list.begin(), list.end(), [&](LeafNumber index) {
        const auto &leaf = leafAt(table, index);
        return leaf.record.domain != query.ownDomain && isUsable(table, leaf, now)
               && now - leaf.lastAnswerAt < otherDomainKnowledge;
    });
}

// Cost of another domain for one send.
auto domainCostOf(LeafTable &table, std::span<const LeafNumber> list, const PlacementQuery &query,
                  RandomState &random, TimePoint now) -> Duration
{
    if (query.crossing == nullptr)
        return otherDomainCost;
    // Further attempts and failures show that near leafs may not serve, also at an instance that
    // sends too seldom to notice a lost domain otherwise.
    if (!query.triedLeafs.empty() || !hasSoundNearLeaf(table, list, query, now))
        return std::min(query.crossingLimits->roundTrip, query.crossingLimits->maxCost);
    // The share says nothing if nothing is known of the other domains. The fixed cost then also
    // lets some requests find out.
    if (!knowsOtherDomains(table, list, query, now))
        return std::min(otherDomainCost, query.crossingLimits->maxCost);
    const auto draw = std::ldexp(static_cast<double>(nextRandom(random) >> 1U), -63);
    return crossingCost(*query.crossing, *query.crossingLimits, draw);
}

// The expected latencies of the leafs of one service, for the decision on leaving the domain.
struct DomainLatencies
{
    std::optional<Duration> leastNear;
    Duration farSum = {};
    std::int64_t farLeafs = 0;
};

auto recordLatency(DomainLatencies &latencies, bool isOther, bool isReliable, Duration latency)
        -> void
{
    if (!isOther) {
        latencies.leastNear = std::min(latencies.leastNear.value_or(Duration::max()), latency);
    } else if (isReliable) {
        latencies.farSum += latency;
        ++latencies.farLeafs;
    }
}

auto updateCrossing(const PlacementQuery &query, const DomainLatencies &latencies, TimePoint now)
        -> void
{
    auto view = CrossingView();
    view.near = latencies.leastNear;
    if (latencies.farLeafs > 0)
        view.far = latencies.farSum / latencies.farLeafs;
    view.typicalLatency = query.typicalLatency;
    view.price = crossingPrice(*query.crossingLimits, query.answerBytes);
    updateCrossing(*query.crossing, view, now);
}

template <typename Condition>
auto anyLeaf(LeafTable &table, std::string_view service, Condition condition) -> bool
{
    const auto list = table.byService.find(std::string(service));
    return list != table.byService.end()
           && std::any_of(list->second.begin(), list->second.end(),
                          [&](LeafNumber index) { return condition(leafAt(table, index)); });
}

// True while the leaf is cold and its service states which rate a cold leaf tolerates.
auto isColdLimited(const LeafState &leaf, const PlacementQuery &query, TimePoint now) -> bool
{
    return query.spec != nullptr && query.spec->coldRate > 0 && now < leaf.coldUntil;
}

// True if a limit on the leaf's rate allows no send yet.
auto isTooEarly(const LeafState &leaf, const PlacementQuery &query, TimePoint now) -> bool
{
    return (isColdLimited(leaf, query, now) && now < leaf.nextColdSendAt)
           || now < nextSendAt(leaf.statements, now);
}

// From 0 to 1, evenly spread over the instances for each leaf.
auto spreadOver(const InstanceShare &share, const LeafState &leaf) -> double
{
    const auto hash = hashPair(share.instanceHash, leaf.idHash);
    return std::ldexp(static_cast<double>(hash), -64);
}

} // namespace

auto rateShareOf(const InstanceShare &share, const LeafState &leaf) -> RateShare
{
    return {share.instances, spreadOver(share, leaf)};
}

auto connectionLimit(const ServiceSpec *spec, const InstanceShare &share, const LeafState &leaf)
        -> std::size_t
{
    const auto perLeafShare = ownConnectionShare(spec, share);
    if (!perLeafShare)
        return std::numeric_limits<std::size_t>::max();
    // The fraction of the share is the part of the instances that are rounded up.
    const auto rounded = static_cast<std::size_t>(*perLeafShare + spreadOver(share, leaf));
    return std::max(std::size_t(1), rounded);
}

auto idleTimeout(const LeafState &leaf, const LeafConnection &connection) -> Duration
{
    const auto limit = connection.keepAliveTimeout > Duration() ? connection.keepAliveTimeout
                                                                : assumedKeepAliveTimeout;
    const auto usableTime = scaled(limit, usedKeepAliveFraction);
    if (!leaf.preferred)
        return std::min(usableTime, nonPreferredIdleTimeout);
    // With a share of less than one connection, it is kept open for that fraction of the time.
    return std::max(std::min(usableTime, minIdleTimeout), scaled(usableTime, leaf.connectionShare));
}

auto placeSend(LeafTable &table, const PlacementQuery &query, const InstanceShare &share,
               RandomState &random, TimePoint now) -> std::optional<Placement>
{
    const auto list = table.byService.find(std::string(query.service));
    if (list == table.byService.end())
        return {};
    markPreferredLeafs(table, list->second, query, share, now);
    auto best = std::optional<Placement>();
    auto bestLatency = Duration::max();
    auto bestAfterWait = Duration::max();
    const auto domainCost = domainCostOf(table, list->second, query, random, now);
    auto latencies = DomainLatencies();
    for (const auto index : list->second) {
        auto &leaf = leafAt(table, index);
        const auto wasTried = std::find(query.triedLeafs.begin(), query.triedLeafs.end(), index)
                              != query.triedLeafs.end();
        if (wasTried || isTooEarly(leaf, query, now)
            || !isUsableAs(table, leaf, query.versionUse, now))
            continue;
        const auto isOther = leaf.record.domain != query.ownDomain;
        const auto extraCost = isOther ? domainCost : Duration();
        const auto *connection = mostRecentIdleConnection(leaf, now);
        if (connection == nullptr
            && leaf.connections.size() >= connectionLimit(query.spec, share, leaf)) {
            const auto latency = latencyAfterWait(leaf, query, now);
            if (query.crossing != nullptr)
                recordLatency(latencies, isOther, !isUnreliable(leaf, query, now), latency);
            bestAfterWait = std::min(bestAfterWait, latency + extraCost);
            continue;
        }
        const auto latency = expectedLatency(leaf, query, connection == nullptr, now);
        if (query.crossing != nullptr)
            recordLatency(latencies, isOther, !isUnreliable(leaf, query, now), latency);
        const auto time = latency + extraCost + randomCost(leaf, latency, random, now);
        if (time >= bestLatency)
            continue;
        bestLatency = time;
        best = Placement{index, {}, isUnreliable(leaf, query, now), isOther};
        if (connection != nullptr)
            best->idleConnection = connection->id;
    }
    if (query.crossing != nullptr && query.triedLeafs.empty())
        updateCrossing(query, latencies, now);
    if (!best || bestAfterWait < bestLatency)
        return {};
    auto &leaf = leafAt(table, best->leaf);
    if (leaf.statements.rateLimit)
        useSlot(leaf.statements.schedule, now);
    if (isColdLimited(leaf, query, now)) {
        const auto rate = sharedColdRateFraction * share.coldOvershoot * query.spec->coldRate;
        leaf.nextColdSendAt = now + scaled(std::chrono::seconds(1), share.instances / rate);
    }
    return best;
}

auto canTakeSend(LeafTable &table, const PlacementQuery &query, const InstanceShare &share,
                 TimePoint now) -> bool
{
    const auto list = table.byService.find(std::string(query.service));
    if (list == table.byService.end())
        return false;
    markPreferredLeafs(table, list->second, query, share, now);
    return std::any_of(list->second.begin(), list->second.end(), [&](LeafNumber index) {
        const auto &leaf = leafAt(table, index);
        const auto isAllowed
                = isUsable(table, leaf, now) || isUsableAs(table, leaf, VersionUse::Canary, now);
        return isAllowed && !isTooEarly(leaf, query, now)
               && (leaf.connections.size() < connectionLimit(query.spec, share, leaf)
                   || mostRecentIdleConnection(leaf, now) != nullptr);
    });
}

auto findNextSend(LeafTable &table, std::string_view service, TimePoint now)
        -> std::optional<NextSend>
{
    auto next = std::optional<NextSend>();
    const auto list = table.byService.find(std::string(service));
    if (list == table.byService.end())
        return next;
    for (const auto index : list->second) {
        const auto &leaf = leafAt(table, index);
        const auto at = nextSendAt(leaf.statements, now);
        if (isUsable(table, leaf, now) && (!next || at < next->at))
            next = NextSend{index, at};
    }
    return next;
}

auto hasUsableLeaf(LeafTable &table, std::string_view service, TimePoint now) -> bool
{
    return anyLeaf(table, service,
                   [&](const LeafState &leaf) { return isUsable(table, leaf, now); });
}

auto hasResponsiveLeaf(LeafTable &table, std::string_view service, const Reachability &reachability,
                       TimePoint now) -> bool
{
    return anyLeaf(table, service, [&](const LeafState &leaf) {
        return isUsable(table, leaf, now) && !isUnresponsive(leaf, now)
               && !isSuspect(reachability, leaf.record.domain, now);
    });
}

} // namespace crocusreach::forward

#include "routing.h"

#include <algorithm>
#include <array>

namespace crocusreach {

namespace {

// Expected latency of a share that has not been used yet; low, so that it gets tried.
constexpr Duration unknownLatency = std::chrono::milliseconds(1);
// A share whose holder had no lease or could not be reached is avoided for one heartbeat interval.
constexpr Duration avoidDuration = std::chrono::milliseconds(500);
constexpr auto meanWeightDivisor = 8; // a new observation has a weight of one eighth
// Candidates of one shard that are considered; further replicas gain nothing.
constexpr std::size_t candidateLimit = 32;

auto unusableReason(const ClusterView &view, const LeafEntry &entry, const Share &share) -> Reason
{
    if (entry.service->decision.state == DesiredState::Out)
        return Reason::ServiceOut;
    if (!isInRotation(entry))
        return Reason::DomainOut;
    const auto listed = view.leafListings.find(entry.leaf->id);
    if (listed != view.leafListings.end() && listed->second == TargetListing::Leaving)
        return Reason::TargetLeaving;
    if (share.holder == view.self)
        return Reason::None;
    const auto *peer = findPeer(view, share.holder);
    if (peer == nullptr || !peer->reachable)
        return Reason::HolderUnreachable;
    return Reason::None;
}

auto contains(std::span<const ShareKey> shares, const Candidate &candidate, bool anyShareOfLeaf)
        -> bool
{
    return std::ranges::any_of(shares, [&](const ShareKey &share) {
        return share.leaf == candidate.leaf->id
               && (anyShareOfLeaf || share.ordinal == candidate.ordinal);
    });
}

} // namespace

auto buildRoutes(const ClusterView &view, const Service &service) -> ServiceRoutes
{
    auto routes = ServiceRoutes();
    routes.shards.resize(service.shardCount);
    for (const auto &leaf : service.leafs) {
        const auto *entry = findLeaf(*view.leafIndex, leaf.id);
        if (entry == nullptr)
            continue;
        for (const auto &share : sharesOf(*view.assignment, leaf.id)) {
            const auto *peer = findPeer(view, share.holder);
            const auto candidate = Candidate{&leaf, share.ordinal, share.holder,
                                             peer == nullptr ? Duration() : peer->roundTrip,
                                             unusableReason(view, *entry, share)};
            for (const auto shard : leaf.shards)
                routes.shards[toUnderlying(shard)].push_back(candidate);
        }
    }
    return routes;
}

auto recordSent(RoutingTable &table, ShareKey share) -> void
{
    ++table.shares[share].outstanding;
}

auto recordCompleted(RoutingTable &table, ShareKey share, Duration elapsed) -> void
{
    auto &observed = table.shares[share];
    observed.meanLatency
            = observed.meanLatency == Duration()
                      ? elapsed
                      : observed.meanLatency + (elapsed - observed.meanLatency) / meanWeightDivisor;
    recordEnded(table, share);
}

auto recordEnded(RoutingTable &table, ShareKey share) -> void
{
    auto &outstanding = table.shares[share].outstanding;
    outstanding -= outstanding > 0 ? 1 : 0;
}

auto recordRefusal(RoutingTable &table, ShareKey share, Reason reason, TimePoint now) -> void
{
    recordEnded(table, share);
    const auto holderAtFault = reason == Reason::NoLease || reason == Reason::NotHolder
                               || reason == Reason::HolderUnreachable
                               || reason == Reason::HolderLost;
    if (holderAtFault)
        table.shares[share].avoidUntil = now + avoidDuration;
}

auto expectedLatency(const RoutingTable &table, const Candidate &candidate, bool domainAware)
        -> Duration
{
    const auto found = table.shares.find({candidate.leaf->id, candidate.ordinal});
    const auto roundTrip = domainAware ? candidate.roundTrip : Duration();
    if (found == table.shares.end() || found->second.meanLatency == Duration())
        return unknownLatency + roundTrip;
    // The observed latency already includes the round trip to the holder. Requests beyond the
    // leaf's slots are queued.
    const auto &observed = found->second;
    const auto queueTime
            = observed.meanLatency * observed.outstanding / std::max<int>(candidate.leaf->slots, 1);
    return domainAware
                   ? observed.meanLatency + queueTime
                   : std::max(observed.meanLatency - candidate.roundTrip, Duration()) + queueTime;
}

auto nextRandom(RandomState &random) -> std::uint64_t
{
    random.value = hashPair(random.value, 0x9e3779b97f4a7c15ULL);
    return random.value;
}

auto chooseRoute(std::span<const Candidate> candidates, const RouteConstraint &constraint,
                 const RoutingTable &table, const SnapshotTable &snapshots, bool domainAware,
                 TimePoint now, RandomState &random) -> RouteChoice
{
    auto usable = std::array<const Candidate *, candidateLimit>();
    auto avoided = std::array<const Candidate *, candidateLimit>();
    auto usableCount = std::size_t{0};
    auto avoidedCount = std::size_t{0};
    auto reason = Reason::NoReplica;
    for (const auto &candidate : candidates.first(std::min(candidates.size(), candidateLimit))) {
        if (contains(constraint.tried, candidate, constraint.avoidTriedLeafs))
            continue;
        if (candidate.unusable != Reason::None) {
            reason = candidate.unusable;
            continue;
        }
        if (!canServe(snapshots, candidate.leaf->id, constraint.snapshot)) {
            reason = Reason::VersionNotServed;
            continue;
        }
        const auto found = table.shares.find({candidate.leaf->id, candidate.ordinal});
        if (found != table.shares.end() && found->second.avoidUntil > now)
            avoided[avoidedCount++] = &candidate;
        else
            usable[usableCount++] = &candidate;
    }
    auto &pool = usableCount > 0 ? usable : avoided;
    const auto count = usableCount > 0 ? usableCount : avoidedCount;
    if (count == 0)
        return {nullptr, reason};
    const auto first = nextRandom(random) % count;
    if (count == 1)
        return {pool[first], Reason::None};
    const auto second = (first + 1 + nextRandom(random) % (count - 1)) % count;
    const auto firstLatency = expectedLatency(table, *pool[first], domainAware);
    const auto secondLatency = expectedLatency(table, *pool[second], domainAware);
    return {pool[firstLatency <= secondLatency ? first : second], Reason::None};
}

} // namespace crocusreach

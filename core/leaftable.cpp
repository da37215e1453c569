#include "leaftable.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace crocusreach::forward {

namespace {

// Weight of a new observation in the moving averages.
constexpr double observationWeight = 0.3;
// Without new observations, half of the weight of earlier ones is lost in this time. Leafs turn
// slow or fail for some seconds, and an instance of a large deployment sends a leaf about one
// request a second.
constexpr auto observationHalfLife = std::chrono::seconds(5);
constexpr double minLatencyRatio = 0.5;
constexpr double maxLatencyRatio = 20;

// A leaf is unresponsive if it has not answered for silenceTimeout and an answer has been overdue
// for minOverdueTime, or if this many sends in a row have failed. Leafs stall for up to 200 ms, and
// slow ones answer some requests in the meantime.
constexpr Duration silenceTimeout = std::chrono::milliseconds(400);
constexpr Duration minOverdueTime = std::chrono::milliseconds(150);
constexpr std::uint32_t minFailuresInRow = 3;

// After a failure, a leaf is avoided for this time, which doubles with each further failure in a
// row.
constexpr Duration minAvoidTime = std::chrono::milliseconds(100);
constexpr Duration maxAvoidTime = std::chrono::seconds(2);
constexpr std::uint32_t maxAvoidDoublings = 5;

// The row of a removed leaf is reused after this time. Calls that tried the leaf still refer to it
// by its number, and none lasts nearly as long.
constexpr Duration rowRetention = std::chrono::minutes(10);

// How good an entry's claim to its address is. An entry that no request may go to may be a stray
// one, and a leaf that was not there when it was asked has none.
auto claimOf(const LeafTable &table, const LeafState &leaf)
        -> std::tuple<bool, bool, std::uint64_t, std::uint64_t>
{
    return std::tuple(!leaf.misdirected, table.routedServices.contains(leaf.record.service),
                      leaf.record.era, leaf.record.revision);
}

// Decides which of the listed leafs with an address is there.
auto settleAddress(LeafTable &table, const std::string &address) -> void
{
    const auto found = table.byAddress.find(address);
    if (found == table.byAddress.end())
        return;
    const auto &claimants = found->second;
    const auto best = *std::max_element(
            claimants.begin(), claimants.end(), [&table](LeafNumber left, LeafNumber right) {
                return claimOf(table, leafAt(table, left)) < claimOf(table, leafAt(table, right));
            });
    for (const auto index : claimants)
        leafAt(table, index).displaced = index != best;
}

auto releaseAddress(LeafTable &table, LeafNumber index) -> void
{
    const auto address = leafAt(table, index).record.address;
    const auto found = table.byAddress.find(address);
    if (found == table.byAddress.end())
        return;
    std::erase(found->second, index);
    if (found->second.empty())
        table.byAddress.erase(found);
    else
        settleAddress(table, address);
}

auto claimAddress(LeafTable &table, LeafNumber index) -> void
{
    const auto &address = leafAt(table, index).record.address;
    auto &claimants = table.byAddress[address];
    if (std::find(claimants.begin(), claimants.end(), index) == claimants.end())
        claimants.push_back(index);
    settleAddress(table, address);
}

auto unlist(LeafTable &table, LeafNumber index, TimePoint now) -> void
{
    auto &leaf = leafAt(table, index);
    releaseAddress(table, index);
    leaf.displaced = false;
    leaf.listed = false;
    leaf.unlistedAt = now;
    table.unlisted.push_back(index);
    leaf.removeAt.reset();
    auto &list = table.byService[leaf.record.service];
    std::erase(list, index);
    if (list.empty())
        table.byService.erase(leaf.record.service);
}

// Weight that an observation of this age still has.
auto decayFactor(Duration age) -> double
{
    const auto halvings = std::chrono::duration<double>(age) / observationHalfLife;
    return std::exp2(-std::max(0.0, halvings));
}

auto recordOutcome(LeafState &leaf, double failed, TimePoint now) -> void
{
    const auto former = failureRateOf(leaf, now);
    leaf.failureRate = former + observationWeight * (failed - former);
    leaf.failureRateAt = now;
}

// True if nothing refers to the row of an unlisted leaf any more.
auto canReuseRow(const LeafState &leaf, TimePoint now) -> bool
{
    return leaf.connections.empty() && leaf.outstanding.empty()
           && now - *leaf.unlistedAt >= rowRetention;
}

// Returns the row of a leaf that was removed long ago, or a new one.
auto allocateRow(LeafTable &table, TimePoint now) -> LeafNumber
{
    auto &unlisted = table.unlisted;
    while (!unlisted.empty() && !leafAt(table, unlisted.front()).unlistedAt)
        unlisted.pop_front();
    if (unlisted.empty() || !canReuseRow(leafAt(table, unlisted.front()), now)) {
        table.leafs.emplace_back();
        return LeafNumber(table.leafs.size() - 1);
    }
    const auto index = unlisted.front();
    unlisted.pop_front();
    auto &leaf = leafAt(table, index);
    table.byId.erase(leaf.record.id);
    leaf = LeafState();
    return index;
}

auto startNewProcess(LeafState &leaf) -> void
{
    leaf.failureRate = 0;
    leaf.misdirected = false;
    leaf.latencyRatio = 1;
    leaf.load = {};
    leaf.loadAt = {};
    leaf.failuresInRow = 0;
    leaf.avoidUntil = {};
    leaf.statements = {};
    ++leaf.process;
}

} // namespace

auto leafAt(LeafTable &table, LeafNumber index) -> LeafState &
{
    return table.leafs[static_cast<std::size_t>(index)];
}

auto putLeaf(LeafTable &table, const LeafRecord &record, TimePoint now) -> void
{
    const auto found = table.byId.find(record.id);
    const auto index = found == table.byId.end() ? allocateRow(table, now) : found->second;
    if (found == table.byId.end())
        table.byId.emplace(record.id, index);
    auto &leaf = leafAt(table, index);
    const auto versionOf
            = [](const LeafRecord &item) { return std::pair(item.era, item.revision); };
    if (versionOf(record) < versionOf(leaf.record))
        return;
    if (leaf.listed && leaf.record.service != record.service)
        unlist(table, index, now);
    if (leaf.listed && leaf.record.address != record.address)
        releaseAddress(table, index);
    const auto restarted
            = leaf.record.startedAt != record.startedAt || leaf.record.address != record.address;
    if (restarted || versionOf(leaf.record) != versionOf(record))
        leaf.misdirected = false;
    if (restarted)
        startNewProcess(leaf);
    leaf.record = record;
    leaf.idHash = hashName(record.id);
    leaf.removeAt.reset();
    leaf.unlistedAt.reset();
    if (record.coldTimeLeft > Duration())
        leaf.coldUntil = now + record.coldTimeLeft;
    claimAddress(table, index);
    if (!std::exchange(leaf.listed, true))
        table.byService[record.service].push_back(index);
}

auto setRoutedServices(LeafTable &table, std::set<std::string, std::less<>> services) -> void
{
    if (services == table.routedServices)
        return;
    table.routedServices = std::move(services);
    for (const auto &[address, claimants] : table.byAddress) {
        if (claimants.size() > 1)
            settleAddress(table, address);
    }
}

auto markMisdirected(LeafTable &table, LeafNumber index) -> void
{
    auto &leaf = leafAt(table, index);
    leaf.misdirected = true;
    if (leaf.listed)
        settleAddress(table, leaf.record.address);
}

auto removeLeaf(LeafTable &table, std::string_view id, TimePoint effectiveAt, TimePoint now) -> void
{
    const auto found = table.byId.find(std::string(id));
    if (found == table.byId.end() || !leafAt(table, found->second).listed)
        return;
    auto &leaf = leafAt(table, found->second);
    if (leaf.record.draining)
        return unlist(table, found->second, now);
    if (!leaf.removeAt)
        leaf.removeAt = effectiveAt;
    table.nextRemovalAt = std::min(table.nextRemovalAt.value_or(effectiveAt), *leaf.removeAt);
}

auto applyRemovals(LeafTable &table, TimePoint now) -> void
{
    if (!table.nextRemovalAt || now < *table.nextRemovalAt)
        return;
    table.nextRemovalAt.reset();
    for (std::size_t number = 0; number < table.leafs.size(); ++number) {
        auto &leaf = table.leafs[number];
        if (!leaf.removeAt)
            continue;
        if (*leaf.removeAt <= now)
            unlist(table, LeafNumber(number), now);
        else
            table.nextRemovalAt
                    = std::min(table.nextRemovalAt.value_or(*leaf.removeAt), *leaf.removeAt);
    }
}

auto isUsable(const LeafTable &table, const LeafState &leaf, TimePoint now) -> bool
{
    return isUsableAs(table, leaf, VersionUse::InUse, now);
}

auto isUsableAs(const LeafTable &table, const LeafState &leaf, VersionUse use, TimePoint now)
        -> bool
{
    return leaf.versionUse == use && leaf.listed && !leaf.record.draining && !leaf.misdirected
           && !leaf.displaced && !hasLeft(leaf.statements, now)
           && !table.evacuatedDomains.contains(leaf.record.domain);
}

auto isStalled(const LeafState &leaf, TimePoint now) -> bool
{
    return std::any_of(leaf.outstanding.begin(), leaf.outstanding.end(),
                       [now](const OutstandingSend &send) { return send.overdueAt <= now; });
}

auto isUnresponsive(const LeafState &leaf, TimePoint now) -> bool
{
    if (leaf.failuresInRow >= minFailuresInRow && now < leaf.avoidUntil)
        return true;
    return now - leaf.lastAnswerAt >= silenceTimeout
           && std::any_of(leaf.outstanding.begin(), leaf.outstanding.end(),
                          [now](const OutstandingSend &send) {
                              return send.overdueAt + minOverdueTime <= now;
                          });
}

auto latencyRatioOf(const LeafState &leaf, TimePoint now) -> double
{
    return 1 + (leaf.latencyRatio - 1) * decayFactor(now - leaf.latencyRatioAt);
}

auto failureRateOf(const LeafState &leaf, TimePoint now) -> double
{
    return leaf.failureRate * decayFactor(now - leaf.failureRateAt);
}

auto recordAnswer(LeafState &leaf, std::optional<double> ratio, TimePoint now) -> void
{
    leaf.failuresInRow = 0;
    leaf.avoidUntil = {};
    leaf.lastAnswerAt = now;
    recordOutcome(leaf, 0, now);
    if (!ratio)
        return;
    const auto former = latencyRatioOf(leaf, now);
    leaf.latencyRatio = std::clamp(former + observationWeight * (*ratio - former), minLatencyRatio,
                                   maxLatencyRatio);
    leaf.latencyRatioAt = now;
}

auto timeSinceAnswer(const LeafState &leaf, TimePoint now) -> std::optional<Duration>
{
    if (leaf.lastAnswerAt == TimePoint())
        return {};
    return now - leaf.lastAnswerAt;
}

auto recordFailure(LeafState &leaf, TimePoint now) -> void
{
    recordOutcome(leaf, 1, now);
    const auto doublings = std::min(leaf.failuresInRow++, maxAvoidDoublings);
    leaf.avoidUntil = now + std::min(minAvoidTime * (1U << doublings), maxAvoidTime);
}

} // namespace crocusreach::forward

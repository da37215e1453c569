#include "leaftable.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusreach::forward {

namespace {

// Weight of a new observation of the slowness.
constexpr double newWeight = 0.3;
// Without answers, half of what was seen of a leaf is forgotten in this time. Leafs turn slow or
// fail for some seconds, and an instance of a large deployment asks one about once a second.
constexpr auto memoryHalfLife = std::chrono::seconds(5);
constexpr double leastSlowness = 0.5;
constexpr double greatestSlowness = 20;

// Leafs stand still for up to 200 ms, and slow ones answer something meanwhile.
constexpr Duration silenceOfLeaf = std::chrono::milliseconds(400);
constexpr Duration overdueOfSilentLeaf = std::chrono::milliseconds(150);
constexpr std::uint32_t failuresOfSilentLeaf = 3;

// After one failure a leaf is passed over for this time, doubled with each further one.
constexpr Duration shortestAvoidance = std::chrono::milliseconds(100);
constexpr Duration longestAvoidance = std::chrono::seconds(2);
constexpr std::uint32_t mostDoublings = 5;

// The row of a leaf that has left is reused after this time. Calls that tried the leaf still name
// its index; none takes nearly as long.
constexpr Duration rowRetention = std::chrono::minutes(10);

auto unlist(LeafTable &table, LeafIndexNumber index, TimePoint now) -> void
{
    auto &leaf = leafAt(table, index);
    leaf.listed = false;
    leaf.unlistedAt = now;
    table.unlisted.push_back(index);
    leaf.removeAt.reset();
    auto &list = table.byService[leaf.record.service];
    std::erase(list, index);
    if (list.empty())
        table.byService.erase(leaf.record.service);
}

// Part of an observation of this age that is still believed.
auto remembered(Duration age) -> double
{
    const auto halvings = std::chrono::duration<double>(age) / memoryHalfLife;
    return std::exp2(-std::max(0.0, halvings));
}

auto recordOutcome(LeafState &leaf, double failed, TimePoint now) -> void
{
    const auto former = failureRateOf(leaf, now);
    leaf.failureRate = former + newWeight * (failed - former);
    leaf.failureRateAt = now;
}

auto releaseAddress(LeafTable &table, LeafIndexNumber index) -> void
{
    const auto found = table.byAddress.find(leafAt(table, index).record.address);
    if (found != table.byAddress.end() && found->second == index)
        table.byAddress.erase(found);
}

// A leaf whose address a newer entry of another leaf has is gone.
auto takeAddress(LeafTable &table, LeafIndexNumber index) -> void
{
    auto &leaf = leafAt(table, index);
    const auto [entry, isNew] = table.byAddress.try_emplace(leaf.record.address, index);
    if (isNew || entry->second == index)
        return;
    auto &other = leafAt(table, entry->second);
    if (other.listed && leaf.record.revision < other.record.revision) {
        leaf.misdirected = true;
        return;
    }
    other.misdirected = other.misdirected || other.listed;
    entry->second = index;
}

// True if nothing refers to the row of an unlisted leaf any more.
auto mayReuse(const LeafState &leaf, TimePoint now) -> bool
{
    return leaf.links.empty() && leaf.outstanding.empty() && now - *leaf.unlistedAt >= rowRetention;
}

// The row of a leaf that left long ago, or a new one.
auto takeRow(LeafTable &table, TimePoint now) -> LeafIndexNumber
{
    auto &unlisted = table.unlisted;
    while (!unlisted.empty() && !leafAt(table, unlisted.front()).unlistedAt)
        unlisted.pop_front();
    if (unlisted.empty() || !mayReuse(leafAt(table, unlisted.front()), now)) {
        table.leafs.emplace_back();
        return LeafIndexNumber(table.leafs.size() - 1);
    }
    const auto index = unlisted.front();
    unlisted.pop_front();
    auto &leaf = leafAt(table, index);
    releaseAddress(table, index);
    table.byId.erase(leaf.record.id);
    leaf = LeafState();
    return index;
}

auto startAnew(LeafState &leaf) -> void
{
    leaf.failureRate = 0;
    leaf.misdirected = false;
    leaf.slowness = 1;
    leaf.load = {};
    leaf.loadAt = {};
    leaf.failuresInRow = 0;
    leaf.avoidUntil = {};
}

} // namespace

auto leafAt(LeafTable &table, LeafIndexNumber index) -> LeafState &
{
    return table.leafs[static_cast<std::size_t>(index)];
}

auto putLeaf(LeafTable &table, const LeafRecord &record, TimePoint now) -> void
{
    const auto found = table.byId.find(record.id);
    const auto index = found == table.byId.end() ? takeRow(table, now) : found->second;
    if (found == table.byId.end())
        table.byId.emplace(record.id, index);
    auto &leaf = leafAt(table, index);
    if (record.revision < leaf.record.revision)
        return;
    if (leaf.listed && leaf.record.service != record.service)
        unlist(table, index, now);
    if (leaf.record.address != record.address)
        releaseAddress(table, index);
    const auto restarted
            = leaf.record.startedAt != record.startedAt || leaf.record.address != record.address;
    if (restarted || leaf.record.revision != record.revision)
        leaf.misdirected = false;
    if (restarted)
        startAnew(leaf);
    leaf.record = record;
    leaf.idHash = hashName(record.id);
    leaf.removeAt.reset();
    leaf.unlistedAt.reset();
    if (record.coldLeft > Duration())
        leaf.coldUntil = now + record.coldLeft;
    takeAddress(table, index);
    if (!std::exchange(leaf.listed, true))
        table.byService[record.service].push_back(index);
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
    table.nextRemoval = std::min(table.nextRemoval.value_or(effectiveAt), *leaf.removeAt);
}

auto applyRemovals(LeafTable &table, TimePoint now) -> void
{
    if (!table.nextRemoval || now < *table.nextRemoval)
        return;
    table.nextRemoval.reset();
    for (std::size_t number = 0; number < table.leafs.size(); ++number) {
        auto &leaf = table.leafs[number];
        if (!leaf.removeAt)
            continue;
        if (*leaf.removeAt <= now)
            unlist(table, LeafIndexNumber(number), now);
        else
            table.nextRemoval
                    = std::min(table.nextRemoval.value_or(*leaf.removeAt), *leaf.removeAt);
    }
}

auto isUsable(const LeafTable &table, const LeafState &leaf) -> bool
{
    return leaf.listed && !leaf.record.draining && !leaf.misdirected
           && !table.evacuated.contains(leaf.record.domain);
}

auto isStalled(const LeafState &leaf, TimePoint now) -> bool
{
    return std::any_of(leaf.outstanding.begin(), leaf.outstanding.end(),
                       [now](const OutstandingSend &send) { return send.overdueAt <= now; });
}

auto isSilent(const LeafState &leaf, TimePoint now) -> bool
{
    if (leaf.failuresInRow >= failuresOfSilentLeaf && now < leaf.avoidUntil)
        return true;
    return now - leaf.lastAnswerAt >= silenceOfLeaf
           && std::any_of(leaf.outstanding.begin(), leaf.outstanding.end(),
                          [now](const OutstandingSend &send) {
                              return send.overdueAt + overdueOfSilentLeaf <= now;
                          });
}

auto slownessOf(const LeafState &leaf, TimePoint now) -> double
{
    return 1 + (leaf.slowness - 1) * remembered(now - leaf.slownessAt);
}

auto failureRateOf(const LeafState &leaf, TimePoint now) -> double
{
    return leaf.failureRate * remembered(now - leaf.failureRateAt);
}

auto noteAnswer(LeafState &leaf, std::optional<double> ratio, TimePoint now) -> void
{
    leaf.failuresInRow = 0;
    leaf.avoidUntil = {};
    leaf.lastAnswerAt = now;
    recordOutcome(leaf, 0, now);
    if (!ratio)
        return;
    const auto former = slownessOf(leaf, now);
    leaf.slowness
            = std::clamp(former + newWeight * (*ratio - former), leastSlowness, greatestSlowness);
    leaf.slownessAt = now;
}

auto noteFailure(LeafState &leaf, TimePoint now) -> void
{
    recordOutcome(leaf, 1, now);
    const auto doublings = std::min(leaf.failuresInRow++, mostDoublings);
    leaf.avoidUntil = now + std::min(shortestAvoidance * (1U << doublings), longestAvoidance);
}

} // namespace crocusreach::forward

#include "attempts.h"

#include <algorithm>
#include <utility>

namespace crocusreach {

namespace {

// A send id holds the attempt's index in its low bits.
constexpr int indexBits = 24;
constexpr std::uint64_t indexMask = (std::uint64_t(1) << indexBits) - 1;
constexpr std::size_t initialSetSize = 1024;

auto hashKey(const AttemptKey &key) -> std::size_t
{
    return hashPair(toUnderlying(key.origin), toUnderlying(key.attempt));
}

// The entry with this key, or the empty one where it belongs.
template <typename Set>
auto findEntry(Set &set, const AttemptKey &key, std::size_t hash) -> decltype(set.entries.data())
{
    const auto mask = set.entries.size() - 1;
    auto position = hash & mask;
    while (set.entries[position].generation == set.generation && set.entries[position].key != key)
        position = (position + 1) & mask;
    return &set.entries[position];
}

auto contains(const SeenAttemptSet &set, const AttemptKey &key, std::size_t hash) -> bool
{
    return set.count != 0 && findEntry(set, key, hash)->generation == set.generation;
}

auto grow(SeenAttemptSet &set) -> void
{
    const auto oldEntries = std::move(set.entries);
    set.entries.assign(std::max(initialSetSize, oldEntries.size() * 2), {});
    for (const auto &entry : oldEntries) {
        if (entry.generation == set.generation)
            *findEntry(set, entry.key, hashKey(entry.key)) = entry;
    }
}

auto clear(SeenAttemptSet &set) -> void
{
    set.count = 0;
    ++set.generation;
    // When the generation wraps around, old entries must not look current.
    if (set.generation == 0) {
        set.entries.assign(set.entries.size(), {});
        set.generation = 1;
    }
}

} // namespace

auto allocateAttempt(AttemptTable &table) -> std::uint32_t
{
    if (table.freeSlots.empty()) {
        table.attempts.emplace_back();
        return static_cast<std::uint32_t>(table.attempts.size() - 1);
    }
    const auto index = table.freeSlots.back();
    table.freeSlots.pop_back();
    return index;
}

auto releaseAttempt(AttemptTable &table, std::uint32_t index) -> void
{
    auto &attempt = table.attempts[index];
    attempt.phase = AttemptPhase::Free;
    attempt.send = {};
    attempt.request.body.reset();
    attempt.cancelled = false;
    attempt.targetReplied = false;
    attempt.resent = false;
    table.freeSlots.push_back(index);
}

auto nextSendId(AttemptTable &table, std::uint32_t index) -> SendId
{
    ++table.sendCount;
    return static_cast<SendId>(table.sendCount << indexBits | index);
}

auto findAttempt(const AttemptTable &table, SendId send) -> std::optional<std::uint32_t>
{
    const auto index = static_cast<std::uint32_t>(toUnderlying(send) & indexMask);
    if (toUnderlying(send) == 0 || index >= table.attempts.size()
        || table.attempts[index].send != send)
        return std::nullopt;
    return index;
}

auto insertAttempt(DuplicateFilter &filter, const AttemptKey &key) -> std::uint32_t *
{
    const auto hash = hashKey(key);
    auto &recent = filter.recent;
    if (recent.count * 2 >= recent.entries.size())
        grow(recent);
    auto *entry = findEntry(recent, key, hash);
    if (entry->generation == recent.generation || contains(filter.older, key, hash))
        return nullptr;
    *entry = {key, 0, recent.generation};
    ++recent.count;
    return &entry->index;
}

auto rotateIfDue(DuplicateFilter &filter, TimePoint now) -> bool
{
    if (now - filter.rotatedAt < duplicateWindow)
        return false;
    clear(filter.older);
    std::swap(filter.recent, filter.older);
    filter.rotatedAt = now;
    return true;
}

auto findAttempt(const AttemptTable &table, const DuplicateFilter &filter, const AttemptKey &key)
        -> std::optional<std::uint32_t>
{
    const auto hash = hashKey(key);
    for (const auto *set : {&filter.recent, &filter.older}) {
        if (!contains(*set, key, hash))
            continue;
        const auto index = findEntry(*set, key, hash)->index;
        if (index >= table.attempts.size())
            return std::nullopt;
        const auto &attempt = table.attempts[index];
        const auto same
                = attempt.request.origin == key.origin && attempt.request.attempt == key.attempt;
        return attempt.phase != AttemptPhase::Free && same ? std::optional(index) : std::nullopt;
    }
    return std::nullopt;
}

} // namespace crocusreach

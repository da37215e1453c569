#include "attempts.h"

#include <algorithm>
#include <utility>

namespace crocusreach {

namespace {

// A send id holds the attempt's index in its low bits.
constexpr int indexBits = 24;
constexpr std::uint64_t indexMask = (std::uint64_t(1) << indexBits) - 1;
constexpr std::size_t firstSetSize = 1024;

auto hashKey(const AttemptKey &key) -> std::size_t
{
    return hashPair(toUnderlying(key.origin), toUnderlying(key.attempt));
}

// The entry with this key, or the empty one where it belongs.
template <typename Set>
auto place(Set &set, const AttemptKey &key, std::size_t hash) -> decltype(set.entries.data())
{
    const auto mask = set.entries.size() - 1;
    auto position = hash & mask;
    while (set.entries[position].generation == set.generation && set.entries[position].key != key)
        position = (position + 1) & mask;
    return &set.entries[position];
}

auto contains(const RememberedSet &set, const AttemptKey &key, std::size_t hash) -> bool
{
    return set.count != 0 && place(set, key, hash)->generation == set.generation;
}

auto grow(RememberedSet &set) -> void
{
    const auto former = std::move(set.entries);
    set.entries.assign(std::max(firstSetSize, former.size() * 2), {});
    for (const auto &entry : former) {
        if (entry.generation == set.generation)
            *place(set, entry.key, hashKey(entry.key)) = entry;
    }
}

auto clear(RememberedSet &set) -> void
{
    set.count = 0;
    ++set.generation;
    // After a wrap, entries of generations long past must not count.
    if (set.generation == 0) {
        set.entries.assign(set.entries.size(), {});
        set.generation = 1;
    }
}

} // namespace

auto takeAttempt(AttemptTable &table) -> std::uint32_t
{
    if (table.unused.empty()) {
        table.attempts.emplace_back();
        return static_cast<std::uint32_t>(table.attempts.size() - 1);
    }
    const auto index = table.unused.back();
    table.unused.pop_back();
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
    table.unused.push_back(index);
}

auto nextSendId(AttemptTable &table, std::uint32_t index) -> SendId
{
    ++table.sends;
    return static_cast<SendId>(table.sends << indexBits | index);
}

auto findAttempt(const AttemptTable &table, SendId send) -> std::optional<std::uint32_t>
{
    const auto index = static_cast<std::uint32_t>(toUnderlying(send) & indexMask);
    if (toUnderlying(send) == 0 || index >= table.attempts.size()
        || table.attempts[index].send != send)
        return std::nullopt;
    return index;
}

auto remember(AttemptMemory &memory, const AttemptKey &key) -> std::uint32_t *
{
    const auto hash = hashKey(key);
    auto &recent = memory.recent;
    if (recent.count * 2 >= recent.entries.size())
        grow(recent);
    auto *entry = place(recent, key, hash);
    if (entry->generation == recent.generation || contains(memory.older, key, hash))
        return nullptr;
    *entry = {key, 0, recent.generation};
    ++recent.count;
    return &entry->index;
}

auto forgetOld(AttemptMemory &memory, TimePoint now) -> bool
{
    if (now - memory.recentSince < attemptMemoryTime)
        return false;
    clear(memory.older);
    std::swap(memory.recent, memory.older);
    memory.recentSince = now;
    return true;
}

auto findAttempt(const AttemptTable &table, const AttemptMemory &memory, const AttemptKey &key)
        -> std::optional<std::uint32_t>
{
    const auto hash = hashKey(key);
    for (const auto *set : {&memory.recent, &memory.older}) {
        if (!contains(*set, key, hash))
            continue;
        const auto index = place(*set, key, hash)->index;
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

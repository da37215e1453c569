#include "attempts.h"

#include <algorithm>

namespace crocusreach {

namespace {

// A send id holds the attempt's index in its low bits.
constexpr int indexBits = 24;
constexpr std::uint64_t indexMask = (std::uint64_t(1) << indexBits) - 1;
// Forgetting this many per arrival keeps up with any rate and never takes long at once.
constexpr int forgottenPerArrival = 2;
constexpr std::size_t firstRingSize = 256;

auto growRing(AttemptMemory &memory) -> void
{
    auto larger = std::vector<RememberedKey>(std::max(firstRingSize, memory.ring.size() * 2));
    for (std::size_t position = 0; position < memory.count; ++position)
        larger[position] = memory.ring[(memory.first + position) % memory.ring.size()];
    memory.ring = std::move(larger);
    memory.first = 0;
}

auto append(AttemptMemory &memory, const RememberedKey &entry) -> void
{
    if (memory.count == memory.ring.size())
        growRing(memory);
    memory.ring[(memory.first + memory.count) % memory.ring.size()] = entry;
    ++memory.count;
}

auto forgetOldest(AttemptMemory &memory, TimePoint now) -> bool
{
    if (memory.count == 0 || memory.ring[memory.first].until > now)
        return false;
    const auto key = memory.ring[memory.first].key;
    memory.first = (memory.first + 1) % memory.ring.size();
    --memory.count;
    const auto found = memory.indexes.find(key);
    if (found == memory.indexes.end())
        return true;
    if (found->second == endedAttempt)
        memory.spareNodes.push_back(memory.indexes.extract(found));
    else
        append(memory, {key, now + attemptMemoryTime});
    return true;
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
    const auto index = static_cast<std::uint32_t>(number(send) & indexMask);
    if (number(send) == 0 || index >= table.attempts.size() || table.attempts[index].send != send)
        return std::nullopt;
    return index;
}

auto AttemptKeyHash::operator()(const AttemptKey &key) const -> std::size_t
{
    return hashPair(number(key.origin), number(key.attempt));
}

auto remember(AttemptMemory &memory, const AttemptKey &key, TimePoint now) -> bool
{
    for (auto step = 0; step < forgottenPerArrival && forgetOldest(memory, now); ++step) {
    }
    if (memory.spareNodes.empty()) {
        if (!memory.indexes.emplace(key, endedAttempt).second)
            return false;
    } else {
        auto node = std::move(memory.spareNodes.back());
        memory.spareNodes.pop_back();
        node.key() = key;
        node.mapped() = endedAttempt;
        auto inserted = memory.indexes.insert(std::move(node));
        if (!inserted.inserted) {
            memory.spareNodes.push_back(std::move(inserted.node));
            return false;
        }
    }
    append(memory, {key, now + attemptMemoryTime});
    return true;
}

auto setIndex(AttemptMemory &memory, const AttemptKey &key, std::uint32_t index) -> void
{
    const auto found = memory.indexes.find(key);
    if (found != memory.indexes.end())
        found->second = index;
}

auto findIndex(const AttemptMemory &memory, const AttemptKey &key) -> std::optional<std::uint32_t>
{
    const auto found = memory.indexes.find(key);
    if (found == memory.indexes.end() || found->second == endedAttempt)
        return std::nullopt;
    return found->second;
}

} // namespace crocusreach

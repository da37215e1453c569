#include "queryattempttable.h"

namespace crocusreach {

namespace {

// An id holds the slot's index plus one in its low half and the slot's generation in its high half.
constexpr auto indexBits = 32U;

auto makeId(std::uint32_t index, std::uint32_t generation) -> AttemptId
{
    return AttemptId{(std::uint64_t{generation} << indexBits) | (std::uint64_t{index} + 1)};
}

auto findSlot(const QueryAttemptTable &table, AttemptId id) -> std::size_t
{
    const auto index = static_cast<std::size_t>(static_cast<std::uint32_t>(toUnderlying(id))) - 1;
    if (index >= table.slots.size() || !table.slots[index].inUse)
        return table.slots.size();
    return table.slots[index].generation == toUnderlying(id) >> indexBits ? index
                                                                          : table.slots.size();
}

} // namespace

auto addAttempt(QueryAttemptTable &table, const QueryAttempt &attempt) -> AttemptId
{
    if (table.freeSlots.empty()) {
        table.freeSlots.push_back(static_cast<std::uint32_t>(table.slots.size()));
        table.slots.emplace_back();
    }
    const auto index = table.freeSlots.back();
    table.freeSlots.pop_back();
    auto &slot = table.slots[index];
    slot.attempt = attempt;
    slot.inUse = true;
    ++slot.generation;
    return makeId(index, slot.generation);
}

auto findAttempt(const QueryAttemptTable &table, AttemptId id) -> const QueryAttempt *
{
    const auto index = findSlot(table, id);
    return index == table.slots.size() ? nullptr : &table.slots[index].attempt;
}

auto removeAttempt(QueryAttemptTable &table, AttemptId id) -> void
{
    const auto index = findSlot(table, id);
    if (index == table.slots.size())
        return;
    table.slots[index].inUse = false;
    table.freeSlots.push_back(static_cast<std::uint32_t>(index));
}

auto attemptsAt(const QueryAttemptTable &table, InstanceId holder) -> std::vector<AttemptId>
{
    auto ids = std::vector<AttemptId>();
    for (std::size_t index = 0; index < table.slots.size(); ++index) {
        const auto &slot = table.slots[index];
        if (slot.inUse && slot.attempt.holder == holder)
            ids.push_back(makeId(static_cast<std::uint32_t>(index), slot.generation));
    }
    return ids;
}

} // namespace crocusreach

#include "assignment.h"

#include <algorithm>

namespace crocusreach {

auto splitLeaf(const Leaf &leaf) -> std::vector<ShareSize>
{
    if (leaf.slots < 2 || leaf.coldSlots < 2)
        return {{leaf.slots, leaf.coldSlots, leaf.connections}};
    const auto largerHalf
            = [](std::uint16_t value) { return static_cast<std::uint16_t>((value + 1) / 2); };
    const auto smallerHalf
            = [](std::uint16_t value) { return static_cast<std::uint16_t>(value / 2); };
    return {{largerHalf(leaf.slots), largerHalf(leaf.coldSlots), largerHalf(leaf.connections)},
            {smallerHalf(leaf.slots), smallerHalf(leaf.coldSlots), smallerHalf(leaf.connections)}};
}

auto findMember(const Assignment &assignment, InstanceId id) -> const Member *
{
    const auto found = std::ranges::find(assignment.members, id, &Member::id);
    return found == assignment.members.end() ? nullptr : &*found;
}

auto sharesOf(const Assignment &assignment, LeafId leaf) -> std::span<const Share>
{
    const auto first = std::ranges::lower_bound(assignment.shares, leaf, {}, &Share::leaf);
    const auto last = std::ranges::upper_bound(assignment.shares, leaf, {}, &Share::leaf);
    return {first, last};
}

} // namespace crocusreach

#include "assignment.h"

#include <algorithm>
#include <array>
#include <set>
#include <unordered_map>
#include <utility>

namespace crocusreach {

namespace {

// A member that may hold shares.
struct Candidate
{
    const Member *member = nullptr;
    // Holds no share yet: a new member, or one that operators have put back in rotation. Shares
    // move away from their current holders only to such candidates.
    bool isNew = false;
};

struct CandidateSet
{
    std::vector<Candidate> candidates;
    bool hasSeveralDomains = false;
};

auto isSameMember(const Member &left, const Member &right) -> bool
{
    return left.id == right.id && left.incarnation == right.incarnation;
}

auto isOut(const Member &member, const Configuration &configuration) -> bool
{
    const auto *instance = findInstance(configuration, member.id);
    if (instance != nullptr && instance->decision.state == DesiredState::Out)
        return true;
    const auto *domain = findDomain(configuration, member.domain);
    return domain != nullptr && domain->decision.state == DesiredState::Out;
}

auto makeCandidateSet(const Assignment &former, std::span<const Member> members,
                      const Configuration &configuration) -> CandidateSet
{
    auto candidateSet = CandidateSet();
    for (const auto &member : members) {
        if (isOut(member, configuration))
            continue;
        const auto holds = std::ranges::any_of(former.shares, [&](const Share &share) {
            return share.holder == member.id && share.holderIncarnation == member.incarnation;
        });
        candidateSet.candidates.push_back({&member, !holds});
    }
    // If all members are out of rotation, all are candidates, and shares stay with their holders.
    if (candidateSet.candidates.empty()) {
        for (const auto &member : members)
            candidateSet.candidates.push_back({&member, false});
    }
    candidateSet.hasSeveralDomains
            = std::ranges::any_of(candidateSet.candidates, [&](const Candidate &candidate) {
                  return candidate.member->domain != candidateSet.candidates.front().member->domain;
              });
    return candidateSet;
}

auto findCandidate(const CandidateSet &candidateSet, const Share &share) -> const Candidate *
{
    const auto found
            = std::ranges::find_if(candidateSet.candidates, [&](const Candidate &candidate) {
                  return candidate.member->id == share.holder
                         && candidate.member->incarnation == share.holderIncarnation;
              });
    return found == candidateSet.candidates.end() ? nullptr : &*found;
}

auto weight(LeafId leaf, const Member &member) -> std::uint64_t
{
    return hashPair(toUnderlying(leaf), toUnderlying(member.id));
}

// Rank of a candidate by its separation from the holder of the leaf's other share: 2 in another
// failure domain, 1 as another member of the same domain, 0 as the same member.
auto separation(const Candidate &candidate, const Candidate *otherHolder) -> int
{
    if (otherHolder == nullptr || candidate.member->domain != otherHolder->member->domain)
        return 2;
    return candidate.member->id != otherHolder->member->id ? 1 : 0;
}

// The best candidate by separation, then by weight. A current holder is replaced only by a new
// candidate.
auto chooseHolder(const CandidateSet &candidateSet, LeafId leaf, const Candidate *currentHolder,
                  const Candidate *otherHolder) -> const Candidate *
{
    const Candidate *best = currentHolder;
    auto bestRank = std::pair(-1, std::uint64_t{0});
    if (currentHolder != nullptr)
        bestRank = {separation(*currentHolder, otherHolder), weight(leaf, *currentHolder->member)};
    for (const auto &candidate : candidateSet.candidates) {
        if (currentHolder != nullptr && !candidate.isNew)
            continue;
        const auto rank
                = std::pair(separation(candidate, otherHolder), weight(leaf, *candidate.member));
        if (rank > bestRank) {
            best = &candidate;
            bestRank = rank;
        }
    }
    return best;
}

using Holders = std::array<const Candidate *, maxSharesPerLeaf>;

auto chooseHolders(const CandidateSet &candidateSet, const Leaf &leaf,
                   std::span<const Share> former, std::size_t count) -> Holders
{
    auto holders = Holders();
    for (const auto &share : former) {
        if (share.ordinal < count)
            holders[share.ordinal] = findCandidate(candidateSet, share);
    }
    if (count == 1) {
        holders[0] = chooseHolder(candidateSet, leaf.id, holders[0], nullptr);
        return holders;
    }
    const auto inSameDomain = holders[0] != nullptr && holders[1] != nullptr
                              && separation(*holders[1], holders[0]) < 2;
    if (inSameDomain && (candidateSet.hasSeveralDomains || holders[0] == holders[1]))
        holders[1] = nullptr;
    // The best holder of one share depends on the other's, so a second pass revises both choices.
    for (auto pass = 0; pass < 2; ++pass) {
        holders[0] = chooseHolder(candidateSet, leaf.id, holders[0], holders[1]);
        holders[1] = chooseHolder(candidateSet, leaf.id, holders[1], holders[0]);
    }
    return holders;
}

auto hasSameSizes(std::span<const Share> former, std::span<const ShareSize> sizes) -> bool
{
    return std::ranges::equal(former, sizes, {}, &Share::size);
}

auto isHolder(const Share &share, const Member &member) -> bool
{
    return share.holder == member.id && share.holderIncarnation == member.incarnation;
}

auto setFormerHolder(Share &share, const Share &former) -> void
{
    share.formerHolder = former.holder;
    share.formerIncarnation = former.holderIncarnation;
}

// Sets the former holder whose release allows a share of a resized leaf to be used. Every former
// holder of the leaf other than the new one has to release it; with two of them, one release isn't
// enough, so that none is named and the new holder waits until their leases have ended.
auto setFormerHolderOfResized(Share &share, std::span<const Share> former) -> void
{
    const auto isOther = [&](const Share &old) {
        return old.holder != share.holder || old.holderIncarnation != share.holderIncarnation;
    };
    const auto others = std::ranges::count_if(former, isOther);
    if (others == 1)
        setFormerHolder(share, *std::ranges::find_if(former, isOther));
    else if (others == 0 && !former.empty())
        setFormerHolder(share, former.front());
}

auto assignLeafShares(const CandidateSet &candidateSet, const Assignment &former, const Leaf &leaf,
                      Assignment &next) -> void
{
    const auto sizes = splitLeaf(leaf);
    const auto old = sharesOf(former, leaf.id);
    const auto holders = chooseHolders(candidateSet, leaf, old, sizes.size());
    const auto resized = !hasSameSizes(old, sizes);
    for (std::size_t ordinal = 0; ordinal < sizes.size(); ++ordinal) {
        const auto &holder = *holders[ordinal]->member;
        if (!resized && isHolder(old[ordinal], holder)) {
            next.shares.push_back(old[ordinal]);
            continue;
        }
        auto share = Share{leaf.id,
                           static_cast<std::uint8_t>(ordinal),
                           sizes[ordinal],
                           holder.id,
                           holder.incarnation,
                           next.epoch};
        if (resized)
            setFormerHolderOfResized(share, old);
        else
            setFormerHolder(share, old[ordinal]);
        next.shares.push_back(share);
    }
}

auto controlError(std::string peer, std::string text) -> Error
{
    return {Step::Control, std::move(peer), std::move(text)};
}

struct ShareSizeSum
{
    std::uint32_t slots = 0;
    std::uint32_t coldSlots = 0;
    std::uint32_t connections = 0;
};

auto add(ShareSizeSum &sum, const ShareSize &size) -> void
{
    sum.slots += size.slots;
    sum.coldSlots += size.coldSlots;
    sum.connections += size.connections;
}

auto isWithinLimits(const ShareSizeSum &sum, const Leaf &leaf) -> bool
{
    return sum.slots <= leaf.slots && sum.coldSlots <= leaf.coldSlots
           && sum.connections <= leaf.connections;
}

auto shareName(const Share &share) -> std::string
{
    return "share " + std::to_string(toUnderlying(share.leaf)) + "/"
           + std::to_string(share.ordinal);
}

} // namespace

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

auto assignShares(const Assignment &former, std::span<const Member> members,
                  const Configuration &configuration) -> Assignment
{
    auto next = Assignment();
    next.cell = former.cell;
    next.epoch = Epoch{toUnderlying(former.epoch) + 1};
    next.members.assign(members.begin(), members.end());
    std::ranges::sort(next.members, {}, &Member::id);
    const auto stays = [&](const Member &member) {
        return std::ranges::any_of(
                members, [&](const Member &other) { return isSameMember(member, other); });
    };
    for (const auto *list : {&former.retired, &former.members}) {
        for (const auto &member : *list) {
            if (!stays(member))
                next.retired.push_back(member);
        }
    }
    const auto candidateSet = makeCandidateSet(former, next.members, configuration);
    if (candidateSet.candidates.empty())
        return next;
    for (const auto &service : configuration.services) {
        if (service.cell != next.cell)
            continue;
        for (const auto &leaf : service.leafs)
            assignLeafShares(candidateSet, former, leaf, next);
    }
    std::ranges::sort(next.shares, {},
                      [](const Share &share) { return std::pair(share.leaf, share.ordinal); });
    return next;
}

auto validate(const Assignment &assignment, const Configuration &configuration)
        -> std::vector<Error>
{
    auto errors = std::vector<Error>();
    auto leafs = std::unordered_map<LeafId, const Leaf *>();
    for (const auto &service : configuration.services) {
        for (const auto &leaf : service.leafs) {
            if (service.cell == assignment.cell)
                leafs.emplace(leaf.id, &leaf);
        }
    }
    auto sums = std::unordered_map<LeafId, ShareSizeSum>();
    auto seen = std::set<std::pair<LeafId, std::uint8_t>>();
    for (const auto &share : assignment.shares) {
        const auto name = shareName(share);
        const auto *holder = findMember(assignment, share.holder);
        if (holder == nullptr || holder->incarnation != share.holderIncarnation)
            errors.push_back(controlError(name, "the holder isn't a member"));
        if (!seen.emplace(share.leaf, share.ordinal).second)
            errors.push_back(controlError(name, "is assigned twice"));
        if (share.ordinal >= maxSharesPerLeaf)
            errors.push_back(controlError(name, "the ordinal is too large"));
        if (share.since > assignment.epoch)
            errors.push_back(controlError(name, "was assigned in a later epoch"));
        if (!leafs.contains(share.leaf))
            errors.push_back(controlError(name, "the leaf isn't one of the cell"));
        add(sums[share.leaf], share.size);
    }
    for (const auto &[leaf, sum] : sums) {
        const auto found = leafs.find(leaf);
        if (found != leafs.end() && !isWithinLimits(sum, *found->second))
            errors.push_back(controlError("leaf " + found->second->name,
                                          "the shares exceed the leaf's limits"));
    }
    if (!std::ranges::is_sorted(assignment.members, std::ranges::less_equal(), &Member::id)
        && assignment.members.size() > 1)
        errors.push_back(controlError("members", "aren't ordered by id"));
    return errors;
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

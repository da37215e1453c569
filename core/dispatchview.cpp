#include "dispatchview.h"

#include "sending.h"

#include <algorithm>

namespace crocusreach {

namespace {

struct FormerShares
{
    std::array<bool, maxSharesPerLeaf> held = {};
    ShareSize size;
};

auto isHeld(const DispatchState &state, LeafId leaf, std::uint8_t ordinal) -> bool
{
    const auto found = state.leafIndexes.find(leaf);
    return found != state.leafIndexes.end() && ordinal < maxSharesPerLeaf
           && state.leafs[found->second].heldShares[ordinal];
}

// True if the share moved from this instance to another one after the newest epoch known so far.
auto hasMovedAway(const Share &share, InstanceId self, const DrainState &drain) -> bool
{
    return share.formerHolder == self && share.formerIncarnation == drain.incarnation
           && share.since > drain.newestEpoch;
}

// Records the shares that this instance lost in a new epoch. A share that wasn't usable here, or
// that may have moved more than once since the last view, may still be in use by an earlier holder.
// This instance can't verify that it is free, so its new holder has to wait.
auto recordEpoch(DispatchState &state, const ClusterView &view) -> void
{
    auto &drain = state.drain;
    const auto &assignment = *view.assignment;
    if (assignment.epoch <= drain.newestEpoch)
        return;
    if (const auto *member = findMember(assignment, view.self))
        drain.incarnation = member->incarnation;
    const auto nextEpoch = static_cast<Epoch>(toUnderlying(drain.newestEpoch) + 1);
    std::erase_if(drain.unverifiableEpochs, [&](Epoch epoch) {
        return std::ranges::none_of(assignment.shares, [&](const Share &share) {
            return share.formerHolder == view.self && share.since == epoch;
        });
    });
    for (const auto &share : assignment.shares) {
        if (!hasMovedAway(share, view.self, drain))
            continue;
        if (share.since != nextEpoch || !isHeld(state, share.leaf, share.ordinal))
            drain.unverifiableEpochs.push_back(share.since);
    }
    drain.newestEpoch = assignment.epoch;
}

auto addLeaf(DispatchState &state, LeafId id, TimePoint now) -> std::uint32_t
{
    auto index = static_cast<std::uint32_t>(state.leafs.size());
    if (state.unusedLeafs.empty()) {
        state.leafs.emplace_back();
    } else {
        index = state.unusedLeafs.back();
        state.unusedLeafs.pop_back();
        state.leafs[index] = LeafState();
    }
    state.leafs[index].used = true;
    state.leafs[index].id = id;
    state.leafIndexes[id] = index;
    // Spreads the health checks of many leafs over the interval.
    const auto interval = std::max<std::int64_t>(1, state.settings.healthInterval.count());
    const auto offset = toUnderlying(id) % static_cast<std::uint64_t>(interval);
    arm(state.leafTimers, index, now + Duration(static_cast<std::int64_t>(offset)));
    return index;
}

// Applies the shares of the view; returns what was held before, by leaf index.
auto applyShares(DispatchState &state, TimePoint now) -> std::vector<FormerShares>
{
    auto before = std::vector<FormerShares>(state.leafs.size());
    for (std::size_t index = 0; index < state.leafs.size(); ++index) {
        auto &leaf = state.leafs[index];
        before[index] = {leaf.heldShares, leaf.size};
        leaf.heldShares = {};
        leaf.size = {};
    }
    for (const auto &share : state.view->heldShares) {
        const auto found = state.leafIndexes.find(share.leaf);
        const auto index = found == state.leafIndexes.end() ? addLeaf(state, share.leaf, now)
                                                            : found->second;
        auto &leaf = state.leafs[index];
        if (share.ordinal >= maxSharesPerLeaf || leaf.heldShares[share.ordinal])
            continue;
        leaf.heldShares[share.ordinal] = true;
        leaf.size.slots = static_cast<std::uint16_t>(leaf.size.slots + share.size.slots);
        leaf.size.coldSlots
                = static_cast<std::uint16_t>(leaf.size.coldSlots + share.size.coldSlots);
        leaf.size.connections
                = static_cast<std::uint16_t>(leaf.size.connections + share.size.connections);
    }
    before.resize(state.leafs.size());
    return before;
}

// True if a share held before now belongs to another instance.
auto hasLostShare(const DispatchState &state, const LeafState &leaf, const FormerShares &before)
        -> bool
{
    for (std::size_t ordinal = 0; ordinal < maxSharesPerLeaf; ++ordinal) {
        if (!before.held[ordinal] || leaf.heldShares[ordinal])
            continue;
        const auto shares = sharesOf(*state.view->assignment, leaf.id);
        const auto found = std::ranges::find(shares, ordinal, &Share::ordinal);
        if (found == shares.end() || found->holder != state.view->self)
            return true;
    }
    return false;
}

auto resizeConnections(LeafState &leaf, DispatchActions &actions) -> void
{
    const auto usable = requestConnectionLimit(leaf.size);
    if (leaf.connections.size() < usable)
        leaf.connections.resize(usable);
    if (leaf.connections.size() == usable || !hasShare(leaf))
        return;
    actions.emplace_back(CloseTargetConnections{leaf.id});
    closeIdleConnections(leaf);
}

auto outReason(const ClusterView &view, LeafId id) -> Reason
{
    const auto *entry = findLeaf(*view.leafIndex, id);
    if (entry == nullptr)
        return Reason::UnknownService;
    if (entry->domain != nullptr && entry->domain->decision.state == DesiredState::Out)
        return Reason::DomainOut;
    return isInRotation(*entry) ? Reason::None : Reason::ServiceOut;
}

auto updateAddress(LeafState &leaf, const std::string &address, TimePoint now,
                   DispatchActions &actions) -> void
{
    if (leaf.address == address)
        return;
    if (!leaf.address.empty()) {
        actions.emplace_back(CloseTargetConnections{leaf.id});
        closeIdleConnections(leaf);
        leaf.connections.resize(
                std::max(leaf.connections.size(), requestConnectionLimit(leaf.size)));
        beginColdStart(leaf, now);
    }
    leaf.address = address;
}

auto updateLeaf(DispatchState &state, LeafState &leaf, TimePoint now, DispatchActions &actions)
        -> void
{
    const auto &view = *state.view;
    if (const auto *entry = findLeaf(*view.leafIndex, leaf.id))
        updateAddress(leaf, entry->leaf->address, now, actions);
    const auto out = outReason(view, leaf.id);
    const auto returned = leaf.outReason != Reason::None && out == Reason::None;
    leaf.outReason = out;
    const auto listed = view.leafListings.find(leaf.id);
    const auto relisted = recordListing(
            leaf, listed == view.leafListings.end() ? TargetListing::Unlisted : listed->second);
    if (returned || relisted)
        beginColdStart(leaf, now);
    resizeConnections(leaf, actions);
    // For a leaf that is new here, or was out, it isn't known whether the target is leaving.
    if (returned || leaf.lastReplyAt == TimePoint())
        sendProbe(state, leaf, ProbeKind::Health, now, actions);
}

// Refuses the waiting requests that this holder may no longer send.
auto refuseIneligible(DispatchState &state, LeafState &leaf, TimePoint now,
                      DispatchActions &actions) -> void
{
    state.scratchEntries = leaf.waiting.entries;
    for (const auto &entry : state.scratchEntries) {
        const auto &request = state.attempts.attempts[entry.attempt].request;
        if (!leaf.heldShares[request.ordinal])
            refuseWaiting(state, entry.attempt, Reason::NotHolder, now, actions);
        else if (state.selfOut)
            refuseWaiting(state, entry.attempt, Reason::InstanceOut, now, actions);
        else if (leafRefusalReason(leaf) != Reason::None)
            refuseWaiting(state, entry.attempt, leafRefusalReason(leaf), now, actions);
        else if (state.view->leaseValidUntil <= now)
            refuseWaiting(state, entry.attempt, Reason::NoLease, now, actions);
    }
}

auto nameOfSelf(const ClusterView &view) -> std::string
{
    const auto *member = findMember(*view.assignment, view.self);
    return member == nullptr ? std::to_string(toUnderlying(view.self)) : member->name;
}

} // namespace

auto applyView(DispatchState &state, const ClusterViewPtr &view, TimePoint now,
               DispatchActions &actions) -> void
{
    recordEpoch(state, *view);
    state.view = view;
    state.selfOut = isSelfOut(*view);
    state.selfName = nameOfSelf(*view);
    const auto before = applyShares(state, now);
    for (std::uint32_t index = 0; index < state.leafs.size(); ++index) {
        auto &leaf = state.leafs[index];
        if (!leaf.used)
            continue;
        if (hasLostShare(state, leaf, before[index]))
            state.drain.pendingEpoch = view->assignment->epoch;
        resizeRamp(leaf, before[index].size, now);
        updateLeaf(state, leaf, now, actions);
        refuseIneligible(state, leaf, now, actions);
        retireLeaf(state, index, actions);
        sendWaiting(state, index, now, actions);
    }
}

auto reportDrained(DispatchState &state, DispatchActions &actions) -> void
{
    auto &drain = state.drain;
    if (!drain.pendingEpoch || !drain.unverifiableEpochs.empty())
        return;
    const auto exceeds = [&](const LeafState &leaf) {
        return leaf.used && isOverLimits(leaf, state.settings);
    };
    if (std::ranges::any_of(state.leafs, exceeds))
        return;
    actions.emplace_back(SharesDrained{*drain.pendingEpoch});
    drain.pendingEpoch.reset();
}

auto retireLeaf(DispatchState &state, std::uint32_t index, DispatchActions &actions) -> void
{
    auto &leaf = state.leafs[index];
    if (!leaf.used || hasShare(leaf) || leaf.running != 0 || !leaf.waiting.entries.empty())
        return;
    actions.emplace_back(CloseTargetConnections{leaf.id});
    state.leafIndexes.erase(leaf.id);
    disarm(state.leafTimers, index);
    leaf.used = false;
    leaf.connections.clear();
    state.unusedLeafs.push_back(index);
}

} // namespace crocusreach

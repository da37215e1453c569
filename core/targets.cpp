#include "targets.h"

#include <algorithm>

namespace crocusreach {

auto rampLimits(const LeafState &leaf) -> RampLimits
{
    return {leaf.size.slots, std::min(leaf.size.coldSlots, leaf.size.slots)};
}

auto hasShare(const LeafState &leaf) -> bool
{
    return std::ranges::find(leaf.heldShares, true) != leaf.heldShares.end();
}

auto canProbe(const LeafState &leaf) -> bool
{
    return leaf.size.connections > leaf.size.slots;
}

auto requestConnectionLimit(const ShareSize &size) -> std::size_t
{
    // Twice the slots leave room for fresh connections without closing verified ones. A request
    // marked non-idempotent needs a fresh one.
    const auto keptForProbes = size.connections > size.slots ? 1U : 0U;
    return std::min<std::size_t>(size.connections - keptForProbes, std::size_t(size.slots) * 2);
}

auto leafRefusalReason(const LeafState &leaf) -> Reason
{
    if (leaf.outReason != Reason::None)
        return leaf.outReason;
    return leaf.draining || leaf.listedLeaving ? Reason::TargetLeaving : Reason::None;
}

auto isVerified(const LeafState &leaf, const Connection &connection) -> bool
{
    return connection.open && leaf.cold.confirmed && connection.startNumber == leaf.cold.startNumber
           && toUnderlying(connection.startNumber) != 0;
}

auto concurrencyLimit(const LeafState &leaf, const DispatchSettings &settings) -> std::uint32_t
{
    return settings.coldRamp ? rampConcurrencyLimit(leaf.cold, rampLimits(leaf)) : leaf.size.slots;
}

auto runningOnCurrentProcess(const LeafState &leaf) -> std::uint32_t
{
    auto count = std::uint32_t(0);
    for (const auto &connection : leaf.connections) {
        if (connection.busy
            && (connection.unverified || connection.startNumberAtSend == leaf.cold.startNumber))
            ++count;
    }
    return count;
}

auto countUsage(const LeafState &leaf) -> Usage
{
    auto usage = Usage();
    for (const auto &connection : leaf.connections) {
        if (connection.busy)
            ++usage.running;
        if (connection.busy && connection.unverified)
            ++usage.unverified;
        if (connection.busy || connection.open)
            ++usage.connections;
    }
    return usage;
}

auto isOverLimits(const LeafState &leaf, const DispatchSettings &settings) -> bool
{
    const auto usage = countUsage(leaf);
    return usage.running > leaf.size.slots
           || runningOnCurrentProcess(leaf) > concurrencyLimit(leaf, settings)
           || usage.unverified > leaf.size.coldSlots
           || usage.connections > requestConnectionLimit(leaf.size);
}

auto chooseConnections(const LeafState &leaf) -> ConnectionChoice
{
    auto choice = ConnectionChoice();
    const auto usable = std::min(leaf.connections.size(), requestConnectionLimit(leaf.size));
    for (std::size_t index = 0; index < usable; ++index) {
        const auto &connection = leaf.connections[index];
        if (connection.busy)
            continue;
        if (!connection.open) {
            if (!choice.closed)
                choice.closed = index;
        } else if (isVerified(leaf, connection)) {
            if (!choice.verified)
                choice.verified = index;
        } else if (!choice.unverified) {
            choice.unverified = index;
        }
    }
    return choice;
}

auto isSentToEndedProcess(const LeafState &leaf, const Connection &connection) -> bool
{
    return connection.busy && !connection.unverified
           && connection.startNumberAtSend != leaf.cold.startNumber;
}

auto occupyConnection(LeafState &leaf, std::size_t index, std::uint32_t attempt, bool unverified)
        -> void
{
    auto &connection = leaf.connections[index];
    connection.busy = true;
    connection.attempt = attempt;
    connection.unverified = unverified;
    connection.startNumberAtSend = leaf.cold.startNumber;
    ++leaf.running;
    if (unverified)
        ++leaf.unverified;
}

auto freeConnection(LeafState &leaf, std::size_t index) -> void
{
    auto &connection = leaf.connections[index];
    connection.busy = false;
    --leaf.running;
    if (connection.unverified)
        --leaf.unverified;
    connection.unverified = false;
}

auto closeIdleConnections(LeafState &leaf) -> void
{
    for (auto &connection : leaf.connections) {
        if (!connection.busy)
            connection = {};
    }
    while (leaf.connections.size() > requestConnectionLimit(leaf.size)
           && !leaf.connections.back().busy)
        leaf.connections.pop_back();
}

auto resizeRamp(LeafState &leaf, const ShareSize &before, TimePoint now) -> void
{
    const auto complete = leaf.cold.concurrencyLimit >= before.slots;
    const auto smaller = leaf.size.slots < before.slots || leaf.size.coldSlots < before.coldSlots;
    if (smaller && !complete)
        restartRamp(leaf.cold, rampLimits(leaf), now);
}

auto beginColdStart(LeafState &leaf, TimePoint now) -> void
{
    markIdentityUnconfirmed(leaf.cold);
    restartRamp(leaf.cold, rampLimits(leaf), now);
}

auto recordTargetIdentity(LeafState &leaf, std::string_view startId, TargetState state,
                          TimePoint now) -> bool
{
    switch (recordIdentity(leaf.cold, startId)) {
    case IdentityChange::Stale:
        return false;
    case IdentityChange::Restarted:
        beginColdStart(leaf, now);
        leaf.cold.confirmed = true;
        leaf.draining = false;
        leaf.listedLeaving = false;
        break;
    case IdentityChange::First:
        restartRamp(leaf.cold, rampLimits(leaf), now);
        leaf.cold.confirmed = true;
        break;
    case IdentityChange::None:
        break;
    }
    leaf.lastReplyAt = now;
    if (state != TargetState::Unknown)
        leaf.targetState = state;
    if (state == TargetState::Draining)
        leaf.draining = true;
    return true;
}

auto confirmIdentity(LeafState &leaf, std::uint32_t identityGeneration) -> void
{
    if (leaf.cold.identityGeneration == identityGeneration)
        leaf.cold.confirmed = true;
}

auto recordListing(LeafState &leaf, TargetListing listing) -> bool
{
    const auto before = leaf.listing;
    if (listing == before)
        return false;
    leaf.listing = listing;
    if (listing == TargetListing::Live) {
        // A first listing doesn't override what the target itself has reported about leaving.
        const auto returned = leaf.wasListed;
        leaf.wasListed = true;
        if (returned)
            leaf.draining = false;
        leaf.listedLeaving = false;
        return returned;
    }
    // A target that was never listed isn't leaving merely because it is absent.
    leaf.listedLeaving = listing == TargetListing::Leaving || leaf.wasListed;
    leaf.wasListed = true;
    return false;
}

auto silenceTimeoutAt(LeafState &leaf, const DispatchSettings &settings, TimePoint sentAt,
                      TimePoint now) -> std::optional<TimePoint>
{
    const auto &latency = summarize(leaf.latency, now);
    if (!latency.valid)
        return std::nullopt;
    const auto wait = Duration(static_cast<Duration::rep>(static_cast<double>(latency.p99.count())
                                                          * settings.silenceTimeoutFactor));
    return sentAt + std::max(wait, settings.minSilenceTimeout);
}

} // namespace crocusreach

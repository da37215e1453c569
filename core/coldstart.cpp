#include "coldstart.h"

#include <algorithm>

namespace crocusreach {

auto recordIdentity(ColdStart &cold, std::string_view startId) -> IdentityChange
{
    if (startId.empty() || startId == cold.identity)
        return IdentityChange::None;
    if (std::ranges::find(cold.formerIdentities, startId) != cold.formerIdentities.end())
        return IdentityChange::Stale;
    const auto first = cold.identity.empty();
    if (!first) {
        cold.formerIdentities[cold.nextFormerIndex] = cold.identity;
        cold.nextFormerIndex = (cold.nextFormerIndex + 1) % cold.formerIdentities.size();
    }
    cold.identity = startId;
    cold.startNumber = static_cast<StartNumber>(toUnderlying(cold.startNumber) + 1);
    return first ? IdentityChange::First : IdentityChange::Restarted;
}

auto markIdentityUnconfirmed(ColdStart &cold) -> void
{
    cold.confirmed = false;
    ++cold.identityGeneration;
}

auto restartRamp(ColdStart &cold, const RampLimits &limits, TimePoint now) -> void
{
    cold.concurrencyLimit = limits.coldSlots;
    cold.stepStartedAt = now;
    cold.repliesInStep = 0;
}

auto advanceRamp(ColdStart &cold, const RampLimits &limits, const RampSettings &settings,
                 const RampObservation &reply, TimePoint now) -> void
{
    if (reply.state == TargetState::Cold) {
        restartRamp(cold, limits, now);
        return;
    }
    if (reply.shed) {
        cold.concurrencyLimit = std::max(limits.coldSlots, rampConcurrencyLimit(cold, limits) / 2);
        cold.stepStartedAt = now;
        cold.repliesInStep = 0;
        return;
    }
    if (cold.concurrencyLimit >= limits.slots)
        return;
    if (reply.slow) {
        cold.stepStartedAt = now;
        cold.repliesInStep = 0;
        return;
    }
    ++cold.repliesInStep;
    if (cold.repliesInStep < settings.stepReplies
        || now - cold.stepStartedAt < settings.stepDuration)
        return;
    cold.concurrencyLimit = std::min(limits.slots, std::max(1U, cold.concurrencyLimit) * 2);
    cold.stepStartedAt = now;
    cold.repliesInStep = 0;
}

auto rampConcurrencyLimit(const ColdStart &cold, const RampLimits &limits) -> std::uint32_t
{
    return std::min(limits.slots, std::max(cold.concurrencyLimit, limits.coldSlots));
}

} // namespace crocusreach

#include "coldstart.h"

#include <algorithm>

namespace crocusreach {

auto showIdentity(ColdStart &cold, std::string_view startId) -> IdentityChange
{
    if (startId.empty() || startId == cold.identity)
        return IdentityChange::None;
    if (std::ranges::find(cold.former, startId) != cold.former.end())
        return IdentityChange::Stale;
    const auto first = cold.identity.empty();
    if (!first) {
        cold.former[cold.nextFormer] = cold.identity;
        cold.nextFormer = (cold.nextFormer + 1) % cold.former.size();
    }
    cold.identity = startId;
    cold.start = static_cast<StartNumber>(number(cold.start) + 1);
    return first ? IdentityChange::First : IdentityChange::Restarted;
}

auto doubtIdentity(ColdStart &cold) -> void
{
    cold.confirmed = false;
    ++cold.doubts;
}

auto restartRamp(ColdStart &cold, const RampLimits &limits, TimePoint now) -> void
{
    cold.allowed = limits.coldSlots;
    cold.stepStart = now;
    cold.stepReplies = 0;
}

auto advanceRamp(ColdStart &cold, const RampLimits &limits, const RampSettings &settings,
                 const RampReply &reply, TimePoint now) -> void
{
    if (reply.state == TargetState::Cold) {
        restartRamp(cold, limits, now);
        return;
    }
    if (reply.shed) {
        cold.allowed = std::max(limits.coldSlots, allowedRequests(cold, limits) / 2);
        cold.stepStart = now;
        cold.stepReplies = 0;
        return;
    }
    if (cold.allowed >= limits.slots)
        return;
    if (reply.slow) {
        cold.stepStart = now;
        cold.stepReplies = 0;
        return;
    }
    ++cold.stepReplies;
    if (cold.stepReplies < settings.replies || now - cold.stepStart < settings.step)
        return;
    cold.allowed = std::min(limits.slots, std::max(1U, cold.allowed) * 2);
    cold.stepStart = now;
    cold.stepReplies = 0;
}

auto allowedRequests(const ColdStart &cold, const RampLimits &limits) -> std::uint32_t
{
    return std::min(limits.slots, std::max(cold.allowed, limits.coldSlots));
}

} // namespace crocusreach

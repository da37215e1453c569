#include "sendschedule.h"

#include <cmath>

namespace crocusreach::forward {

namespace {

using Seconds = std::chrono::duration<double>;

// Bounds how many instances whose slots began at different times can send together after a pause.
constexpr auto slotValidity = Seconds(1);

auto positionAt(const SendSchedule &schedule, TimePoint now) -> double
{
    return schedule.position + schedule.rate * Seconds(now - schedule.positionAt).count();
}

auto slotAt(const SendSchedule &schedule, TimePoint now) -> std::int64_t
{
    return static_cast<std::int64_t>(std::floor(positionAt(schedule, now)));
}

} // namespace

auto startSchedule(double rate, double phase, TimePoint now) -> SendSchedule
{
    return {rate, 1 - phase, now, 0};
}

auto changeRate(SendSchedule &schedule, double rate, TimePoint now) -> void
{
    schedule.position = positionAt(schedule, now);
    schedule.positionAt = now;
    schedule.rate = rate;
}

auto nextSendAt(const SendSchedule &schedule, TimePoint now) -> TimePoint
{
    const auto position = positionAt(schedule, now);
    const auto slot = std::floor(position);
    const auto sinceSlotBegan = Seconds((position - slot) / schedule.rate);
    if (static_cast<std::int64_t>(slot) > schedule.lastUsedSlot && sinceSlotBegan < slotValidity)
        return now;
    // Rounded up, so that the slot has begun by then.
    return now + std::chrono::ceil<Duration>(Seconds((slot + 1 - position) / schedule.rate))
           + Duration(1);
}

auto sendsBetween(const SendSchedule &schedule, TimePoint from, TimePoint until) -> double
{
    const auto first = nextSendAt(schedule, from);
    if (first > until)
        return 0;
    return static_cast<double>(1 + slotAt(schedule, until) - slotAt(schedule, first));
}

auto useSlot(SendSchedule &schedule, TimePoint now) -> void
{
    schedule.lastUsedSlot = slotAt(schedule, now);
}

} // namespace crocusreach::forward

#include "clock.h"

#include <ctime>

namespace crocusreach {

auto decisionNow() -> TimePoint
{
    auto time = timespec();
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

auto wallNow() -> WallTime
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
}

} // namespace crocusreach

#pragma once

#include "core/types.h"

// The clocks of the process. Only the runtime reads them.

namespace crocusreach {

// Time since the machine started, also while the process was stopped (CLOCK_BOOTTIME).
auto decisionNow() -> TimePoint;

// Wall clock, for absolute deadlines that travel to targets and for records.
auto wallNow() -> WallTime;

} // namespace crocusreach

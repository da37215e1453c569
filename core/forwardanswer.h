#pragma once

#include "forwarder.h"

#include <optional>

// Decides when a call is answered, and with what.

namespace crocusreach::forward {

struct CallOutcome
{
    CallAnswer answer;
    CallEnd end = CallEnd::Complete;
};

// The outcome of a call if it is to be answered now: all parts are answered, no further answer can
// come, or the missing ones aren't worth the wait. Empty otherwise.
auto decideOutcome(Forwarder &forwarder, Call &call, TimePoint now) -> std::optional<CallOutcome>;

// How long the caller should wait before its next attempt, given why this one ended. Randomised, so
// that callers that were refused together don't return together.
auto retryAfter(Forwarder &forwarder, CallEnd end, Duration timeLeft) -> Duration;

auto missingParts(const Call &call) -> std::size_t;

} // namespace crocusreach::forward

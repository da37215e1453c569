#pragma once

#include "forwarder.h"

#include <optional>

// When a call is answered, and with what.

namespace crocusreach::forward {

struct CallOutcome
{
    CallAnswer answer;
    CallEnd end = CallEnd::Complete;
};

// The answer of a call, if now is the time for one: all is in, nothing more can come, or waiting
// longer costs the caller more than it brings.
auto decideOutcome(Forwarder &forwarder, Call &call, TimePoint now) -> std::optional<CallOutcome>;

// How long the caller should wait before it asks again. Spread, so that callers that were turned
// away together don't return together.
auto retryAfter(Forwarder &forwarder, Duration timeLeft) -> Duration;

auto missingParts(const Call &call) -> std::size_t;

} // namespace crocusreach::forward

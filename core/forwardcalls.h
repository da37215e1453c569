#pragma once

#include "forwarder.h"

#include <vector>

// Progress of a call from its first send to its answer.

namespace crocusreach::forward {

auto answerCaller(CallId call, CallAnswer &&answer, std::vector<ForwardAction> &actions) -> void;

// Time since the known desired state was last confirmed; absent before the first time.
auto stateAgeOf(const Forwarder &forwarder, TimePoint now) -> std::optional<Duration>;

// Ends a call earlier than at its deadline if the instance exits before.
auto shortenToStop(Forwarder &forwarder, Call &call) -> void;

// Removes the call and reports how it ended.
auto endCall(Forwarder &forwarder, Call &call, CallEnd end, TimePoint now,
             std::vector<ForwardAction> &actions) -> void;

// Sends what is due. If the outcome is decided, answers the caller and removes the call.
auto advance(Forwarder &forwarder, Call &call, TimePoint now, std::vector<ForwardAction> &actions)
        -> void;

// Advances the waiting calls that may make progress, the most urgent first.
auto advanceWaitingCalls(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions)
        -> void;

} // namespace crocusreach::forward

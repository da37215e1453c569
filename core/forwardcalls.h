#pragma once

#include "forwarder.h"

#include <vector>

// The course of a call from its first send to its answer.

namespace crocusreach::forward {

auto answerCaller(CallId call, CallAnswer &&answer, std::vector<ForwardAction> &actions) -> void;

// Removes the call and reports how it ended.
auto endCall(Forwarder &forwarder, Call &call, CallEnd end, TimePoint now,
             std::vector<ForwardAction> &actions) -> void;

// Sends what is due and answers if the time has come. The call is gone afterwards if it does.
auto advance(Forwarder &forwarder, Call &call, TimePoint now, std::vector<ForwardAction> &actions)
        -> void;

// The same for calls that wait for a connection, the most urgent first.
auto advanceWaitingCalls(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions)
        -> void;

} // namespace crocusreach::forward

#pragma once

#include "forwarder.h"

// When a part of a call is sent to a leaf, for the first time or once more.

namespace crocusreach::forward {

// Sends what is due: first sends, retries and hedges. Parts that can't be sent any more are given
// up; those that find no free connection put the call among the waiting ones.
auto sendDueParts(Forwarder &forwarder, Call &call, TimePoint now,
                  std::vector<ForwardAction> &actions) -> void;

// Removes a send and its trace at the leaf and the part.
auto detachSend(Forwarder &forwarder, const Send &send) -> void;

// Reports a send of the call that has failed, or that gets no answer in time.
auto reportFailedSend(Forwarder &forwarder, const Call &call, const Send &send, RetryReason reason,
                      TimePoint now, std::vector<ForwardAction> &actions) -> void;

auto addTimer(Forwarder &forwarder, TimePoint at, bool isForSend, std::uint64_t id) -> void;

} // namespace crocusreach::forward

#pragma once

#include "forwarder.h"

#include <optional>
#include <span>
#include <vector>

// Refuses calls that can't be sent in time. Handles the load where leafs take fewer requests than
// arrive, because they state rate limits, pause, or answer too slowly for the connections that this
// instance may use. Otherwise such calls wait until their callers' time is over.

namespace crocusreach::forward {

// What limits this instance's sends to the leafs of one service.
struct DrainQuery
{
    std::span<const LeafNumber> leafs;
    const ServiceSpec *spec = nullptr;
    Duration answerTime = {}; // of a leaf, usually; 0: not known
    const Reachability *reachability = nullptr;
    double deviations = 0; // of the number of answers, by which it may exceed its mean
};

// True if the leafs may get the number of sends within the time. Errs on the side of more sends:
// what isn't known limits nothing, and leafs may answer faster than expected.
auto canDrain(LeafTable &table, const DrainQuery &query, const InstanceShare &share, double sends,
              TimePoint now, TimePoint until) -> bool;

// Time after which the leafs may have got the number of sends; at most some seconds.
auto drainTime(LeafTable &table, const DrainQuery &query, const InstanceShare &share, double sends,
               TimePoint now) -> Duration;

// Decides whether a call that hasn't been sent anywhere can be sent to enough services in time,
// given the waiting calls ahead of it. If not, returns the time until it could have been sent.
auto findShortage(Forwarder &forwarder, const Call &call, TimePoint now) -> std::optional<Duration>;

// When the caller of a refused call may return: after the queue has drained, and up to as long
// again, so that the callers don't return together.
auto retryAfterDrain(Forwarder &forwarder, Duration drainTime) -> Duration;

// Refuses the waiting calls that haven't been sent anywhere and can't be in time.
auto refuseUnservableCalls(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions)
        -> void;

} // namespace crocusreach::forward

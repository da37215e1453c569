#pragma once

#include "forwarder.h"

#include <vector>

// Whether a request that arrives becomes a call, waits for the state to be read, or is turned away
// at once.

namespace crocusreach::forward {

// Turns a request away. The route may be null.
auto refuse(Forwarder &forwarder, const RequestArrived &event, const Route *route,
            LocalStatus status, CallEnd end, std::vector<ForwardAction> &actions) -> void;

// Starts a call, which may have arrived some time ago.
auto admit(Forwarder &forwarder, const RequestArrived &event, TimePoint arrivedAt, TimePoint now,
           std::vector<ForwardAction> &actions) -> void;

// Keeps a request until the state is read. False if too many are kept.
auto holdRequest(Forwarder &forwarder, const RequestArrived &event, TimePoint now) -> bool;

// Turns away the requests that were held for too long, or all if the state isn't to be had.
auto refuseHeldRequests(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions)
        -> void;

// Judges anew which failure domains can be reached.
auto checkReachability(Forwarder &forwarder, TimePoint now) -> void;

} // namespace crocusreach::forward

#pragma once

#include "forwarder.h"

#include <vector>

// Admission of requests: a request that arrives starts a call, is held until the state is read, or
// is refused.

namespace crocusreach::forward {

// Refuses a request. The route may be null. Without a time to retry after, one is chosen.
auto refuse(Forwarder &forwarder, const RequestArrived &event, TimePoint now, const Route *route,
            LocalStatus status, CallEnd end, std::vector<ForwardAction> &actions,
            std::optional<Duration> retry = {}) -> void;

// Starts the call of a request, which may have been held since its arrival, or refuses it.
auto admit(Forwarder &forwarder, const RequestArrived &event, TimePoint arrivedAt, TimePoint now,
           std::vector<ForwardAction> &actions) -> void;

// The same for a request whose token has expired.
auto admitAgain(Forwarder &forwarder, const QuotaRequest &request, TimePoint now,
                std::vector<ForwardAction> &actions) -> void;

// The same for a request that has a token of its tenant's quota.
auto admitGranted(Forwarder &forwarder, const QuotaGranted &granted, TimePoint now,
                  std::vector<ForwardAction> &actions) -> void;

// Holds a request until the state is read or confirmed. Returns false if too many are held.
auto holdRequest(Forwarder &forwarder, const RequestArrived &event, TimePoint now) -> bool;

// Starts the calls of all held requests.
auto admitHeldRequests(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions)
        -> void;

// Refuses the requests that were held for too long, or all of them if the state is unavailable.
auto refuseHeldRequests(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions)
        -> void;

// Updates which failure domains can be reached and whether most requests are unservable, and starts
// probes if the instance is isolated.
auto checkReachability(Forwarder &forwarder, TimePoint now) -> void;

} // namespace crocusreach::forward

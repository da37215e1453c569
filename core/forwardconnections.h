#pragma once

#include "forwarder.h"

#include <vector>

// The connections to leafs, as far as they are opened and closed by decision.

namespace crocusreach::forward {

// The connection takes further requests.
auto releaseConnection(Forwarder &forwarder, LeafState &leaf, const LeafAnswered &event,
                       ConnectionId id, TimePoint now) -> void;

// Forgets a connection that is closed.
auto removeConnection(Forwarder &forwarder, ConnectionId id) -> void;

auto closeConnection(Forwarder &forwarder, ConnectionId id, std::vector<ForwardAction> &actions)
        -> void;

// Closes the idle connections of leafs that get nothing any more.
auto closeUnusedConnections(Forwarder &forwarder, std::vector<ForwardAction> &actions) -> void;

// Closes connections that were idle for too long, before their leafs do.
auto closeStaleConnections(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions)
        -> void;

} // namespace crocusreach::forward

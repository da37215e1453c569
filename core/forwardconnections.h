#pragma once

#include "forwarder.h"

#include <vector>

// Bookkeeping of the connections to leafs, and when idle ones are closed.

namespace crocusreach::forward {

// Marks a connection as idle after an answer, so that it can be used for the next request.
auto releaseConnection(Forwarder &forwarder, LeafState &leaf, const LeafAnswered &event,
                       ConnectionId id, TimePoint now) -> void;

// Removes a connection that has closed.
auto removeConnection(Forwarder &forwarder, ConnectionId id) -> void;

auto closeConnection(Forwarder &forwarder, ConnectionId id, std::vector<ForwardAction> &actions)
        -> void;

// Closes the idle connections of leafs that get no more requests.
auto closeUnusedConnections(Forwarder &forwarder, std::vector<ForwardAction> &actions) -> void;

// Closes connections that were idle for too long, before their leafs close them.
auto closeStaleConnections(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions)
        -> void;

} // namespace crocusreach::forward

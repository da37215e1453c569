#pragma once

#include "forwarder.h"

// Finds out whether the network path to other failure domains is open again. It answers this load:
// while an instance is isolated, its callers are sent elsewhere, so that no request shows the end
// of it. A connection is opened to one leaf after the other; the first that opens is kept for
// requests.

namespace crocusreach::forward {

// Opens the next connection if one is due, and gives up the former one.
auto probePath(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions) -> void;

// The connection is open.
auto onProbeOpened(Forwarder &forwarder, ConnectionId connection, TimePoint now,
                   std::vector<ForwardAction> &actions) -> void;

// It could not be opened.
auto onProbeClosed(Forwarder &forwarder, ConnectionId connection) -> void;

} // namespace crocusreach::forward

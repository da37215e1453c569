#pragma once

#include "forwarder.h"

// Finds out whether the network path to other failure domains works again. While an instance is
// isolated, its callers are sent to other instances, so no request would show the end of the
// isolation. Connections are opened to one leaf after another; the first that is established is
// kept for requests.

namespace crocusreach::forward {

// Opens the next probe connection if one is due, and closes the previous one.
auto probePath(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions) -> void;

// Handles a connection that has opened. That of the current probe ends the isolation; one of an
// earlier probe is closed.
auto onProbeOpened(Forwarder &forwarder, ConnectionId connection, TimePoint now,
                   std::vector<ForwardAction> &actions) -> void;

// Handles a connection that could not be opened. The next probe starts when it is due.
auto onProbeClosed(Forwarder &forwarder, ConnectionId connection) -> void;

} // namespace crocusreach::forward

#pragma once

#include "forwarder.h"

#include <vector>

// The connections to leafs, as far as they are opened and closed by decision.

namespace crocusreach::forward {

// The connection takes further requests.
auto freeLink(Forwarder &forwarder, LeafState &leaf, const LeafAnswered &event, LinkId id,
              TimePoint now) -> void;

// Forgets a connection that is closed.
auto dropLink(Forwarder &forwarder, LinkId id) -> void;

auto closeLink(Forwarder &forwarder, LinkId id, std::vector<ForwardAction> &actions) -> void;

// Closes the idle connections of leafs that get nothing any more.
auto closeUnusedLinks(Forwarder &forwarder, std::vector<ForwardAction> &actions) -> void;

// Closes connections that were idle for too long, before their leafs do.
auto closeStaleLinks(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions)
        -> void;

} // namespace crocusreach::forward

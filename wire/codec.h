#pragma once

#include "core/control.h"
#include "core/messages.h"
#include "core/types.h"

#include <peer.pb.h>

#include <variant>

// Conversion between the messages of the schema and the core's structs. Nothing is decided here.

namespace crocusreach {

// Everything that travels between two instances. A LeafReply travels with its origin.
struct OriginatedReply
{
    InstanceId origin = {};
    LeafReply reply;
};

using PeerPayload = std::variant<LeafRequest, OriginatedReply, CancelLeafRequest, Heartbeat,
                                 HeartbeatReply, FetchState, FetchedState>;

// Deadlines travel as the time left at now.
auto encode(const PeerPayload &payload, TimePoint now, wire::PeerMessage &message) -> void;

// Fails with Step::PeerCall if the message is empty or holds a value out of range.
auto decode(const wire::PeerMessage &message, TimePoint now) -> Result<PeerPayload>;

} // namespace crocusreach

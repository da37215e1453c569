#pragma once

#include "types.h"

#include <memory>
#include <string>
#include <vector>

// Messages between the query core and the holders of shares, on one instance or between two.

namespace crocusreach {

struct LeafRequest
{
    AttemptId attempt = {};
    InstanceId origin = {}; // the instance whose query core sent it
    ServiceId service = {};
    LeafId leaf = {};
    std::uint8_t ordinal = 0; // the share of the leaf that the sender chose
    ShardNumber shard = {};
    IndexVersion version = {};
    LayoutVersion layout = {};
    TimePoint deadline = {}; // on the receiver's clock; sent to other instances as the time left
    bool idempotent = true;
    bool hedge = false;
    std::string requestId;
    std::shared_ptr<const std::string> body; // never null
};

struct ResultRow
{
    std::string key;
    double score = 0;
    std::string body;

    auto operator==(const ResultRow &) const -> bool = default;
};

// Breakdown of the time that one leaf request took.
struct LeafTimings
{
    Duration queued = {}; // waiting for a slot at the holder
    Duration connecting = {};
    Duration target = {}; // from the request's send to the reply
};

// The state that a target reports in a reply.
enum class TargetState : std::uint8_t { Unknown, Warm, Cold, Draining };

auto toString(TargetState state) -> std::string_view;

struct LeafReply
{
    AttemptId attempt = {};
    LeafId leaf = {};
    ShardNumber shard = {};
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None; // None if rows are valid
    Step step = Step::TargetCall;
    std::string peer; // instance or target at which the reason arose
    IndexVersion version = {};
    LayoutVersion layout = {};
    std::vector<ResultRow> rows;
    std::vector<IndexVersion> servedVersions; // empty if the target reported none
    LeafTimings timings;
    TargetState targetState = TargetState::Unknown;
    std::uint32_t queueLength = 0; // of the share, as a hint for routing
};

struct CancelLeafRequest
{
    InstanceId origin = {};
    AttemptId attempt = {};
};

} // namespace crocusreach

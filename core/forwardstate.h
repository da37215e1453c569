#pragma once

#include "forwardmessages.h"
#include "latency.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <tuple>
#include <vector>

// The calls and sends in progress at a forwarder.

namespace crocusreach::forward {

struct RouteStats;

// Calls that wait for a connection: the most urgent first, then the one that ends first.
using WaitingKey = std::tuple<std::uint32_t, TimePoint, CallId>;

enum class PartState : std::uint8_t { Open, Answered, Failed };

// One shard of a call; a call to a single service has one part.
struct Part
{
    std::string_view service; // owned by the call's route table
    PartState state = PartState::Open;
    std::vector<LeafNumber> triedLeafs;
    std::vector<SendId> activeSends;
    std::uint32_t attempts = 0;
    TimePoint hedgeAt = TimePoint::max();
    bool mayHaveRun = false; // a send ended without proof that it did not run
    bool unreliable = false; // the latest send went to a leaf that stands still or failed lately
    RetryReason lastFailure = RetryReason::Failure; // of the latest send that failed
    CallEnd failedAs = CallEnd::TooFewShards; // why it was given up
    LeafAnswer answer; // valid if answered; otherwise the latest failure, if it has a status
};

struct Call
{
    CallId id = {};
    ForwardRequestPtr request;
    RouteTablePtr table; // keeps the route and the services' names
    const Route *route = nullptr;
    RouteStats *stats = nullptr;
    TimePoint arrivedAt = {};
    Duration elapsedBeforeArrival = {}; // of the caller's time, before the arrival
    TimePoint deadline = {}; // the last moment for an answer
    TimePoint partialAnswerAt = {}; // from here on, an answer with missing shards is given
    std::vector<Part> parts;
    std::uint32_t sends = 0;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    std::optional<WaitingKey> waiting;
    std::optional<LeafNumber> lastAnswerLeaf; // of the latest answer
    Duration lastAnswerLatency = {}; // from the send to that answer
};

struct Send
{
    SendId id = {};
    CallId call = {};
    std::size_t part = 0;
    RouteStats *stats = nullptr;
    LeafNumber leaf = {};
    ConnectionId connection = {};
    bool opensConnection = false;
    bool idempotent = false;
    TimePoint sentAt = {};
    TimePoint overdueAt = {}; // without an answer until then, the leaf counts as stalled
    Duration typicalLatency = {}; // latency of the route when it was sent
    TimePoint closeAt = {}; // without an answer, the connection is closed
};

// What the requests on one route have shown.
struct RouteStats
{
    LatencyHistogram latency = makeLatencyHistogram();
    Duration medianLatency = {}; // median of a leaf's latency; 0 until known
    std::uint32_t answersSinceUpdate = 0;
    std::vector<double> splitWeights; // of the split's parts
    TimePoint nextTrialAt = {}; // while too few of the route's leafs answer
    Duration maxTimeLeft = {}; // of callers lately, at their requests' arrival
    TimePoint maxTimeLeftAt = {};
};

// The median latency of a leaf on the route, or an assumption until there are enough answers.
auto typicalLatency(const RouteStats &stats, const Route &route) -> Duration;
auto recordLatency(RouteStats &stats, Duration latency, TimePoint now) -> void;

// Parts of a call that must be in for a success.
auto requiredParts(const Call &call) -> std::size_t;

} // namespace crocusreach::forward

#pragma once

#include "forwardmessages.h"
#include "latency.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

// The calls and sends in progress at a forwarder.

namespace crocusreach::forward {

struct RouteStats;

enum class PartState : std::uint8_t { Open, Answered, Failed };

// The request to one shard of a call. A call to a single service has one part.
struct Part
{
    std::string_view service; // owned by the call's route table
    PartState state = PartState::Open;
    std::vector<LeafNumber> triedLeafs;
    std::vector<SendId> activeSends;
    std::uint32_t attempts = 0;
    TimePoint hedgeAt = TimePoint::max();
    bool mayHaveRun = false; // a send ended without proof that the leaf did not run it
    bool unreliable = false; // the latest send went to a leaf that is unlikely to answer soon
    RetryReason lastFailure = RetryReason::Failure; // why the latest failed send failed
    CallEnd failedAs = CallEnd::TooFewShards; // how the call ends if it fails for this part
    LeafAnswer answer; // the success if answered, else the latest failure; status 0 if none
};

struct Call
{
    CallId id = {};
    ForwardRequestPtr request;
    RouteTablePtr table; // keeps the route and the services' names alive
    const Route *route = nullptr;
    std::optional<TenantNumber> tenant; // in the table
    std::uint32_t priority = 0; // 0 is the most urgent
    std::optional<TimePoint> tokenValidUntil; // if its first send needs a token of the quota
    std::uint32_t expiredTokens = 0;
    bool needsNewToken = false; // it could be sent now, but its token has expired
    RouteStats *stats = nullptr;
    TimePoint arrivedAt = {};
    Duration elapsedBeforeArrival = {}; // estimate of the time the caller spent before the arrival
    TimePoint deadline = {}; // the call is answered by then at the latest
    bool endsAtStop = false; // the instance's exit, not the caller, sets the deadline
    TimePoint partialAnswerAt = {}; // from then on, an answer may lack shards
    std::vector<Part> parts;
    std::uint32_t sends = 0;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    std::vector<std::string_view> waitsFor; // services whose leafs it waits for
    std::optional<LeafNumber> lastAnswerLeaf; // leaf of the latest answer
    Duration lastAnswerLatency = {}; // time from the send to that answer
};

struct Send
{
    SendId id = {};
    CallId call = {};
    std::size_t part = 0;
    RouteStats *stats = nullptr;
    LeafNumber leaf = {};
    std::uint32_t leafProcess = 0; // of LeafState, at the time of the send
    ConnectionId connection = {};
    bool opensConnection = false;
    bool idempotent = false;
    TimePoint sentAt = {};
    TimePoint overdueAt = {}; // the leaf counts as stalled if it has not answered by then
    Duration typicalLatency = {}; // of the route at the time of the send
    TimePoint closeAt = {}; // the connection is closed if there is no answer by then
    RolloutTicket rollout;
};

// Statistics of the requests on one route.
struct RouteStats
{
    LatencyHistogram latency = makeLatencyHistogram();
    Duration medianLatency = {}; // of a leaf; 0 until known
    double answerBytes = 0; // of a leaf, on average; kept only for the choice of domains
    std::uint32_t answersSinceUpdate = 0;
    std::vector<double> splitWeights; // current weights of the smooth weighted round robin
    TimePoint nextTrialAt = {}; // of a trial request, while too few of the route's leafs answer
    Duration maxTimeLeft = {}; // the longest that recent callers had at their requests' arrival
    TimePoint maxTimeLeftAt = {};
};

// The median latency of a leaf on the route, or an estimate until there are enough answers.
auto typicalLatency(const RouteStats &stats, const Route &route) -> Duration;
auto recordLatency(RouteStats &stats, Duration latency, TimePoint now) -> void;

// Empty if the call is for no tenant.
auto tenantNameOf(const Call &call) -> std::string;

// Number of parts that must be answered for the call to succeed.
auto requiredParts(const Call &call) -> std::size_t;

} // namespace crocusreach::forward

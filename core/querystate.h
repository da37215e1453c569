#pragma once

#include "latency.h"
#include "query.h"
#include "queryattempttable.h"
#include "retry.h"
#include "routing.h"
#include "snapshot.h"

#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

// Internal state of the query core. Only the modules of the core and their tests include it.

namespace crocusreach {

enum class ShardStatus : std::uint8_t { Waiting, Merged, Missing };

// An attempt for a shard. It stays listed after it has ended, so that a further attempt uses
// another share.
struct ShardAttempt
{
    ShareKey share;
    AttemptId runningId = {}; // 0 once the attempt has ended
};

// One shard of one query in flight.
struct ShardProgress
{
    ShardNumber shard = {};
    ShardStatus status = ShardStatus::Waiting;
    bool hedged = false;
    std::uint8_t attemptCount = 0; // used entries of attempts
    std::array<ShardAttempt, maxAttemptsPerShard> attempts = {};
    IndexVersion mergedVersion = {};
    // The last failure of a missing shard, for the coverage in the answer.
    Reason reason = Reason::None;
    Step step = Step::Plan;
    std::string peer;
};

// The claim of a non-idempotent request.
struct ClaimProgress
{
    std::string key;
    std::uint64_t nonce = 0;
    std::uint64_t version = 0; // of the stored claim, valid while held
    bool held = false;
    TimePoint startedAt = {};
    Duration claimingTime = {}; // from the first store request until the claim was held
};

struct RunningQuery
{
    QueryArrived request;
    // Pinned by plan(), so that layout and leafs don't change while the query runs.
    ClusterViewPtr view;
    const Service *service = nullptr; // owned by the view
    std::shared_ptr<const ServiceRoutes> routes; // of that view
    Snapshot snapshot;
    TimePoint arrivedAt = {};
    TimePoint deadline = {};
    std::vector<ShardProgress> shards;
    std::vector<AnswerRow> rows; // of merged shards
    std::uint32_t waitingShards = 0;
    std::uint32_t restarts = 0;
    // True if an attempt may have run at a target: it ended without proof that it did not, or was
    // cancelled.
    bool mayHaveRun = false;
    ClaimProgress claim;
    std::vector<AttemptTrace> attemptTraces; // filled only if the request asks for a trace
};

// The claim of a non-idempotent query that was answered with Outcome::Unknown while its attempt was
// still running. A late reply completes the claim, so that the caller's retry gets the outcome.
struct UnresolvedClaim
{
    std::string key;
    std::uint64_t nonce = 0;
    std::uint64_t version = 0;
    TimePoint validUntil = {};
};

enum class TimerKind : std::uint8_t { Deadline, Hedge };

struct QueryTimer
{
    TimePoint at = {};
    TimerKind kind = TimerKind::Deadline;
    QueryId query = {};
    AttemptId attempt = {}; // for Hedge

    auto operator>(const QueryTimer &other) const -> bool { return this->at > other.at; }
};

// Budgets of the extra attempts for one service or at one leaf.
struct AttemptBudgets
{
    TokenBucket hedges;
    TokenBucket retries;
};

struct CachedRoutes
{
    ClusterViewPtr view;
    std::shared_ptr<const ServiceRoutes> routes;
};

struct QueryState
{
    QuerySettings settings;
    ClusterViewPtr view;
    std::unordered_map<QueryId, RunningQuery> queries;
    QueryAttemptTable attempts;
    std::unordered_map<AttemptId, UnresolvedClaim> unresolvedClaims;
    // Timers of ended queries and attempts stay queued until they are due and are then ignored.
    std::priority_queue<QueryTimer, std::vector<QueryTimer>, std::greater<>> timers;
    SnapshotTable snapshots;
    RoutingTable routing;
    std::unordered_map<ServiceId, CachedRoutes> routes;
    std::unordered_map<ServiceId, AttemptBudgets> serviceBudgets;
    std::unordered_map<LeafId, AttemptBudgets> leafBudgets;
    std::unordered_map<LeafId, LatencyHistogram> latency; // of completed leaf requests
    RandomState random;
    TimePoint lastEventAt = {}; // when the previous event was handled
    QueryCounters counters;
    RollingStatistics statistics;
};

} // namespace crocusreach

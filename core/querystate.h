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

// State of the query core. Only query.cpp and its parts use it.

namespace crocusreach {

enum class ShardStatus : std::uint8_t { Waiting, Merged, Missing };

// One attempt of a shard, also after it has ended, so that a further attempt goes elsewhere.
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
    std::uint8_t attemptCount = 0; // entries of attempts in use
    std::array<ShardAttempt, maxAttemptsPerShard> attempts = {};
    IndexVersion mergedVersion = {};
    // Of the last failure, for the account of what is missing.
    Reason reason = Reason::None;
    Step step = Step::Plan;
    std::string peer;
};

// Progress of a non-idempotent request's claim.
struct ClaimProgress
{
    std::string key;
    std::uint64_t nonce = 0;
    std::uint64_t version = 0; // of the object, once it is this query's
    bool held = false;
    TimePoint startedAt = {};
    Duration claimingTime = {};
};

struct RunningQuery
{
    QueryArrived request;
    ClusterViewPtr
            view; // pinned at the plan, so that layout and leafs don't change under the query
    const Service *service = nullptr; // owned by the view
    std::shared_ptr<const ServiceRoutes> routes; // of that view
    Snapshot snapshot;
    TimePoint arrivedAt = {};
    TimePoint deadline = {};
    std::vector<ShardProgress> shards;
    std::vector<AnswerRow> rows; // merged so far
    std::uint32_t waitingShards = 0; // shards still waiting
    std::uint32_t restarts = 0;
    // An attempt may have run at a target: it ended without proof of the contrary, or was
    // cancelled.
    bool mayHaveRun = false;
    ClaimProgress claim;
    std::vector<AttemptTrace> attemptTraces; // if the account was asked for
};

// A non-idempotent attempt whose query was answered as unknown. Its late reply still completes the
// claim, so that the caller's retry learns the outcome.
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

// Budgets of extra attempts, per service and per leaf.
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
    // Entries of ended queries and attempts stay until their time and are then ignored.
    std::priority_queue<QueryTimer, std::vector<QueryTimer>, std::greater<>> timers;
    SnapshotTable snapshots;
    RoutingTable routing;
    std::unordered_map<ServiceId, CachedRoutes> routes;
    std::unordered_map<ServiceId, AttemptBudgets> serviceBudgets;
    std::unordered_map<LeafId, AttemptBudgets> leafBudgets;
    std::unordered_map<LeafId, LatencyHistogram> latency; // of complete leaf requests
    RandomState random;
    TimePoint lastEventAt = {}; // of the event before this one
    QueryCounters counters;
    RollingStatistics statistics;
};

} // namespace crocusreach

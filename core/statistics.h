#pragma once

#include "types.h"

#include <array>
#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

// The trace of a query, and rolling statistics of queries and attempts: where time was spent, and
// why shards are missing.

namespace crocusreach {

// Where the time of a leaf request was spent, in the order of its path.
struct LatencyBreakdown
{
    Duration network = {}; // between the query's instance and the holder, both ways
    Duration queued = {}; // waiting for a slot at the holder
    Duration connecting = {}; // opening a connection to the target
    Duration target = {}; // from the request's send to the target's reply
    Duration unanswered = {}; // of an attempt that was given up without a reply
};

// One attempt as the query core saw it.
struct AttemptTrace
{
    ShardNumber shard = {};
    LeafId leaf = {};
    InstanceId holder = {};
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    Step step = Step::TargetCall;
    std::string peer;
    bool hedge = false;
    bool retry = false;
    bool merged = false;
    bool cold = false;
    Duration startedAfter = {}; // from the query's arrival to the attempt's start
    Duration elapsed = {};
    LatencyBreakdown breakdown;
};

// How one query was answered; part of the answer if the caller asked for it.
struct QueryTrace
{
    Duration deadline = {};
    Duration claimingTime = {}; // time to make the at-most-once claim
    Duration elapsed = {};
    std::uint32_t restarts = 0;
    std::vector<AttemptTrace> attempts;
};

// Sums over many attempts.
struct AttemptStatistics
{
    std::uint64_t attempts = 0;
    std::uint64_t merged = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t cold = 0;
    LatencyBreakdown breakdown;
    Duration elapsed = {};
    std::array<std::uint32_t, static_cast<std::size_t>(Reason::Count)> reasons = {};
};

// Sums of one service in one period.
struct ServiceStatistics
{
    std::uint64_t queries = 0;
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0;
    std::uint64_t restarts = 0;
    std::uint64_t shardsAsked = 0;
    std::uint64_t shardsAnswered = 0;
    Duration elapsed = {};
    Duration deadline = {};
    AttemptStatistics attempts;
    std::array<std::uint32_t, static_cast<std::size_t>(Reason::Count)> refusals = {};
    std::array<std::uint32_t, static_cast<std::size_t>(Reason::Count)> missing = {};
};

constexpr Duration statisticsPeriod = std::chrono::seconds(30);
constexpr std::size_t maxStatisticsPeriods = 10; // 5 minutes

// Sums of one period by service and by target. There are none by failure domain: those are sums
// over targets.
struct StatisticsPeriod
{
    TimePoint start = {};
    std::unordered_map<ServiceId, ServiceStatistics> services;
    std::unordered_map<LeafId, AttemptStatistics> leafs;
};

struct RollingStatistics
{
    std::deque<StatisticsPeriod> periods; // newest last
};

// Returns the current period. Starts a new one if the last is over, and drops the oldest ones.
auto currentPeriod(RollingStatistics &statistics, TimePoint now) -> StatisticsPeriod &;

// Adds one ended attempt to its service and its target.
auto recordAttempt(RollingStatistics &statistics, ServiceId service, const AttemptTrace &attempt,
                   TimePoint now) -> void;

auto add(AttemptStatistics &sums, const AttemptStatistics &other) -> void;
auto add(ServiceStatistics &sums, const ServiceStatistics &other) -> void;

// Sums of a service, or of a target, over all kept periods.
auto sumOf(const RollingStatistics &statistics, ServiceId service) -> ServiceStatistics;
auto sumOf(const RollingStatistics &statistics, LeafId leaf) -> AttemptStatistics;

} // namespace crocusreach

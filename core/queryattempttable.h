#pragma once

#include "query.h"
#include "routing.h"
#include "types.h"

#include <cstdint>
#include <vector>

// The running attempts of the query core, in slots that are reused.

namespace crocusreach {

struct QueryAttempt
{
    QueryId query = {};
    std::uint32_t shardIndex = 0; // in the query's shards
    ShardNumber shard = {};
    ShareKey share;
    InstanceId holder = {};
    TimePoint sentAt = {};
    bool hedge = false;
    bool retry = false;
};

struct QueryAttemptSlot
{
    QueryAttempt attempt;
    std::uint32_t generation = 0; // increased by each use; part of the id, so that ids are unique
    bool inUse = false;
};

struct QueryAttemptTable
{
    std::vector<QueryAttemptSlot> slots;
    std::vector<std::uint32_t> freeSlots;
};

// Adds an attempt and returns its id, which is never 0 and never returned twice.
auto addAttempt(QueryAttemptTable &table, const QueryAttempt &attempt) -> AttemptId;

// The attempt with this id, or nullptr if it has ended.
auto findAttempt(const QueryAttemptTable &table, AttemptId id) -> const QueryAttempt *;

auto removeAttempt(QueryAttemptTable &table, AttemptId id) -> void;

// The attempts at one holder, for the loss of the connection to it.
auto attemptsAt(const QueryAttemptTable &table, InstanceId holder) -> std::vector<AttemptId>;

} // namespace crocusreach

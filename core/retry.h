#pragma once

#include "types.h"

// Budgets for extra load, and which failures of a leaf request may be retried.

namespace crocusreach {

// A token bucket that first attempts fill. It bounds extra attempts to a share of first attempts,
// with a small reserve so that a service with little traffic can use any.
struct TokenBucket
{
    double tokens = 1.0;
};

// Tokens that a bucket holds at most, so that a quiet period doesn't save up a burst.
constexpr double maxTokens = 10.0;

auto refill(TokenBucket &bucket, double tokens) -> void;
auto canConsume(const TokenBucket &bucket) -> bool;
auto consume(TokenBucket &bucket) -> void;

enum class RetryRule : std::uint8_t {
    Never,
    // The failure put no load on a target, so the retry needs no budget; attempts per shard bound
    // it.
    Free,
    // The target may have worked for it, so the retry is extra load.
    Budgeted,
};

// A non-idempotent request may be retried only if it provably did not run. Nothing is retried after
// a shed, since it would come back to replicas that are just as busy.
auto retryRule(Reason reason, Outcome outcome, bool idempotent) -> RetryRule;

// Attempts for one shard of one query, hedges included.
constexpr std::uint32_t maxAttemptsPerShard = 4;

} // namespace crocusreach

#pragma once

#include "types.h"

// Budgets for extra attempts (hedges and retries), and which failures of a leaf request may be
// retried.

namespace crocusreach {

// A token bucket that first attempts refill. It limits extra attempts to a fraction of the first
// attempts. It starts with one token and keeps unused ones, so that a service with little traffic
// can use some, too.
struct TokenBucket
{
    double tokens = 1.0;
};

// Limits the burst of extra attempts after a period that needed few.
constexpr double maxBudgetTokens = 10.0;

auto refill(TokenBucket &bucket, double tokens) -> void;
auto canConsume(const TokenBucket &bucket) -> bool;
auto consume(TokenBucket &bucket) -> void;

enum class RetryRule : std::uint8_t {
    Never,
    // The failure put no load on a target, so the retry needs no budget. Only the number of
    // attempts per shard limits it.
    Free,
    // The target may have worked on the failed attempt, so the retry is extra load and needs
    // budget.
    Budgeted,
};

// A non-idempotent request may be retried only if it provably did not run. A request that a target
// shed is not retried, since the other replicas are likely as busy.
auto retryRule(Reason reason, Outcome outcome, bool idempotent) -> RetryRule;

// Attempts for one shard of one query, hedges included.
constexpr std::uint32_t maxAttemptsPerShard = 4;

} // namespace crocusreach

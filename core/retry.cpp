#include "retry.h"

#include <algorithm>

namespace crocusreach {

auto refill(TokenBucket &bucket, double tokens) -> void
{
    bucket.tokens = std::min(bucket.tokens + tokens, maxBudgetTokens);
}

auto canConsume(const TokenBucket &bucket) -> bool
{
    return bucket.tokens >= 1.0;
}

auto consume(TokenBucket &bucket) -> void
{
    bucket.tokens -= 1.0;
}

auto retryRule(Reason reason, Outcome outcome, bool idempotent) -> RetryRule
{
    if (!idempotent && outcome != Outcome::NotRun)
        return RetryRule::Never;
    const auto reachedNoTarget
            = outcome == Outcome::NotRun
              && (reason == Reason::ConnectFailed || reason == Reason::ConnectionLost);
    if (reachedNoTarget)
        return RetryRule::Free;
    switch (reason) {
    case Reason::NotHolder:
    case Reason::NoLease:
    case Reason::HolderUnreachable:
    case Reason::TargetLeaving:
    case Reason::VersionNotServed:
    case Reason::LayoutNotServed:
    case Reason::DomainOut:
    case Reason::InstanceOut:
    case Reason::Stopping:
        return RetryRule::Free;
    case Reason::ConnectFailed:
    case Reason::ConnectionLost:
    case Reason::ConnectionSilent:
    case Reason::HolderLost:
    case Reason::TargetError:
    case Reason::BadReply:
    case Reason::ColdTarget:
        return RetryRule::Budgeted;
    default:
        return RetryRule::Never;
    }
}

} // namespace crocusreach

#pragma once

#include "forwarder.h"

#include <vector>

// The forwarder's part in the quotas of tenants: requests wait for their tokens before their calls
// start, and questions of other instances are answered.

namespace crocusreach::forward {

// True if a request of the tenant needs a token before its call may start.
auto needsToken(const Forwarder &forwarder, const std::optional<TenantNumber> &tenant) -> bool;

// Takes a request that needs a token. Its call starts, or it is refused, now or with a later event.
auto awaitToken(Forwarder &forwarder, TenantNumber tenant, const QuotaRequest &request,
                TimePoint now, std::vector<ForwardAction> &actions) -> void;

// True if the call would need a new token for its first send.
auto hasExpiredToken(const Call &call, TimePoint now) -> bool;

// Lets a call without a send wait for a new token, or ends it. Its arrival time and its deadline
// stay, so that it keeps its place among the calls that wait.
auto renewToken(Forwarder &forwarder, Call &call, TimePoint now,
                std::vector<ForwardAction> &actions) -> void;

auto onTokensAsked(Forwarder &forwarder, const TokensAsked &event, TimePoint now,
                   std::vector<ForwardAction> &actions) -> void;

auto onTokensReplied(Forwarder &forwarder, const TokensReplied &event, TimePoint now,
                     std::vector<ForwardAction> &actions) -> void;

} // namespace crocusreach::forward

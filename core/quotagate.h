#pragma once

#include "forwardmessages.h"
#include "quota.h"
#include "types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

// Holds the requests of tenants with a quota until the instance that is responsible for the tenant
// has granted them. A tenant has one question open at a time; requests that arrive meanwhile join
// the next one. After a denial, further requests are refused without a question for a moment, so
// that a tenant far beyond its quota causes few messages.

namespace crocusreach::forward {

struct QuotaRequest
{
    RequestArrived event;
    TimePoint arrivedAt = {};
    std::uint32_t expiredTokens = 0; // that the request had before
};

// One question for tokens that is open.
struct QuotaQuestion
{
    std::uint64_t number = 0;
    std::uint32_t wanted = 0; // for the oldest of the requests that wait
    TimePoint askedAt = {};
    std::string peer; // address of the instance that was asked
    bool isLast = false; // no other instance can be asked if this one doesn't grant
    std::uint32_t lateReplies = 0; // in a row, to questions for the same requests
};

struct WaitingTenant
{
    std::deque<QuotaRequest> requests; // oldest first
    std::optional<QuotaQuestion> question;
    TimePoint deniedUntil = {};
    TimePoint nextReturnAt = {}; // for a request that is refused without a question
    std::optional<TimePoint> lastDenialAt; // while the tenant is reported as limited
    std::uint64_t denied = 0; // requests, since then
};

struct QuotaCounters
{
    std::uint64_t questions = 0; // to other instances
    std::uint64_t granted = 0; // requests
    std::uint64_t denied = 0; // likewise
    std::uint64_t deniedLocally = 0; // of these, without a question
    std::uint64_t unanswered = 0; // questions
};

struct QuotaGate
{
    QuotaGranter granter;
    std::unordered_map<std::string, WaitingTenant> tenants; // by name
    std::unordered_map<std::uint64_t, std::string> questions; // tenants by number
    std::unordered_map<CallId, std::string> held; // tenants of the requests that wait
    std::unordered_map<std::string, TimePoint> avoidedPeers; // until when, by address
    QuotaCounters counters;
    std::uint64_t lastQuestion = 0;
};

// What is to be done with requests.

struct QuotaGranted
{
    QuotaRequest request;
    TimePoint validUntil = {}; // of the token; a request that is sent later needs another one
};

struct QuotaDenied
{
    QuotaRequest request;
    Duration retryAfter = {};
};

// Nobody could tell whether the request is within the quota.
struct QuotaUnknown
{
    QuotaRequest request;
};

using QuotaDecision
        = std::variant<QuotaGranted, QuotaDenied, QuotaUnknown, AskForTokens, TenantLimitChanged>;

// Takes a request of a tenant with a quota.
auto holdRequest(QuotaGate &gate, const Tenant &tenant, QuotaRequest &&request, TimePoint now,
                 std::vector<QuotaDecision> &decisions) -> void;

// Takes the reply to a question; absent if there was none in time. The tenant is as the desired
// state has it now; absent if it no longer has a quota, so that all its requests are granted.
auto takeReply(QuotaGate &gate, std::uint64_t question, const std::optional<QuotaGrant> &grant,
               const std::optional<Tenant> &tenant, TimePoint now,
               std::vector<QuotaDecision> &decisions) -> void;

// Name of the tenant that a question is about; absent if the question isn't open.
auto tenantOf(const QuotaGate &gate, std::uint64_t question) -> std::optional<std::string>;

// Forgets a request whose caller has left.
auto dropRequest(QuotaGate &gate, CallId call) -> void;

} // namespace crocusreach::forward

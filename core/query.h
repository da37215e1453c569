#pragma once

#include "claims.h"
#include "clusterview.h"
#include "dispatch.h"
#include "messages.h"
#include "statistics.h"
#include "types.h"

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// The query core: decides for an instance how callers' queries are planned, which leaf requests are
// sent, hedged and retried, and how their replies are merged into answers with their coverage.

namespace crocusreach {

struct QuerySettings
{
    Duration defaultDeadline = std::chrono::seconds(1);
    Duration maxDeadline = std::chrono::seconds(3);
    std::size_t queriesInFlightLimit = 4096; // further ones are refused with Reason::Overloaded
    double hedgeBudget = 0.05; // hedges per first attempt
    double retryBudget = 0.10; // retries per first attempt
    // Can be switched off to measure the effect of the mechanism.
    bool hedging = true;
    bool domainAwareRouting = true;
};

struct QueryArrived
{
    QueryId query = {};
    std::string service;
    std::string requestId; // required for non-idempotent requests
    bool idempotent = true;
    // The caller states that it has never sent this id before. A refusal may then say NotRun even
    // if the store can't rule out an earlier request with the same id.
    bool firstAttempt = false;
    std::optional<Duration> deadline;
    std::string shardKey; // if not empty, only the shard of this key is queried
    std::uint32_t limit = 10; // rows in the answer
    bool explain = false;
    std::shared_ptr<const std::string> body; // the query text for the targets
};

struct CallerLeft
{
    QueryId query = {};
};

enum class AnswerStatus : std::uint8_t { Complete, Partial, Refused };

auto toString(AnswerStatus status) -> std::string_view;

struct MissingShard
{
    ShardNumber shard = {};
    Reason reason = Reason::None;
    Step step = Step::Plan;
    std::string peer;
};

// A row of the answer with the shard that it came from.
struct AnswerRow
{
    ShardNumber shard = {};
    ResultRow row;
};

struct QueryAnswer
{
    QueryId query = {};
    std::string service;
    AnswerStatus status = AnswerStatus::Refused;
    Outcome outcome = Outcome::NotRun; // of a refused or non-idempotent request
    bool replayed = false; // the recorded outcome of an earlier request with the same id
    Reason reason = Reason::None;
    std::string text; // explains a refusal to the caller
    IndexVersion version = {};
    LayoutVersion layout = {};
    std::uint32_t asked = 0;
    std::uint32_t answered = 0;
    std::vector<MissingShard> missing;
    std::vector<AnswerRow> rows; // best score first
    Duration elapsed = {}; // since the query's arrival
    std::optional<QueryTrace> trace; // if the request asked for it
};

struct SendLeafRequest
{
    InstanceId holder = {};
    LeafRequest request;
};

struct SendCancel
{
    InstanceId holder = {};
    CancelLeafRequest cancel;
};

// One operation on the claim of a non-idempotent request id. The runtime stores the record as JSON.
enum class ClaimOperation : std::uint8_t { Create, Read, Update, Remove };

struct ClaimRequest
{
    QueryId query = {};
    ClaimOperation operation = ClaimOperation::Create;
    std::string key;
    ClaimRecord record; // for Create and Update
    std::uint64_t version = 0; // expected version of the object, for Update and Remove
    Duration timeout = {};
};

// Unknown: no reply came; a write may or may not have taken effect.
enum class ClaimStatus : std::uint8_t { Ok, Conflict, NotFound, Unknown };

struct ClaimReply
{
    QueryId query = {};
    ClaimOperation operation = ClaimOperation::Create;
    ClaimStatus status = ClaimStatus::Unknown;
    ClaimRecord record; // for Read
    std::uint64_t version = 0;
};

// The connection to a holder was lost. Attempts that it had not answered end as HolderLost.
struct HolderDisconnected
{
    InstanceId holder = {};
};

using QueryEvent = std::variant<QueryArrived, CallerLeft, LeafReply, ClaimReply, HolderDisconnected,
                                ViewChanged, Tick>;
using QueryAction = std::variant<SendLeafRequest, SendCancel, ClaimRequest, QueryAnswer>;
using QueryActions = std::vector<QueryAction>;

struct QueryState;

struct QueryStateDeleter
{
    auto operator()(QueryState *state) const -> void;
};

using QueryStatePtr = std::unique_ptr<QueryState, QueryStateDeleter>;

// The seed makes random choices of candidates and the nonces of claims repeatable.
auto makeQueryState(const QuerySettings &settings, std::uint64_t seed) -> QueryStatePtr;

// Handles one event; actions are appended. The event is passed by value, so that the rows of a
// reply are moved into the answer.
auto handle(QueryState &state, QueryEvent event, TimePoint now, QueryActions &actions) -> void;
auto nextTickAt(const QueryState &state) -> std::optional<TimePoint>;

auto queriesInFlight(const QueryState &state) -> std::size_t;

// Counters since the start of the instance, for metrics.
struct QueryCounters
{
    std::uint64_t queries = 0;
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0;
    std::uint64_t firstAttempts = 0;
    std::uint64_t hedges = 0;
    std::uint64_t hedgeWins = 0;
    std::uint64_t hedgesDenied = 0; // for lack of budget
    std::uint64_t retries = 0;
    std::uint64_t retriesDenied = 0;
    std::uint64_t claimRetries = 0; // repeated store requests for a claim
    std::uint64_t callersLeft = 0;
    std::uint64_t restarts = 0; // queries started again on another snapshot
    std::uint64_t lateReplies = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(Reason::Count)> refusalsByReason = {};
    std::array<std::uint64_t, static_cast<std::size_t>(Reason::Count)> retriesByReason = {};
    std::array<std::uint64_t, static_cast<std::size_t>(Reason::Count)> missingByReason = {};
};

auto counters(const QueryState &state) -> const QueryCounters &;

// The rolling statistics, for the diagnosis of faults.
auto statistics(const QueryState &state) -> const RollingStatistics &;

} // namespace crocusreach

#include "querymessages.h"

#include "jsonreader.h"

namespace crocusreach {

namespace {

constexpr double longestDeadline = 3'600'000; // ms; the query core has the limit that applies
constexpr std::size_t longestShardKey = 256;

auto milliseconds(Duration duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

auto readRequestId(JsonObject &object, QueryArrived &query) -> void
{
    if (readString(object, "request_id", query.requestId) && !isRequestId(query.requestId))
        addFieldFault(object, "request_id", "must be 1 to 128 letters, digits, '-', '_' or '.'");
}

auto readDeadline(JsonObject &object, QueryArrived &query) -> void
{
    auto value = 0.0;
    if (!readNumber(object, "deadline_ms", 0.001, longestDeadline, value))
        return;
    query.deadline = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(value));
}

auto readBody(JsonObject &object, QueryArrived &query) -> void
{
    const auto *field = requireField(object, "query");
    if (field == nullptr)
        return;
    auto text = field->is_string() ? field->get<std::string>() : writeJson(*field);
    query.body = std::make_shared<const std::string>(std::move(text));
}

auto checkNonIdempotent(const JsonObject &object, const QueryArrived &query) -> void
{
    if (query.idempotent)
        return;
    if (query.requestId.empty())
        addFieldFault(object, "request_id", "is required if idempotent is false");
    if (query.shardKey.empty())
        addFieldFault(object, "shard_key", "is required if idempotent is false");
}

auto coverageJson(const QueryAnswer &answer) -> Json
{
    auto json = Json::object();
    json["asked"] = answer.asked;
    json["answered"] = answer.answered;
    json["missing"] = Json::array();
    for (const auto &missing : answer.missing) {
        auto item = Json::object();
        item["shard"] = toUnderlying(missing.shard);
        item["reason"] = toString(missing.reason);
        item["step"] = toString(missing.step);
        item["peer"] = missing.peer;
        json["missing"].push_back(std::move(item));
    }
    return json;
}

auto resultsJson(const QueryAnswer &answer) -> Json
{
    auto json = Json::array();
    for (const auto &row : answer.rows) {
        auto item = Json::object();
        item["shard"] = toUnderlying(row.shard);
        item["key"] = row.row.key;
        item["score"] = row.row.score;
        item["body"] = row.row.body;
        json.push_back(std::move(item));
    }
    return json;
}

auto attemptJson(const AttemptTrace &attempt) -> Json
{
    auto json = Json::object();
    json["shard"] = toUnderlying(attempt.shard);
    json["outcome"] = toString(attempt.outcome);
    json["reason"] = toString(attempt.reason);
    json["step"] = toString(attempt.step);
    json["peer"] = attempt.peer;
    json["hedge"] = attempt.hedge;
    json["retry"] = attempt.retry;
    json["merged"] = attempt.merged;
    json["cold"] = attempt.cold;
    json["started_after_ms"] = milliseconds(attempt.startedAfter);
    json["elapsed_ms"] = milliseconds(attempt.elapsed);
    json["network_ms"] = milliseconds(attempt.breakdown.network);
    json["queued_ms"] = milliseconds(attempt.breakdown.queued);
    json["connecting_ms"] = milliseconds(attempt.breakdown.connecting);
    json["target_ms"] = milliseconds(attempt.breakdown.target);
    json["unanswered_ms"] = milliseconds(attempt.breakdown.unanswered);
    return json;
}

auto traceJson(const QueryTrace &trace) -> Json
{
    auto json = Json::object();
    json["deadline_ms"] = milliseconds(trace.deadline);
    json["claiming_ms"] = milliseconds(trace.claimingTime);
    json["spent_ms"] = milliseconds(trace.elapsed);
    json["restarts"] = trace.restarts;
    json["attempts"] = Json::array();
    for (const auto &attempt : trace.attempts)
        json["attempts"].push_back(attemptJson(attempt));
    return json;
}

// Only a refusal and a non-idempotent request have an outcome that the caller must act on.
auto addOutcome(const QueryAnswer &answer, Json &json) -> void
{
    if (answer.status == AnswerStatus::Refused) {
        json["outcome"] = toString(answer.outcome);
        json["reason"] = toString(answer.reason);
        json["text"] = answer.text;
    } else if (answer.outcome == Outcome::Done) {
        json["outcome"] = toString(answer.outcome);
        json["replayed"] = answer.replayed;
    }
}

} // namespace

auto parseQuery(std::string_view body, std::string_view service) -> Result<QueryArrived>
{
    auto faults = JsonFaults();
    const auto json = parseJson(body, JsonComments::Refused, faults);
    if (!json)
        return toError(faults, Step::Accept, "request");
    auto object = openObject(*json, "", faults);
    auto query = QueryArrived();
    query.service = service;
    readBody(object, query);
    readDeadline(object, query);
    readRequestId(object, query);
    readBool(object, "idempotent", query.idempotent);
    readBool(object, "first_attempt", query.firstAttempt);
    if (readString(object, "shard_key", query.shardKey) && query.shardKey.size() > longestShardKey)
        addFieldFault(object, "shard_key", "must be at most 256 bytes");
    readInteger(object, "limit", 0, mostRows, query.limit);
    readBool(object, "explain", query.explain);
    checkNonIdempotent(object, query);
    closeObject(object);
    if (hasFaults(faults))
        return toError(faults, Step::Accept, "request");
    return query;
}

auto writeAnswer(const QueryAnswer &answer) -> std::string
{
    auto json = Json::object();
    json["status"] = toString(answer.status);
    addOutcome(answer, json);
    json["index_version"] = toUnderlying(answer.version);
    json["layout"] = toUnderlying(answer.layout);
    json["coverage"] = coverageJson(answer);
    json["results"] = resultsJson(answer);
    json["spent_ms"] = milliseconds(answer.elapsed);
    if (answer.trace)
        json["account"] = traceJson(*answer.trace);
    return writeJson(json);
}

auto httpStatus(const QueryAnswer &answer) -> unsigned
{
    if (answer.status != AnswerStatus::Refused)
        return 200;
    switch (answer.reason) {
    case Reason::BadRequest:
        return 400;
    case Reason::UnknownService:
        return 404;
    case Reason::DeadlineExceeded:
        return 504;
    default:
        return 503;
    }
}

} // namespace crocusreach

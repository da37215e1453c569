#include <catch2/catch.hpp>

#include "formats/querymessages.h"

#include <nlohmann/json.hpp>

using namespace crocusreach;

SCENARIO("a caller's request is understood or refused with every fault")
{
    GIVEN("a request with all fields")
    {
        const auto result = parseQuery(
                R"({"query": {"wood": "teak"}, "deadline_ms": 62.5, "request_id": "r-1",
                    "idempotent": false, "first_attempt": true, "shard_key": "k", "limit": 3,
                    "explain": true})",
                "orderbook");
        REQUIRE_FALSE(isError(result));
        const auto &query = std::get<QueryArrived>(result);
        THEN("each arrives, and a query that isn't a string goes on as JSON text")
        {
            CHECK(query.service == "orderbook");
            CHECK(*query.body == R"({"wood":"teak"})");
            CHECK(query.deadline == std::chrono::microseconds(62500));
            CHECK_FALSE(query.idempotent);
            CHECK(query.firstAttempt);
            CHECK(query.limit == 3);
            CHECK(query.explain);
        }
    }
    GIVEN("requests that are wrong")
    {
        struct Case
        {
            std::string body;
            std::string fault;
        };
        const auto cases = std::vector<Case>{
                {"{}", "query: is required"},
                {R"({"query": "q", "deadline_ms": 0})", "deadline_ms: must be a number"},
                {R"({"query": "q", "idempotent": false})", "request_id: is required"},
                {R"({"query": "q", "idempotent": false})", "shard_key: is required"},
                // Guards against a request id that leaves its key prefix in the store.
                {R"({"query": "q", "request_id": "../x"})", "request_id: must be"},
                {R"({"query": "q", "request_id": ".."})", "request_id: must be"},
                {R"({"query": "q", "deadline": 5})", "deadline: unknown key"},
                {R"({"query": "q", "limit": -1})", "limit: must be"},
                {"[]", "document: must be an object"},
                {"{\"query\": \"\xff\"}", "line 1"},
        };
        for (const auto &example : cases) {
            THEN(example.body + " is refused with " + example.fault)
            {
                const auto result = parseQuery(example.body, "s");
                REQUIRE(isError(result));
                CHECK(describe(std::get<Error>(result)).find(example.fault) != std::string::npos);
            }
        }
    }
}

SCENARIO("an answer says what is missing and whether a refused request ran")
{
    auto answer = QueryAnswer();
    GIVEN("a partial answer with a row that isn't UTF-8")
    {
        answer.status = AnswerStatus::Partial;
        answer.asked = 2;
        answer.answered = 1;
        answer.missing.push_back(
                {ShardNumber{1}, Reason::TargetShed, Step::TargetCall, "127.0.0.1:81"});
        answer.rows.push_back({ShardNumber{0}, {"k", 0.5, "\xff"}});
        answer.trace.emplace().attempts.emplace_back();
        const auto json = nlohmann::json::parse(writeAnswer(answer));
        THEN("coverage, reason, step and peer are there, and no outcome")
        {
            CHECK(httpStatus(answer) == 200);
            CHECK(json["status"] == "partial");
            CHECK(json["coverage"]["missing"][0]["reason"] == "target_shed");
            CHECK(json["coverage"]["missing"][0]["peer"] == "127.0.0.1:81");
            CHECK(json["results"][0]["body"] == "\xEF\xBF\xBD");
            CHECK(json["account"]["attempts"].size() == 1);
            CHECK_FALSE(json.contains("outcome"));
        }
    }
    GIVEN("a replayed outcome")
    {
        answer.status = AnswerStatus::Complete;
        answer.outcome = Outcome::Done;
        answer.replayed = true;
        const auto json = nlohmann::json::parse(writeAnswer(answer));
        THEN("the caller sees that it ran earlier")
        {
            CHECK(json["outcome"] == "done");
            CHECK(json["replayed"] == true);
        }
    }
    GIVEN("refusals")
    {
        THEN("each has its status, and the outcome that the core decided")
        {
            answer.outcome = Outcome::Unknown;
            for (const auto &[reason, status] :
                 {std::pair(Reason::BadRequest, 400U), std::pair(Reason::UnknownService, 404U),
                  std::pair(Reason::DeadlineExceeded, 504U),
                  std::pair(Reason::StoreUnavailable, 503U)}) {
                answer.reason = reason;
                const auto json = nlohmann::json::parse(writeAnswer(answer));
                CHECK(httpStatus(answer) == status);
                CHECK(json["reason"] == toString(reason));
                CHECK(json["outcome"] == "unknown");
            }
        }
    }
}

#include <catch2/catch.hpp>

#include "core/invariants.h"
#include "core/merge.h"
#include "core/querystate.h"
#include "queryview.h"

using namespace crocusreach;
using namespace std::chrono_literals;

namespace {

// Lets the process go on after a violation, as in the shipped instance. Violations are still
// counted.
class ScopedViolationHandler
{
public:
    ScopedViolationHandler()
        : former(setViolationHandler([](Invariant, std::string_view) {}))
    { }
    ScopedViolationHandler(const ScopedViolationHandler &) = delete;
    auto operator=(const ScopedViolationHandler &) -> ScopedViolationHandler & = delete;
    ~ScopedViolationHandler() { setViolationHandler(this->former); }

private:
    ViolationHandler former;
};

constexpr auto start = TimePoint(1h);

auto makeRequest(bool idempotent) -> QueryArrived
{
    auto request = QueryArrived();
    request.query = QueryId{1};
    request.service = "search";
    request.idempotent = idempotent;
    request.firstAttempt = true;
    request.requestId = "id";
    request.shardKey = idempotent ? "" : "key";
    request.deadline = 100ms;
    request.body = std::make_shared<const std::string>("teak");
    return request;
}

auto deliver(QueryState &state, QueryEvent event, TimePoint now) -> QueryActions
{
    auto actions = QueryActions();
    handle(state, std::move(event), now, actions);
    return actions;
}

auto firstSent(const QueryActions &actions) -> LeafRequest
{
    return std::get<SendLeafRequest>(actions.front()).request;
}

auto replyTo(const LeafRequest &request) -> LeafReply
{
    auto reply = LeafReply();
    reply.attempt = request.attempt;
    reply.leaf = request.leaf;
    reply.shard = request.shard;
    reply.outcome = Outcome::Done;
    reply.version = IndexVersion{5};
    reply.layout = request.layout;
    return reply;
}

} // namespace

// Each section injects a fault into the state or into a message, as a wrong decision would leave
// it. Guards against invariant checks that can't fail.
SCENARIO("the query core's invariants detect wrong decisions")
{
    const auto handler = ScopedViolationHandler();
    auto state = makeQueryState({}, 1);
    deliver(*state, ViewChanged{makeQueryView()}, start);
    auto invariant = Invariant::Count;
    auto before = std::uint64_t{0};
    const auto expect = [&](Invariant expected) {
        invariant = expected;
        before = violationCount(expected);
    };
    GIVEN("an idempotent query that has merged its first shard")
    {
        const auto sent = deliver(*state, makeRequest(true), start);
        auto &query = state->queries.at(QueryId{1});
        deliver(*state, replyTo(firstSent(sent)), start + 1ms);
        auto answer = QueryAnswer();
        SECTION("one shard was merged from another version")
        {
            expect(Invariant::OneSnapshotPerAnswer);
            query.shards[0].mergedVersion = IndexVersion{6};
            fillAnswer(query, answer);
        }
        SECTION("a shard that still waits is left out of the coverage")
        {
            expect(Invariant::CoverageIsTrue);
            fillAnswer(query, answer);
        }
        SECTION("a row comes from a shard that is counted as missing")
        {
            expect(Invariant::CoverageIsTrue);
            query.rows.push_back({ShardNumber{2}, {"key", 1, "body"}});
            markMissing(query, query.shards[1], Reason::TargetShed, Step::TargetCall, "target");
            markMissing(query, query.shards[2], Reason::TargetShed, Step::TargetCall, "target");
            fillAnswer(query, answer);
        }
        SECTION("a reply names another shard than its attempt")
        {
            expect(Invariant::AnswerBelongsToQuery);
            auto reply = replyTo(std::get<SendLeafRequest>(sent[1]).request);
            reply.shard = ShardNumber{toUnderlying(reply.shard) + 1};
            deliver(*state, reply, start + 2ms);
        }
        SECTION("the deadline timer is lost")
        {
            expect(Invariant::QueryEndsByDeadline);
            state->timers = {};
            deliver(*state, Tick{}, start + 150ms);
            deliver(*state, replyTo(std::get<SendLeafRequest>(sent[1]).request), start + 151ms);
            deliver(*state, replyTo(std::get<SendLeafRequest>(sent[2]).request), start + 152ms);
        }
        CHECK(violationCount(invariant) > before);
    }
    GIVEN("a non-idempotent query whose claim is being made")
    {
        deliver(*state, makeRequest(false), start);
        auto &query = state->queries.at(QueryId{1});
        query.mayHaveRun = true;
        SECTION("it is dispatched although it may have run")
        {
            expect(Invariant::AtMostOnce);
            deliver(*state, ClaimReply{QueryId{1}, ClaimOperation::Create, ClaimStatus::Ok, {}, 1},
                    start + 1ms);
        }
        SECTION("it is refused as not run although it may have run")
        {
            expect(Invariant::NotRunIsProvable);
            deliver(*state, Tick{}, start + 101ms);
        }
        CHECK(violationCount(invariant) > before);
    }
}

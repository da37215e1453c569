#include <catch2/catch.hpp>

#include "core/query.h"
#include "queryview.h"

#include <algorithm>

using namespace crocusreach;
using namespace std::chrono_literals;

namespace {

// A query core with the actions that it returned.
struct QueryFixture
{
    QueryStatePtr state = makeQueryState({}, 7);
    std::shared_ptr<ClusterView> view = makeQueryView();
    TimePoint now = TimePoint(1h);
    std::vector<LeafRequest> sent;
    std::vector<AttemptId> cancelled;
    std::vector<ClaimRequest> claimRequests;
    std::vector<QueryAnswer> answers;

    QueryFixture() { this->deliver(ViewChanged{this->view}); }

    auto deliver(const QueryEvent &event) -> void
    {
        auto actions = QueryActions();
        handle(*this->state, event, this->now, actions);
        for (auto &action : actions) {
            std::visit(
                    Overloaded{
                            [&](SendLeafRequest &send) { this->sent.push_back(send.request); },
                            [&](SendCancel &cancel) {
                                this->cancelled.push_back(cancel.cancel.attempt);
                            },
                            [&](ClaimRequest &request) { this->claimRequests.push_back(request); },
                            [&](QueryAnswer &answer) { this->answers.push_back(answer); }},
                    action);
        }
    }

    auto receiveQuery(std::uint64_t id, Duration deadline = 100ms) -> void
    {
        auto request = QueryArrived();
        request.query = QueryId{id};
        request.service = "search";
        request.deadline = deadline;
        request.explain = true;
        request.body = std::make_shared<const std::string>("teak");
        this->deliver(request);
    }

    auto receiveNonIdempotent(std::uint64_t id, const std::string &requestId) -> void
    {
        auto request = QueryArrived();
        request.query = QueryId{id};
        request.service = "search";
        request.idempotent = false;
        request.requestId = requestId;
        request.shardKey = "invoice";
        request.deadline = 100ms;
        request.body = std::make_shared<const std::string>("net");
        this->deliver(request);
    }

    auto advanceTime(Duration time) -> void
    {
        this->now += time;
        this->deliver(Tick{});
    }
};

auto successReply(const LeafRequest &request, std::uint64_t version = 5) -> LeafReply
{
    auto reply = LeafReply();
    reply.attempt = request.attempt;
    reply.leaf = request.leaf;
    reply.shard = request.shard;
    reply.outcome = Outcome::Done;
    reply.version = IndexVersion{version};
    reply.layout = request.layout;
    reply.servedVersions = {IndexVersion{version}};
    reply.rows = {{"key-" + std::to_string(toUnderlying(request.shard)),
                   1.0 + toUnderlying(request.shard), "body"}};
    return reply;
}

auto failureReply(const LeafRequest &request, Reason reason, Outcome outcome) -> LeafReply
{
    auto reply = successReply(request);
    reply.rows.clear();
    reply.servedVersions.clear();
    reply.reason = reason;
    reply.outcome = outcome;
    reply.peer = "127.0.0.1:9000";
    return reply;
}

} // namespace

SCENARIO("an idempotent query is planned and merged, and its attempts are traced")
{
    auto fixture = QueryFixture();
    GIVEN("a query that asks three shards")
    {
        fixture.receiveQuery(1);
        REQUIRE(fixture.sent.size() == 3);
        WHEN("all shards answer, out of order")
        {
            for (auto index : {2, 0, 1})
                fixture.deliver(successReply(fixture.sent[index]));
            THEN("the answer is complete and ordered by score")
            {
                REQUIRE(fixture.answers.size() == 1);
                const auto &answer = fixture.answers[0];
                CHECK(answer.status == AnswerStatus::Complete);
                CHECK(answer.asked == 3);
                CHECK(answer.answered == 3);
                CHECK(toUnderlying(answer.version) == 5);
                REQUIRE(answer.rows.size() == 3);
                CHECK(answer.rows[0].row.key == "key-2");
                CHECK(answer.trace->attempts.size() == 3);
            }
            AND_WHEN("a reply arrives again")
            {
                fixture.deliver(successReply(fixture.sent[0]));
                // Guards against duplicate rows, and against a late reply that reaches another
                // query.
                THEN("it is counted as late and changes nothing")
                {
                    CHECK(fixture.answers.size() == 1);
                    CHECK(counters(*fixture.state).lateReplies == 1);
                }
            }
        }
        WHEN("one shard does not answer by the deadline")
        {
            fixture.deliver(successReply(fixture.sent[0]));
            fixture.deliver(successReply(fixture.sent[1]));
            fixture.advanceTime(101ms);
            // Guards against a query that never ends, and against coverage that hides a missing
            // shard.
            THEN("the answer is partial, names the shard, and the attempt is cancelled")
            {
                REQUIRE(fixture.answers.size() == 1);
                const auto &answer = fixture.answers[0];
                CHECK(answer.status == AnswerStatus::Partial);
                REQUIRE(answer.missing.size() == 1);
                CHECK(answer.missing[0].shard == fixture.sent[2].shard);
                CHECK(answer.missing[0].reason == Reason::DeadlineExceeded);
                CHECK(fixture.cancelled == std::vector{fixture.sent[2].attempt});
                CHECK(queriesInFlight(*fixture.state) == 0);
            }
        }
        WHEN("a reply has rows but no index version")
        {
            fixture.deliver(successReply(fixture.sent[0], 0));
            // Guards against an answer whose shards can't be proved to have the same index version.
            THEN("it is not merged, and another replica is asked")
            {
                REQUIRE(fixture.sent.size() == 4);
                CHECK(fixture.sent[3].shard == fixture.sent[0].shard);
                CHECK(counters(*fixture.state)
                              .retriesByReason[static_cast<std::size_t>(Reason::BadReply)]
                      == 1);
            }
        }
        WHEN("a target sheds a request")
        {
            fixture.deliver(failureReply(fixture.sent[0], Reason::TargetShed, Outcome::NotRun));
            // Guards against retries that keep an overloaded target overloaded.
            THEN("nothing is retried")
            {
                CHECK(fixture.sent.size() == 3);
            }
        }
        WHEN("a holder has no lease")
        {
            fixture.deliver(failureReply(fixture.sent[0], Reason::NoLease, Outcome::NotRun));
            THEN("the shard's other replica is asked")
            {
                REQUIRE(fixture.sent.size() == 4);
                CHECK(fixture.sent[3].shard == fixture.sent[0].shard);
                CHECK(fixture.sent[3].leaf != fixture.sent[0].leaf);
            }
        }
        WHEN("the caller disconnects")
        {
            fixture.deliver(CallerLeft{QueryId{1}});
            THEN("all attempts are cancelled and nothing is answered")
            {
                CHECK(fixture.cancelled.size() == 3);
                CHECK(fixture.answers.empty());
                CHECK(queriesInFlight(*fixture.state) == 0);
            }
        }
    }
    GIVEN("a failure domain that operators took out of rotation")
    {
        auto configuration = std::make_shared<Configuration>(*fixture.view->configuration);
        configuration->domains[1].decision.state = DesiredState::Out;
        fixture.view->configuration = configuration;
        fixture.view->leafIndex = std::make_shared<LeafIndex>(buildLeafIndex(*configuration));
        fixture.deliver(ViewChanged{std::make_shared<ClusterView>(*fixture.view)});
        fixture.receiveQuery(1);
        THEN("requests go only to leafs outside it, and the third shard is missing with the reason")
        {
            REQUIRE(fixture.sent.size() == 2);
            for (const auto &request : fixture.sent)
                fixture.deliver(successReply(request));
            REQUIRE(fixture.answers.size() == 1);
            CHECK(fixture.answers[0].status == AnswerStatus::Partial);
            REQUIRE(fixture.answers[0].missing.size() == 1);
            CHECK(fixture.answers[0].missing[0].reason == Reason::DomainOut);
        }
    }
}

SCENARIO("an answer reflects one snapshot of the index")
{
    auto fixture = QueryFixture();
    fixture.receiveQuery(1);
    REQUIRE(fixture.sent.size() == 3);
    GIVEN("a first reply of version 5")
    {
        fixture.deliver(successReply(fixture.sent[0], 5));
        WHEN("another shard's reply is of version 6")
        {
            fixture.deliver(successReply(fixture.sent[1], 6));
            // Guards against an answer that mixes index versions during a version change.
            THEN("it is not merged, and a replica is asked for version 5")
            {
                REQUIRE(fixture.sent.size() == 4);
                CHECK(fixture.sent[3].shard == fixture.sent[1].shard);
                CHECK(toUnderlying(fixture.sent[3].version) == 5);
            }
            AND_WHEN("no replica serves version 5 any more")
            {
                fixture.deliver(successReply(fixture.sent[3], 6));
                THEN("the whole query starts again on version 6")
                {
                    CHECK(counters(*fixture.state).restarts == 1);
                    REQUIRE(fixture.sent.size() == 7);
                    for (auto index : {4, 5, 6}) {
                        CHECK(toUnderlying(fixture.sent[index].version) == 6);
                        fixture.deliver(successReply(fixture.sent[index], 6));
                    }
                    REQUIRE(fixture.answers.size() == 1);
                    CHECK(fixture.answers[0].status == AnswerStatus::Complete);
                    CHECK(toUnderlying(fixture.answers[0].version) == 6);
                }
            }
        }
    }
}

SCENARIO("a slow attempt is hedged within the budget")
{
    auto fixture = QueryFixture();
    for (std::uint64_t id = 1; id <= 40; ++id) {
        const auto first = fixture.sent.size();
        fixture.receiveQuery(id);
        fixture.now += 2ms;
        for (auto index = first; index < first + 3; ++index)
            fixture.deliver(successReply(fixture.sent[index]));
    }
    REQUIRE(counters(*fixture.state).hedges == 0);
    GIVEN("a query with an attempt that takes longer than is typical of its leaf")
    {
        const auto first = fixture.sent.size();
        fixture.receiveQuery(100);
        fixture.deliver(successReply(fixture.sent[first]));
        fixture.deliver(successReply(fixture.sent[first + 1]));
        fixture.advanceTime(10ms);
        THEN("a second attempt goes to another leaf")
        {
            REQUIRE(fixture.sent.size() == first + 4);
            const auto &hedge = fixture.sent.back();
            CHECK(hedge.hedge);
            CHECK(hedge.leaf != fixture.sent[first + 2].leaf);
            AND_WHEN("the hedge answers first")
            {
                fixture.deliver(successReply(hedge));
                THEN("the first attempt is cancelled")
                {
                    CHECK(fixture.cancelled == std::vector{fixture.sent[first + 2].attempt});
                    CHECK(counters(*fixture.state).hedgeWins == 1);
                }
            }
        }
    }
    GIVEN("many queries with only slow attempts")
    {
        const auto before = counters(*fixture.state);
        for (std::uint64_t id = 200; id < 400; ++id) {
            fixture.receiveQuery(id, 50ms);
            fixture.advanceTime(60ms);
        }
        // Guards against hedges that double the load when everything is slow.
        THEN("hedges stay within 5 % of first attempts plus the capacity of the budget")
        {
            const auto &after = counters(*fixture.state);
            const auto firstAttempts
                    = static_cast<double>(after.firstAttempts - before.firstAttempts);
            CHECK(after.hedgesDenied > 0);
            CHECK(static_cast<double>(after.hedges) <= 0.05 * firstAttempts + 10.0);
        }
    }
}

SCENARIO("a non-idempotent request runs at most once")
{
    auto fixture = QueryFixture();
    fixture.receiveNonIdempotent(1, "net-1");
    REQUIRE(fixture.sent.empty());
    REQUIRE(fixture.claimRequests.size() == 1);
    const auto replyToClaim = [&](ClaimStatus status) {
        fixture.deliver(ClaimReply{QueryId{1}, ClaimOperation::Create, status, {}, 11});
    };
    GIVEN("the claim is made")
    {
        replyToClaim(ClaimStatus::Ok);
        REQUIRE(fixture.sent.size() == 1);
        WHEN("the request runs")
        {
            fixture.deliver(successReply(fixture.sent[0]));
            THEN("the outcome is recorded and answered")
            {
                REQUIRE(fixture.claimRequests.size() == 2);
                CHECK(fixture.claimRequests[1].operation == ClaimOperation::Update);
                CHECK(fixture.claimRequests[1].record.state == ClaimState::Done);
                CHECK(fixture.answers.at(0).outcome == Outcome::Done);
            }
        }
        WHEN("the connection is lost after the request was sent")
        {
            fixture.deliver(
                    failureReply(fixture.sent[0], Reason::ConnectionLost, Outcome::Unknown));
            // Guards against running a request twice that changes state, such as netting a balance.
            THEN("it is not sent again and the answer says unknown")
            {
                CHECK(fixture.sent.size() == 1);
                REQUIRE(fixture.answers.size() == 1);
                CHECK(fixture.answers[0].outcome == Outcome::Unknown);
            }
        }
        WHEN("it provably did not run anywhere")
        {
            fixture.deliver(failureReply(fixture.sent[0], Reason::NotHolder, Outcome::NotRun));
            REQUIRE(fixture.sent.size() == 2);
            fixture.deliver(failureReply(fixture.sent[1], Reason::NotHolder, Outcome::NotRun));
            THEN("the claim is removed and the answer says not run")
            {
                CHECK(fixture.claimRequests.back().operation == ClaimOperation::Remove);
                CHECK(fixture.answers.at(0).outcome == Outcome::NotRun);
            }
        }
        WHEN("the reply comes after the deadline")
        {
            fixture.advanceTime(101ms);
            REQUIRE(fixture.answers.size() == 1);
            CHECK(fixture.answers[0].outcome == Outcome::Unknown);
            fixture.deliver(successReply(fixture.sent[0]));
            THEN("the outcome is still recorded for the caller's retry")
            {
                REQUIRE(fixture.claimRequests.size() == 2);
                CHECK(fixture.claimRequests[1].record.state == ClaimState::Done);
            }
        }
    }
    GIVEN("the reply to the claim's creation is lost")
    {
        replyToClaim(ClaimStatus::Unknown);
        REQUIRE(fixture.claimRequests.size() == 2);
        CHECK(fixture.claimRequests[1].operation == ClaimOperation::Create);
        replyToClaim(ClaimStatus::Conflict);
        REQUIRE(fixture.claimRequests.size() == 3);
        REQUIRE(fixture.claimRequests[2].operation == ClaimOperation::Read);
        auto read = ClaimReply{QueryId{1}, ClaimOperation::Read, ClaimStatus::Ok, {}, 12};
        WHEN("the existing claim was made by this request")
        {
            read.record.nonce = fixture.claimRequests[0].record.nonce;
            fixture.deliver(read);
            THEN("the request is dispatched")
            {
                CHECK(fixture.sent.size() == 1);
            }
        }
        WHEN("the existing claim was made by another request with the same id")
        {
            read.record.nonce = fixture.claimRequests[0].record.nonce + 1;
            fixture.deliver(read);
            THEN("nothing is dispatched and the answer says unknown")
            {
                CHECK(fixture.sent.empty());
                CHECK(fixture.answers.at(0).outcome == Outcome::Unknown);
            }
        }
        WHEN("the outcome of another request with the same id is recorded")
        {
            read.record.state = ClaimState::Done;
            read.record.rows = {{"balance", 1, "42"}};
            fixture.deliver(read);
            THEN("it is replayed")
            {
                CHECK(fixture.sent.empty());
                CHECK(fixture.answers.at(0).replayed);
                CHECK(fixture.answers[0].rows.at(0).row.body == "42");
            }
        }
    }
    GIVEN("the store does not reply")
    {
        fixture.now += 101ms;
        fixture.deliver(Tick{});
        THEN("nothing is dispatched, and the outcome is unknown, since an earlier request may have "
             "run")
        {
            CHECK(fixture.sent.empty());
            REQUIRE(fixture.answers.size() == 1);
            CHECK(fixture.answers[0].reason == Reason::StoreUnavailable);
            CHECK(fixture.answers[0].outcome == Outcome::Unknown);
        }
    }
}

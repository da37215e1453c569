#include <catch2/catch.hpp>

#include "core/query.h"
#include "queryview.h"

#include <algorithm>

using namespace crocusreach;
using namespace std::chrono_literals;

namespace {

// Drives a query core by hand: keeps what it sent and answered.
struct Driver
{
    QueryStatePtr state = makeQueryState({}, 7);
    std::shared_ptr<ClusterView> view = makeQueryView();
    TimePoint now = TimePoint(1h);
    std::vector<LeafRequest> sent;
    std::vector<AttemptId> cancelled;
    std::vector<ClaimCall> claims;
    std::vector<QueryAnswered> answers;

    Driver() { this->feed(ViewChanged{this->view}); }

    auto feed(const QueryEvent &event) -> void
    {
        auto actions = QueryActions();
        handle(*this->state, event, this->now, actions);
        for (auto &action : actions) {
            std::visit(
                    Overloaded{[&](SendLeafRequest &send) { this->sent.push_back(send.request); },
                               [&](SendCancel &cancel) {
                                   this->cancelled.push_back(cancel.cancel.attempt);
                               },
                               [&](ClaimCall &call) { this->claims.push_back(call); },
                               [&](QueryAnswered &answer) { this->answers.push_back(answer); }},
                    action);
        }
    }

    auto arrive(std::uint64_t id, Duration deadline = 100ms) -> void
    {
        auto request = QueryArrived();
        request.query = QueryId{id};
        request.service = "search";
        request.deadline = deadline;
        request.explain = true;
        request.body = std::make_shared<const std::string>("teak");
        this->feed(request);
    }

    auto arriveOnce(std::uint64_t id, const std::string &requestId) -> void
    {
        auto request = QueryArrived();
        request.query = QueryId{id};
        request.service = "search";
        request.idempotent = false;
        request.requestId = requestId;
        request.shardKey = "invoice";
        request.deadline = 100ms;
        request.body = std::make_shared<const std::string>("net");
        this->feed(request);
    }

    auto advance(Duration time) -> void
    {
        this->now += time;
        this->feed(Tick{});
    }
};

auto goodReply(const LeafRequest &request, std::uint64_t version = 5) -> LeafReply
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

auto badReply(const LeafRequest &request, Reason reason, Outcome outcome) -> LeafReply
{
    auto reply = goodReply(request);
    reply.rows.clear();
    reply.servedVersions.clear();
    reply.reason = reason;
    reply.outcome = outcome;
    reply.peer = "127.0.0.1:9000";
    return reply;
}

} // namespace

SCENARIO("an idempotent query is planned, merged and accounted for")
{
    auto driver = Driver();
    GIVEN("a query that asks three shards")
    {
        driver.arrive(1);
        REQUIRE(driver.sent.size() == 3);
        WHEN("all shards answer, out of order")
        {
            for (auto index : {2, 0, 1})
                driver.feed(goodReply(driver.sent[index]));
            THEN("the answer is complete and ordered by score")
            {
                REQUIRE(driver.answers.size() == 1);
                const auto &answer = driver.answers[0];
                CHECK(answer.status == AnswerStatus::Complete);
                CHECK(answer.asked == 3);
                CHECK(answer.answered == 3);
                CHECK(toUnderlying(answer.version) == 5);
                REQUIRE(answer.rows.size() == 3);
                CHECK(answer.rows[0].row.key == "key-2");
                CHECK(answer.account->attempts.size() == 3);
            }
            AND_WHEN("a reply arrives again")
            {
                driver.feed(goodReply(driver.sent[0]));
                // Guards against a doubled result, and against a late reply reaching another query.
                THEN("it is counted as late and changes nothing")
                {
                    CHECK(driver.answers.size() == 1);
                    CHECK(counters(*driver.state).lateReplies == 1);
                }
            }
        }
        WHEN("one shard does not answer by the deadline")
        {
            driver.feed(goodReply(driver.sent[0]));
            driver.feed(goodReply(driver.sent[1]));
            driver.advance(101ms);
            // Guards against a search that is left stuck, and against coverage that hides a gap.
            THEN("the answer is partial, names the shard, and the attempt is cancelled")
            {
                REQUIRE(driver.answers.size() == 1);
                const auto &answer = driver.answers[0];
                CHECK(answer.status == AnswerStatus::Partial);
                REQUIRE(answer.missing.size() == 1);
                CHECK(answer.missing[0].shard == driver.sent[2].shard);
                CHECK(answer.missing[0].reason == Reason::DeadlineExceeded);
                CHECK(driver.cancelled == std::vector{driver.sent[2].attempt});
                CHECK(queriesInFlight(*driver.state) == 0);
            }
        }
        WHEN("a reply has rows but no index version")
        {
            driver.feed(goodReply(driver.sent[0], 0));
            // Guards against an answer whose shards can't be shown to be of one version.
            THEN("it is not merged, and another replica is asked")
            {
                REQUIRE(driver.sent.size() == 4);
                CHECK(driver.sent[3].shard == driver.sent[0].shard);
                CHECK(counters(*driver.state)
                              .retriesByReason[static_cast<std::size_t>(Reason::BadReply)]
                      == 1);
            }
        }
        WHEN("a target sheds")
        {
            driver.feed(badReply(driver.sent[0], Reason::TargetShed, Outcome::NotRun));
            // Guards against retries that keep an overloaded target overloaded.
            THEN("nothing is retried")
            {
                CHECK(driver.sent.size() == 3);
            }
        }
        WHEN("a holder has no lease")
        {
            driver.feed(badReply(driver.sent[0], Reason::NoLease, Outcome::NotRun));
            THEN("the shard's other replica is asked")
            {
                REQUIRE(driver.sent.size() == 4);
                CHECK(driver.sent[3].shard == driver.sent[0].shard);
                CHECK(driver.sent[3].leaf != driver.sent[0].leaf);
            }
        }
        WHEN("the caller goes away")
        {
            driver.feed(CallerGone{QueryId{1}});
            THEN("all attempts are cancelled and nothing is answered")
            {
                CHECK(driver.cancelled.size() == 3);
                CHECK(driver.answers.empty());
                CHECK(queriesInFlight(*driver.state) == 0);
            }
        }
    }
    GIVEN("a failure domain that operators took out")
    {
        auto configuration = std::make_shared<Configuration>(*driver.view->configuration);
        configuration->domains[1].decision.state = DesiredState::Out;
        driver.view->configuration = configuration;
        driver.view->leafIndex = std::make_shared<LeafIndex>(buildLeafIndex(*configuration));
        driver.feed(ViewChanged{std::make_shared<ClusterView>(*driver.view)});
        driver.arrive(1);
        THEN("only leafs outside it are asked, and the other shard is missing with the reason")
        {
            REQUIRE(driver.sent.size() == 2);
            for (const auto &request : driver.sent)
                driver.feed(goodReply(request));
            REQUIRE(driver.answers.size() == 1);
            CHECK(driver.answers[0].status == AnswerStatus::Partial);
            REQUIRE(driver.answers[0].missing.size() == 1);
            CHECK(driver.answers[0].missing[0].reason == Reason::DomainOut);
        }
    }
}

SCENARIO("an answer reflects one snapshot of the index")
{
    auto driver = Driver();
    driver.arrive(1);
    REQUIRE(driver.sent.size() == 3);
    GIVEN("a first reply of version 5")
    {
        driver.feed(goodReply(driver.sent[0], 5));
        WHEN("another shard's reply is of version 6")
        {
            driver.feed(goodReply(driver.sent[1], 6));
            // Guards against an answer that mixes index versions during a version change.
            THEN("it is not merged, and a replica is asked for version 5")
            {
                REQUIRE(driver.sent.size() == 4);
                CHECK(driver.sent[3].shard == driver.sent[1].shard);
                CHECK(toUnderlying(driver.sent[3].version) == 5);
            }
            AND_WHEN("no replica serves version 5 any more")
            {
                driver.feed(goodReply(driver.sent[3], 6));
                THEN("the whole query starts again on version 6")
                {
                    CHECK(counters(*driver.state).restarts == 1);
                    REQUIRE(driver.sent.size() == 7);
                    for (auto index : {4, 5, 6}) {
                        CHECK(toUnderlying(driver.sent[index].version) == 6);
                        driver.feed(goodReply(driver.sent[index], 6));
                    }
                    REQUIRE(driver.answers.size() == 1);
                    CHECK(driver.answers[0].status == AnswerStatus::Complete);
                    CHECK(toUnderlying(driver.answers[0].version) == 6);
                }
            }
        }
    }
}

SCENARIO("a straggling attempt is hedged within the budget")
{
    auto driver = Driver();
    for (std::uint64_t id = 1; id <= 40; ++id) {
        const auto first = driver.sent.size();
        driver.arrive(id);
        driver.now += 2ms;
        for (auto index = first; index < first + 3; ++index)
            driver.feed(goodReply(driver.sent[index]));
    }
    REQUIRE(counters(*driver.state).hedges == 0);
    GIVEN("a query of which one attempt takes longer than the leaf's usual time")
    {
        const auto first = driver.sent.size();
        driver.arrive(100);
        driver.feed(goodReply(driver.sent[first]));
        driver.feed(goodReply(driver.sent[first + 1]));
        driver.advance(10ms);
        THEN("a second attempt goes to another leaf")
        {
            REQUIRE(driver.sent.size() == first + 4);
            const auto &hedge = driver.sent.back();
            CHECK(hedge.hedge);
            CHECK(hedge.leaf != driver.sent[first + 2].leaf);
            AND_WHEN("the hedge answers first")
            {
                driver.feed(goodReply(hedge));
                THEN("the first attempt is cancelled")
                {
                    CHECK(driver.cancelled == std::vector{driver.sent[first + 2].attempt});
                    CHECK(counters(*driver.state).hedgeWins == 1);
                }
            }
        }
    }
    GIVEN("many queries of which every attempt is slow")
    {
        const auto before = counters(*driver.state);
        for (std::uint64_t id = 200; id < 400; ++id) {
            driver.arrive(id, 50ms);
            driver.advance(60ms);
        }
        // Guards against hedges that double the load when everything is slow.
        THEN("hedges stay within 5 % of first attempts and the reserve")
        {
            const auto &after = counters(*driver.state);
            const auto firstAttempts
                    = static_cast<double>(after.firstAttempts - before.firstAttempts);
            CHECK(after.hedgesDenied > 0);
            CHECK(static_cast<double>(after.hedges) <= 0.05 * firstAttempts + 10.0);
        }
    }
}

SCENARIO("a non-idempotent request runs at most once")
{
    auto driver = Driver();
    driver.arriveOnce(1, "net-1");
    REQUIRE(driver.sent.empty());
    REQUIRE(driver.claims.size() == 1);
    const auto claimed = [&](ClaimStatus status) {
        driver.feed(ClaimReply{QueryId{1}, ClaimOperation::Create, status, {}, 11});
    };
    GIVEN("the claim is made")
    {
        claimed(ClaimStatus::Ok);
        REQUIRE(driver.sent.size() == 1);
        WHEN("the request runs")
        {
            driver.feed(goodReply(driver.sent[0]));
            THEN("the outcome is recorded and answered")
            {
                REQUIRE(driver.claims.size() == 2);
                CHECK(driver.claims[1].operation == ClaimOperation::Update);
                CHECK(driver.claims[1].record.state == ClaimState::Done);
                CHECK(driver.answers.at(0).outcome == Outcome::Done);
            }
        }
        WHEN("the connection is lost after the request was sent")
        {
            driver.feed(badReply(driver.sent[0], Reason::ConnectionLost, Outcome::Unknown));
            // Guards against netting a balance twice.
            THEN("it is not sent again and the answer says unknown")
            {
                CHECK(driver.sent.size() == 1);
                REQUIRE(driver.answers.size() == 1);
                CHECK(driver.answers[0].outcome == Outcome::Unknown);
            }
        }
        WHEN("it provably did not run anywhere")
        {
            driver.feed(badReply(driver.sent[0], Reason::NotHolder, Outcome::NotRun));
            REQUIRE(driver.sent.size() == 2);
            driver.feed(badReply(driver.sent[1], Reason::NotHolder, Outcome::NotRun));
            THEN("the claim is given up and the answer says not run")
            {
                CHECK(driver.claims.back().operation == ClaimOperation::Remove);
                CHECK(driver.answers.at(0).outcome == Outcome::NotRun);
            }
        }
        WHEN("the reply comes after the deadline")
        {
            driver.advance(101ms);
            REQUIRE(driver.answers.size() == 1);
            CHECK(driver.answers[0].outcome == Outcome::Unknown);
            driver.feed(goodReply(driver.sent[0]));
            THEN("the outcome is still recorded for the caller's retry")
            {
                REQUIRE(driver.claims.size() == 2);
                CHECK(driver.claims[1].record.state == ClaimState::Done);
            }
        }
    }
    GIVEN("the reply of the claim's creation is lost")
    {
        claimed(ClaimStatus::Unknown);
        REQUIRE(driver.claims.size() == 2);
        CHECK(driver.claims[1].operation == ClaimOperation::Create);
        claimed(ClaimStatus::Conflict);
        REQUIRE(driver.claims.size() == 3);
        REQUIRE(driver.claims[2].operation == ClaimOperation::Read);
        auto read = ClaimReply{QueryId{1}, ClaimOperation::Read, ClaimStatus::Ok, {}, 12};
        WHEN("the claim that exists is this arrival's own")
        {
            read.record.nonce = driver.claims[0].record.nonce;
            driver.feed(read);
            THEN("the request is dispatched")
            {
                CHECK(driver.sent.size() == 1);
            }
        }
        WHEN("the claim that exists is another arrival's")
        {
            read.record.nonce = driver.claims[0].record.nonce + 1;
            driver.feed(read);
            THEN("nothing is dispatched and the answer says unknown")
            {
                CHECK(driver.sent.empty());
                CHECK(driver.answers.at(0).outcome == Outcome::Unknown);
            }
        }
        WHEN("the other arrival's outcome is recorded")
        {
            read.record.state = ClaimState::Done;
            read.record.rows = {{"balance", 1, "42"}};
            driver.feed(read);
            THEN("it is replayed")
            {
                CHECK(driver.sent.empty());
                CHECK(driver.answers.at(0).replayed);
                CHECK(driver.answers[0].rows.at(0).row.body == "42");
            }
        }
    }
    GIVEN("the store stays down")
    {
        driver.now += 101ms;
        driver.feed(Tick{});
        THEN("nothing is dispatched, and not_run is not claimed without the caller's word")
        {
            CHECK(driver.sent.empty());
            REQUIRE(driver.answers.size() == 1);
            CHECK(driver.answers[0].reason == Reason::StoreUnavailable);
            CHECK(driver.answers[0].outcome == Outcome::Unknown);
        }
    }
}

#include <catch2/catch.hpp>

#include "forwarderfixture.h"

#include <map>

using namespace crocusreach;
using namespace crocusreach::forward;
using namespace std::chrono_literals;

using Fixture = tests::ForwarderFixture;
using tests::gatherRoute;
using tests::singleRoute;

SCENARIO("a query over all shards")
{
    auto fixture = Fixture();
    GIVEN("ten shards with two leafs each")
    {
        fixture.setRoute(gatherRoute(10, 0.89));
        for (auto shard = 0; shard < 10; ++shard) {
            const auto service = "shard-" + std::to_string(shard);
            fixture.addLeaf(service, service + "-a");
            fixture.addLeaf(service, service + "-b", "muar-b");
        }
        const auto call = fixture.receiveRequest();
        const auto sends = fixture.takeSends();
        THEN("it sends the query to one leaf of each shard, the one in its own failure domain")
        {
            REQUIRE(sends.size() == 10);
            for (const auto &send : sends)
                CHECK(send.leafId.ends_with("-a"));
        }
        WHEN("all leafs answer")
        {
            for (const auto &send : sends)
                fixture.answer(send);
            THEN("the answer is complete, with every receipt once and the top records")
            {
                const auto *merged = fixture.answerAs<MergedAnswer>(call);
                REQUIRE(merged != nullptr);
                CHECK(merged->missing == 0);
                CHECK(merged->receipts.size() == 10);
                CHECK(merged->body.size() == 3 * recordBytes);
            }
        }
        WHEN("one leaf stalls")
        {
            for (std::size_t index = 1; index < sends.size(); ++index)
                fixture.answer(sends[index]);
            fixture.advanceTime(60ms);
            const auto hedges = fixture.takeSends();
            THEN("the query is hedged at the other leaf of that shard")
            {
                REQUIRE(hedges.size() == 1);
                CHECK(hedges[0].leafId == "shard-0-b");
                fixture.answer(hedges[0]);
                CHECK(fixture.answerAs<MergedAnswer>(call)->missing == 0);
            }
            AND_WHEN("that leaf stalls too until shortly before the target latency")
            {
                fixture.advanceTime(55ms);
                THEN("the answer lacks the shard and says so")
                {
                    const auto *merged = fixture.answerAs<MergedAnswer>(call);
                    REQUIRE(merged != nullptr);
                    CHECK(merged->missing == 1);
                    CHECK(merged->receipts.size() == 9);
                }
                AND_WHEN("the stalled leaf answers later")
                {
                    fixture.actions.clear();
                    fixture.answer(sends[0]);
                    THEN("the answer is dropped, the connection kept, and the leaf counts as slow")
                    {
                        // Guards against a slow leaf whose answers are never recorded, since each
                        // of them arrives after its call has ended.
                        const auto &leafs = fixture.forwarder.leafs;
                        const auto index = leafs.byId.at("shard-0-a");
                        const auto &leaf = leafs.leafs[static_cast<std::size_t>(index)];
                        CHECK(latencyRatioOf(leaf, fixture.now) > 1.5);
                        // Guards against an answer that is attributed to a later call.
                        CHECK(fixture.answerOf(call) == nullptr);
                        CHECK(fixture.closedConnections() == 0);
                    }
                }
            }
        }
        WHEN("two leafs stall beyond the target latency")
        {
            for (std::size_t index = 2; index < sends.size(); ++index)
                fixture.answer(sends[index]);
            fixture.advanceTime(115ms);
            THEN("no answer is given below the minimum ratio of shards")
            {
                CHECK(fixture.answerOf(call) == nullptr);
                AND_WHEN("one of them answers")
                {
                    fixture.answer(sends[0]);
                    CHECK(fixture.answerAs<MergedAnswer>(call)->missing == 1);
                }
            }
            THEN("without an answer, the call ends as timed out before the caller's time is over")
            {
                fixture.advanceTime(680ms);
                const auto *own = fixture.answerAs<LocalAnswer>(call);
                REQUIRE(own != nullptr);
                CHECK(own->status == LocalStatus::TimedOut);
            }
        }
        WHEN("the caller leaves")
        {
            fixture.deliver(CallerLeft{call});
            fixture.advanceTime(300ms);
            THEN("the requests that its leafs still run are cancelled by closing their connections")
            {
                CHECK(fixture.closedConnections() == 10);
                CHECK(fixture.forwarder.sends.empty());
            }
        }
    }
    GIVEN("two of ten shards without any leaf")
    {
        fixture.setRoute(gatherRoute(10, 0.89));
        for (auto shard = 0; shard < 8; ++shard)
            fixture.addLeaf("shard-" + std::to_string(shard), "leaf-" + std::to_string(shard));
        const auto call = fixture.receiveRequest();
        THEN("it is refused at once, before anything is sent")
        {
            // Guards against leafs that work for an answer that can't be given.
            CHECK(fixture.takeSends().empty());
            const auto *own = fixture.answerAs<LocalAnswer>(call);
            REQUIRE(own != nullptr);
            CHECK(own->status == LocalStatus::NotRun);
            REQUIRE(own->retryAfter);
            CHECK(*own->retryAfter <= 800ms / 3);
        }
    }
    GIVEN("a desired state that replaces the shards while a query runs")
    {
        fixture.setRoute(gatherRoute(2, 1));
        fixture.addLeaf("shard-0", "old-0");
        fixture.addLeaf("shard-1", "old-1");
        fixture.addLeaf("shard-2", "new-2");
        const auto call = fixture.receiveRequest();
        const auto sends = fixture.takeSends();
        auto changed = gatherRoute(0, 1);
        changed.shards = {"shard-2"};
        fixture.setRoute(changed);
        for (const auto &send : sends)
            fixture.answer(send);
        THEN("its answer has the shards of the version that was in force at its start")
        {
            const auto *merged = fixture.answerAs<MergedAnswer>(call);
            REQUIRE(merged != nullptr);
            CHECK(merged->receipts.size() == 2);
            CHECK(merged->missing == 0);
        }
        THEN("the next query is sent to the new shards")
        {
            fixture.receiveRequest();
            const auto next = fixture.takeSends();
            REQUIRE(next.size() == 1);
            CHECK(next[0].leafId == "new-2");
        }
    }
}

SCENARIO("a request to one leaf")
{
    auto fixture = Fixture();
    GIVEN("an idempotent request, and two leafs")
    {
        fixture.setRoute(singleRoute(true));
        fixture.addLeaf("ledger", "a");
        fixture.addLeaf("ledger", "b", "muar-b");
        const auto call = fixture.receiveRequest();
        const auto first = fixture.takeSends().at(0);
        WHEN("the leaf refuses it as not run")
        {
            fixture.answer(first, LeafAnswerKind::NotRun, 503);
            THEN("the other leaf gets it")
            {
                const auto next = fixture.takeSends();
                REQUIRE(next.size() == 1);
                CHECK(next[0].leafId == "b");
                fixture.answer(next[0]);
                CHECK(fixture.answerAs<ForwardedAnswer>(call)->answer.receipt == "receipt of b");
            }
        }
        WHEN("another leaf has the address")
        {
            fixture.answer(first, LeafAnswerKind::OtherLeaf, 421);
            THEN("the leaf isn't used again until its registry entry changes")
            {
                fixture.answer(fixture.takeSends().at(0));
                fixture.receiveRequest();
                CHECK(fixture.takeSends().at(0).leafId == "b");
            }
        }
        WHEN("both fail")
        {
            fixture.answer(first, LeafAnswerKind::Failure, 500);
            fixture.answer(fixture.takeSends().at(0), LeafAnswerKind::Failure, 500);
            THEN("the last failure is forwarded unchanged, and there is no third attempt")
            {
                CHECK(fixture.takeSends().empty());
                const auto *passed = fixture.answerAs<ForwardedAnswer>(call);
                REQUIRE(passed != nullptr);
                CHECK(passed->answer.status == 500);
                CHECK(passed->answer.receipt == "receipt of b");
            }
        }
        WHEN("the retry budget is used up")
        {
            auto settings = fixture.forwarder.settings;
            settings.retryLimits = {0, 0, 10s};
            fixture.deliver(SettingsChanged{settings});
            fixture.answer(first, LeafAnswerKind::NotRun, 503);
            THEN("it is refused as not run")
            {
                CHECK(fixture.takeSends().empty());
                CHECK(fixture.answerAs<LocalAnswer>(call)->status == LocalStatus::NotRun);
            }
        }
    }
    GIVEN("a non-idempotent request, and one leaf that refuses it as not run")
    {
        fixture.setRoute(singleRoute(false));
        fixture.addLeaf("ledger", "a");
        fixture.receiveRequest();
        const auto first = fixture.takeSends().at(0);
        fixture.answer(first, LeafAnswerKind::NotRun, 503);
        THEN("the second attempt uses another connection")
        {
            // Guards against a second copy of the refusal, sent late, that counts as the answer to
            // the second attempt, so that the caller is told of a running request that it did not
            // run.
            const auto second = fixture.takeSends().at(0);
            CHECK(second.leafId == "a");
            CHECK(second.connection != first.connection);
            CHECK(second.opensConnection);
            CHECK(fixture.takeActions<CloseConnection>().at(0).connection == first.connection);
        }
    }
    GIVEN("a non-idempotent request")
    {
        fixture.setRoute(singleRoute(false));
        fixture.addLeaf("ledger", "a");
        fixture.addLeaf("ledger", "b", "muar-b");
        const auto call = fixture.receiveRequest();
        const auto first = fixture.takeSends().at(0);
        WHEN("the leaf is slow")
        {
            fixture.advanceTime(700ms);
            THEN("it is not sent to a second leaf")
            {
                CHECK(fixture.takeSends().empty());
            }
        }
        WHEN("its connection closes without an answer")
        {
            fixture.deliver(SendFailed{first.send, SendFailure::Lost});
            THEN("the caller is told that it failed, not that it did not run")
            {
                CHECK(fixture.takeSends().empty());
                CHECK(fixture.answerAs<LocalAnswer>(call)->status == LocalStatus::Failed);
            }
        }
        WHEN("the connection could not be opened")
        {
            fixture.deliver(SendFailed{first.send, SendFailure::NotSent});
            THEN("the other leaf gets it, since no byte was sent")
            {
                CHECK(fixture.takeSends().at(0).leafId == "b");
            }
        }
        WHEN("the leaf answers 503 without stating that it did not run the request")
        {
            auto content = LeafAnswer();
            content.kind = LeafAnswerKind::Failure;
            content.status = 503;
            content.statusImpliesNotRun = true;
            content.receipt = "receipt of a";
            fixture.deliver(LeafAnswered{first.send, content, true, {}});
            THEN("the caller isn't told that it did not run")
            {
                CHECK(fixture.answerAs<LocalAnswer>(call)->status == LocalStatus::Failed);
            }
        }
        WHEN("no answer arrives within the caller's time")
        {
            fixture.advanceTime(790ms);
            THEN("it ends as timed out, not as refused")
            {
                CHECK(fixture.answerAs<LocalAnswer>(call)->status == LocalStatus::TimedOut);
            }
        }
    }
    GIVEN("a split by weight of three to one")
    {
        auto route = singleRoute(true);
        route.split = {{"ledger", 3}, {"archive", 1}};
        fixture.setRoute(route);
        fixture.addLeaf("ledger", "a");
        fixture.addLeaf("archive", "z");
        THEN("the requests are split in that proportion")
        {
            auto counts = std::map<std::string, int>();
            for (auto number = 0; number < 40; ++number) {
                fixture.receiveRequest();
                const auto send = fixture.takeSends().at(0);
                ++counts[send.leafId];
                fixture.answer(send);
            }
            CHECK(counts["a"] == 30);
            CHECK(counts["z"] == 10);
        }
    }
}

SCENARIO("changes by operators and in the registry take effect")
{
    auto fixture = Fixture();
    fixture.setRoute(singleRoute(true));
    fixture.addLeaf("ledger", "a");
    fixture.addLeaf("ledger", "b", "muar-b");
    const auto nextLeaf = [&fixture] {
        fixture.receiveRequest();
        const auto send = fixture.takeSends().at(0);
        fixture.answer(send);
        return send.leafId;
    };
    REQUIRE(nextLeaf() == "a");
    WHEN("a leaf drains")
    {
        auto record = fixture.record("ledger", "a");
        record.draining = true;
        fixture.deliver(LeafsRegistered{{record}});
        THEN("it gets no more requests")
        {
            CHECK(nextLeaf() == "b");
        }
    }
    WHEN("its failure domain is evacuated and put back into use")
    {
        fixture.deliver(DomainsEvacuated{{"muar-a"}});
        CHECK(nextLeaf() == "b");
        fixture.deliver(DomainsEvacuated());
        CHECK(nextLeaf() == "a");
    }
    WHEN("its registry entry is removed")
    {
        fixture.deliver(LeafsRemoved{{"a"}, false});
        THEN("it gets no requests once the drain timeout is nearly over")
        {
            fixture.advanceTime(2s);
            CHECK(nextLeaf() == "b");
        }
    }
    WHEN("its entry expires while the store is unavailable")
    {
        fixture.deliver(LeafsRemoved{{"a"}, true});
        fixture.advanceTime(2s);
        THEN("it stays in use, also once the entry is back")
        {
            // Guards against a store outage that takes all leafs out of use.
            CHECK(nextLeaf() == "a");
            fixture.addLeaf("ledger", "a");
            fixture.advanceTime(2s);
            CHECK(nextLeaf() == "a");
        }
        THEN("it is removed if the entry does not come back")
        {
            fixture.advanceTime(1s);
            CHECK(nextLeaf() == "b");
        }
    }
    WHEN("an older desired state arrives after a newer one")
    {
        auto table = std::make_shared<RouteTable>();
        table->version = 0;
        fixture.deliver(RoutesChanged{table});
        THEN("the newer one stays in force")
        {
            CHECK(nextLeaf() == "a");
        }
    }
    WHEN("the instance is about to exit")
    {
        fixture.deliver(NewRequestsRefused());
        const auto call = fixture.receiveRequest();
        THEN("new requests are refused as not run")
        {
            CHECK(fixture.answerAs<LocalAnswer>(call)->status == LocalStatus::NotRun);
        }
    }
}

SCENARIO("requests that arrive before the state is read")
{
    auto fixture = Fixture();
    const auto call = fixture.receiveRequest();
    THEN("they are held")
    {
        CHECK(fixture.answerOf(call) == nullptr);
    }
    WHEN("the state is read soon")
    {
        fixture.advanceTime(20ms);
        fixture.addLeaf("ledger", "a");
        fixture.setRoute(singleRoute(true));
        THEN("they are served")
        {
            CHECK(fixture.takeSends().size() == 1);
        }
    }
    WHEN("reading the state takes long")
    {
        fixture.advanceTime(250ms);
        THEN("they are refused as not run")
        {
            CHECK(fixture.answerAs<LocalAnswer>(call)->status == LocalStatus::NotRun);
        }
    }
    WHEN("the store doesn't answer")
    {
        fixture.deliver(StateUnavailable());
        THEN("these and all further requests are refused at once")
        {
            CHECK(fixture.answerAs<LocalAnswer>(call)->status == LocalStatus::NotRun);
            CHECK(fixture.answerAs<LocalAnswer>(fixture.receiveRequest())->status
                  == LocalStatus::NotRun);
        }
    }
}

SCENARIO("callers that open a connection for their request")
{
    auto fixture = Fixture();
    fixture.setRoute(gatherRoute(10, 0.5)); // target latency 120 ms
    for (auto shard = 0; shard < 10; ++shard) {
        const auto name = std::to_string(shard);
        fixture.addLeaf("shard-" + name, "leaf-" + name);
    }
    const auto answerAllButOne = [&fixture] {
        const auto sends = fixture.takeSends();
        for (std::size_t index = 1; index < sends.size(); ++index)
            fixture.answer(sends[index]);
    };
    fixture.receiveRequest(400ms);
    fixture.answerAll();
    GIVEN("one with 8 ms less time left than others, and a leaf that stalls")
    {
        const auto call = fixture.receiveRequest(392ms);
        answerAllButOne();
        fixture.advanceTime(99ms);
        REQUIRE(fixture.answerOf(call) == nullptr);
        fixture.advanceTime(2ms);
        THEN("the answer without the shard is given 8 ms earlier")
        {
            // Guards against answers that are late by the time that opening the connection took.
            CHECK(fixture.answerAs<MergedAnswer>(call) != nullptr);
        }
    }
    GIVEN("one that has made an earlier attempt")
    {
        const auto call = fixture.receiveRequest(300ms);
        answerAllButOne();
        fixture.advanceTime(102ms);
        THEN("its time counts from the new attempt")
        {
            CHECK(fixture.answerOf(call) == nullptr);
            fixture.advanceTime(8ms);
            CHECK(fixture.answerAs<MergedAnswer>(call) != nullptr);
        }
    }
}

SCENARIO("connections to a leaf are limited over all instances")
{
    auto fixture = Fixture();
    fixture.setRoute(singleRoute(true), {{"ledger", 16, 0}});
    fixture.deliver(InstancesCounted{4});
    fixture.addLeaf("ledger", "a");
    GIVEN("a share of two connections, both in use")
    {
        fixture.receiveRequest();
        fixture.receiveRequest();
        const auto sends = fixture.takeSends();
        REQUIRE(sends.size() == 2);
        const auto third = fixture.receiveRequest();
        THEN("a third request waits")
        {
            CHECK(fixture.takeSends().empty());
            CHECK(fixture.answerOf(third) == nullptr);
        }
        WHEN("one of them becomes idle")
        {
            fixture.answer(sends[0]);
            THEN("the request is sent on it")
            {
                const auto next = fixture.takeSends();
                REQUIRE(next.size() == 1);
                CHECK(next[0].connection == sends[0].connection);
                CHECK_FALSE(next[0].opensConnection);
            }
        }
        WHEN("the caller's time is over")
        {
            fixture.advanceTime(790ms);
            THEN("the request is refused as not run")
            {
                CHECK(fixture.answerAs<LocalAnswer>(third)->status == LocalStatus::NotRun);
            }
        }
    }
}

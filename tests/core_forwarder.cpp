#include <catch2/catch.hpp>

#include "forwarderbench.h"

#include <map>

using namespace crocusreach;
using namespace crocusreach::forward;
using namespace std::chrono_literals;

using Bench = tests::ForwarderBench;
using tests::gatherRoute;
using tests::singleRoute;

SCENARIO("a query over all shards")
{
    auto bench = Bench();
    GIVEN("ten shards with two leafs each")
    {
        bench.setRoute(gatherRoute(10, 0.89));
        for (auto shard = 0; shard < 10; ++shard) {
            const auto service = "shard-" + std::to_string(shard);
            bench.addLeaf(service, service + "-a");
            bench.addLeaf(service, service + "-b", "muar-b");
        }
        const auto call = bench.arrive();
        const auto sends = bench.takeSends();
        THEN("it asks one leaf of each shard, the one in its own failure domain")
        {
            REQUIRE(sends.size() == 10);
            for (const auto &send : sends)
                CHECK(send.leafId.ends_with("-a"));
        }
        WHEN("all answer")
        {
            for (const auto &send : sends)
                bench.answer(send);
            THEN("the answer is whole, with every receipt once and the greatest records")
            {
                const auto *merged = bench.answerAs<MergedAnswer>(call);
                REQUIRE(merged != nullptr);
                CHECK(merged->missing == 0);
                CHECK(merged->receipts.size() == 10);
                CHECK(merged->body.size() == 3 * recordBytes);
            }
        }
        WHEN("one leaf stands still")
        {
            for (std::size_t index = 1; index < sends.size(); ++index)
                bench.answer(sends[index]);
            bench.pass(60ms);
            const auto repeats = bench.takeSends();
            THEN("the other leaf of that shard is asked as well")
            {
                REQUIRE(repeats.size() == 1);
                CHECK(repeats[0].leafId == "shard-0-b");
                bench.answer(repeats[0]);
                CHECK(bench.answerAs<MergedAnswer>(call)->missing == 0);
            }
            AND_WHEN("it stands still too until the target latency is near")
            {
                bench.pass(55ms);
                THEN("the answer is given without the shard and says so")
                {
                    const auto *merged = bench.answerAs<MergedAnswer>(call);
                    REQUIRE(merged != nullptr);
                    CHECK(merged->missing == 1);
                    CHECK(merged->receipts.size() == 9);
                }
                AND_WHEN("the late answer comes after all")
                {
                    bench.actions.clear();
                    bench.answer(sends[0]);
                    THEN("nobody gets it, its connection is free again, and its leaf is known as "
                         "slow")
                    {
                        // Guards against a slow leaf whose answers never count, since each of
                        // them comes after its call has ended.
                        const auto &leafs = bench.forwarder.leafs;
                        const auto index = leafs.byId.at("shard-0-a");
                        const auto &leaf = leafs.leafs[static_cast<std::size_t>(index)];
                        CHECK(slownessOf(leaf, bench.now) > 1.5);
                        // Guards against an answer that is taken for one of a later call.
                        CHECK(bench.answerOf(call) == nullptr);
                        CHECK(bench.closedLinks() == 0);
                    }
                }
            }
        }
        WHEN("two leafs stand still beyond the target latency")
        {
            for (std::size_t index = 2; index < sends.size(); ++index)
                bench.answer(sends[index]);
            bench.pass(115ms);
            THEN("no answer is given below the least share of shards")
            {
                CHECK(bench.answerOf(call) == nullptr);
                AND_WHEN("one of them answers")
                {
                    bench.answer(sends[0]);
                    CHECK(bench.answerAs<MergedAnswer>(call)->missing == 1);
                }
            }
            THEN("without them, the call ends as timed out before the caller's time is over")
            {
                bench.pass(680ms);
                const auto *own = bench.answerAs<OwnAnswer>(call);
                REQUIRE(own != nullptr);
                CHECK(own->status == OwnStatus::TimedOut);
            }
        }
        WHEN("the caller leaves")
        {
            bench.give(CallerLeft{call});
            bench.pass(300ms);
            THEN("what its leafs still work on is cancelled by closing the connections")
            {
                CHECK(bench.closedLinks() == 10);
                CHECK(bench.forwarder.sends.empty());
            }
        }
    }
    GIVEN("two of ten shards without any leaf")
    {
        bench.setRoute(gatherRoute(10, 0.89));
        for (auto shard = 0; shard < 8; ++shard)
            bench.addLeaf("shard-" + std::to_string(shard), "leaf-" + std::to_string(shard));
        const auto call = bench.arrive();
        THEN("it is turned away at once, before the first leaf is asked")
        {
            // Guards against work of leafs for an answer that can't be given.
            CHECK(bench.takeSends().empty());
            const auto *own = bench.answerAs<OwnAnswer>(call);
            REQUIRE(own != nullptr);
            CHECK(own->status == OwnStatus::NotRun);
            REQUIRE(own->retryAfter);
            CHECK(*own->retryAfter <= 800ms / 3);
        }
    }
    GIVEN("a desired state that replaces the shards while a query runs")
    {
        bench.setRoute(gatherRoute(2, 1));
        bench.addLeaf("shard-0", "old-0");
        bench.addLeaf("shard-1", "old-1");
        bench.addLeaf("shard-2", "new-2");
        const auto call = bench.arrive();
        const auto sends = bench.takeSends();
        auto changed = gatherRoute(0, 1);
        changed.shards = {"shard-2"};
        bench.setRoute(changed);
        for (const auto &send : sends)
            bench.answer(send);
        THEN("its answer has the parts of the version that it began with")
        {
            const auto *merged = bench.answerAs<MergedAnswer>(call);
            REQUIRE(merged != nullptr);
            CHECK(merged->receipts.size() == 2);
            CHECK(merged->missing == 0);
        }
        THEN("the next query asks the new shards")
        {
            bench.arrive();
            const auto next = bench.takeSends();
            REQUIRE(next.size() == 1);
            CHECK(next[0].leafId == "new-2");
        }
    }
}

SCENARIO("a request to one leaf")
{
    auto bench = Bench();
    GIVEN("a request that may be repeated, and two leafs")
    {
        bench.setRoute(singleRoute(true));
        bench.addLeaf("ledger", "a");
        bench.addLeaf("ledger", "b", "muar-b");
        const auto call = bench.arrive();
        const auto first = bench.takeSends().at(0);
        WHEN("the leaf refuses it as not run")
        {
            bench.answer(first, LeafAnswerKind::NotRun, 503);
            THEN("the other leaf gets it")
            {
                const auto next = bench.takeSends();
                REQUIRE(next.size() == 1);
                CHECK(next[0].leafId == "b");
                bench.answer(next[0]);
                CHECK(bench.answerAs<PassedAnswer>(call)->answer.receipt == "receipt of b");
            }
        }
        WHEN("another leaf has the address")
        {
            bench.answer(first, LeafAnswerKind::OtherLeaf, 421);
            THEN("the entry isn't used again until it changes")
            {
                bench.answer(bench.takeSends().at(0));
                bench.arrive();
                CHECK(bench.takeSends().at(0).leafId == "b");
            }
        }
        WHEN("both fail")
        {
            bench.answer(first, LeafAnswerKind::Failure, 500);
            bench.answer(bench.takeSends().at(0), LeafAnswerKind::Failure, 500);
            THEN("the last failure is passed on unchanged, and no third leaf is asked")
            {
                CHECK(bench.takeSends().empty());
                const auto *passed = bench.answerAs<PassedAnswer>(call);
                REQUIRE(passed != nullptr);
                CHECK(passed->answer.status == 500);
                CHECK(passed->answer.receipt == "receipt of b");
            }
        }
        WHEN("the budget for repeats is used up")
        {
            auto settings = bench.forwarder.settings;
            settings.repeats = {0, 0, 10s};
            bench.give(SettingsChanged{settings});
            bench.answer(first, LeafAnswerKind::NotRun, 503);
            THEN("it is refused as not run")
            {
                CHECK(bench.takeSends().empty());
                CHECK(bench.answerAs<OwnAnswer>(call)->status == OwnStatus::NotRun);
            }
        }
    }
    GIVEN("a request that must not be repeated")
    {
        bench.setRoute(singleRoute(false));
        bench.addLeaf("ledger", "a");
        bench.addLeaf("ledger", "b", "muar-b");
        const auto call = bench.arrive();
        const auto first = bench.takeSends().at(0);
        WHEN("the leaf is slow")
        {
            bench.pass(700ms);
            THEN("no second leaf is asked")
            {
                CHECK(bench.takeSends().empty());
            }
        }
        WHEN("its connection ends without an answer")
        {
            bench.give(SendFailed{first.send, SendFailure::Lost});
            THEN("the caller is told that it failed, not that it has not run")
            {
                CHECK(bench.takeSends().empty());
                CHECK(bench.answerAs<OwnAnswer>(call)->status == OwnStatus::Failed);
            }
        }
        WHEN("the connection could not be opened")
        {
            bench.give(SendFailed{first.send, SendFailure::NotSent});
            THEN("the other leaf gets it, since no byte was sent")
            {
                CHECK(bench.takeSends().at(0).leafId == "b");
            }
        }
        WHEN("the leaf answers 503 without saying that it has not run the request")
        {
            auto content = LeafAnswer();
            content.kind = LeafAnswerKind::Failure;
            content.status = 503;
            content.soundsNotRun = true;
            content.receipt = "receipt of a";
            bench.give(LeafAnswered{first.send, content, true, {}});
            THEN("the caller isn't promised that it has not run")
            {
                CHECK(bench.answerAs<OwnAnswer>(call)->status == OwnStatus::Failed);
            }
        }
        WHEN("no answer comes in the caller's time")
        {
            bench.pass(790ms);
            THEN("it ends as timed out, not as refused")
            {
                CHECK(bench.answerAs<OwnAnswer>(call)->status == OwnStatus::TimedOut);
            }
        }
    }
    GIVEN("a split by weight of three to one")
    {
        auto route = singleRoute(true);
        route.split = {{"ledger", 3}, {"archive", 1}};
        bench.setRoute(route);
        bench.addLeaf("ledger", "a");
        bench.addLeaf("archive", "z");
        THEN("each run of four requests has that proportion")
        {
            auto counts = std::map<std::string, int>();
            for (auto number = 0; number < 40; ++number) {
                bench.arrive();
                const auto send = bench.takeSends().at(0);
                ++counts[send.leafId];
                bench.answer(send);
            }
            CHECK(counts["a"] == 30);
            CHECK(counts["z"] == 10);
        }
    }
}

SCENARIO("what operators and leafs announce takes effect")
{
    auto bench = Bench();
    bench.setRoute(singleRoute(true));
    bench.addLeaf("ledger", "a");
    bench.addLeaf("ledger", "b", "muar-b");
    const auto nextLeaf = [&bench] {
        bench.arrive();
        const auto send = bench.takeSends().at(0);
        bench.answer(send);
        return send.leafId;
    };
    REQUIRE(nextLeaf() == "a");
    WHEN("a leaf drains")
    {
        auto record = bench.record("ledger", "a");
        record.draining = true;
        bench.give(LeafsRegistered{{record}});
        THEN("it gets nothing more")
        {
            CHECK(nextLeaf() == "b");
        }
    }
    WHEN("its failure domain is evacuated and taken back")
    {
        bench.give(DomainsEvacuated{{"muar-a"}});
        CHECK(nextLeaf() == "b");
        bench.give(DomainsEvacuated());
        CHECK(nextLeaf() == "a");
    }
    WHEN("its entry is gone")
    {
        bench.give(LeafsRemoved{{"a"}, false});
        THEN("it gets nothing once the drain time is nearly over")
        {
            bench.pass(2s);
            CHECK(nextLeaf() == "b");
        }
    }
    WHEN("its entry lapses while the store is away, and comes back")
    {
        bench.give(LeafsRemoved{{"a"}, true});
        bench.pass(2s);
        THEN("it was used all the while")
        {
            // Guards against an outage of the store that takes all leafs out of use.
            CHECK(nextLeaf() == "a");
            bench.addLeaf("ledger", "a");
            bench.pass(2s);
            CHECK(nextLeaf() == "a");
        }
        THEN("without coming back, it is gone")
        {
            bench.pass(1s);
            CHECK(nextLeaf() == "b");
        }
    }
    WHEN("an older desired state arrives after a newer one")
    {
        auto table = std::make_shared<RouteTable>();
        table->version = 0;
        bench.give(RoutesChanged{table});
        THEN("the newer one stays in force")
        {
            CHECK(nextLeaf() == "a");
        }
    }
    WHEN("the instance is about to end")
    {
        bench.give(NewRequestsRefused());
        const auto call = bench.arrive();
        THEN("new requests are refused as not run")
        {
            CHECK(bench.answerAs<OwnAnswer>(call)->status == OwnStatus::NotRun);
        }
    }
}

SCENARIO("requests that arrive before the state is read")
{
    auto bench = Bench();
    const auto call = bench.arrive();
    THEN("wait for a moment")
    {
        CHECK(bench.answerOf(call) == nullptr);
    }
    WHEN("the state is read soon")
    {
        bench.pass(20ms);
        bench.addLeaf("ledger", "a");
        bench.setRoute(singleRoute(true));
        THEN("they are decided")
        {
            CHECK(bench.takeSends().size() == 1);
        }
    }
    WHEN("it takes long")
    {
        bench.pass(250ms);
        THEN("they are refused as not run")
        {
            CHECK(bench.answerAs<OwnAnswer>(call)->status == OwnStatus::NotRun);
        }
    }
    WHEN("the store doesn't answer")
    {
        bench.give(StateUnavailable());
        THEN("they and all further ones are refused at once")
        {
            CHECK(bench.answerAs<OwnAnswer>(call)->status == OwnStatus::NotRun);
            CHECK(bench.answerAs<OwnAnswer>(bench.arrive())->status == OwnStatus::NotRun);
        }
    }
}

SCENARIO("callers that open a connection for their request")
{
    auto bench = Bench();
    bench.setRoute(gatherRoute(10, 0.5)); // wanted within 120 ms
    for (auto shard = 0; shard < 10; ++shard) {
        const auto name = std::to_string(shard);
        bench.addLeaf("shard-" + name, "leaf-" + name);
    }
    const auto answerAllButOne = [&bench] {
        const auto sends = bench.takeSends();
        for (std::size_t index = 1; index < sends.size(); ++index)
            bench.answer(sends[index]);
    };
    bench.arrive(400ms);
    bench.answerAll();
    GIVEN("one that has 8 ms less left than others, and a leaf that stands still")
    {
        const auto call = bench.arrive(392ms);
        answerAllButOne();
        bench.pass(99ms);
        REQUIRE(bench.answerOf(call) == nullptr);
        bench.pass(2ms);
        THEN("the answer without its shard is given 8 ms earlier")
        {
            // Guards against answers that are late by the time that the connection took.
            CHECK(bench.answerAs<MergedAnswer>(call) != nullptr);
        }
    }
    GIVEN("one that has tried before")
    {
        const auto call = bench.arrive(300ms);
        answerAllButOne();
        bench.pass(102ms);
        THEN("its time counts from the new try")
        {
            CHECK(bench.answerOf(call) == nullptr);
            bench.pass(8ms);
            CHECK(bench.answerAs<MergedAnswer>(call) != nullptr);
        }
    }
}

SCENARIO("connections to a leaf are limited over all instances")
{
    auto bench = Bench();
    bench.setRoute(singleRoute(true), {{"ledger", 20, 0}});
    bench.give(InstancesCounted{4});
    bench.addLeaf("ledger", "a");
    GIVEN("a part of two connections, both in use")
    {
        bench.arrive();
        bench.arrive();
        const auto sends = bench.takeSends();
        REQUIRE(sends.size() == 2);
        const auto third = bench.arrive();
        THEN("a third request waits")
        {
            CHECK(bench.takeSends().empty());
            CHECK(bench.answerOf(third) == nullptr);
        }
        WHEN("one becomes free")
        {
            bench.answer(sends[0]);
            THEN("it gets that one")
            {
                const auto next = bench.takeSends();
                REQUIRE(next.size() == 1);
                CHECK(next[0].link == sends[0].link);
                CHECK_FALSE(next[0].open);
            }
        }
        WHEN("the caller's time passes")
        {
            bench.pass(790ms);
            THEN("the request is refused as not run")
            {
                CHECK(bench.answerAs<OwnAnswer>(third)->status == OwnStatus::NotRun);
            }
        }
    }
}

#include <catch2/catch.hpp>

#include "oneleaf.h"

using namespace crocusreach;
using namespace crocusreach::test;

SCENARIO("a target in cold start gets its share of cold slots, then more")
{
    GIVEN("a leaf of which nothing is known")
    {
        auto world = oneLeafWorld();
        const auto leaf = leafOf(world);
        WHEN("five requests arrive")
        {
            giveRequests(world, 5);
            const auto sends = take<TargetSend>(world);
            // Guards against a full load on a target that may have just started.
            THEN("two are sent, on two connections that may be opened")
            {
                REQUIRE(sends.size() == 2);
                CHECK(sends[0].mayConnect);
                CHECK(sends[1].mayConnect);
                CHECK(sends[0].connection != sends[1].connection);
                CHECK(statusOf(world, leaf).waiting == 3);
                AND_WHEN("the first is answered")
                {
                    give(world, makeReply(sends[0], "start-1"));
                    const auto next = take<TargetSend>(world);
                    THEN("the next request goes over the verified connection")
                    {
                        REQUIRE(next.size() == 1);
                        CHECK(next[0].connection == sends[0].connection);
                        CHECK_FALSE(next[0].mayConnect);
                    }
                }
            }
        }
        WHEN("eight requests were served in less than a ramp step")
        {
            for (auto count = 0; count < 8; ++count)
                serveOne(world, leaf, "start-1");
            THEN("the ramp stays")
            {
                CHECK(statusOf(world, leaf).allowed == 2);
            }
            AND_WHEN("the step is over")
            {
                world.now += 2s;
                serveOne(world, leaf, "start-1");
                THEN("the allowed concurrency doubles")
                {
                    CHECK(statusOf(world, leaf).allowed == 4);
                    CHECK_FALSE(statusOf(world, leaf).cold);
                }
                AND_WHEN("the target sheds")
                {
                    giveRequests(world, 1);
                    auto shed = makeReply(take<TargetSend>(world).at(0), "start-1");
                    shed.outcome = Outcome::NotRun;
                    shed.reason = Reason::TargetShed;
                    take<LeafReplyTo>(world);
                    give(world, shed);
                    THEN("the concurrency halves and the reply says not run")
                    {
                        CHECK(statusOf(world, leaf).allowed == 2);
                        const auto replies = takeReplies(world);
                        REQUIRE(replies.size() == 1);
                        CHECK(replies[0].outcome == Outcome::NotRun);
                        CHECK(replies[0].reason == Reason::TargetShed);
                    }
                }
            }
        }
        WHEN("the target keeps saying that it is cold")
        {
            for (auto count = 0; count < 40; ++count) {
                give(world, makeRequest(world, leaf, 1s));
                auto reply = makeReply(take<TargetSend>(world).at(0), "start-1");
                reply.state = TargetState::Cold;
                give(world, reply);
                world.now += 500ms;
            }
            THEN("the ramp stays at its first step")
            {
                CHECK(statusOf(world, leaf).allowed == 2);
            }
        }
    }
    GIVEN("a warm leaf")
    {
        auto world = oneLeafWorld();
        const auto leaf = leafOf(world);
        warm(world, leaf, "start-1");
        WHEN("many requests arrive")
        {
            giveRequests(world, 9);
            const auto sends = take<TargetSend>(world);
            THEN("each slot is used, on verified connections of their own")
            {
                REQUIRE(sends.size() == 4);
                CHECK(std::ranges::none_of(sends, &TargetSend::mayConnect));
            }
            AND_WHEN("a reply shows another start identity")
            {
                give(world, makeReply(sends[0], "start-2"));
                // The three others died with the first process and don't load the second one.
                THEN("the leaf is cold, and two requests of the queue are sent at most")
                {
                    const auto next = take<TargetSend>(world);
                    CHECK(statusOf(world, leaf).cold);
                    CHECK(statusOf(world, leaf).allowed == 2);
                    CHECK(next.size() == 1);
                }
            }
        }
        WHEN("a connection is lost while its request runs")
        {
            giveRequests(world, 1);
            give(world, makeFailure(take<TargetSend>(world).at(0), Outcome::Unknown,
                                    Reason::ConnectionLost));
            THEN("the outcome is unknown and the next requests count as cold")
            {
                const auto replies = takeReplies(world);
                REQUIRE(replies.size() == 1);
                CHECK(replies[0].outcome == Outcome::Unknown);
                CHECK(replies[0].reason == Reason::ConnectionLost);
                giveRequests(world, 9);
                // A process that has started since gets no more than its cold slots.
                const auto sends = take<TargetSend>(world);
                REQUIRE(sends.size() == 2);
                CHECK(std::ranges::all_of(sends, &TargetSend::mayConnect));
                AND_WHEN("a probe shows that the target restarted")
                {
                    const auto probes = take<TargetProbe>(world);
                    REQUIRE(probes.size() == 1);
                    CHECK(probes[0].newConnection);
                    give(world, ProbeReply{leaf.id, true, "start-2", TargetState::Warm, 0});
                    THEN("the request ended with the former process, and its slot is free")
                    {
                        CHECK(take<TargetSend>(world).empty());
                        CHECK(statusOf(world, leaf).running == 2);
                        CHECK(statusOf(world, leaf).allowed == 2);
                    }
                }
                AND_WHEN("a reply shows the old identity")
                {
                    give(world, makeReply(sends[0], "start-1"));
                    // Guards against a spell at the cold slots after each lost connection.
                    THEN("the ramp goes on where it was, and the lost request keeps its slot")
                    {
                        CHECK(statusOf(world, leaf).allowed == 4);
                        CHECK(statusOf(world, leaf).running == 4);
                    }
                }
                AND_WHEN("its deadline passes")
                {
                    give(world, makeReply(sends[0], "start-1"));
                    const auto second = take<TargetSend>(world);
                    CHECK(second.size() == 2);
                    CHECK(statusOf(world, leaf).running == 4);
                    world.now += 1s;
                    give(world, Tick());
                    THEN("its slot is free")
                    {
                        CHECK(statusOf(world, leaf).running <= 3);
                    }
                }
            }
        }
        WHEN("a verified connection turns out to be closed before a request was written")
        {
            giveRequests(world, 1);
            const auto send = take<TargetSend>(world).at(0);
            give(world, makeFailure(send, Outcome::NotRun, Reason::ConnectionLost));
            const auto again = take<TargetSend>(world);
            THEN("the request is sent once more, on a new connection")
            {
                CHECK(takeReplies(world).empty());
                REQUIRE(again.size() == 1);
                CHECK(again[0].mayConnect);
                CHECK(again[0].requestId == send.requestId);
                CHECK(again[0].send != send.send);
                AND_WHEN("that fails too")
                {
                    give(world, makeFailure(again[0], Outcome::NotRun, Reason::ConnectFailed));
                    THEN("it is answered as not run")
                    {
                        const auto replies = takeReplies(world);
                        REQUIRE(replies.size() == 1);
                        CHECK(replies[0].outcome == Outcome::NotRun);
                        CHECK(replies[0].reason == Reason::ConnectFailed);
                        CHECK(replies[0].step == Step::Connect);
                        CHECK(take<TargetSend>(world).empty());
                    }
                }
            }
        }
        WHEN("a late reply shows an identity that was replaced")
        {
            giveRequests(world, 2);
            const auto sends = take<TargetSend>(world);
            give(world, makeReply(sends[0], "start-2"));
            give(world, makeReply(sends[1], "start-1"));
            serveOne(world, leaf, "start-2");
            THEN("it isn't taken for a restart")
            {
                giveRequests(world, 1);
                CHECK_FALSE(take<TargetSend>(world).at(0).mayConnect);
            }
        }
    }
}

SCENARIO("a leaving target gets no new work")
{
    GIVEN("a warm leaf with running and waiting requests")
    {
        auto world = oneLeafWorld();
        const auto leaf = leafOf(world);
        warm(world, leaf, "start-1");
        giveRequests(world, 6);
        const auto sends = take<TargetSend>(world);
        const auto checkRefused = [&] {
            const auto replies = takeReplies(world);
            CHECK(std::ranges::count(replies, Reason::TargetLeaving, &LeafReply::reason) == 2);
            CHECK(statusOf(world, leaf).leaving);
            giveRequests(world, 1);
            CHECK(take<TargetSend>(world).empty());
            CHECK(takeReplies(world).at(0).reason == Reason::TargetLeaving);
        };
        const auto checkEligible = [&] {
            giveRequests(world, 1);
            CHECK(take<TargetSend>(world).size() == 1);
        };
        WHEN("a reply says draining")
        {
            auto reply = makeReply(sends[0], "start-1");
            reply.state = TargetState::Draining;
            give(world, reply);
            THEN("waiting and new requests are refused, and running ones finish")
            {
                checkRefused();
                CHECK(take<TargetCancel>(world).empty());
                give(world, makeReply(sends[1], "start-1"));
                CHECK(takeReplies(world).at(0).outcome == Outcome::Done);
            }
            AND_WHEN("its health page still says warm")
            {
                pass(world, 1s);
                give(world, ProbeReply{leaf.id, true, "start-1", TargetState::Warm, 0});
                THEN("that changes nothing")
                {
                    world.actions.clear();
                    giveRequests(world, 1);
                    CHECK(take<TargetSend>(world).empty());
                }
            }
            AND_WHEN("its health page shows a new start")
            {
                for (const auto &send : sends)
                    give(world, makeReply(send, "start-1"));
                pass(world, 3s);
                REQUIRE_FALSE(take<TargetProbe>(world).empty());
                give(world, ProbeReply{leaf.id, true, "start-2", TargetState::Warm, 0});
                world.actions.clear();
                THEN("it gets work again, in cold start")
                {
                    giveRequests(world, 4);
                    CHECK(take<TargetSend>(world).size() == 2);
                }
            }
        }
        WHEN("the health page says draining")
        {
            pass(world, 1s);
            world.now += 1s;
            give(world, Tick());
            world.actions.clear();
            giveRequests(world, 6);
            world.actions.clear();
            give(world, ProbeReply{leaf.id, true, "start-1", TargetState::Draining, 0});
            THEN("new requests are refused")
            {
                CHECK(statusOf(world, leaf).leaving);
                CHECK(statusOf(world, leaf).waiting == 0);
            }
        }
        WHEN("the instance list shows it leaving")
        {
            world.view.leafListings[leaf.id] = TargetListing::Leaving;
            publish(world);
            THEN("waiting and new requests are refused")
            {
                checkRefused();
            }
            AND_WHEN("the list shows it live again")
            {
                for (const auto &send : sends)
                    give(world, makeReply(send, "start-1"));
                world.view.leafListings[leaf.id] = TargetListing::Live;
                publish(world);
                world.actions.clear();
                THEN("it gets work again")
                {
                    checkEligible();
                }
            }
        }
        WHEN("the instance list no longer shows it")
        {
            world.view.leafListings[leaf.id] = TargetListing::Live;
            publish(world);
            world.view.leafListings.erase(leaf.id);
            publish(world);
            THEN("it counts as gone")
            {
                checkRefused();
            }
        }
    }
}

SCENARIO("a connection goes silent")
{
    GIVEN("a warm leaf that answers in 2 ms, and a request on an established connection")
    {
        auto world = oneLeafWorld();
        const auto leaf = leafOf(world);
        warm(world, leaf, "start-1");
        giveRequests(world, 1, 1s);
        const auto send = take<TargetSend>(world).at(0);
        const auto sentAt = world.now;
        WHEN("no reply comes")
        {
            pass(world, 249ms);
            CHECK(takeReplies(world).empty());
            pass(world, 1ms);
            THEN("it is abandoned after 250 ms, its connection is closed and a probe is sent")
            {
                const auto replies = takeReplies(world);
                REQUIRE(replies.size() == 1);
                CHECK(replies[0].reason == Reason::ConnectionSilent);
                CHECK(replies[0].outcome == Outcome::Unknown);
                CHECK(replies[0].timings.target == 250ms);
                const auto cancels = take<TargetCancel>(world);
                REQUIRE(cancels.size() == 1);
                CHECK(cancels[0].closeConnection);
                const auto probes = take<TargetProbe>(world);
                REQUIRE(probes.size() == 1);
                CHECK(probes[0].newConnection);
                AND_WHEN("the runtime reports the end of the send, and more requests arrive")
                {
                    give(world, makeFailure(send, Outcome::Unknown, Reason::Cancelled));
                    giveRequests(world, 9, 1s);
                    THEN("its slot stays counted, as the target may still run it")
                    {
                        CHECK(take<TargetSend>(world).size() == 3);
                        CHECK(statusOf(world, leaf).running == 4);
                        CHECK(takeReplies(world).empty());
                    }
                    AND_WHEN("its deadline passes")
                    {
                        take<TargetSend>(world);
                        world.now = sentAt + 1s;
                        give(world, Tick());
                        THEN("the slot is free")
                        {
                            CHECK(statusOf(world, leaf).running <= 4);
                            CHECK(take<TargetSend>(world).size() == 1);
                        }
                    }
                }
                AND_WHEN("the probe is answered by the same process")
                {
                    give(world, ProbeReply{leaf.id, true, "start-1", TargetState::Warm, 0});
                    THEN("the target isn't blamed")
                    {
                        CHECK(statusOf(world, leaf).silentConnections == 1);
                        CHECK(statusOf(world, leaf).allowed == 4);
                        CHECK(statusOf(world, leaf).p99 < 4ms);
                    }
                }
                AND_WHEN("the probe shows another process")
                {
                    give(world, ProbeReply{leaf.id, true, "start-2", TargetState::Warm, 0});
                    THEN("the leaf is cold")
                    {
                        CHECK(statusOf(world, leaf).allowed == 2);
                        CHECK(statusOf(world, leaf).silentConnections == 0);
                    }
                }
                AND_WHEN("the probe isn't answered")
                {
                    give(world, ProbeReply{leaf.id, false, "", TargetState::Unknown, 0});
                    THEN("its connections count against the cold slots until a reply shows the "
                         "identity")
                    {
                        CHECK(statusOf(world, leaf).cold);
                        giveRequests(world, 9);
                        const auto sends = take<TargetSend>(world);
                        CHECK(sends.size() <= 2);
                        CHECK(std::ranges::all_of(sends, &TargetSend::mayConnect));
                    }
                }
            }
        }
    }
    GIVEN("a target that becomes so slow that every attempt is abandoned")
    {
        auto world = oneLeafWorld();
        const auto leaf = leafOf(world);
        warm(world, leaf, "start-1");
        auto done = 0;
        for (auto round = 0; round < 200; ++round) {
            giveRequests(world, 1, 2s);
            for (const auto &send : take<TargetSend>(world)) {
                pass(world, 120ms);
                const auto abandoned = !take<TargetCancel>(world).empty();
                if (abandoned) {
                    give(world, makeFailure(send, Outcome::Unknown, Reason::Cancelled));
                } else {
                    auto reply = makeReply(send, "start-1");
                    reply.elapsed = 120ms;
                    give(world, reply);
                    ++done;
                }
            }
            pass(world, 2s);
            world.actions.clear();
        }
        // Guards against quantiles that never learn of a target that became slower.
        THEN("the wait grows until replies come again")
        {
            CHECK(done > 100);
        }
    }
}

SCENARIO("a request marked non-idempotent is sent at most once")
{
    GIVEN("a warm leaf with verified connections")
    {
        auto world = oneLeafWorld();
        const auto leaf = leafOf(world);
        warm(world, leaf, "start-1");
        auto request = makeRequest(world, leaf, 1s);
        request.idempotent = false;
        WHEN("such a request arrives")
        {
            give(world, request);
            const auto sends = take<TargetSend>(world);
            // A client may send a request again when a reused connection closes.
            THEN("it gets a connection that was never used")
            {
                REQUIRE(sends.size() == 1);
                CHECK(sends[0].mayConnect);
                CHECK_FALSE(sends[0].idempotent);
                CHECK(number(sends[0].connection) >= 4);
                AND_WHEN("its reply is lost")
                {
                    give(world, makeFailure(sends[0], Outcome::NotRun, Reason::ConnectionLost));
                    THEN("the outcome is unknown, whatever the runtime believes")
                    {
                        const auto replies = takeReplies(world);
                        REQUIRE(replies.size() == 1);
                        CHECK(replies[0].outcome == Outcome::Unknown);
                        CHECK(take<TargetSend>(world).empty());
                    }
                }
                AND_WHEN("its caller cancels it")
                {
                    give(world, CancelLeafRequest{request.origin, request.attempt});
                    THEN("it goes on, so that its outcome becomes known")
                    {
                        CHECK(take<TargetCancel>(world).empty());
                        give(world, makeReply(sends[0], "start-1"));
                        CHECK(takeReplies(world).at(0).outcome == Outcome::Done);
                    }
                }
                AND_WHEN("no reply comes")
                {
                    pass(world, 999ms);
                    CHECK(takeReplies(world).empty());
                    pass(world, 1ms);
                    THEN("it is waited for until its deadline")
                    {
                        const auto replies = takeReplies(world);
                        REQUIRE(replies.size() == 1);
                        CHECK(replies[0].outcome == Outcome::Unknown);
                        CHECK(replies[0].reason == Reason::DeadlineExceeded);
                    }
                }
            }
        }
        WHEN("more of them arrive than there are cold slots")
        {
            for (auto count = 0; count < 3; ++count) {
                request.attempt = static_cast<AttemptId>(++world.attempts);
                give(world, request);
            }
            CHECK(take<TargetSend>(world).size() == 2);
            THEN("an idempotent one with a later deadline isn't blocked by them")
            {
                giveRequests(world, 1, 5s);
                const auto sends = take<TargetSend>(world);
                REQUIRE(sends.size() == 1);
                CHECK(sends[0].idempotent);
            }
        }
        WHEN("all connections have been used")
        {
            for (auto count = 0; count < 30; ++count) {
                request.attempt = static_cast<AttemptId>(++world.attempts);
                give(world, request);
                for (const auto &send : take<TargetSend>(world)) {
                    CHECK(send.mayConnect);
                    give(world, makeReply(send, "start-1"));
                }
            }
            THEN("idle ones are closed to make room")
            {
                CHECK(takeReplies(world).size() == 30);
                CHECK_FALSE(take<TargetClose>(world).empty());
            }
        }
    }
}

#include <catch2/catch.hpp>

#include "oneleaf.h"

using namespace crocusreach;
using namespace crocusreach::test;

SCENARIO("a target in cold start gets its cold slots, then more")
{
    GIVEN("a leaf whose target has shown no identity yet")
    {
        auto fixture = makeOneLeafFixture();
        const auto leaf = leafOf(fixture);
        WHEN("five requests arrive")
        {
            deliverRequests(fixture, 5);
            const auto sends = takeActions<SendTargetRequest>(fixture);
            // Guards against a full load on a target that may have just started.
            THEN("two are sent, on two connections that may be opened")
            {
                REQUIRE(sends.size() == 2);
                CHECK(sends[0].allowConnect);
                CHECK(sends[1].allowConnect);
                CHECK(sends[0].connection != sends[1].connection);
                CHECK(statusOf(fixture, leaf).waiting == 3);
                AND_WHEN("the first is answered")
                {
                    deliver(fixture, makeReply(sends[0], "start-1"));
                    const auto next = takeActions<SendTargetRequest>(fixture);
                    THEN("the next request goes over the verified connection")
                    {
                        REQUIRE(next.size() == 1);
                        CHECK(next[0].connection == sends[0].connection);
                        CHECK_FALSE(next[0].allowConnect);
                    }
                }
            }
        }
        WHEN("eight requests were served in less than a ramp step")
        {
            for (auto count = 0; count < 8; ++count)
                serveRequest(fixture, leaf, "start-1");
            THEN("the allowed concurrency stays the same")
            {
                CHECK(statusOf(fixture, leaf).concurrencyLimit == 2);
            }
            AND_WHEN("the step is over")
            {
                fixture.now += 2s;
                serveRequest(fixture, leaf, "start-1");
                THEN("the allowed concurrency doubles")
                {
                    CHECK(statusOf(fixture, leaf).concurrencyLimit == 4);
                    CHECK_FALSE(statusOf(fixture, leaf).cold);
                }
                AND_WHEN("the target sheds")
                {
                    deliverRequests(fixture, 1);
                    auto shed = makeReply(takeActions<SendTargetRequest>(fixture).at(0), "start-1");
                    shed.outcome = Outcome::NotRun;
                    shed.reason = Reason::TargetShed;
                    takeActions<SendLeafReply>(fixture);
                    deliver(fixture, shed);
                    THEN("the concurrency halves and the reply says not run")
                    {
                        CHECK(statusOf(fixture, leaf).concurrencyLimit == 2);
                        const auto replies = takeReplies(fixture);
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
                deliver(fixture, makeRequest(fixture, leaf, 1s));
                auto reply = makeReply(takeActions<SendTargetRequest>(fixture).at(0), "start-1");
                reply.state = TargetState::Cold;
                deliver(fixture, reply);
                fixture.now += 500ms;
            }
            THEN("the ramp stays at its first step")
            {
                CHECK(statusOf(fixture, leaf).concurrencyLimit == 2);
            }
        }
    }
    GIVEN("a warm leaf")
    {
        auto fixture = makeOneLeafFixture();
        const auto leaf = leafOf(fixture);
        warmUp(fixture, leaf, "start-1");
        WHEN("many requests arrive")
        {
            deliverRequests(fixture, 9);
            const auto sends = takeActions<SendTargetRequest>(fixture);
            THEN("each slot is used, on verified connections of their own")
            {
                REQUIRE(sends.size() == 4);
                CHECK(std::ranges::none_of(sends, &SendTargetRequest::allowConnect));
            }
            AND_WHEN("a reply shows another start identity")
            {
                deliver(fixture, makeReply(sends[0], "start-2"));
                // The three others ended with the first process and put no load on the second one.
                THEN("the leaf is cold, and two requests of the queue are sent at most")
                {
                    const auto next = takeActions<SendTargetRequest>(fixture);
                    CHECK(statusOf(fixture, leaf).cold);
                    CHECK(statusOf(fixture, leaf).concurrencyLimit == 2);
                    CHECK(next.size() == 1);
                }
            }
        }
        WHEN("a connection is lost while its request runs")
        {
            deliverRequests(fixture, 1);
            deliver(fixture, makeFailure(takeActions<SendTargetRequest>(fixture).at(0),
                                         Outcome::Unknown, Reason::ConnectionLost));
            THEN("the outcome is unknown and the next requests count as cold")
            {
                const auto replies = takeReplies(fixture);
                REQUIRE(replies.size() == 1);
                CHECK(replies[0].outcome == Outcome::Unknown);
                CHECK(replies[0].reason == Reason::ConnectionLost);
                deliverRequests(fixture, 9);
                // A process that has started since gets no more than its cold slots.
                const auto sends = takeActions<SendTargetRequest>(fixture);
                REQUIRE(sends.size() == 2);
                CHECK(std::ranges::all_of(sends, &SendTargetRequest::allowConnect));
                AND_WHEN("a probe shows that the target restarted")
                {
                    const auto probes = takeActions<ProbeTarget>(fixture);
                    REQUIRE(probes.size() == 1);
                    CHECK(probes[0].newConnection);
                    deliver(fixture, ProbeReply{leaf.id, true, "start-2", TargetState::Warm, 0});
                    THEN("the request ended with the former process, and its slot is free")
                    {
                        CHECK(takeActions<SendTargetRequest>(fixture).empty());
                        CHECK(statusOf(fixture, leaf).running == 2);
                        CHECK(statusOf(fixture, leaf).concurrencyLimit == 2);
                    }
                }
                AND_WHEN("a reply shows the old identity")
                {
                    deliver(fixture, makeReply(sends[0], "start-1"));
                    // Guards against a return to the cold slots after each lost connection.
                    THEN("the ramp continues where it was, and the lost request keeps its slot")
                    {
                        CHECK(statusOf(fixture, leaf).concurrencyLimit == 4);
                        CHECK(statusOf(fixture, leaf).running == 4);
                    }
                }
                AND_WHEN("its deadline passes")
                {
                    deliver(fixture, makeReply(sends[0], "start-1"));
                    const auto second = takeActions<SendTargetRequest>(fixture);
                    CHECK(second.size() == 2);
                    CHECK(statusOf(fixture, leaf).running == 4);
                    fixture.now += 1s;
                    deliver(fixture, Tick());
                    THEN("its slot is free")
                    {
                        CHECK(statusOf(fixture, leaf).running <= 3);
                    }
                }
            }
        }
        WHEN("a verified connection turns out to be closed before a request was written")
        {
            deliverRequests(fixture, 1);
            const auto send = takeActions<SendTargetRequest>(fixture).at(0);
            deliver(fixture, makeFailure(send, Outcome::NotRun, Reason::ConnectionLost));
            const auto resends = takeActions<SendTargetRequest>(fixture);
            THEN("the request is sent once more, on a new connection")
            {
                CHECK(takeReplies(fixture).empty());
                REQUIRE(resends.size() == 1);
                CHECK(resends[0].allowConnect);
                CHECK(resends[0].requestId == send.requestId);
                CHECK(resends[0].send != send.send);
                AND_WHEN("that fails too")
                {
                    deliver(fixture,
                            makeFailure(resends[0], Outcome::NotRun, Reason::ConnectFailed));
                    THEN("it is answered as not run")
                    {
                        const auto replies = takeReplies(fixture);
                        REQUIRE(replies.size() == 1);
                        CHECK(replies[0].outcome == Outcome::NotRun);
                        CHECK(replies[0].reason == Reason::ConnectFailed);
                        CHECK(replies[0].step == Step::Connect);
                        CHECK(takeActions<SendTargetRequest>(fixture).empty());
                    }
                }
            }
        }
        WHEN("a late reply shows an identity that was replaced")
        {
            deliverRequests(fixture, 2);
            const auto sends = takeActions<SendTargetRequest>(fixture);
            deliver(fixture, makeReply(sends[0], "start-2"));
            deliver(fixture, makeReply(sends[1], "start-1"));
            serveRequest(fixture, leaf, "start-2");
            THEN("it isn't taken for a restart")
            {
                deliverRequests(fixture, 1);
                CHECK_FALSE(takeActions<SendTargetRequest>(fixture).at(0).allowConnect);
            }
        }
    }
}

SCENARIO("a leaving target gets no new work")
{
    GIVEN("a warm leaf with running and waiting requests")
    {
        auto fixture = makeOneLeafFixture();
        const auto leaf = leafOf(fixture);
        warmUp(fixture, leaf, "start-1");
        deliverRequests(fixture, 6);
        const auto sends = takeActions<SendTargetRequest>(fixture);
        const auto checkRefused = [&] {
            const auto replies = takeReplies(fixture);
            CHECK(std::ranges::count(replies, Reason::TargetLeaving, &LeafReply::reason) == 2);
            CHECK(statusOf(fixture, leaf).leaving);
            deliverRequests(fixture, 1);
            CHECK(takeActions<SendTargetRequest>(fixture).empty());
            CHECK(takeReplies(fixture).at(0).reason == Reason::TargetLeaving);
        };
        const auto checkEligible = [&] {
            deliverRequests(fixture, 1);
            CHECK(takeActions<SendTargetRequest>(fixture).size() == 1);
        };
        WHEN("a reply says draining")
        {
            auto reply = makeReply(sends[0], "start-1");
            reply.state = TargetState::Draining;
            deliver(fixture, reply);
            THEN("waiting and new requests are refused, and running ones finish")
            {
                checkRefused();
                CHECK(takeActions<CancelTargetRequest>(fixture).empty());
                deliver(fixture, makeReply(sends[1], "start-1"));
                CHECK(takeReplies(fixture).at(0).outcome == Outcome::Done);
            }
            AND_WHEN("its health page still says warm")
            {
                advanceTime(fixture, 1s);
                deliver(fixture, ProbeReply{leaf.id, true, "start-1", TargetState::Warm, 0});
                THEN("that changes nothing")
                {
                    fixture.actions.clear();
                    deliverRequests(fixture, 1);
                    CHECK(takeActions<SendTargetRequest>(fixture).empty());
                }
            }
            AND_WHEN("its health page shows a new start")
            {
                for (const auto &send : sends)
                    deliver(fixture, makeReply(send, "start-1"));
                advanceTime(fixture, 3s);
                REQUIRE_FALSE(takeActions<ProbeTarget>(fixture).empty());
                deliver(fixture, ProbeReply{leaf.id, true, "start-2", TargetState::Warm, 0});
                fixture.actions.clear();
                THEN("it gets work again, in cold start")
                {
                    deliverRequests(fixture, 4);
                    CHECK(takeActions<SendTargetRequest>(fixture).size() == 2);
                }
            }
        }
        WHEN("the health page says draining")
        {
            advanceTime(fixture, 1s);
            fixture.now += 1s;
            deliver(fixture, Tick());
            fixture.actions.clear();
            deliverRequests(fixture, 6);
            fixture.actions.clear();
            deliver(fixture, ProbeReply{leaf.id, true, "start-1", TargetState::Draining, 0});
            THEN("new requests are refused")
            {
                CHECK(statusOf(fixture, leaf).leaving);
                CHECK(statusOf(fixture, leaf).waiting == 0);
            }
        }
        WHEN("the instance list shows it leaving")
        {
            fixture.view.leafListings[leaf.id] = TargetListing::Leaving;
            publishView(fixture);
            THEN("waiting and new requests are refused")
            {
                checkRefused();
            }
            AND_WHEN("the list shows it live again")
            {
                for (const auto &send : sends)
                    deliver(fixture, makeReply(send, "start-1"));
                fixture.view.leafListings[leaf.id] = TargetListing::Live;
                publishView(fixture);
                fixture.actions.clear();
                THEN("it gets work again")
                {
                    checkEligible();
                }
            }
        }
        WHEN("the instance list no longer shows it")
        {
            fixture.view.leafListings[leaf.id] = TargetListing::Live;
            publishView(fixture);
            fixture.view.leafListings.erase(leaf.id);
            publishView(fixture);
            THEN("it is treated as leaving")
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
        auto fixture = makeOneLeafFixture();
        const auto leaf = leafOf(fixture);
        warmUp(fixture, leaf, "start-1");
        deliverRequests(fixture, 1, 1s);
        const auto send = takeActions<SendTargetRequest>(fixture).at(0);
        const auto sentAt = fixture.now;
        WHEN("no reply comes")
        {
            advanceTime(fixture, 249ms);
            CHECK(takeReplies(fixture).empty());
            advanceTime(fixture, 1ms);
            THEN("it is abandoned after 250 ms, its connection is closed and a probe is sent")
            {
                const auto replies = takeReplies(fixture);
                REQUIRE(replies.size() == 1);
                CHECK(replies[0].reason == Reason::ConnectionSilent);
                CHECK(replies[0].outcome == Outcome::Unknown);
                CHECK(replies[0].timings.target == 250ms);
                const auto cancels = takeActions<CancelTargetRequest>(fixture);
                REQUIRE(cancels.size() == 1);
                CHECK(cancels[0].closeConnection);
                const auto probes = takeActions<ProbeTarget>(fixture);
                REQUIRE(probes.size() == 1);
                CHECK(probes[0].newConnection);
                AND_WHEN("the runtime reports the end of the send, and more requests arrive")
                {
                    deliver(fixture, makeFailure(send, Outcome::Unknown, Reason::Cancelled));
                    deliverRequests(fixture, 9, 1s);
                    THEN("its slot stays counted, as the target may still run it")
                    {
                        CHECK(takeActions<SendTargetRequest>(fixture).size() == 3);
                        CHECK(statusOf(fixture, leaf).running == 4);
                        CHECK(takeReplies(fixture).empty());
                    }
                    AND_WHEN("its deadline passes")
                    {
                        takeActions<SendTargetRequest>(fixture);
                        fixture.now = sentAt + 1s;
                        deliver(fixture, Tick());
                        THEN("the slot is free")
                        {
                            CHECK(statusOf(fixture, leaf).running <= 4);
                            CHECK(takeActions<SendTargetRequest>(fixture).size() == 1);
                        }
                    }
                }
                AND_WHEN("the probe is answered by the same process")
                {
                    deliver(fixture, ProbeReply{leaf.id, true, "start-1", TargetState::Warm, 0});
                    THEN("the silence is counted, and the target keeps its ramp and service times")
                    {
                        CHECK(statusOf(fixture, leaf).silentConnections == 1);
                        CHECK(statusOf(fixture, leaf).concurrencyLimit == 4);
                        CHECK(statusOf(fixture, leaf).p99 < 4ms);
                    }
                }
                AND_WHEN("the probe shows another process")
                {
                    deliver(fixture, ProbeReply{leaf.id, true, "start-2", TargetState::Warm, 0});
                    THEN("the leaf is cold")
                    {
                        CHECK(statusOf(fixture, leaf).concurrencyLimit == 2);
                        CHECK(statusOf(fixture, leaf).silentConnections == 0);
                    }
                }
                AND_WHEN("the probe isn't answered")
                {
                    deliver(fixture, ProbeReply{leaf.id, false, "", TargetState::Unknown, 0});
                    THEN("its connections count against the cold slots until a reply shows the "
                         "identity")
                    {
                        CHECK(statusOf(fixture, leaf).cold);
                        deliverRequests(fixture, 9);
                        const auto sends = takeActions<SendTargetRequest>(fixture);
                        CHECK(sends.size() <= 2);
                        CHECK(std::ranges::all_of(sends, &SendTargetRequest::allowConnect));
                    }
                }
            }
        }
    }
    GIVEN("a target that becomes so slow that every attempt is abandoned")
    {
        auto fixture = makeOneLeafFixture();
        const auto leaf = leafOf(fixture);
        warmUp(fixture, leaf, "start-1");
        auto done = 0;
        for (auto round = 0; round < 200; ++round) {
            deliverRequests(fixture, 1, 2s);
            for (const auto &send : takeActions<SendTargetRequest>(fixture)) {
                advanceTime(fixture, 120ms);
                const auto abandoned = !takeActions<CancelTargetRequest>(fixture).empty();
                if (abandoned) {
                    deliver(fixture, makeFailure(send, Outcome::Unknown, Reason::Cancelled));
                } else {
                    auto reply = makeReply(send, "start-1");
                    reply.elapsed = 120ms;
                    deliver(fixture, reply);
                    ++done;
                }
            }
            advanceTime(fixture, 2s);
            fixture.actions.clear();
        }
        // Guards against quantiles that never adapt to a target that became slower, because an
        // abandoned attempt brings no reply.
        THEN("the silence timeout grows until replies arrive again")
        {
            CHECK(done > 100);
        }
    }
}

SCENARIO("a request marked non-idempotent is sent at most once")
{
    GIVEN("a warm leaf with verified connections")
    {
        auto fixture = makeOneLeafFixture();
        const auto leaf = leafOf(fixture);
        warmUp(fixture, leaf, "start-1");
        auto request = makeRequest(fixture, leaf, 1s);
        request.idempotent = false;
        WHEN("such a request arrives")
        {
            deliver(fixture, request);
            const auto sends = takeActions<SendTargetRequest>(fixture);
            // A client library may resend a request by itself when a reused connection closes.
            THEN("it gets a connection that was never used")
            {
                REQUIRE(sends.size() == 1);
                CHECK(sends[0].allowConnect);
                CHECK_FALSE(sends[0].idempotent);
                CHECK(toUnderlying(sends[0].connection) >= 4);
                AND_WHEN("its reply is lost")
                {
                    deliver(fixture,
                            makeFailure(sends[0], Outcome::NotRun, Reason::ConnectionLost));
                    THEN("the outcome is unknown, whatever outcome the runtime reports")
                    {
                        const auto replies = takeReplies(fixture);
                        REQUIRE(replies.size() == 1);
                        CHECK(replies[0].outcome == Outcome::Unknown);
                        CHECK(takeActions<SendTargetRequest>(fixture).empty());
                    }
                }
                AND_WHEN("its caller cancels it")
                {
                    deliver(fixture, CancelLeafRequest{request.origin, request.attempt});
                    THEN("it continues, so that its outcome becomes known")
                    {
                        CHECK(takeActions<CancelTargetRequest>(fixture).empty());
                        deliver(fixture, makeReply(sends[0], "start-1"));
                        CHECK(takeReplies(fixture).at(0).outcome == Outcome::Done);
                    }
                }
                AND_WHEN("no reply comes")
                {
                    advanceTime(fixture, 999ms);
                    CHECK(takeReplies(fixture).empty());
                    advanceTime(fixture, 1ms);
                    THEN("it is waited for until its deadline")
                    {
                        const auto replies = takeReplies(fixture);
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
                request.attempt = static_cast<AttemptId>(++fixture.attempts);
                deliver(fixture, request);
            }
            CHECK(takeActions<SendTargetRequest>(fixture).size() == 2);
            THEN("an idempotent one with a later deadline isn't blocked by them")
            {
                deliverRequests(fixture, 1, 5s);
                const auto sends = takeActions<SendTargetRequest>(fixture);
                REQUIRE(sends.size() == 1);
                CHECK(sends[0].idempotent);
            }
        }
        WHEN("all connections have been used")
        {
            for (auto count = 0; count < 30; ++count) {
                request.attempt = static_cast<AttemptId>(++fixture.attempts);
                deliver(fixture, request);
                for (const auto &send : takeActions<SendTargetRequest>(fixture)) {
                    CHECK(send.allowConnect);
                    deliver(fixture, makeReply(send, "start-1"));
                }
            }
            THEN("idle ones are closed to make room")
            {
                CHECK(takeReplies(fixture).size() == 30);
                CHECK_FALSE(takeActions<CloseTargetConnections>(fixture).empty());
            }
        }
    }
}

#include <catch2/catch.hpp>

#include "oneleaf.h"

using namespace crocusreach;
using namespace crocusreach::test;

SCENARIO("a share's queue is bounded and ordered by deadline")
{
    GIVEN("a leaf with both cold slots in use")
    {
        auto settings = DispatchSettings();
        settings.queueCapacity = 3;
        auto fixture = makeFixture({makeLeaf("leaf-1", "muar-a")}, shareSize, settings);
        const auto leaf = leafOf(fixture);
        deliverRequests(fixture, 2);
        const auto sends = takeActions<SendTargetRequest>(fixture);
        WHEN("requests wait and one more has an earlier deadline")
        {
            deliverRequests(fixture, 2, 900ms);
            auto urgent = makeRequest(fixture, leaf, 100ms);
            deliver(fixture, urgent);
            deliver(fixture, makeReply(sends[0], "start-1"));
            THEN("the earliest deadline is sent first")
            {
                CHECK(takeActions<SendTargetRequest>(fixture).at(0).requestId == urgent.requestId);
            }
        }
        WHEN("four more arrive")
        {
            deliverRequests(fixture, 4);
            THEN("the fourth is refused as not run")
            {
                const auto replies = takeReplies(fixture);
                REQUIRE(replies.size() == 1);
                CHECK(replies[0].reason == Reason::QueueFull);
                CHECK(replies[0].outcome == Outcome::NotRun);
                CHECK(replies[0].step == Step::Queue);
                CHECK(replies[0].peer == "one");
                CHECK(replies[0].queueLength == 3);
            }
        }
        WHEN("a waiting request's deadline passes")
        {
            deliverRequests(fixture, 1, 20ms);
            const auto deadline = fixture.now + 20ms;
            CHECK(nextTickAt(*fixture.state) <= deadline);
            advanceTime(fixture, 20ms);
            THEN("it is answered as not run by then")
            {
                const auto replies = takeReplies(fixture);
                REQUIRE(replies.size() == 1);
                CHECK(replies[0].reason == Reason::DeadlineExceeded);
                CHECK(replies[0].outcome == Outcome::NotRun);
                CHECK(requestsInFlight(*fixture.state) == 2);
            }
        }
        WHEN("a waiting request is cancelled")
        {
            auto request = makeRequest(fixture, leaf, 1s);
            deliver(fixture, request);
            deliver(fixture, CancelLeafRequest{request.origin, request.attempt});
            THEN("it is answered as not run, and never sent")
            {
                const auto replies = takeReplies(fixture);
                REQUIRE(replies.size() == 1);
                CHECK(replies[0].reason == Reason::Cancelled);
                CHECK(replies[0].outcome == Outcome::NotRun);
                deliver(fixture, makeReply(sends[0], "start-1"));
                CHECK(takeActions<SendTargetRequest>(fixture).empty());
                // Guards against a cancelled request that runs because its message arrives twice.
                AND_WHEN("a duplicate of it arrives")
                {
                    takeReplies(fixture);
                    deliver(fixture, request);
                    THEN("it is neither sent nor answered again")
                    {
                        CHECK(fixture.actions.empty());
                    }
                }
            }
        }
        WHEN("a running request is cancelled")
        {
            deliver(fixture, CancelLeafRequest{instanceId("two"), AttemptId(1)});
            deliverRequests(fixture, 1);
            THEN("its send is cancelled, and the slot is free once the send has ended")
            {
                const auto cancels = takeActions<CancelTargetRequest>(fixture);
                REQUIRE(cancels.size() == 1);
                CHECK(cancels[0].send == sends[0].send);
                CHECK_FALSE(cancels[0].closeConnection);
                CHECK(takeActions<SendTargetRequest>(fixture).empty());
                deliver(fixture, makeFailure(sends[0], Outcome::Unknown, Reason::Cancelled));
                CHECK(takeActions<SendTargetRequest>(fixture).size() == 1);
                const auto replies = takeReplies(fixture);
                REQUIRE(replies.size() == 1);
                CHECK(replies[0].reason == Reason::Cancelled);
                CHECK(replies[0].outcome == Outcome::Unknown);
            }
        }
        WHEN("a request arrives twice while it runs")
        {
            auto request = makeRequest(fixture, leaf, 1s);
            deliver(fixture, makeReply(sends[0], "start-1"));
            fixture.actions.clear();
            deliver(fixture, request);
            deliver(fixture, request);
            THEN("it is sent once")
            {
                CHECK(takeActions<SendTargetRequest>(fixture).size() == 1);
                CHECK(takeReplies(fixture).empty());
            }
        }
    }
    GIVEN("a leaf whose service times are known to be 10 ms")
    {
        auto fixture = makeOneLeafFixture();
        const auto leaf = leafOf(fixture);
        for (auto count = 0; count < 40; ++count)
            serveRequest(fixture, leaf, "start-1", 10ms);
        fixture.actions.clear();
        WHEN("a request could never be served in time")
        {
            deliverRequests(fixture, 1);
            deliverRequests(fixture, 1, 3ms);
            THEN("it is shed at once")
            {
                const auto replies = takeReplies(fixture);
                REQUIRE(replies.size() == 1);
                CHECK(replies[0].reason == Reason::DeadlineTooShort);
            }
        }
        WHEN("the queue is too long for a request's deadline")
        {
            deliverRequests(fixture, 30, 100ms);
            THEN("it is shed as overloaded")
            {
                const auto replies = takeReplies(fixture);
                REQUIRE_FALSE(replies.empty());
                CHECK(std::ranges::all_of(replies, [](const LeafReply &reply) {
                    return reply.reason == Reason::Overloaded && reply.outcome == Outcome::NotRun;
                }));
            }
        }
        WHEN("the leaf is idle and a request has less time than the service times")
        {
            deliverRequests(fixture, 1, 3ms);
            // Guards against a leaf that refuses every request because of old service times, which
            // no reply can update.
            THEN("it is sent nevertheless")
            {
                CHECK(takeActions<SendTargetRequest>(fixture).size() == 1);
            }
        }
    }
}

SCENARIO("nothing is sent beyond the end of the lease")
{
    GIVEN("a holder whose lease ends in 100 ms")
    {
        auto fixture = makeOneLeafFixture();
        const auto leaf = leafOf(fixture);
        fixture.view.leaseValidUntil = fixture.now + 100ms;
        publishView(fixture);
        WHEN("a request has a later deadline")
        {
            deliverRequests(fixture, 1, 1s);
            THEN("the deadline that is sent is the end of the lease")
            {
                const auto sends = takeActions<SendTargetRequest>(fixture);
                REQUIRE(sends.size() == 1);
                CHECK(sends[0].deadline == fixture.view.leaseValidUntil);
                AND_WHEN("the lease ends without a reply")
                {
                    advanceTime(fixture, 100ms);
                    THEN("the outcome is unknown")
                    {
                        const auto replies = takeReplies(fixture);
                        REQUIRE(replies.size() == 1);
                        CHECK(replies[0].reason == Reason::NoLease);
                        CHECK(replies[0].outcome == Outcome::Unknown);
                    }
                }
            }
        }
        WHEN("requests wait when the lease ends")
        {
            deliverRequests(fixture, 3, 1s);
            advanceTime(fixture, 100ms);
            THEN("they are refused as not run")
            {
                const auto replies = takeReplies(fixture);
                const auto waiting
                        = std::ranges::find(replies, Outcome::NotRun, &LeafReply::outcome);
                REQUIRE(waiting != replies.end());
                CHECK(waiting->reason == Reason::NoLease);
            }
        }
        WHEN("the lease is renewed while requests wait")
        {
            deliverRequests(fixture, 3, 1s);
            advanceTime(fixture, 50ms);
            fixture.view.leaseValidUntil = fixture.now + 10s;
            publishView(fixture);
            advanceTime(fixture, 200ms);
            THEN("the waiting one isn't refused")
            {
                CHECK(statusOf(fixture, leaf).waiting == 1);
            }
        }
        WHEN("the lease has ended")
        {
            advanceTime(fixture, 100ms);
            fixture.actions.clear();
            deliverRequests(fixture, 1, 1s);
            THEN("a request is refused as not run")
            {
                const auto replies = takeReplies(fixture);
                REQUIRE(replies.size() == 1);
                CHECK(replies[0].reason == Reason::NoLease);
                CHECK(replies[0].outcome == Outcome::NotRun);
                CHECK(takeActions<SendTargetRequest>(fixture).empty());
            }
        }
    }
}

SCENARIO("operators take a failure domain, a service or the instance out")
{
    GIVEN("a warm leaf with running and waiting requests")
    {
        auto fixture = makeOneLeafFixture();
        const auto leaf = leafOf(fixture);
        warmUp(fixture, leaf, "start-1");
        deliverRequests(fixture, 6);
        const auto sends = takeActions<SendTargetRequest>(fixture);
        const auto checkOut = [&](Reason reason) {
            auto replies = takeReplies(fixture);
            REQUIRE(replies.size() == 2);
            CHECK(replies[0].reason == reason);
            CHECK(replies[0].outcome == Outcome::NotRun);
            CHECK(takeActions<CancelTargetRequest>(fixture).empty());
            deliver(fixture, makeReply(sends[0], "start-1"));
            replies = takeReplies(fixture);
            REQUIRE(replies.size() == 1);
            CHECK(replies[0].outcome == Outcome::Done);
            deliverRequests(fixture, 1);
            replies = takeReplies(fixture);
            REQUIRE(replies.size() == 1);
            CHECK(replies[0].reason == reason);
            CHECK(takeActions<SendTargetRequest>(fixture).empty());
        };
        WHEN("the failure domain of the leaf is out")
        {
            fixture.configuration.domains[0].decision.state = DesiredState::Out;
            publishView(fixture);
            THEN("only the running requests continue")
            {
                checkOut(Reason::DomainOut);
                AND_WHEN("it returns")
                {
                    for (const auto &send : sends)
                        deliver(fixture, makeReply(send, "start-1"));
                    fixture.configuration.domains[0].decision.state = DesiredState::In;
                    publishView(fixture);
                    fixture.actions.clear();
                    deliverRequests(fixture, 9);
                    THEN("the leaf is in cold start, though its identity is the same")
                    {
                        CHECK(takeActions<SendTargetRequest>(fixture).size() == 2);
                        CHECK(statusOf(fixture, leaf).cold);
                    }
                }
            }
        }
        WHEN("the service is out")
        {
            fixture.configuration.services[0].decision.state = DesiredState::Out;
            publishView(fixture);
            THEN("only the running requests continue")
            {
                checkOut(Reason::ServiceOut);
            }
        }
        WHEN("this instance is out")
        {
            fixture.configuration.instances.push_back({instanceId("one"), "one", {}});
            fixture.configuration.instances[0].decision.state = DesiredState::Out;
            publishView(fixture);
            THEN("only the running requests continue")
            {
                checkOut(Reason::InstanceOut);
            }
        }
    }
}

SCENARIO("a new epoch moves shares to another instance")
{
    GIVEN("a warm leaf with running and waiting requests")
    {
        auto fixture = makeOneLeafFixture();
        const auto leaf = leafOf(fixture);
        warmUp(fixture, leaf, "start-1");
        deliverRequests(fixture, 6);
        const auto sends = takeActions<SendTargetRequest>(fixture);
        const auto moveAway = [&](Epoch epoch) {
            fixture.assignment.epoch = epoch;
            auto &share = fixture.assignment.shares[0];
            share = {leaf.id,        0,     shareSize,         instanceId("two"),
                     Incarnation(1), epoch, instanceId("one"), Incarnation(1)};
            fixture.view.heldShares.clear();
            publishView(fixture);
        };
        WHEN("epoch 2 moves the share to another instance")
        {
            moveAway(Epoch(2));
            THEN("waiting requests are refused as not run, running ones finish, then it is drained")
            {
                auto replies = takeReplies(fixture);
                REQUIRE(replies.size() == 2);
                CHECK(replies[0].reason == Reason::NotHolder);
                CHECK(replies[0].outcome == Outcome::NotRun);
                CHECK(takeActions<CancelTargetRequest>(fixture).empty());
                for (const auto &send : sends) {
                    CHECK(takeActions<SharesDrained>(fixture).empty());
                    deliver(fixture, makeReply(send, "start-1"));
                }
                CHECK(takeReplies(fixture).size() == 4);
                const auto drained = takeActions<SharesDrained>(fixture);
                REQUIRE(drained.size() == 1);
                CHECK(drained[0].epoch == Epoch(2));
                CHECK(takeActions<CloseTargetConnections>(fixture).size() == 1);
                deliverRequests(fixture, 1);
                CHECK(takeReplies(fixture).at(0).reason == Reason::NotHolder);
                CHECK(requestsInFlight(*fixture.state) == 0);
            }
        }
        // An earlier holder may still use the share, so it must not be reported as drained.
        WHEN("the share moves after epochs that this instance hasn't seen")
        {
            moveAway(Epoch(4));
            for (const auto &send : sends)
                deliver(fixture, makeReply(send, "start-1"));
            THEN("nothing is reported")
            {
                CHECK(takeActions<SharesDrained>(fixture).empty());
            }
        }
    }
    GIVEN("a share that was assigned but not yet usable")
    {
        auto fixture = makeOneLeafFixture();
        const auto leaf = leafOf(fixture);
        fixture.assignment.shares.push_back({leaf.id, 1, shareSize, instanceId("one"),
                                             Incarnation(1), Epoch(2), instanceId("two"),
                                             Incarnation(1)});
        fixture.assignment.epoch = Epoch(2);
        publishView(fixture);
        WHEN("epoch 3 moves it and the usable share away")
        {
            for (auto &share : fixture.assignment.shares) {
                share.holder = instanceId("two");
                share.since = Epoch(3);
                share.formerHolder = instanceId("one");
                share.formerIncarnation = Incarnation(1);
            }
            fixture.assignment.epoch = Epoch(3);
            fixture.view.heldShares.clear();
            publishView(fixture);
            THEN("nothing is reported")
            {
                CHECK(takeActions<SharesDrained>(fixture).empty());
            }
        }
    }
    GIVEN("both shares of a leaf held here")
    {
        auto fixture = makeOneLeafFixture();
        const auto leaf = leafOf(fixture);
        fixture.assignment.shares.push_back({leaf.id,
                                             1,
                                             ShareSize{2, 1, 5},
                                             instanceId("one"),
                                             Incarnation(1),
                                             Epoch(1),
                                             {},
                                             {}});
        fixture.view.heldShares.push_back({leaf.id, 1, ShareSize{2, 1, 5}});
        publishView(fixture);
        WHEN("requests arrive for one of them")
        {
            deliverRequests(fixture, 9);
            const auto sends = takeActions<SendTargetRequest>(fixture);
            THEN("the limits of both count")
            {
                CHECK(sends.size() == 3);
                CHECK(statusOf(fixture, leaf).slots == 6);
                AND_WHEN("one of them is lost")
                {
                    fixture.assignment.epoch = Epoch(2);
                    fixture.assignment.shares[1].holder = instanceId("two");
                    fixture.assignment.shares[1].since = Epoch(2);
                    fixture.assignment.shares[1].formerHolder = instanceId("one");
                    fixture.assignment.shares[1].formerIncarnation = Incarnation(1);
                    fixture.view.heldShares.pop_back();
                    publishView(fixture);
                    THEN("it is drained once the running requests fit the limits of the other one")
                    {
                        CHECK(takeActions<SharesDrained>(fixture).empty());
                        deliver(fixture, makeReply(sends[0], "start-1"));
                        CHECK(takeActions<SharesDrained>(fixture).size() == 1);
                    }
                }
                // Guards against a ramp that keeps the cold slots of a share that moved away.
                AND_WHEN("all are verified and one share is lost during the ramp")
                {
                    for (const auto &send : sends)
                        deliver(fixture, makeReply(send, "start-1"));
                    CHECK(takeActions<SendTargetRequest>(fixture).size() == 3);
                    fixture.assignment.epoch = Epoch(2);
                    fixture.assignment.shares[1].holder = instanceId("two");
                    fixture.assignment.shares[1].since = Epoch(2);
                    fixture.assignment.shares[1].formerHolder = instanceId("one");
                    fixture.assignment.shares[1].formerIncarnation = Incarnation(1);
                    fixture.view.heldShares.pop_back();
                    publishView(fixture);
                    THEN("the limit is the other share's cold slots, and one request too many runs")
                    {
                        CHECK(statusOf(fixture, leaf).concurrencyLimit == 2);
                        CHECK(takeActions<SharesDrained>(fixture).empty());
                    }
                }
            }
        }
    }
}

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
        auto world = makeWorld({makeLeaf("leaf-1", "muar-a")}, shareSize, settings);
        const auto leaf = leafOf(world);
        giveRequests(world, 2);
        const auto sends = take<TargetSend>(world);
        WHEN("requests wait and one more has an earlier deadline")
        {
            giveRequests(world, 2, 900ms);
            auto urgent = makeRequest(world, leaf, 100ms);
            give(world, urgent);
            give(world, makeReply(sends[0], "start-1"));
            THEN("the earliest deadline is sent first")
            {
                CHECK(take<TargetSend>(world).at(0).requestId == urgent.requestId);
            }
        }
        WHEN("four more arrive")
        {
            giveRequests(world, 4);
            THEN("the fourth is refused as not run")
            {
                const auto replies = takeReplies(world);
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
            giveRequests(world, 1, 20ms);
            const auto deadline = world.now + 20ms;
            CHECK(nextWake(*world.state) <= deadline);
            pass(world, 20ms);
            THEN("it is answered as not run by then")
            {
                const auto replies = takeReplies(world);
                REQUIRE(replies.size() == 1);
                CHECK(replies[0].reason == Reason::DeadlineExceeded);
                CHECK(replies[0].outcome == Outcome::NotRun);
                CHECK(requestsInFlight(*world.state) == 2);
            }
        }
        WHEN("a waiting request is cancelled")
        {
            auto request = makeRequest(world, leaf, 1s);
            give(world, request);
            give(world, CancelLeafRequest{request.origin, request.attempt});
            THEN("it is answered as not run, and never sent")
            {
                const auto replies = takeReplies(world);
                REQUIRE(replies.size() == 1);
                CHECK(replies[0].reason == Reason::Cancelled);
                CHECK(replies[0].outcome == Outcome::NotRun);
                give(world, makeReply(sends[0], "start-1"));
                CHECK(take<TargetSend>(world).empty());
                // Guards against a cancelled request that runs because its message arrives twice.
                AND_WHEN("a duplicate of it arrives")
                {
                    takeReplies(world);
                    give(world, request);
                    THEN("it is neither sent nor answered again")
                    {
                        CHECK(world.actions.empty());
                    }
                }
            }
        }
        WHEN("a running request is cancelled")
        {
            give(world, CancelLeafRequest{instanceId("two"), AttemptId(1)});
            giveRequests(world, 1);
            THEN("the target is told, and the slot is free once the send has ended")
            {
                const auto cancels = take<TargetCancel>(world);
                REQUIRE(cancels.size() == 1);
                CHECK(cancels[0].send == sends[0].send);
                CHECK_FALSE(cancels[0].closeConnection);
                CHECK(take<TargetSend>(world).empty());
                give(world, makeFailure(sends[0], Outcome::Unknown, Reason::Cancelled));
                CHECK(take<TargetSend>(world).size() == 1);
                const auto replies = takeReplies(world);
                REQUIRE(replies.size() == 1);
                CHECK(replies[0].reason == Reason::Cancelled);
                CHECK(replies[0].outcome == Outcome::Unknown);
            }
        }
        WHEN("a request arrives twice while it runs")
        {
            auto request = makeRequest(world, leaf, 1s);
            give(world, makeReply(sends[0], "start-1"));
            world.actions.clear();
            give(world, request);
            give(world, request);
            THEN("it is sent once")
            {
                CHECK(take<TargetSend>(world).size() == 1);
                CHECK(takeReplies(world).empty());
            }
        }
    }
    GIVEN("a leaf whose service times are known to be 10 ms")
    {
        auto world = oneLeafWorld();
        const auto leaf = leafOf(world);
        for (auto count = 0; count < 40; ++count)
            serveOne(world, leaf, "start-1", 10ms);
        world.actions.clear();
        WHEN("a request could never be served in time")
        {
            giveRequests(world, 1);
            giveRequests(world, 1, 3ms);
            THEN("it is shed at once")
            {
                const auto replies = takeReplies(world);
                REQUIRE(replies.size() == 1);
                CHECK(replies[0].reason == Reason::DeadlineTooShort);
            }
        }
        WHEN("the queue is too long for a request's deadline")
        {
            giveRequests(world, 30, 100ms);
            THEN("it is shed as overloaded")
            {
                const auto replies = takeReplies(world);
                REQUIRE_FALSE(replies.empty());
                CHECK(std::ranges::all_of(replies, [](const LeafReply &reply) {
                    return reply.reason == Reason::Overloaded && reply.outcome == Outcome::NotRun;
                }));
            }
        }
        WHEN("the leaf is idle and a request is shorter than its service times")
        {
            giveRequests(world, 1, 3ms);
            // Guards against refusing for ever on the ground of old service times.
            THEN("it is sent all the same")
            {
                CHECK(take<TargetSend>(world).size() == 1);
            }
        }
    }
}

SCENARIO("nothing is sent beyond the end of the lease")
{
    GIVEN("a holder whose lease ends in 100 ms")
    {
        auto world = oneLeafWorld();
        const auto leaf = leafOf(world);
        world.view.leaseValidUntil = world.now + 100ms;
        publish(world);
        WHEN("a request has a later deadline")
        {
            giveRequests(world, 1, 1s);
            THEN("the deadline that is sent is the end of the lease")
            {
                const auto sends = take<TargetSend>(world);
                REQUIRE(sends.size() == 1);
                CHECK(sends[0].deadline == world.view.leaseValidUntil);
                AND_WHEN("the lease ends without a reply")
                {
                    pass(world, 100ms);
                    THEN("the outcome is unknown")
                    {
                        const auto replies = takeReplies(world);
                        REQUIRE(replies.size() == 1);
                        CHECK(replies[0].reason == Reason::NoLease);
                        CHECK(replies[0].outcome == Outcome::Unknown);
                    }
                }
            }
        }
        WHEN("requests wait when the lease ends")
        {
            giveRequests(world, 3, 1s);
            pass(world, 100ms);
            THEN("they are refused as not run")
            {
                const auto replies = takeReplies(world);
                const auto waiting
                        = std::ranges::find(replies, Outcome::NotRun, &LeafReply::outcome);
                REQUIRE(waiting != replies.end());
                CHECK(waiting->reason == Reason::NoLease);
            }
        }
        WHEN("the lease is renewed while requests wait")
        {
            giveRequests(world, 3, 1s);
            pass(world, 50ms);
            world.view.leaseValidUntil = world.now + 10s;
            publish(world);
            pass(world, 200ms);
            THEN("the waiting one isn't refused")
            {
                CHECK(statusOf(world, leaf).waiting == 1);
            }
        }
        WHEN("the lease is over")
        {
            pass(world, 100ms);
            world.actions.clear();
            giveRequests(world, 1, 1s);
            THEN("a request is refused as not run")
            {
                const auto replies = takeReplies(world);
                REQUIRE(replies.size() == 1);
                CHECK(replies[0].reason == Reason::NoLease);
                CHECK(replies[0].outcome == Outcome::NotRun);
                CHECK(take<TargetSend>(world).empty());
            }
        }
    }
}

SCENARIO("operators take a failure domain, a service or the instance out")
{
    GIVEN("a warm leaf with running and waiting requests")
    {
        auto world = oneLeafWorld();
        const auto leaf = leafOf(world);
        warm(world, leaf, "start-1");
        giveRequests(world, 6);
        const auto sends = take<TargetSend>(world);
        const auto checkOut = [&](Reason reason) {
            auto replies = takeReplies(world);
            REQUIRE(replies.size() == 2);
            CHECK(replies[0].reason == reason);
            CHECK(replies[0].outcome == Outcome::NotRun);
            CHECK(take<TargetCancel>(world).empty());
            give(world, makeReply(sends[0], "start-1"));
            replies = takeReplies(world);
            REQUIRE(replies.size() == 1);
            CHECK(replies[0].outcome == Outcome::Done);
            giveRequests(world, 1);
            replies = takeReplies(world);
            REQUIRE(replies.size() == 1);
            CHECK(replies[0].reason == reason);
            CHECK(take<TargetSend>(world).empty());
        };
        WHEN("the failure domain of the leaf is out")
        {
            world.configuration.domains[0].decision.state = DesiredState::Out;
            publish(world);
            THEN("only the running requests go on")
            {
                checkOut(Reason::DomainOut);
                AND_WHEN("it returns")
                {
                    for (const auto &send : sends)
                        give(world, makeReply(send, "start-1"));
                    world.configuration.domains[0].decision.state = DesiredState::In;
                    publish(world);
                    world.actions.clear();
                    giveRequests(world, 9);
                    THEN("the leaf is in cold start, though its identity is the same")
                    {
                        CHECK(take<TargetSend>(world).size() == 2);
                        CHECK(statusOf(world, leaf).cold);
                    }
                }
            }
        }
        WHEN("the service is out")
        {
            world.configuration.services[0].decision.state = DesiredState::Out;
            publish(world);
            THEN("only the running requests go on")
            {
                checkOut(Reason::ServiceOut);
            }
        }
        WHEN("this instance is out")
        {
            world.configuration.instances.push_back({instanceId("one"), "one", {}});
            world.configuration.instances[0].decision.state = DesiredState::Out;
            publish(world);
            THEN("only the running requests go on")
            {
                checkOut(Reason::InstanceOut);
            }
        }
    }
}

SCENARIO("a new epoch takes shares away")
{
    GIVEN("a warm leaf with running and waiting requests")
    {
        auto world = oneLeafWorld();
        const auto leaf = leafOf(world);
        warm(world, leaf, "start-1");
        giveRequests(world, 6);
        const auto sends = take<TargetSend>(world);
        const auto moveAway = [&](Epoch epoch) {
            world.assignment.epoch = epoch;
            auto &share = world.assignment.shares[0];
            share = {leaf.id,        0,     shareSize,         instanceId("two"),
                     Incarnation(1), epoch, instanceId("one"), Incarnation(1)};
            world.view.heldShares.clear();
            publish(world);
        };
        WHEN("epoch 2 moves the share to another instance")
        {
            moveAway(Epoch(2));
            THEN("waiting requests are refused as not run, running ones finish, then it is drained")
            {
                auto replies = takeReplies(world);
                REQUIRE(replies.size() == 2);
                CHECK(replies[0].reason == Reason::NotHolder);
                CHECK(replies[0].outcome == Outcome::NotRun);
                CHECK(take<TargetCancel>(world).empty());
                for (const auto &send : sends) {
                    CHECK(take<SharesDrained>(world).empty());
                    give(world, makeReply(send, "start-1"));
                }
                CHECK(takeReplies(world).size() == 4);
                const auto drained = take<SharesDrained>(world);
                REQUIRE(drained.size() == 1);
                CHECK(drained[0].epoch == Epoch(2));
                CHECK(take<TargetClose>(world).size() == 1);
                giveRequests(world, 1);
                CHECK(takeReplies(world).at(0).reason == Reason::NotHolder);
                CHECK(requestsInFlight(*world.state) == 0);
            }
        }
        // The holder before this one may still use the share: it must not be reported as free.
        WHEN("epochs passed unseen before the share moved")
        {
            moveAway(Epoch(4));
            for (const auto &send : sends)
                give(world, makeReply(send, "start-1"));
            THEN("nothing is reported")
            {
                CHECK(take<SharesDrained>(world).empty());
            }
        }
    }
    GIVEN("a share that was assigned but not yet usable")
    {
        auto world = oneLeafWorld();
        const auto leaf = leafOf(world);
        world.assignment.shares.push_back({leaf.id, 1, shareSize, instanceId("one"), Incarnation(1),
                                           Epoch(2), instanceId("two"), Incarnation(1)});
        world.assignment.epoch = Epoch(2);
        publish(world);
        WHEN("epoch 3 moves it and the usable share away")
        {
            for (auto &share : world.assignment.shares) {
                share.holder = instanceId("two");
                share.since = Epoch(3);
                share.formerHolder = instanceId("one");
                share.formerIncarnation = Incarnation(1);
            }
            world.assignment.epoch = Epoch(3);
            world.view.heldShares.clear();
            publish(world);
            THEN("nothing is reported")
            {
                CHECK(take<SharesDrained>(world).empty());
            }
        }
    }
    GIVEN("both shares of a leaf held here")
    {
        auto world = oneLeafWorld();
        const auto leaf = leafOf(world);
        world.assignment.shares.push_back({leaf.id,
                                           1,
                                           ShareSize{2, 1, 5},
                                           instanceId("one"),
                                           Incarnation(1),
                                           Epoch(1),
                                           {},
                                           {}});
        world.view.heldShares.push_back({leaf.id, 1, ShareSize{2, 1, 5}});
        publish(world);
        WHEN("requests arrive for one of them")
        {
            giveRequests(world, 9);
            const auto sends = take<TargetSend>(world);
            THEN("the limits of both count")
            {
                CHECK(sends.size() == 3);
                CHECK(statusOf(world, leaf).slots == 6);
                AND_WHEN("one of them is lost")
                {
                    world.assignment.epoch = Epoch(2);
                    world.assignment.shares[1].holder = instanceId("two");
                    world.assignment.shares[1].since = Epoch(2);
                    world.assignment.shares[1].formerHolder = instanceId("one");
                    world.assignment.shares[1].formerIncarnation = Incarnation(1);
                    world.view.heldShares.pop_back();
                    publish(world);
                    THEN("it is drained once what runs fits the other one")
                    {
                        CHECK(take<SharesDrained>(world).empty());
                        give(world, makeReply(sends[0], "start-1"));
                        CHECK(take<SharesDrained>(world).size() == 1);
                    }
                }
                // Guards against a ramp that keeps the cold slots of a share that moved away.
                AND_WHEN("all are verified and one share is lost during the ramp")
                {
                    for (const auto &send : sends)
                        give(world, makeReply(send, "start-1"));
                    CHECK(take<TargetSend>(world).size() == 3);
                    world.assignment.epoch = Epoch(2);
                    world.assignment.shares[1].holder = instanceId("two");
                    world.assignment.shares[1].since = Epoch(2);
                    world.assignment.shares[1].formerHolder = instanceId("one");
                    world.assignment.shares[1].formerIncarnation = Incarnation(1);
                    world.view.heldShares.pop_back();
                    publish(world);
                    THEN("three verified requests are one more than the other share's cold slots")
                    {
                        CHECK(statusOf(world, leaf).allowed == 2);
                        CHECK(take<SharesDrained>(world).empty());
                    }
                }
            }
        }
    }
}

#include <catch2/catch.hpp>

#include "controlcell.h"
#include "core/lease.h"
#include "core/membership.h"
#include "core/propagation.h"

using namespace crocusreach;
using namespace crocusreach::world;

SCENARIO("a cell starts")
{
    GIVEN("seven instances that start together")
    {
        auto world = makeRunningCell({"a", "b", "c", "a", "b", "c", "a"});
        THEN("they join with few writes")
        {
            // Guards against members that all write an assignment for the same change.
            CHECK(world.store.writes <= 10);
        }
        AND_WHEN("nothing happens for ten minutes")
        {
            const auto writes = world.store.writes;
            const auto epoch = epochOf(world, 0);
            runFor(world, 600s);
            THEN("nothing is written")
            {
                CHECK(world.store.writes == writes);
                CHECK(epochOf(world, 0) == epoch);
                CHECK(allSharesHeld(world));
            }
            THEN("two members watch the configuration")
            {
                CHECK(world.store.watches.size() == 2);
            }
        }
        AND_WHEN("the configuration changes")
        {
            changeSomething(world);
            THEN("it is in force everywhere within a second")
            {
                CHECK(runUntilHolds(world, 1s, newestInForce));
            }
        }
        AND_WHEN("the configuration changes and a member between the watchers and others is silent")
        {
            // Guards against a chain that ends at a member that doesn't pass changes on.
            pause(world, nodeByRank(world, 2), 1500ms);
            changeSomething(world);
            THEN("the members behind it get the change from others")
            {
                CHECK(runUntilHolds(world, 4s, newestInForce));
            }
        }
        AND_WHEN("every watch is silent and the configuration changes")
        {
            for (auto &watch : world.store.watches)
                watch.silent = true;
            changeSomething(world);
            THEN("the periodic reads find it")
            {
                CHECK(runUntilHolds(world, 3s, newestInForce));
                AND_THEN("the watches are made anew")
                {
                    runFor(world, 2s);
                    const auto working = std::ranges::count_if(
                            world.store.watches,
                            [](const PendingWatch &watch) { return !watch.silent; });
                    CHECK(working == 2);
                }
            }
        }
        AND_WHEN("an instance leaves")
        {
            const auto leaving = nodeByRank(world, 3);
            deliver(world, leaving, StopRequested{});
            THEN("its shares are released and used elsewhere before a lease could end")
            {
                CHECK(runUntilHolds(world, 3s, [&](World &later) {
                    return !isMemberNow(later, leaving) && !mayUseShares(later, leaving)
                           && allSharesHeld(later);
                }));
                CHECK(world.violation.empty());
            }
        }
        AND_WHEN("the member that writes assignments leaves")
        {
            deliver(world, nodeByRank(world, 0), StopRequested{});
            THEN("it removes itself")
            {
                CHECK(runUntilHolds(world, 3s, [&](World &later) {
                    return !isMemberNow(later, nodeByRank(later, 0)) && allSharesHeld(later);
                }));
            }
        }
        AND_WHEN("a leaf's slots are lowered")
        {
            auto changed = *world.store.configuration;
            auto &leaf = changed.services.front().leafs.front();
            leaf.slots = 3;
            const auto id = leaf.id;
            putConfiguration(world, changed);
            THEN("the new sizes are in use within seconds, and never with the old ones")
            {
                CHECK(runUntilHolds(world, 4s, [&](World &later) {
                    auto slots = 0;
                    for (const auto &usage : allUsages(later))
                        slots += usage.leaf == id ? usage.size.slots : 0;
                    return slots == 3 && allSharesHeld(later);
                }));
                CHECK(world.violation.empty());
            }
        }
        AND_WHEN("an instance restarts with a new incarnation")
        {
            const auto restarted = nodeByRank(world, 2);
            stop(world, restarted);
            start(world, restarted);
            runFor(world, 20ms);
            THEN("it holds nothing until it is a member again and has taken its shares over")
            {
                CHECK(!mayUseShares(world, restarted));
                CHECK(runUntilHolds(world, 15s, [&](World &later) {
                    return isMemberNow(later, restarted) && mayUseShares(later, restarted)
                           && allSharesHeld(later);
                }));
                CHECK(world.violation.empty());
            }
        }
        AND_WHEN("replies of the store are lost after writes took effect, and an instance dies")
        {
            world.store.lostReplies = 1;
            const auto writes = world.store.writes;
            stop(world, nodeByRank(world, 5));
            runFor(world, 8s);
            world.store.lostReplies = 0;
            THEN("the write is found by reading back and isn't repeated")
            {
                CHECK(runUntilHolds(world, 15s, allSharesHeld));
                CHECK(world.store.writes - writes <= 3);
                CHECK(!isMemberNow(world, nodeByRank(world, 5)));
            }
        }
    }
}

SCENARIO("the cases of the table in the design page")
{
    auto world = makeRunningCell({"a", "b", "c", "a", "b", "c"});
    const auto victim = nodeByRank(world, 5);
    const auto epoch = epochOf(world, 0);

    GIVEN("the store is down for all")
    {
        world.store.down = true;
        runFor(world, 600s);
        THEN("all shares stay in use, renewed by peers, and no assignment changes")
        {
            CHECK(allSharesHeld(world));
            CHECK(epochOf(world, 0) == epoch);
        }
        AND_WHEN("a holder dies")
        {
            stop(world, victim);
            runFor(world, 60s);
            THEN("the others go on, and its shares aren't taken over")
            {
                CHECK(epochOf(world, nodeByRank(world, 0)) == epoch);
                CHECK(mayUseShares(world, nodeByRank(world, 0)));
                CHECK(!allSharesHeld(world));
            }
            AND_WHEN("the store comes back")
            {
                world.store.down = false;
                THEN("they are")
                {
                    CHECK(runUntilHolds(world, 20s, allSharesHeld));
                }
            }
        }
        AND_WHEN("an instance starts")
        {
            const auto added = addNode(world, "new", "b");
            changeSomething(world); // accepted before the outage, from the new instance's view
            start(world, added);
            runFor(world, 10s);
            THEN("it learns the state from peers, and holds no share")
            {
                CHECK(epochOf(world, added) == epoch);
                CHECK(revisionOf(world, added) == revisionOf(world, 0));
                CHECK(!mayUseShares(world, added));
            }
        }
    }
    GIVEN("the store is down for one instance")
    {
        world.nodes[victim].cutFromStore = true;
        changeSomething(world);
        const auto leaver = nodeByRank(world, 3);
        deliver(world, leaver, StopRequested{});
        runFor(world, 30s);
        THEN("it goes on, and learns new epochs and revisions from peers")
        {
            CHECK(mayUseShares(world, victim));
            CHECK(epochOf(world, victim) > epoch);
            CHECK(epochOf(world, victim) == world.store.assignment->epoch);
            CHECK(revisionOf(world, victim) == world.store.configuration->revision);
        }
    }
    GIVEN("a holder is paused past its lease")
    {
        pause(world, victim, 3500ms);
        runFor(world, 3s);
        THEN("its lease still runs, by its own clock, and nobody else uses its shares")
        {
            CHECK(mayUseShares(world, victim));
        }
        AND_WHEN("the pause goes on past the lease")
        {
            pause(world, victim, 20s);
            runFor(world, 2s);
            CHECK(!mayUseShares(world, victim));
            CHECK(runUntilHolds(world, 12s, allSharesHeld));
            AND_WHEN("it resumes")
            {
                runFor(world, 8s);
                THEN("it joins again by a conditional update, and no share had two users")
                {
                    CHECK(runUntilHolds(world, 20s, [&](World &later) {
                        return isMemberNow(later, victim) && mayUseShares(later, victim);
                    }));
                    CHECK(world.violation.empty());
                }
            }
        }
    }
    GIVEN("a holder is dead")
    {
        stop(world, victim);
        runFor(world, 3900ms);
        THEN("its shares aren't used by others while its lease may last")
        {
            CHECK(!allSharesHeld(world));
        }
        THEN("they are after the takeover")
        {
            CHECK(runUntilHolds(world, 8s, allSharesHeld));
            CHECK(world.violation.empty());
        }
    }
    GIVEN("two holders in different failure domains are dead, and the instance list lags")
    {
        world.listLag = 30s;
        runFor(world, 60s);
        stop(world, nodeByRank(world, 4));
        stop(world, victim);
        REQUIRE(world.nodes[victim].member.domain
                != world.nodes[nodeByRank(world, 4)].member.domain);
        runFor(world, 25s);
        THEN("the takeover waits until the list shows that one of them is gone")
        {
            CHECK(!allSharesHeld(world));
            CHECK(runUntilHolds(world, 15s, allSharesHeld));
            CHECK(world.violation.empty());
        }
    }
    GIVEN("a whole failure domain is lost, and the instance list is unreachable")
    {
        world.listDown = true;
        for (std::size_t index = 0; index < world.nodes.size(); ++index) {
            if (world.nodes[index].member.domain == domainId("b"))
                stop(world, index);
        }
        THEN("its shares are taken over without the list")
        {
            CHECK(runUntilHolds(world, 15s, allSharesHeld));
            CHECK(world.violation.empty());
        }
    }
    GIVEN("one instance is cut off from its peers but not from the store")
    {
        cutOff(world, victim);
        runFor(world, 20s);
        THEN("the others remove it and it stops, though it runs")
        {
            CHECK(!isMemberNow(world, victim));
            CHECK(!mayUseShares(world, victim));
            CHECK(world.store.assignment->members.size() == 5);
            CHECK(allSharesHeld(world));
        }
        AND_WHEN("the cut ends")
        {
            world.carrier.cut.clear();
            THEN("it joins again")
            {
                CHECK(runUntilHolds(world, 20s, [&](World &later) {
                    return isMemberNow(later, victim) && mayUseShares(later, victim);
                }));
            }
        }
    }
    GIVEN("one instance is cut off from everything")
    {
        cutOff(world, victim);
        world.nodes[victim].cutFromStore = true;
        runFor(world, 4100ms);
        THEN("it stops at the end of its own lease")
        {
            CHECK(!mayUseShares(world, victim));
        }
    }
    GIVEN("a failure domain is taken out by operators")
    {
        auto changed = *world.store.configuration;
        changed.domains[1].decision.state = DesiredState::Out;
        putConfiguration(world, changed);
        THEN("its instances hand over their shares within seconds and stay members")
        {
            CHECK(runUntilHolds(world, 5s, [](World &later) {
                return allSharesHeld(later)
                       && std::ranges::none_of(allUsages(later), [&](const Usage &usage) {
                              return later.nodes[usage.node].member.domain == domainId("b");
                          });
            }));
            CHECK(world.store.assignment->members.size() == 6);
            CHECK(world.violation.empty());
        }
    }
}

SCENARIO("a cell in one failure domain")
{
    auto world = makeRunningCell({"a", "a", "a"});
    GIVEN("the store is down")
    {
        world.store.down = true;
        runFor(world, 5s);
        THEN("no lease is renewed, since members of one failure domain don't renew each other")
        {
            for (std::size_t index = 0; index < world.nodes.size(); ++index)
                CHECK(!mayUseShares(world, index));
        }
        AND_WHEN("it comes back")
        {
            world.store.down = false;
            CHECK(runUntilHolds(world, 8s, allSharesHeld));
        }
    }
}

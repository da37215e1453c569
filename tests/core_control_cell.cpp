#include <catch2/catch.hpp>

#include "controlcell.h"
#include "core/lease.h"
#include "core/membership.h"
#include "core/propagation.h"

using namespace crocusreach;
using namespace crocusreach::controltest;

SCENARIO("a cell starts")
{
    GIVEN("seven instances that start together")
    {
        auto simulation = makeRunningCell({"a", "b", "c", "a", "b", "c", "a"});
        THEN("they join with few writes")
        {
            // Guards against members that all write an assignment for the same change.
            CHECK(simulation.store.writes <= 10);
        }
        AND_WHEN("nothing happens for ten minutes")
        {
            const auto writes = simulation.store.writes;
            const auto epoch = epochOf(simulation, 0);
            runFor(simulation, 600s);
            THEN("nothing is written")
            {
                CHECK(simulation.store.writes == writes);
                CHECK(epochOf(simulation, 0) == epoch);
                CHECK(isEveryShareHeld(simulation));
            }
            THEN("two members watch the configuration")
            {
                CHECK(simulation.store.watches.size() == 2);
            }
        }
        AND_WHEN("the configuration changes")
        {
            addUnrelatedChange(simulation);
            THEN("it is in force everywhere within a second")
            {
                CHECK(runUntilHolds(simulation, 1s, isNewestConfigurationInForce));
            }
        }
        AND_WHEN("the configuration changes while a member that others get it from is paused")
        {
            // Guards against a chain of sources that ends at a member that doesn't pass changes on.
            pauseNode(simulation, nodeByRank(simulation, 2), 1500ms);
            addUnrelatedChange(simulation);
            THEN("the members behind it in the chain get the change from others")
            {
                CHECK(runUntilHolds(simulation, 4s, isNewestConfigurationInForce));
            }
        }
        AND_WHEN("every watch is silent and the configuration changes")
        {
            for (auto &watch : simulation.store.watches)
                watch.silent = true;
            addUnrelatedChange(simulation);
            THEN("the periodic reads find it")
            {
                CHECK(runUntilHolds(simulation, 3s, isNewestConfigurationInForce));
                AND_THEN("new watches replace the silent ones")
                {
                    runFor(simulation, 2s);
                    const auto working = std::ranges::count_if(
                            simulation.store.watches,
                            [](const PendingWatch &watch) { return !watch.silent; });
                    CHECK(working == 2);
                }
            }
        }
        AND_WHEN("an instance leaves")
        {
            const auto leaving = nodeByRank(simulation, 3);
            deliver(simulation, leaving, StopRequested{});
            THEN("its shares are released and used elsewhere before its lease would have ended")
            {
                CHECK(runUntilHolds(simulation, 3s, [&](ControlSimulation &later) {
                    return !isMemberNow(later, leaving) && !canUseShares(later, leaving)
                           && isEveryShareHeld(later);
                }));
                CHECK(simulation.violation.empty());
            }
        }
        AND_WHEN("the member that writes assignments leaves")
        {
            deliver(simulation, nodeByRank(simulation, 0), StopRequested{});
            THEN("it removes itself")
            {
                CHECK(runUntilHolds(simulation, 3s, [&](ControlSimulation &later) {
                    return !isMemberNow(later, nodeByRank(later, 0)) && isEveryShareHeld(later);
                }));
            }
        }
        AND_WHEN("a leaf's slots are lowered")
        {
            auto changed = *simulation.store.configuration;
            auto &leaf = changed.services.front().leafs.front();
            leaf.slots = 3;
            const auto id = leaf.id;
            putConfiguration(simulation, changed);
            THEN("the new sizes are in use within seconds, and never with the old ones")
            {
                CHECK(runUntilHolds(simulation, 4s, [&](ControlSimulation &later) {
                    auto slots = 0;
                    for (const auto &usage : allUsages(later))
                        slots += usage.leaf == id ? usage.size.slots : 0;
                    return slots == 3 && isEveryShareHeld(later);
                }));
                CHECK(simulation.violation.empty());
            }
        }
        AND_WHEN("an instance restarts with a new incarnation")
        {
            const auto restarted = nodeByRank(simulation, 2);
            stopNode(simulation, restarted);
            startNode(simulation, restarted);
            runFor(simulation, 20ms);
            THEN("it holds nothing until it is a member again and has taken its shares over")
            {
                CHECK(!canUseShares(simulation, restarted));
                CHECK(runUntilHolds(simulation, 15s, [&](ControlSimulation &later) {
                    return isMemberNow(later, restarted) && canUseShares(later, restarted)
                           && isEveryShareHeld(later);
                }));
                CHECK(simulation.violation.empty());
            }
        }
        AND_WHEN("replies of the store are lost after writes took effect, and an instance dies")
        {
            simulation.store.lostReplyProbability = 1;
            const auto writes = simulation.store.writes;
            stopNode(simulation, nodeByRank(simulation, 5));
            runFor(simulation, 8s);
            simulation.store.lostReplyProbability = 0;
            THEN("the write is found by reading back and isn't repeated")
            {
                CHECK(runUntilHolds(simulation, 15s, isEveryShareHeld));
                CHECK(simulation.store.writes - writes <= 3);
                CHECK(!isMemberNow(simulation, nodeByRank(simulation, 5)));
            }
        }
    }
}

SCENARIO("failures and partitions, as in the table of the design page")
{
    auto simulation = makeRunningCell({"a", "b", "c", "a", "b", "c"});
    const auto victim = nodeByRank(simulation, 5);
    const auto epoch = epochOf(simulation, 0);

    GIVEN("the store is down for all")
    {
        simulation.store.down = true;
        runFor(simulation, 600s);
        THEN("all shares stay in use, renewed by peers, and no assignment changes")
        {
            CHECK(isEveryShareHeld(simulation));
            CHECK(epochOf(simulation, 0) == epoch);
        }
        AND_WHEN("a holder dies")
        {
            stopNode(simulation, victim);
            runFor(simulation, 60s);
            THEN("the others keep their shares, and its shares aren't taken over")
            {
                CHECK(epochOf(simulation, nodeByRank(simulation, 0)) == epoch);
                CHECK(canUseShares(simulation, nodeByRank(simulation, 0)));
                CHECK(!isEveryShareHeld(simulation));
            }
            AND_WHEN("the store comes back")
            {
                simulation.store.down = false;
                THEN("its shares are taken over")
                {
                    CHECK(runUntilHolds(simulation, 20s, isEveryShareHeld));
                }
            }
        }
        AND_WHEN("an instance starts")
        {
            const auto added = addNode(simulation, "new", "b");
            // To the new instance, this is a change that was accepted before the outage.
            addUnrelatedChange(simulation);
            startNode(simulation, added);
            runFor(simulation, 10s);
            THEN("it learns the state from peers, and holds no share")
            {
                CHECK(epochOf(simulation, added) == epoch);
                CHECK(revisionOf(simulation, added) == revisionOf(simulation, 0));
                CHECK(!canUseShares(simulation, added));
            }
        }
    }
    GIVEN("the store is down for one instance")
    {
        simulation.nodes[victim].cutFromStore = true;
        addUnrelatedChange(simulation);
        const auto leaver = nodeByRank(simulation, 3);
        deliver(simulation, leaver, StopRequested{});
        runFor(simulation, 30s);
        THEN("it keeps its shares, and learns new epochs and revisions from peers")
        {
            CHECK(canUseShares(simulation, victim));
            CHECK(epochOf(simulation, victim) > epoch);
            CHECK(epochOf(simulation, victim) == simulation.store.assignment->epoch);
            CHECK(revisionOf(simulation, victim) == simulation.store.configuration->revision);
        }
    }
    GIVEN("a holder is paused")
    {
        pauseNode(simulation, victim, 3500ms);
        runFor(simulation, 3s);
        THEN("its lease still runs, by its own clock, and nobody else uses its shares")
        {
            CHECK(canUseShares(simulation, victim));
        }
        AND_WHEN("the pause goes on past the lease")
        {
            pauseNode(simulation, victim, 20s);
            runFor(simulation, 2s);
            CHECK(!canUseShares(simulation, victim));
            CHECK(runUntilHolds(simulation, 12s, isEveryShareHeld));
            AND_WHEN("it resumes")
            {
                runFor(simulation, 8s);
                THEN("it joins again by a conditional update, and no share had two users")
                {
                    CHECK(runUntilHolds(simulation, 20s, [&](ControlSimulation &later) {
                        return isMemberNow(later, victim) && canUseShares(later, victim);
                    }));
                    CHECK(simulation.violation.empty());
                }
            }
        }
    }
    GIVEN("a holder has died")
    {
        stopNode(simulation, victim);
        runFor(simulation, 3900ms);
        THEN("its shares aren't used by others while its lease may last")
        {
            CHECK(!isEveryShareHeld(simulation));
        }
        THEN("its shares are used by others after the takeover")
        {
            CHECK(runUntilHolds(simulation, 8s, isEveryShareHeld));
            CHECK(simulation.violation.empty());
        }
    }
    GIVEN("two holders in different failure domains have died, and the instance list lags")
    {
        simulation.listLag = 30s;
        runFor(simulation, 60s);
        stopNode(simulation, nodeByRank(simulation, 4));
        stopNode(simulation, victim);
        REQUIRE(simulation.nodes[victim].member.domain
                != simulation.nodes[nodeByRank(simulation, 4)].member.domain);
        runFor(simulation, 25s);
        THEN("the takeover waits until the list shows that one of them has terminated")
        {
            CHECK(!isEveryShareHeld(simulation));
            CHECK(runUntilHolds(simulation, 15s, isEveryShareHeld));
            CHECK(simulation.violation.empty());
        }
    }
    GIVEN("a whole failure domain is lost, and the instance list is unreachable")
    {
        simulation.listDown = true;
        for (std::size_t index = 0; index < simulation.nodes.size(); ++index) {
            if (simulation.nodes[index].member.domain == domainId("b"))
                stopNode(simulation, index);
        }
        THEN("its shares are taken over without the list")
        {
            CHECK(runUntilHolds(simulation, 15s, isEveryShareHeld));
            CHECK(simulation.violation.empty());
        }
    }
    GIVEN("one instance is cut off from its peers but not from the store")
    {
        isolateNode(simulation, victim);
        runFor(simulation, 20s);
        THEN("the others remove it, and it stops using its shares though its process runs")
        {
            CHECK(!isMemberNow(simulation, victim));
            CHECK(!canUseShares(simulation, victim));
            CHECK(simulation.store.assignment->members.size() == 5);
            CHECK(isEveryShareHeld(simulation));
        }
        AND_WHEN("the network works again")
        {
            simulation.network.cut.clear();
            THEN("it joins again")
            {
                CHECK(runUntilHolds(simulation, 20s, [&](ControlSimulation &later) {
                    return isMemberNow(later, victim) && canUseShares(later, victim);
                }));
            }
        }
    }
    GIVEN("one instance is cut off from everything")
    {
        isolateNode(simulation, victim);
        simulation.nodes[victim].cutFromStore = true;
        runFor(simulation, 4100ms);
        THEN("it stops using its shares at the end of its lease")
        {
            CHECK(!canUseShares(simulation, victim));
        }
    }
    GIVEN("a failure domain is taken out by operators")
    {
        auto changed = *simulation.store.configuration;
        changed.domains[1].decision.state = DesiredState::Out;
        putConfiguration(simulation, changed);
        THEN("its instances hand over their shares within seconds and stay members")
        {
            CHECK(runUntilHolds(simulation, 5s, [](ControlSimulation &later) {
                return isEveryShareHeld(later)
                       && std::ranges::none_of(allUsages(later), [&](const Usage &usage) {
                              return later.nodes[usage.node].member.domain == domainId("b");
                          });
            }));
            CHECK(simulation.store.assignment->members.size() == 6);
            CHECK(simulation.violation.empty());
        }
    }
}

SCENARIO("a cell in one failure domain")
{
    auto simulation = makeRunningCell({"a", "a", "a"});
    GIVEN("the store is down")
    {
        simulation.store.down = true;
        runFor(simulation, 5s);
        THEN("no lease is renewed, since members of one failure domain don't renew each other")
        {
            for (std::size_t index = 0; index < simulation.nodes.size(); ++index)
                CHECK(!canUseShares(simulation, index));
        }
        AND_WHEN("it comes back")
        {
            simulation.store.down = false;
            CHECK(runUntilHolds(simulation, 8s, isEveryShareHeld));
        }
    }
}

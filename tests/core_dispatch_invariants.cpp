#include <catch2/catch.hpp>

#include "oneleaf.h"

#include <functional>
#include <map>

using namespace crocusreach;
using namespace crocusreach::test;

namespace {

std::map<Invariant, int> violations;

auto countViolation(Invariant invariant, std::string_view) -> void
{
    ++violations[invariant];
}

// Runs a story with one decision left out and returns how often the invariant was violated.
auto violationsWith(bool DispatchMutations::*mutation, Invariant invariant,
                    const std::function<void(HolderWorld &)> &story) -> int
{
    auto settings = DispatchSettings();
    settings.queueCapacity = 8;
    auto world = makeWorld({makeLeaf("leaf-1", "muar-a")}, shareSize, settings);
    warm(world, leafOf(world), "start-1");
    violations.clear();
    const auto former = setViolationHandler(&countViolation);
    world.state->mutations.*mutation = true;
    story(world);
    setViolationHandler(former);
    return violations[invariant];
}

auto manyRequests(HolderWorld &world) -> void
{
    giveRequests(world, 20);
}

auto lostReply(HolderWorld &world) -> void
{
    auto request = makeRequest(world, leafOf(world), 1s);
    request.idempotent = false;
    give(world, request);
    give(world,
         makeFailure(take<TargetSend>(world).at(0), Outcome::NotRun, Reason::ConnectionLost));
}

} // namespace

// Each mutation leaves out one decision: the assertion behind it must notice.
SCENARIO("each invariant of the holder trips when its decision is left out")
{
    using Mutations = DispatchMutations;
    GIVEN("no mutation")
    {
        CHECK(violationsWith(&Mutations::resendAlways, Invariant::SlotLimit, manyRequests) == 0);
    }
    GIVEN("slots are ignored")
    {
        CHECK(violationsWith(&Mutations::ignoreSlots, Invariant::SlotLimit, manyRequests) > 0);
    }
    GIVEN("connections are ignored")
    {
        const auto story = [](HolderWorld &world) {
            world.view.heldShares[0].size = {8, 8, 3};
            publish(world);
            giveRequests(world, 8);
        };
        CHECK(violationsWith(&Mutations::ignoreConnections, Invariant::ConnectionLimit, story) > 0);
    }
    GIVEN("cold slots are ignored")
    {
        const auto story = [](HolderWorld &world) {
            serveOne(world, leafOf(world), "start-2");
            giveRequests(world, 20);
        };
        CHECK(violationsWith(&Mutations::ignoreColdSlots, Invariant::ColdLimit, story) > 0);
    }
    GIVEN("the lease is ignored")
    {
        const auto story = [](HolderWorld &world) {
            world.view.leaseValidUntil = world.now + 10ms;
            publish(world);
            giveRequests(world, 1);
        };
        CHECK(violationsWith(&Mutations::ignoreLease, Invariant::NoDispatchWithoutLease, story)
              > 0);
    }
    GIVEN("the desired state is ignored")
    {
        const auto story = [](HolderWorld &world) {
            world.configuration.domains[0].decision.state = DesiredState::Out;
            publish(world);
            giveRequests(world, 1);
        };
        CHECK(violationsWith(&Mutations::ignoreOut, Invariant::NoWorkToFailureDomainOut, story)
              > 0);
    }
    GIVEN("leaving is ignored")
    {
        const auto story = [](HolderWorld &world) {
            world.view.leafListings[leafOf(world).id] = TargetListing::Leaving;
            publish(world);
            giveRequests(world, 1);
        };
        CHECK(violationsWith(&Mutations::ignoreLeaving, Invariant::NoWorkToLeavingTarget, story)
              > 0);
    }
    GIVEN("the capacity of the queue is ignored")
    {
        CHECK(violationsWith(&Mutations::ignoreQueueCapacity, Invariant::QueueBounded, manyRequests)
              > 0);
    }
    GIVEN("a failure is taken for a proof that a request did not run")
    {
        CHECK(violationsWith(&Mutations::trustNotRun, Invariant::NotRunIsProvable, lostReply) > 0);
    }
    GIVEN("a lost request is sent again without a proof")
    {
        CHECK(violationsWith(&Mutations::resendAlways, Invariant::AtMostOnce, lostReply) > 0);
    }
}

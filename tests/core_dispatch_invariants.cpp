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

// Runs a scenario with one decision disabled and returns how often the invariant was violated.
auto violationsWith(bool DispatchMutations::*mutation, Invariant invariant,
                    const std::function<void(HolderFixture &)> &scenario) -> int
{
    auto settings = DispatchSettings();
    settings.queueCapacity = 8;
    auto fixture = makeFixture({makeLeaf("leaf-1", "muar-a")}, shareSize, settings);
    warmUp(fixture, leafOf(fixture), "start-1");
    violations.clear();
    const auto former = setViolationHandler(&countViolation);
    fixture.state->mutations.*mutation = true;
    scenario(fixture);
    setViolationHandler(former);
    return violations[invariant];
}

auto sendManyRequests(HolderFixture &fixture) -> void
{
    deliverRequests(fixture, 20);
}

auto loseReply(HolderFixture &fixture) -> void
{
    auto request = makeRequest(fixture, leafOf(fixture), 1s);
    request.idempotent = false;
    deliver(fixture, request);
    deliver(fixture, makeFailure(takeActions<SendTargetRequest>(fixture).at(0), Outcome::NotRun,
                                 Reason::ConnectionLost));
}

} // namespace

// Guards against invariant checks that don't detect a violation. Each mutation disables one
// decision.
SCENARIO("each invariant of the holder is violated when its decision is disabled")
{
    using Mutations = DispatchMutations;
    GIVEN("no mutation")
    {
        CHECK(violationsWith(&Mutations::resendAlways, Invariant::SlotLimit, sendManyRequests)
              == 0);
    }
    GIVEN("slots are ignored")
    {
        CHECK(violationsWith(&Mutations::ignoreSlots, Invariant::SlotLimit, sendManyRequests) > 0);
    }
    GIVEN("connections are ignored")
    {
        const auto scenario = [](HolderFixture &fixture) {
            fixture.view.heldShares[0].size = {8, 8, 3};
            publishView(fixture);
            deliverRequests(fixture, 8);
        };
        CHECK(violationsWith(&Mutations::ignoreConnections, Invariant::ConnectionLimit, scenario)
              > 0);
    }
    GIVEN("cold slots are ignored")
    {
        const auto scenario = [](HolderFixture &fixture) {
            serveRequest(fixture, leafOf(fixture), "start-2");
            deliverRequests(fixture, 20);
        };
        CHECK(violationsWith(&Mutations::ignoreColdSlots, Invariant::ColdLimit, scenario) > 0);
    }
    GIVEN("the lease is ignored")
    {
        const auto scenario = [](HolderFixture &fixture) {
            fixture.view.leaseValidUntil = fixture.now + 10ms;
            publishView(fixture);
            deliverRequests(fixture, 1);
        };
        CHECK(violationsWith(&Mutations::ignoreLease, Invariant::NoDispatchWithoutLease, scenario)
              > 0);
    }
    GIVEN("the desired state is ignored")
    {
        const auto scenario = [](HolderFixture &fixture) {
            fixture.configuration.domains[0].decision.state = DesiredState::Out;
            publishView(fixture);
            deliverRequests(fixture, 1);
        };
        CHECK(violationsWith(&Mutations::ignoreOut, Invariant::NoWorkToFailureDomainOut, scenario)
              > 0);
    }
    GIVEN("the leaving state of a target is ignored")
    {
        const auto scenario = [](HolderFixture &fixture) {
            fixture.view.leafListings[leafOf(fixture).id] = TargetListing::Leaving;
            publishView(fixture);
            deliverRequests(fixture, 1);
        };
        CHECK(violationsWith(&Mutations::ignoreLeaving, Invariant::NoWorkToLeavingTarget, scenario)
              > 0);
    }
    GIVEN("the capacity of the queue is ignored")
    {
        CHECK(violationsWith(&Mutations::ignoreQueueCapacity, Invariant::QueueBounded,
                             sendManyRequests)
              > 0);
    }
    GIVEN("a failure is taken as proof that a request did not run")
    {
        CHECK(violationsWith(&Mutations::trustNotRun, Invariant::NotRunIsProvable, loseReply) > 0);
    }
    GIVEN("a lost request is resent without proof that it did not run")
    {
        CHECK(violationsWith(&Mutations::resendAlways, Invariant::AtMostOnce, loseReply) > 0);
    }
}

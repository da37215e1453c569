#include <catch2/catch.hpp>

#include "controlcell.h"
#include "core/lease.h"
#include "core/membership.h"
#include "core/propagation.h"

using namespace crocusreach;
using namespace crocusreach::controltest;

namespace {

// One control core that a test drives event by event: a member with two others in an assignment of
// epoch 5.
struct ControlFixture
{
    ControlSettings settings;
    ControlStatePtr state;
    TimePoint now = TimePoint(100s);
    Assignment assignment;
    Configuration configuration;
    ControlActions actions;
};

auto member(const std::string &name, const std::string &domain, std::uint64_t incarnation = 1)
        -> Member
{
    return {instanceId(name), Incarnation{incarnation}, name, name + ":1", domainId(domain)};
}

auto deliver(ControlFixture &fixture, const ControlEvent &event) -> void
{
    fixture.actions.clear();
    handle(*fixture.state, event, fixture.now, fixture.actions);
}

template <typename Action>
auto actionsOf(const ControlFixture &fixture) -> std::vector<Action>
{
    auto found = std::vector<Action>();
    for (const auto &action : fixture.actions) {
        if (const auto *wanted = std::get_if<Action>(&action))
            found.push_back(*wanted);
    }
    return found;
}

auto makeControlFixture() -> ControlFixture
{
    auto fixture = ControlFixture();
    fixture.settings.self = member("self", "a");
    fixture.settings.cell = "cell";
    fixture.state = makeControlState(fixture.settings);
    fixture.configuration = controltest::makeConfiguration(6, 6, 4, domainNames);
    fixture.configuration.revision = Revision{7};
    auto former = Assignment();
    former.cell = "cell";
    former.epoch = Epoch{4};
    auto members
            = std::vector<Member>{member("self", "a"), member("near", "a"), member("far", "b")};
    std::ranges::sort(members, {}, &Member::id);
    fixture.assignment = assignShares(former, members, fixture.configuration);
    deliver(fixture, FetchedState{instanceId("far"),
                                  std::make_shared<const Configuration>(fixture.configuration),
                                  std::make_shared<const Assignment>(fixture.assignment)});
    return fixture;
}

auto makeHeartbeatFrom(const Member &from, Epoch epoch) -> Heartbeat
{
    auto state = Heartbeat();
    state.from = from;
    state.epoch = epoch;
    state.revision = Revision{7};
    return state;
}

auto leaseValidUntilOf(const ControlFixture &fixture) -> TimePoint
{
    return currentView(*fixture.state)->leaseValidUntil;
}

// Sends the next round of heartbeats and returns the time that they carry.
auto sendHeartbeatRound(ControlFixture &fixture) -> TimePoint
{
    fixture.now += 500ms;
    deliver(fixture, Tick{});
    REQUIRE(!actionsOf<SendHeartbeat>(fixture).empty());
    return actionsOf<SendHeartbeat>(fixture).front().heartbeat.sentAt;
}

// Waits for a read of the assignment and returns it.
auto awaitAssignmentRead(ControlFixture &fixture) -> StoreCall
{
    for (auto attempt = 0; attempt < 20; ++attempt) {
        fixture.now += 100ms;
        deliver(fixture, Tick{});
        for (const auto &call : actionsOf<StoreCall>(fixture)) {
            if (call.operation == StoreOperation::Read && call.kind == StateKind::Assignment)
                return call;
        }
    }
    FAIL("the assignment isn't read");
    return {};
}

} // namespace

SCENARIO("replies of peers and of the store renew a share lease")
{
    GIVEN("a member that has sent heartbeats")
    {
        auto fixture = makeControlFixture();
        const auto sentAt = sendHeartbeatRound(fixture);
        CHECK(leaseValidUntilOf(fixture) < fixture.now);
        WHEN("a member in another failure domain answers with the same epoch after a pause")
        {
            // Guards against a paused holder that counts a lease from the time of the reply.
            fixture.now += 3s;
            deliver(fixture,
                    HeartbeatReply{makeHeartbeatFrom(member("far", "b"), Epoch{5}), sentAt});
            THEN("the lease runs from the time of sending")
            {
                CHECK(leaseValidUntilOf(fixture) == sentAt + fixture.settings.leaseTime);
                CHECK(!actionsOf<PublishView>(fixture).empty());
            }
        }
        WHEN("a member in the same failure domain answers")
        {
            deliver(fixture,
                    HeartbeatReply{makeHeartbeatFrom(member("near", "a"), Epoch{5}), sentAt});
            THEN("nothing is renewed")
            {
                CHECK(leaseValidUntilOf(fixture) < fixture.now);
            }
        }
        WHEN("the answer shows an older epoch")
        {
            deliver(fixture,
                    HeartbeatReply{makeHeartbeatFrom(member("far", "b"), Epoch{4}), sentAt});
            CHECK(leaseValidUntilOf(fixture) < fixture.now);
        }
        WHEN("the answer shows a newer epoch")
        {
            deliver(fixture,
                    HeartbeatReply{makeHeartbeatFrom(member("far", "b"), Epoch{6}), sentAt});
            THEN("nothing is renewed and the newer assignment is fetched")
            {
                CHECK(leaseValidUntilOf(fixture) < fixture.now);
                REQUIRE(actionsOf<SendFetchState>(fixture).size() == 1);
                CHECK(actionsOf<SendFetchState>(fixture).front().fetch.kind
                      == StateKind::Assignment);
            }
        }
        WHEN("another incarnation of the member answers")
        {
            deliver(fixture,
                    HeartbeatReply{makeHeartbeatFrom(member("far", "b", 2), Epoch{5}), sentAt});
            CHECK(leaseValidUntilOf(fixture) < fixture.now);
        }
        WHEN("an instance that isn't a member answers")
        {
            deliver(fixture,
                    HeartbeatReply{makeHeartbeatFrom(member("stranger", "c"), Epoch{5}), sentAt});
            CHECK(leaseValidUntilOf(fixture) < fixture.now);
        }
        WHEN("the answer echoes a time at which no heartbeat was sent")
        {
            // Guards against a reply to a former incarnation of this instance, which ran on another
            // host's clock.
            deliver(fixture, HeartbeatReply{makeHeartbeatFrom(member("far", "b"), Epoch{5}),
                                            sentAt + 100ms});
            CHECK(leaseValidUntilOf(fixture) < fixture.now);
        }
        WHEN("the same answer arrives twice")
        {
            const auto reply
                    = HeartbeatReply{makeHeartbeatFrom(member("far", "b"), Epoch{5}), sentAt};
            deliver(fixture, reply);
            fixture.now += 1s;
            deliver(fixture, reply);
            CHECK(leaseValidUntilOf(fixture) == sentAt + fixture.settings.leaseTime);
        }
    }
    GIVEN("a member that reads the assignment from the store")
    {
        auto fixture = makeControlFixture();
        const auto call = awaitAssignmentRead(fixture);
        const auto startedAt = fixture.now;
        auto reply = StoreReply{call.callId, StoreStatus::Ok, 5, nullptr,
                                std::make_shared<const Assignment>(fixture.assignment)};
        WHEN("the store shows the epoch after a pause")
        {
            // Guards against a paused holder that counts a lease from the time of the reply.
            fixture.now += 1400ms;
            deliver(fixture, reply);
            THEN("the lease runs from the start of the read")
            {
                CHECK(leaseValidUntilOf(fixture) == startedAt + fixture.settings.leaseTime);
            }
        }
        WHEN("the store shows an older epoch")
        {
            auto older = fixture.assignment;
            older.epoch = Epoch{4};
            reply.version = 4;
            reply.assignment = std::make_shared<const Assignment>(older);
            deliver(fixture, reply);
            THEN("nothing is renewed and the epoch doesn't decrease")
            {
                CHECK(leaseValidUntilOf(fixture) < fixture.now);
                CHECK(currentView(*fixture.state)->assignment->epoch == Epoch{5});
            }
        }
        WHEN("the store says that nothing is newer")
        {
            CHECK(call.version == 5);
            fixture.now += 300ms;
            deliver(fixture,
                    StoreReply{call.callId, StoreStatus::NotModified, 5, nullptr, nullptr});
            THEN("that confirms the epoch too")
            {
                CHECK(leaseValidUntilOf(fixture) == startedAt + fixture.settings.leaseTime);
            }
        }
        WHEN("the store says so of an epoch that is no longer the instance's newest")
        {
            auto newer = fixture.assignment;
            newer.epoch = Epoch{6};
            deliver(fixture, FetchedState{instanceId("far"), nullptr,
                                          std::make_shared<const Assignment>(newer)});
            deliver(fixture,
                    StoreReply{call.callId, StoreStatus::NotModified, 5, nullptr, nullptr});
            CHECK(leaseValidUntilOf(fixture) < fixture.now);
        }
        WHEN("the call times out")
        {
            deliver(fixture, StoreReply{call.callId, StoreStatus::Unknown, 0, nullptr, nullptr});
            THEN("the store counts as unreachable and calls back off")
            {
                CHECK(!currentView(*fixture.state)->storeReachable);
                fixture.now += 100ms;
                deliver(fixture, Tick{});
                CHECK(actionsOf<StoreCall>(fixture).empty());
            }
        }
    }
}

SCENARIO("a state is never replaced by an older one")
{
    // Guards against a slow peer or a late reply that reverts an accepted change.
    auto fixture = makeControlFixture();
    GIVEN("an older configuration and an older assignment from a peer")
    {
        auto configuration = fixture.configuration;
        configuration.revision = Revision{6};
        auto assignment = fixture.assignment;
        assignment.epoch = Epoch{4};
        deliver(fixture, FetchedState{instanceId("far"),
                                      std::make_shared<const Configuration>(configuration),
                                      std::make_shared<const Assignment>(assignment)});
        THEN("both stay")
        {
            CHECK(currentView(*fixture.state)->configuration->revision == Revision{7});
            CHECK(currentView(*fixture.state)->assignment->epoch == Epoch{5});
        }
    }
    GIVEN("a newer assignment of another cell")
    {
        auto assignment = fixture.assignment;
        assignment.cell = "other";
        assignment.epoch = Epoch{9};
        deliver(fixture, FetchedState{instanceId("far"), nullptr,
                                      std::make_shared<const Assignment>(assignment)});
        THEN("it isn't applied, since cells don't span regions")
        {
            CHECK(currentView(*fixture.state)->assignment->epoch == Epoch{5});
        }
    }
}

SCENARIO("the store doesn't answer")
{
    // Guards against instances that overload a recovering store with repeated calls.
    GIVEN("a member whose calls all fail for a minute")
    {
        auto fixture = makeControlFixture();
        auto calls = 0;
        for (auto step = 0; step < 600; ++step) {
            fixture.now += 100ms;
            deliver(fixture, Tick{});
            for (const auto &call : actionsOf<StoreCall>(fixture)) {
                ++calls;
                deliver(fixture,
                        StoreReply{call.callId, StoreStatus::Unknown, 0, nullptr, nullptr});
            }
        }
        THEN("it backs off to about one round of calls in five seconds")
        {
            CHECK(calls > 5);
            CHECK(calls < 50);
        }
    }
}

SCENARIO("configurations come from one peer")
{
    auto propagation = Propagation();
    propagation.configuration = std::make_shared<const Configuration>();
    propagation.assignment = std::make_shared<const Assignment>();
    const auto now = TimePoint(100s);
    auto actions = ControlActions();
    const auto offer = [&](bool fromSource, TimePoint time) {
        actions.clear();
        pullNewerState(propagation, makeHeartbeatFrom(member("far", "b"), Epoch{0}),
                       instanceId("self"), fromSource, time, actions);
        return actions.size();
    };
    SECTION("the source is asked at once, and again only after the pull timeout")
    {
        CHECK(offer(true, now) == 1);
        CHECK(offer(true, now + 500ms) == 0);
        CHECK(offer(true, now + 1s) == 1);
    }
    SECTION("another peer is asked when the source doesn't offer the revision")
    {
        // Guards against a source that is reachable but can't get the new revision itself.
        CHECK(offer(false, now) == 0);
        CHECK(offer(false, now + 500ms) == 0);
        CHECK(offer(false, now + 1s) == 1);
    }
}

SCENARIO("an assignment isn't proposed from an old configuration")
{
    // Guards against a placement that gives leafs their former limits again.
    const auto writesWithPeerAt = [](Revision revision) {
        auto fixture = makeControlFixture();
        auto writes = std::size_t{0};
        for (auto step = 0; step < 60; ++step) {
            fixture.now += 100ms;
            auto state = makeHeartbeatFrom(member("far", "b"), Epoch{5});
            state.revision = revision;
            deliver(fixture, state);
            for (const auto &call : actionsOf<StoreCall>(fixture)) {
                writes += call.operation == StoreOperation::Write ? 1 : 0;
                if (call.operation == StoreOperation::Read)
                    deliver(fixture, StoreReply{call.callId, StoreStatus::NotModified, call.version,
                                                nullptr, nullptr});
            }
            state = makeHeartbeatFrom(member("near", "a"), Epoch{5});
            state.leaving = true;
            deliver(fixture, state);
        }
        return writes;
    };
    GIVEN("a member that leaves")
    {
        THEN("a new assignment is written")
        {
            CHECK(writesWithPeerAt(Revision{7}) > 0);
        }
        THEN("but not while a peer reports a configuration that the instance doesn't know")
        {
            CHECK(writesWithPeerAt(Revision{8}) == 0);
        }
    }
}

SCENARIO("a heartbeat is answered with the newest epoch known")
{
    auto fixture = makeControlFixture();
    deliver(fixture, makeHeartbeatFrom(member("far", "b"), Epoch{4}));
    REQUIRE(actionsOf<SendHeartbeatReply>(fixture).size() == 1);
    CHECK(actionsOf<SendHeartbeatReply>(fixture).front().reply.state.epoch == Epoch{5});
}

SCENARIO("shares are kept, lost and taken over")
{
    auto fixture = makeControlFixture();
    auto lease = Lease();
    lease.self = fixture.settings.self.id;
    lease.incarnation = fixture.settings.self.incarnation;
    auto membership = Membership();
    membership.self = lease.self;
    membership.selfIncarnation = lease.incarnation;
    membership.suspectAfter = 2s;
    const auto now = TimePoint(100s);
    const auto wait = fixture.settings.leaseTime + fixture.settings.clockDrift;
    const auto advance = [&](const Assignment &assignment, TimePoint time) {
        return advanceTakeover(lease, assignment, membership, fixture.settings, time);
    };
    const auto acknowledge = [&](const Member &from, Epoch epoch) {
        recordHeartbeat(membership, makeHeartbeatFrom(from, epoch), now);
    };

    GIVEN("an assignment that names a former incarnation, or one that isn't a member, as holder")
    {
        // Guards against a restarted instance that goes on using the shares of its former
        // incarnation, and against shares of an incarnation that isn't a member.
        lease.incarnation = Incarnation{2};
        adoptShares(lease, nullptr, fixture.assignment, fixture.settings);
        CHECK(lease.shares.empty());
        auto stale = fixture.assignment;
        for (auto &share : stale.shares)
            share.holderIncarnation = Incarnation{2};
        adoptShares(lease, nullptr, stale, fixture.settings);
        CHECK(lease.shares.empty());
    }
    GIVEN("shares that nobody held before")
    {
        adoptShares(lease, nullptr, fixture.assignment, fixture.settings);
        REQUIRE(!lease.shares.empty());
        WHEN("voters in two failure domains know nothing of the epoch")
        {
            acknowledge(member("near", "a"), Epoch{4});
            acknowledge(member("far", "b"), Epoch{4});
            advance(fixture.assignment, now);
            THEN("no wait starts")
            {
                CHECK(!advance(fixture.assignment, now + 1h));
                CHECK(heldShares(lease).empty());
            }
        }
        WHEN("only voters in one failure domain are unaware of it")
        {
            acknowledge(member("near", "a"), Epoch{5});
            advance(fixture.assignment, now);
            THEN("the shares are held after the lease time and the drift")
            {
                CHECK(!advance(fixture.assignment, now + wait - 1us));
                CHECK(heldShares(lease).empty());
                CHECK(advance(fixture.assignment, now + wait));
                CHECK(heldShares(lease).size() == lease.shares.size());
            }
        }
        WHEN("a retired member in a second failure domain is unaware of it")
        {
            // Guards against a removed member that still runs and renews the leases of others.
            fixture.assignment.retired.push_back(member("removed", "c"));
            acknowledge(member("near", "a"), Epoch{5});
            advance(fixture.assignment, now);
            THEN("the wait starts only when it acknowledges the epoch")
            {
                CHECK(!advance(fixture.assignment, now + 1h));
                acknowledge(member("removed", "c"), Epoch{5});
                advance(fixture.assignment, now + 1h);
                CHECK(advance(fixture.assignment, now + 1h + wait));
            }
        }
    }
    GIVEN("shares that are taken over, and the next epoch moves one of them")
    {
        adoptShares(lease, nullptr, fixture.assignment, fixture.settings);
        acknowledge(member("far", "b"), Epoch{5});
        acknowledge(member("near", "a"), Epoch{5});
        advance(fixture.assignment, now);
        REQUIRE(advance(fixture.assignment, now + wait));
        renewLease(lease, now + wait);
        const auto count = lease.shares.size();
        auto next = fixture.assignment;
        next.epoch = Epoch{6};
        auto &moved = *std::ranges::find(next.shares, lease.self, &Share::holder);
        moved.formerHolder = lease.self;
        moved.formerIncarnation = lease.incarnation;
        moved.holder = instanceId("near");
        moved.since = next.epoch;
        WHEN("the instance learns of it")
        {
            adoptShares(lease, &fixture.assignment, next, fixture.settings);
            advance(next, now + wait);
            THEN("the other shares stay in use")
            {
                CHECK(heldShares(lease).size() == count - 1);
            }
            THEN("the lost one is reported as released when the lease it was used under has ended")
            {
                CHECK(lease.drainedEpoch < Epoch{6});
                advance(next, now + 2 * wait - 1us);
                CHECK(lease.drainedEpoch < Epoch{6});
                advance(next, now + 2 * wait);
                CHECK(lease.drainedEpoch == Epoch{6});
            }
            THEN("the lost one is reported as released at once when its requests have ended")
            {
                CHECK(lease.drainedEpoch < Epoch{6});
                lease.dispatchDrainedEpoch = Epoch{6};
                advance(next, now + wait);
                CHECK(lease.drainedEpoch == Epoch{6});
            }
        }
        WHEN("the instance missed an epoch in between")
        {
            // Guards against the release of a share that another instance held in the missed epoch.
            next.epoch = Epoch{7};
            adoptShares(lease, &fixture.assignment, next, fixture.settings);
            lease.dispatchDrainedEpoch = Epoch{7};
            advance(next, now + wait);
            THEN("it reports nothing as released before older leases have ended")
            {
                CHECK(lease.drainedEpoch < Epoch{7});
                acknowledge(member("far", "b"), Epoch{7});
                advance(next, now + wait);
                advance(next, now + 2 * wait);
                CHECK(lease.drainedEpoch == Epoch{7});
            }
        }
    }
    GIVEN("shares that move again before their takeover is complete")
    {
        adoptShares(lease, nullptr, fixture.assignment, fixture.settings);
        acknowledge(member("near", "a"), Epoch{5});
        auto next = fixture.assignment;
        next.epoch = Epoch{6};
        for (auto &share : next.shares) {
            if (share.holder == lease.self) {
                share.formerHolder = lease.self;
                share.formerIncarnation = lease.incarnation;
                share.holder = instanceId("near");
                share.since = next.epoch;
            }
        }
        adoptShares(lease, &fixture.assignment, next, fixture.settings);
        lease.dispatchDrainedEpoch = Epoch{6};
        advance(next, now);
        THEN("their holder doesn't report them as released, since it doesn't know who used them "
             "before")
        {
            CHECK(lease.drainedEpoch < Epoch{6});
        }
    }
    GIVEN("shares that moved here from a member that still runs")
    {
        auto next = fixture.assignment;
        next.epoch = Epoch{6};
        for (auto &share : next.shares) {
            share.holder = lease.self;
            share.holderIncarnation = lease.incarnation;
            share.formerHolder = instanceId("far");
            share.formerIncarnation = Incarnation{1};
            share.since = next.epoch;
        }
        adoptShares(lease, &fixture.assignment, next, fixture.settings);
        WHEN("it reports them as released")
        {
            auto state = makeHeartbeatFrom(member("far", "b"), Epoch{6});
            state.drainedEpoch = Epoch{6};
            recordHeartbeat(membership, state, now);
            THEN("they are used at once")
            {
                CHECK(advance(next, now));
                CHECK(heldShares(lease).size() == next.shares.size());
            }
        }
        WHEN("its next incarnation reports that it has released everything")
        {
            auto state = makeHeartbeatFrom(member("far", "b", 2), Epoch{6});
            state.drainedEpoch = Epoch{6};
            recordHeartbeat(membership, state, now);
            THEN("that says nothing of the former incarnation's shares")
            {
                CHECK(!advance(next, now));
            }
        }
    }
}

SCENARIO("the instance list lags behind the actual state")
{
    auto membership = Membership();
    membership.self = instanceId("self");
    membership.suspectAfter = 2s;
    const auto now = TimePoint(1000s);
    const auto peer = member("peer", "b", 2);
    addPeer(membership, peer, now);
    const auto isTerminated
            = [&] { return findPeer(membership, peer.id, peer.incarnation)->terminated; };
    const auto entry = [&](std::uint64_t incarnation) {
        return std::vector<ListedInstance>{
                {peer.name, peer.address, Incarnation{incarnation}, false}};
    };
    const auto none = std::vector<ListedInstance>();

    SECTION("an instance that was listed and is absent now has terminated")
    {
        recordInstanceList(membership, entry(2), now);
        CHECK(!isTerminated());
        recordInstanceList(membership, none, now + 2s);
        CHECK(isTerminated());
    }
    SECTION("an instance that isn't listed yet hasn't terminated")
    {
        recordInstanceList(membership, none, now);
        CHECK(!isTerminated());
        SECTION("but counts as terminated after a minute")
        {
            for (auto time = now; time <= now + 60s; time += 2s)
                recordInstanceList(membership, none, time);
            CHECK(isTerminated());
        }
        SECTION("unless the list wasn't read in between")
        {
            recordInstanceList(membership, none, now + 60s);
            CHECK(!isTerminated());
        }
    }
    SECTION("an absent instance that still sends heartbeats hasn't terminated")
    {
        recordInstanceList(membership, entry(2), now);
        recordHeartbeat(membership, makeHeartbeatFrom(peer, Epoch{1}), now + 1s);
        recordInstanceList(membership, none, now + 2s);
        CHECK(!isTerminated());
    }
    SECTION("the removal of a former incarnation's entry says nothing of the present one")
    {
        recordInstanceList(membership, entry(1), now);
        recordInstanceList(membership, none, now + 2s);
        CHECK(!isTerminated());
    }
    SECTION("an entry without incarnation may be the former one's for as long as the list lags")
    {
        recordInstanceList(membership, entry(0), now + 10s);
        recordInstanceList(membership, none, now + 12s);
        CHECK(!isTerminated());
        recordInstanceList(membership, entry(0), now + 61s);
        recordInstanceList(membership, none, now + 63s);
        CHECK(isTerminated());
    }
    SECTION("an instance has terminated once a newer incarnation runs at its address")
    {
        SECTION("as the list shows")
        {
            recordInstanceList(membership, entry(3), now);
            CHECK(isTerminated());
        }
        SECTION("as a heartbeat shows")
        {
            recordHeartbeat(membership, makeHeartbeatFrom(member("peer", "b", 3), Epoch{1}), now);
            CHECK(isTerminated());
        }
    }
    SECTION("a newer incarnation at another address supersedes an instance that may still run")
    {
        auto moved = member("peer", "b", 3);
        moved.address = "elsewhere:1";
        recordHeartbeat(membership, makeHeartbeatFrom(moved, Epoch{1}), now);
        CHECK(!isTerminated());
        CHECK(isSuperseded(membership, *findPeer(membership, peer.id, peer.incarnation)));
    }
    SECTION("an instance that was paused suspects no peer at once")
    {
        recordHeartbeat(membership, makeHeartbeatFrom(peer, Epoch{1}), now);
        recordTime(membership, now);
        recordTime(membership, now + 30s);
        const auto &found = *findPeer(membership, peer.id, peer.incarnation);
        CHECK(!isSuspected(membership, found, now + 30s));
        CHECK(isSuspected(membership, found, now + 32s + 1us));
    }
}

SCENARIO("targets in the instance list")
{
    auto fixture = makeControlFixture();
    const auto &leaf = fixture.configuration.services.front().leafs.front();
    deliver(fixture, InstanceListReply{true, {{"leaf-0", leaf.address, {}, true}}});
    THEN("the view shows a leaf that is leaving")
    {
        CHECK(currentView(*fixture.state)->leafListings.at(leaf.id) == TargetListing::Leaving);
        CHECK(!actionsOf<PublishView>(fixture).empty());
    }
    WHEN("the list can't be read")
    {
        deliver(fixture, InstanceListReply{});
        THEN("the last one is kept")
        {
            CHECK(currentView(*fixture.state)->leafListings.contains(leaf.id));
        }
    }
}

#include <catch2/catch.hpp>

#include "core/storereader.h"
#include "forwarderfixture.h"

#include <algorithm>
#include <map>

using namespace crocusreach;
using namespace crocusreach::forward;
using namespace std::chrono_literals;

using tests::ForwarderFixture;
using tests::singleRoute;

namespace {

// A store reader whose source the test plays.
struct ReaderFixture
{
    ReaderFixture()
    {
        startReading(this->reader, {"front-1", {}, true}, this->now, this->actions);
        for (const auto channel :
             {Channel::Routes, Channel::Evacuations, Channel::Leafs, Channel::Instances})
            this->reply(channel, ObjectsListed{{}, {}, 10});
        this->advanceTime(1500ms);
        this->actions.clear();
    }

    auto reply(Channel channel, StoreReplyContent content) -> void
    {
        this->deliver(StoreReply{channel, std::move(content), {}});
    }

    auto deliver(const StoreEvent &event) -> void
    {
        handle(this->reader, event, this->now, this->actions);
    }

    auto advanceTime(Duration time) -> void
    {
        this->now += time;
        this->deliver(StoreReaderTick());
    }

    // The calls since they were last taken, by channel.
    auto takeCalls() -> std::map<Channel, StoreCall>
    {
        auto calls = std::map<Channel, StoreCall>();
        for (const auto &action : this->actions) {
            if (const auto *const call = std::get_if<StoreCall>(&action))
                calls.insert_or_assign(call->channel, *call);
        }
        std::erase_if(this->actions, [](const StoreReaderAction &action) {
            return std::holds_alternative<StoreCall>(action);
        });
        return calls;
    }

    template <typename Event>
    auto hasEvent() const -> bool
    {
        return std::any_of(this->actions.begin(), this->actions.end(), [](const auto &action) {
            const auto *const event = std::get_if<ForwardEvent>(&action);
            return event != nullptr && std::holds_alternative<Event>(*event);
        });
    }

    StoreReader reader;
    TimePoint now = TimePoint(1h);
    std::vector<StoreReaderAction> actions;
};

constexpr auto pauseLength = 10s;

} // namespace

// Guards against a process that goes on with what it knew before a pause.
SCENARIO("the reader of the store after a pause of the process")
{
    auto fixture = ReaderFixture();
    recordRelayCall(fixture.reader, fixture.now);
    fixture.advanceTime({});
    fixture.reply(Channel::Probe, CallSucceeded());
    REQUIRE(*storeAge(fixture.reader, ObjectKind::Leafs, fixture.now) < 100ms);
    fixture.takeCalls();
    fixture.now += pauseLength;
    fixture.deliver(ReaderResumed());
    THEN("it drops the calls of before and asks for all changes at once")
    {
        const auto calls = fixture.takeCalls();
        for (const auto channel : {Channel::Routes, Channel::Evacuations, Channel::Leafs}) {
            const auto &watch = std::get<WatchObjects>(calls.at(channel).request);
            CHECK(watch.revision == 10);
            CHECK(watch.maxWait <= 10ms);
        }
        CHECK(fixture.hasEvent<StateUnconfirmed>());
    }
    WHEN("another call to the store is answered first")
    {
        fixture.advanceTime({});
        fixture.reply(Channel::Probe, CallSucceeded());
        THEN("instances that read from this one are told that its copy is old")
        {
            CHECK(*storeAge(fixture.reader, ObjectKind::Leafs, fixture.now) >= pauseLength);
            CHECK(*storeAge(fixture.reader, ObjectKind::Evacuations, fixture.now) >= pauseLength);
        }
    }
    WHEN("the store has confirmed some kinds of objects")
    {
        fixture.reply(Channel::Routes, ObjectsChanged{{}, 10});
        fixture.reply(Channel::Leafs, ObjectsChanged{{}, 10});
        CHECK_FALSE(fixture.hasEvent<StateConfirmed>());
        AND_WHEN("it has confirmed the last one")
        {
            fixture.reply(Channel::Evacuations, ObjectsChanged{{}, 12});
            THEN("the state counts as confirmed")
            {
                CHECK(fixture.hasEvent<StateConfirmed>());
                CHECK(*storeAge(fixture.reader, ObjectKind::Leafs, fixture.now) < 100ms);
            }
        }
    }
}

// Guards against a relay that states how recently the store answered some call, while the copy that
// it passes on is old.
SCENARIO("a relay's copy of the leafs is old though the store answers its probes")
{
    auto fixture = ReaderFixture();
    for (auto second = 0; second < 6; ++second) {
        fixture.advanceTime(1s);
        recordRelayCall(fixture.reader, fixture.now);
        fixture.advanceTime({});
        fixture.reply(Channel::Probe, CallSucceeded());
        fixture.reply(Channel::Routes, ObjectsChanged{{}, 10});
    }
    CHECK(*storeAge(fixture.reader, ObjectKind::Leafs, fixture.now) > 6s);
    CHECK(*storeAge(fixture.reader, ObjectKind::Routes, fixture.now) < 100ms);
}

SCENARIO("the forwarder after a pause of the process")
{
    auto fixture = ForwarderFixture();
    fixture.addLeaf("ledger", "a");
    fixture.addLeaf("ledger", "b", "muar-b");
    fixture.setRoute(singleRoute(true));
    GIVEN("a request that was in progress, and whose leaf failed during the pause")
    {
        const auto call = fixture.receiveRequest(30s);
        const auto sends = fixture.takeSends();
        REQUIRE(sends.size() == 1);
        fixture.deliver(StateUnconfirmed());
        fixture.deliver(SendFailed{sends[0].send, SendFailure::Lost});
        THEN("it isn't sent again before the state is confirmed")
        {
            CHECK(fixture.takeSends().empty());
            fixture.removeLeaf("b");
            fixture.deliver(StateConfirmed());
            for (const auto &send : fixture.takeSends())
                CHECK(send.leafId == "a");
            CHECK(fixture.answerOf(call) == nullptr);
        }
    }
    GIVEN("a request that arrives after the pause")
    {
        fixture.deliver(StateUnconfirmed());
        const auto call = fixture.receiveRequest();
        CHECK(fixture.takeSends().empty());
        WHEN("the leaf that it would have gone to has left meanwhile")
        {
            fixture.removeLeaf("a");
            fixture.deliver(StateConfirmed());
            THEN("it goes to the other one")
            {
                const auto sends = fixture.takeSends();
                REQUIRE(sends.size() == 1);
                CHECK(sends[0].leafId == "b");
            }
        }
        WHEN("the store doesn't answer")
        {
            fixture.advanceTime(250ms);
            THEN("it is served by what was known before")
            {
                CHECK(fixture.takeSends().size() == 1);
                CHECK(fixture.answerOf(call) == nullptr);
            }
        }
    }
    GIVEN("a request that may have waited unread until its caller's time was over")
    {
        const auto receive = [&fixture] {
            auto request = ForwardRequest();
            request.id = "waited";
            request.host = "a.example";
            request.target = "/all/1";
            request.timeLeft = 800ms;
            request.maxUnreadTime = 3s;
            const auto call = CallId(++fixture.lastCall);
            fixture.deliver(RequestArrived{call, std::make_shared<const ForwardRequest>(request)});
            return call;
        };
        WHEN("it must not be repeated")
        {
            fixture.setRoute(singleRoute(false));
            const auto call = receive();
            THEN("it is refused as not run")
            {
                CHECK(fixture.takeSends().empty());
                CHECK(fixture.answerAs<LocalAnswer>(call)->status == LocalStatus::NotRun);
            }
        }
        WHEN("it may be repeated")
        {
            receive();
            THEN("it is served, since its caller may still wait")
            {
                CHECK(fixture.takeSends().size() == 1);
            }
        }
    }
}

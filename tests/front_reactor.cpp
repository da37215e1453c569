#include <catch2/catch.hpp>

#include "base/clock.h"
#include "front/reactor.h"

#include <optional>
#include <thread>

using namespace crocusreach;

SCENARIO("a timer ends with its handle")
{
    const auto context = MainContextPtr(g_main_context_new());
    auto reactor = Reactor(context.get());
    auto asked = 0;
    auto woken = 0;
    const auto due = [&asked, past = decisionNow()] {
        ++asked;
        return std::optional(past);
    };
    const auto turn = [&context] { g_main_context_iteration(context.get(), FALSE); };
    auto first = std::optional<TimerHandle>();
    GIVEN("a timer that is always due")
    {
        first.emplace(reactor.addTimer(due, [&woken] { ++woken; }));
        turn();
        CHECK(woken == 1);
        THEN("it isn't asked for its time once its handle is gone")
        {
            // Guards against a loop that asks an object for its next time after its end.
            first.reset();
            asked = 0;
            turn();
            CHECK(asked == 0);
            CHECK(woken == 1);
        }
    }
    GIVEN("two timers, of which the first one ends itself and the other one")
    {
        auto second = std::optional<TimerHandle>();
        first.emplace(reactor.addTimer(due, [&] {
            ++woken;
            second.reset();
            first.reset();
        }));
        second.emplace(reactor.addTimer(due, [&woken] { ++woken; }));
        THEN("neither is called again, in the same turn or later")
        {
            turn();
            turn();
            CHECK(woken == 1);
        }
    }
}

SCENARIO("a loop notices that its process was paused or held up")
{
    const auto context = MainContextPtr(g_main_context_new());
    auto reactor = Reactor(context.get());
    auto resumed = 0;
    reactor.onResume([&resumed] { ++resumed; });
    const auto turn = [&context] { g_main_context_iteration(context.get(), TRUE); };
    reactor.post([] {}); // so that the first turn takes place at once
    turn();
    THEN("turns without anything to do follow each other often enough to tell")
    {
        turn();
        turn();
        CHECK(resumed == 0);
        CHECK(reactor.inputAge() == Duration());
    }
    WHEN("the next turn comes late")
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(1800));
        auto ageSeen = Duration();
        reactor.post([&] { ageSeen = reactor.inputAge(); });
        turn();
        THEN("this is told before anything else, and input may have come at any time since")
        {
            CHECK(resumed == 1);
            CHECK(ageSeen >= std::chrono::milliseconds(1800));
        }
    }
    WHEN("a turn takes long")
    {
        reactor.post([] { std::this_thread::sleep_for(std::chrono::milliseconds(1800)); });
        turn();
        CHECK(resumed == 0);
        reactor.post([] {});
        turn();
        THEN("the next one tells it")
        {
            CHECK(resumed == 1);
            CHECK(reactor.inputAge() >= std::chrono::milliseconds(1800));
        }
    }
}

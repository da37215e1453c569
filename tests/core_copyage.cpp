#include <catch2/catch.hpp>

#include "core/storereader.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace crocusreach;
using namespace crocusreach::forward;
using namespace std::chrono_literals;

namespace {

constexpr Duration linkDelay = 4ms;
// The first reading, and the switch to a relay.
constexpr Duration startDuration = 4s;
constexpr std::size_t relayCount = 3;

enum class RelayFault : std::uint8_t {
    None,
    Silent, // answers nothing
    Refusing, // fails each call at once
    CutOff, // answers, but the store doesn't answer it
    Slow, // answers each call some seconds late
    Count
};

struct RelayModel
{
    RelayFault fault = RelayFault::None;
    TimePoint faultyUntil = {};
    TimePoint storeAnsweredAt = {}; // the latest time that the store confirmed its copy
};

struct RunningCall
{
    StoreCall call;
    TimePoint endsAt = {};
    bool isAnswered = false;
    std::optional<Duration> storeAge;
};

auto addressOf(std::size_t relay) -> std::string
{
    return "10.0.0." + std::to_string(relay + 1) + ":1";
}

// A reader with three relays that fail in any way, and a store that answers each call.
struct RelayedReader
{
    explicit RelayedReader(std::uint32_t seed = 1, const ChangeTimeouts &timeouts = {})
        : random(seed)
    {
        auto settings = StoreReaderSettings();
        settings.instance = "front-" + std::to_string(seed);
        for (std::size_t relay = 0; relay < relayCount; ++relay)
            settings.relays.push_back(addressOf(relay));
        settings.timeouts = timeouts;
        startReading(this->reader, settings, this->now, this->actions);
        this->perform();
        this->run(startDuration);
    }

    auto randomBelow(std::size_t count) -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
    }

    auto setFault(std::size_t relay, RelayFault fault, Duration time) -> void
    {
        this->refreshRelays();
        this->relays.at(relay).fault = fault;
        this->relays.at(relay).faultyUntil = this->now + time;
    }

    auto run(Duration time) -> void
    {
        const auto end = this->now + time;
        while (true) {
            const auto next = this->nextEventAt();
            if (next > end)
                break;
            this->now = std::max(this->now, next);
            this->refreshRelays();
            this->recordAges();
            this->endCalls();
            handle(this->reader, StoreReaderTick(), this->now, this->actions);
            this->perform();
            // A reader that asks for a tick again and again would spin.
            REQUIRE(++this->events < 1'000'000);
        }
        this->now = end;
        this->recordAges();
    }

    // The age of the oldest copy that requests depend on.
    auto age() const -> Duration
    {
        auto oldest = Duration();
        for (const auto kind : {ObjectKind::Routes, ObjectKind::Evacuations, ObjectKind::Leafs})
            oldest = std::max(oldest, copyAge(this->reader, kind, this->now).value_or(Duration()));
        return oldest;
    }

    StoreReader reader;
    TimePoint now = TimePoint(1h);
    std::size_t storeCalls = 0;
    Duration highestAge = {}; // since the first reading
    std::uint32_t lostCalls = 0; // one in this many calls to the store gets no answer; 0: none

private:
    // A sound relay hears from the store all the time.
    auto refreshRelays() -> void
    {
        for (auto &relay : this->relays) {
            if (this->now >= relay.faultyUntil)
                relay.fault = RelayFault::None;
            if (relay.fault != RelayFault::CutOff)
                relay.storeAnsweredAt = this->now;
        }
    }

    auto recordAges() -> void
    {
        if (this->now > TimePoint(1h) + startDuration)
            this->highestAge = std::max(this->highestAge, this->age());
    }

    auto nextEventAt() const -> TimePoint
    {
        auto next = nextTickAt(this->reader).value_or(TimePoint::max());
        for (const auto &[channel, call] : this->running)
            next = std::min(next, call.endsAt);
        return next;
    }

    auto endCalls() -> void
    {
        for (auto item = this->running.begin(); item != this->running.end();) {
            if (item->second.endsAt > this->now) {
                ++item;
                continue;
            }
            const auto ended = item->second;
            this->running.erase(item);
            auto content = StoreReplyContent(CallFailed{StoreFailure::Unreachable});
            if (ended.isAnswered)
                content = answerTo(ended.call);
            handle(this->reader, StoreReply{ended.call.channel, std::move(content), ended.storeAge},
                   this->now, this->actions);
            this->perform();
            item = this->running.begin();
        }
    }

    static auto answerTo(const StoreCall &call) -> StoreReplyContent
    {
        if (std::holds_alternative<WatchObjects>(call.request))
            return ObjectsChanged{{}, 10};
        const auto *const list = std::get_if<ListObjects>(&call.request);
        if (list == nullptr)
            return CallSucceeded();
        auto listed = ObjectsListed{{}, {}, 10};
        if (list->kind != ObjectKind::Instances)
            return listed;
        for (auto number = 0; number < 20; ++number) {
            auto object = StoredObject();
            object.name = "front-" + std::to_string(number);
            object.revision = 1;
            object.content = RegisteredInstance{object.name};
            listed.objects.push_back(object);
        }
        return listed;
    }

    auto startStoreCall(const StoreCall &call, Duration wait) -> RunningCall
    {
        ++this->storeCalls;
        const auto isLost = this->lostCalls != 0 && this->randomBelow(this->lostCalls) == 0;
        return {call, this->now + (isLost ? call.timeout : wait + linkDelay), !isLost, {}};
    }

    auto startRelayCall(const StoreCall &call, Duration wait) -> RunningCall
    {
        const auto found = std::find_if(
                this->relays.begin(), this->relays.end(), [&](const RelayModel &relay) {
                    return addressOf(static_cast<std::size_t>(&relay - this->relays.data()))
                           == call.address;
                });
        REQUIRE(found != this->relays.end());
        auto answerAt = this->now + wait + linkDelay;
        if (found->fault == RelayFault::Slow)
            answerAt += Duration(1ms * this->randomBelow(3000));
        const auto timeoutAt = this->now + call.timeout;
        if (found->fault == RelayFault::Refusing)
            return {call, this->now + linkDelay, false, {}};
        if (found->fault == RelayFault::Silent || answerAt > timeoutAt)
            return {call, timeoutAt, false, {}};
        // It states its age when it sends the answer.
        const auto sentAt = answerAt - linkDelay;
        const auto heardAt = found->fault == RelayFault::CutOff
                                     ? found->storeAnsweredAt
                                     : sentAt - this->reader.limits.probe;
        return {call, answerAt, true, sentAt - heardAt};
    }

    auto perform() -> void
    {
        auto pending = std::vector<StoreReaderAction>();
        pending.swap(this->actions);
        for (const auto &action : pending) {
            if (std::holds_alternative<CancelObjectCalls>(action))
                std::erase_if(this->running, [](const auto &item) {
                    return static_cast<std::size_t>(item.first) < objectKindCount;
                });
            const auto *const call = std::get_if<StoreCall>(&action);
            if (call == nullptr)
                continue;
            REQUIRE_FALSE(this->running.contains(call->channel));
            const auto *const watch = std::get_if<WatchObjects>(&call->request);
            const auto wait = watch == nullptr ? Duration() : watch->maxWait;
            this->running[call->channel] = call->address.empty()
                                                   ? this->startStoreCall(*call, wait)
                                                   : this->startRelayCall(*call, wait);
        }
    }

    std::mt19937 random;
    std::array<RelayModel, relayCount> relays;
    std::map<Channel, RunningCall> running;
    std::vector<StoreReaderAction> actions;
    std::size_t events = 0;
};

auto seedsFromEnvironment() -> std::pair<std::uint32_t, std::uint32_t>
{
    const auto *const first = std::getenv("CROCUSREACH_SEED");
    const auto *const count = std::getenv("CROCUSREACH_SEEDS");
    return {first == nullptr ? 1 : static_cast<std::uint32_t>(std::atoi(first)),
            count == nullptr ? 60 : static_cast<std::uint32_t>(std::atoi(count))};
}

} // namespace

// Guards against parts of a change's way that each keep to a limit of their own and together take
// longer than the operators allow.
SCENARIO("the limits on the parts of a change's way follow from the operators' timeouts")
{
    const auto timeout = Duration(GENERATE(1s, 2s, 3s, 5s, 6s, 30s));
    auto timeouts = ChangeTimeouts();
    timeouts.routes = timeouts.evacuation = timeouts.drain = 40s;
    const auto shortest = GENERATE(&ChangeTimeouts::routes, &ChangeTimeouts::evacuation,
                                   &ChangeTimeouts::drain);
    timeouts.*shortest = timeout;
    const auto limits = copyAgeLimits(timeouts);
    THEN("the shortest timeout counts, whichever it is")
    {
        CHECK(limits.outdated == timeout);
    }
    THEN("a sound relay confirms the copy before the store is asked")
    {
        CHECK(limits.relayWait + limits.probe < limits.refresh);
        CHECK(limits.probe < limits.relayCopy);
    }
    THEN("there is time left to ask the store")
    {
        CHECK(limits.refresh < limits.outdated);
        CHECK(limits.storeWait < limits.outdated);
    }
    THEN("a timeout that can't be kept doesn't end the pauses between calls")
    {
        CHECK(copyAgeLimits({0s, 0s, 0s}).storeWait >= 400ms);
        CHECK(copyAgeLimits({0s, 0s, 0s}).relayWait > 0s);
    }
}

// Guards against changes that come into force too late while all relays are silent or behind, each
// for its own reason, although the instance and the store are sound (review/2, CONFIG).
SCENARIO("the relays of an instance fail and return")
{
    const auto timeout = GENERATE(3s, 5s, 6s);
    auto timeouts = ChangeTimeouts();
    timeouts.routes = timeouts.drain = timeout;
    auto instance = RelayedReader(1, timeouts);
    REQUIRE(instance.reader.relay);
    WHEN("all of them are sound")
    {
        const auto callsBefore = instance.storeCalls;
        instance.run(60s);
        THEN("the store isn't asked, and no copy gets too old")
        {
            CHECK(instance.storeCalls == callsBefore);
            CHECK(instance.highestAge < instance.reader.limits.refresh);
        }
    }
    WHEN("all of them fail in the same way")
    {
        const auto fault = GENERATE(RelayFault::Silent, RelayFault::Refusing, RelayFault::CutOff,
                                    RelayFault::Slow);
        for (std::size_t relay = 0; relay < relayCount; ++relay)
            instance.setFault(relay, fault, 20s);
        INFO("fault " << static_cast<int>(fault));
        instance.run(20s);
        THEN("the store is asked before the copy is outdated, again and again")
        {
            CHECK(instance.highestAge < timeout - 500ms);
        }
        AND_WHEN("they are sound again")
        {
            instance.run(40s);
            THEN("a relay is watched again, and the store is left alone")
            {
                CHECK(instance.reader.relay);
                const auto callsBefore = instance.storeCalls;
                instance.run(20s);
                CHECK(instance.storeCalls == callsBefore);
            }
        }
    }
    WHEN("one of them after the other is without power for a while")
    {
        for (std::size_t relay = 0; relay < relayCount; ++relay) {
            instance.setFault(relay, RelayFault::Silent, 4s);
            instance.run(2s);
        }
        instance.run(40s);
        THEN("no copy gets outdated, and a relay is watched in the end")
        {
            CHECK(instance.highestAge < timeout - 500ms);
            CHECK(instance.reader.relay);
        }
    }
}

// Guards against a mix of faults that the scenario above doesn't name, and against switches of the
// source that leave a copy unread.
SCENARIO("relays fail at random while the store answers")
{
    const auto [first, count] = seedsFromEnvironment();
    for (auto seed = first; seed < first + count; ++seed) {
        auto timeouts = ChangeTimeouts();
        timeouts.routes = timeouts.drain = std::array<Duration, 4>{2s, 3s, 5s, 8s}.at(seed % 4);
        auto instance = RelayedReader(seed, timeouts);
        // In some runs, the store's answer to a call is lost now and then.
        instance.lostCalls = seed % 3 == 0 ? 400 : 0;
        for (auto round = 0; round < 40; ++round) {
            const auto fault = static_cast<RelayFault>(
                    instance.randomBelow(static_cast<std::size_t>(RelayFault::Count)));
            instance.setFault(instance.randomBelow(relayCount), fault,
                              Duration(1ms * instance.randomBelow(20'000)));
            instance.run(Duration(1ms * instance.randomBelow(6000)));
        }
        INFO("seed " << seed);
        CHECK(instance.highestAge <= instance.reader.limits.outdated);
    }
}

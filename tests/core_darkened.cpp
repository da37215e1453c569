#include <catch2/catch.hpp>

#include "core/storereader.h"

#include <array>
#include <map>
#include <optional>

using namespace crocusreach;
using namespace crocusreach::forward;
using namespace std::chrono_literals;

namespace {

// A store that answers nothing for a time, and never on a connection that was in use meanwhile.
struct Outage
{
    TimePoint begin = {};
    TimePoint end = {};

    // Whether a call that began at a time and is due to be answered at another gets its answer.
    auto letsThrough(TimePoint begunAt, TimePoint answerAt) const -> bool
    {
        return answerAt < this->begin || begunAt >= this->end;
    }
};

constexpr auto answerTime = 4ms;

// A reader and its store under virtual time.
class DarkenedStore
{
public:
    DarkenedStore(bool isRelay, Outage outage)
        : outage(outage)
    {
        startReading(this->reader, {"front-1", {}, isRelay}, this->now, this->actions);
        this->perform();
    }

    // Advances to a time. Other instances read from this one all the while if it is a relay.
    auto advanceTo(TimePoint end) -> void
    {
        while (true) {
            const auto next = this->nextEventAt();
            if (next > end)
                break;
            this->now = std::max(this->now, next);
            this->endCalls();
            if (this->reader.settings.isRelay)
                recordRelayCall(this->reader, this->now);
            handle(this->reader, StoreReaderTick(), this->now, this->actions);
            this->perform();
        }
        this->now = end;
    }

    // The start of the latest call of a channel that was answered.
    auto answeredSince(Channel channel) const -> std::optional<TimePoint>
    {
        const auto found = this->answered.find(channel);
        return found == this->answered.end() ? std::nullopt : std::optional(found->second);
    }

    StoreReader reader;
    TimePoint now = TimePoint(1h);

private:
    struct RunningCall
    {
        StoreCall call;
        TimePoint begunAt = {};
        TimePoint endsAt = {}; // by its answer or its timeout
        bool isAnswered = false;
    };

    auto nextEventAt() const -> TimePoint
    {
        auto next = nextTickAt(this->reader).value_or(TimePoint::max());
        for (const auto &[channel, running] : this->running)
            next = std::min(next, running.endsAt);
        return next;
    }

    auto endCalls() -> void
    {
        auto ended = std::vector<RunningCall>();
        std::erase_if(this->running, [&](const auto &item) {
            const auto isOver = item.second.endsAt <= this->now;
            if (isOver)
                ended.push_back(item.second);
            return isOver;
        });
        for (const auto &item : ended) {
            auto content = StoreReplyContent(CallFailed{StoreFailure::Unreachable});
            if (item.isAnswered) {
                this->answered[item.call.channel] = item.begunAt;
                content = answerTo(item.call);
            }
            handle(this->reader, StoreReply{item.call.channel, std::move(content), {}}, this->now,
                   this->actions);
            this->perform();
        }
    }

    static auto answerTo(const StoreCall &call) -> StoreReplyContent
    {
        if (std::holds_alternative<ListObjects>(call.request))
            return ObjectsListed{{}, {}, 10};
        if (std::holds_alternative<WatchObjects>(call.request))
            return ObjectsChanged{{}, 10};
        return CallSucceeded();
    }

    auto perform() -> void
    {
        for (const auto &action : this->actions) {
            if (std::holds_alternative<CancelObjectCalls>(action))
                std::erase_if(this->running, [](const auto &item) {
                    return static_cast<std::size_t>(item.first) < objectKindCount;
                });
            const auto *const call = std::get_if<StoreCall>(&action);
            if (call == nullptr)
                continue;
            // One call at a time and channel.
            CHECK_FALSE(this->running.contains(call->channel));
            const auto *const watch = std::get_if<WatchObjects>(&call->request);
            const auto answerAt
                    = this->now
                      + (watch == nullptr ? Duration(answerTime) : watch->maxWait + answerTime);
            const auto timeoutAt = this->now + call->timeout;
            const auto isAnswered
                    = this->outage.letsThrough(this->now, answerAt) && answerAt <= timeoutAt;
            this->running[call->channel]
                    = {*call, this->now, isAnswered ? answerAt : timeoutAt, isAnswered};
        }
        this->actions.clear();
    }

    Outage outage;
    std::map<Channel, RunningCall> running;
    std::map<Channel, TimePoint> answered;
    std::vector<StoreReaderAction> actions;
};

// After its return, the store has been asked again, and has answered, within this time: a call of
// before gives up, the retry waits, and the other channels follow at once.
constexpr auto longestRecovery = 4s;

} // namespace

// Guards against calls that wait on a connection which went silent in an outage, long after the
// store is back. The outage begins at each moment of the reader's life in turn, so that each kind
// of call is made in the last moments before it.
SCENARIO("the store goes dark at any moment and returns")
{
    const auto isRelay = GENERATE(false, true);
    const auto length = GENERATE(500ms, 3300ms, 9000ms);
    for (auto moment = 0ms; moment <= 6000ms; moment += 10ms) {
        const auto begin = TimePoint(1h) + moment;
        auto store = DarkenedStore(isRelay, {begin, begin + length});
        store.advanceTo(begin + length + longestRecovery);
        INFO("outage of " << length.count() << " ms from " << moment.count() << " ms on");
        // The kinds that requests depend on, and the list of instances.
        for (const auto channel : {Channel::Routes, Channel::Evacuations, Channel::Leafs}) {
            INFO(toString(channel));
            const auto since = store.answeredSince(channel);
            CHECK((since && *since >= begin + length));
        }
        CHECK(store.answeredSince(Channel::Register));
        CHECK(store.answeredSince(Channel::Instances));
        CHECK(hasReadState(store.reader));
        if (isRelay) {
            const auto age = storeAge(store.reader, ObjectKind::Leafs, store.now);
            CHECK((age && *age < 1700ms));
        }
    }
}

// Guards against a watch of the list of instances, which may wait long, that takes the others
// along.
SCENARIO("the list of instances is watched again after an outage")
{
    for (auto moment = 1200ms; moment <= 6000ms; moment += 100ms) {
        const auto begin = TimePoint(1h) + moment;
        const auto end = begin + 3300ms;
        auto store = DarkenedStore(false, {begin, end});
        // The longest watch and its timeout.
        store.advanceTo(end + 32s);
        INFO("outage from " << moment.count() << " ms on");
        const auto since = store.answeredSince(Channel::Instances);
        CHECK((since && *since >= end));
    }
}

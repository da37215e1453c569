#pragma once

#include "core/storereader.h"
#include "frontcodec.h"
#include "httplinks.h"
#include "reactor.h"

#include <array>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// The task that owns the connections to the platform's store and keeps its objects known.

namespace crocusreach {

class StoreReaderTask
{
public:
    // Receives what the forwarder must know, and what the log must tell.
    using Outlet
            = std::function<auto(std::variant<forward::ForwardEvent, forward::StoreNotification,
                                              forward::ObjectRejected> &&)
                                    ->void>;

    // The second function is called whenever objects may have changed.
    StoreReaderTask(Reactor &reactor, const FrontCodec &codec, Outlet outlet,
                    std::function<auto()->void> onChanged);

    // Starts reading, or takes in changed settings.
    auto configure(const forward::StoreReaderSettings &settings, std::string newAddress) -> void;
    // The process was paused.
    auto resume() -> void;
    // RolloutStatusWritten follows.
    auto writeStatus(const forward::WriteRolloutStatus &write) -> void;
    // Another instance has read from this one.
    auto onRelayCall() -> void;
    auto state() const -> const forward::StoreReader & { return this->reader; }
    // Calls to the store since the start, for the metrics.
    auto callCount() const -> std::uint64_t { return this->calls; }

private:
    // The connection of one channel, and the call that runs on it.
    struct Line
    {
        std::uint64_t link = 0; // 0: none is open
        std::string address; // of the other end
        std::optional<forward::StoreRequest> request;
        std::optional<TimePoint> endAt; // without a reply by then, the call has failed
    };

    auto call(forward::StoreCall &&call) -> void;
    auto cancelObjectCalls() -> void;
    auto reply(const Line &line, forward::StoreReplyContent content,
               std::optional<Duration> storeAge, std::optional<std::uint64_t> era = {}) -> void;
    // A call may fail while the actions of an event are performed. Its event waits for their end.
    auto take(const forward::StoreEvent &event) -> void;
    auto perform(std::vector<forward::StoreReaderAction> &actions) -> void;
    auto onAnswered(std::uint64_t link, const HttpMessage &response, bool usable) -> void;
    auto onClosed(std::uint64_t link) -> void;
    auto lineOf(std::uint64_t link) -> Line *;
    auto checkTimes() -> void;
    auto nextEnd() const -> std::optional<TimePoint>;

    Reactor &reactor;
    const FrontCodec &codec;
    Outlet outlet;
    std::function<auto()->void> onChanged;
    std::string address; // of the store
    forward::StoreReader reader;
    bool started = false;
    std::deque<forward::StoreEvent> events; // the first one is being handled
    bool handling = false;
    std::array<Line, forward::storeChannelCount> lines;
    std::uint64_t lastLink = 0;
    std::uint64_t calls = 0;
    HttpLinks links;
    TimerHandle callTimer;
    TimerHandle readerTimer;
};

} // namespace crocusreach

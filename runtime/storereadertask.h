#pragma once

#include "core/storereader.h"
#include "frontcodec.h"
#include "httplinks.h"
#include "reactor.h"

#include <array>
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
    using Outlet = std::function<auto(std::variant<forward::ForwardEvent, forward::StoreNotification,
                                                   forward::ObjectRejected> &&)
                                         ->void>;

    StoreReaderTask(Reactor &reactor, const FrontCodec &codec, std::string instanceName,
                    Outlet outlet);

    // Starts reading; a later call only changes the address of new connections.
    auto setAddress(std::string newAddress) -> void;
    auto state() const -> const forward::StoreReader & { return this->reader; }
    // Calls by their outcome, for the metrics.
    auto callCount() const -> std::uint64_t { return this->calls; }

private:
    // The connection of one kind of object, and the call that runs on it.
    struct Channel
    {
        std::uint64_t link = 0; // 0: none is open
        std::optional<forward::StoreRequest> request;
        std::optional<TimePoint> endAt; // without a reply by then, the call has failed
    };

    auto call(forward::StoreRequest &&request) -> void;
    auto take(const forward::StoreEvent &event) -> void;
    auto perform(std::vector<forward::StoreReaderAction> &actions) -> void;
    auto onAnswered(std::uint64_t link, const HttpMessage &response, bool usable) -> void;
    auto onClosed(std::uint64_t link) -> void;
    auto channelOf(std::uint64_t link) -> Channel *;
    auto checkTimes() -> void;
    auto nextEnd() const -> std::optional<TimePoint>;

    Reactor &reactor;
    const FrontCodec &codec;
    Outlet outlet;
    std::string address;
    forward::StoreReader reader;
    std::array<Channel, static_cast<std::size_t>(forward::ObjectKind::Count)> channels;
    std::uint64_t lastLink = 0;
    std::uint64_t calls = 0;
    HttpLinks links;
};

} // namespace crocusreach

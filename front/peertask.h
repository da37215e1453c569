#pragma once

#include "httplinks.h"
#include "httplistener.h"
#include "reactor.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// The task that owns the connections to other instances: short messages with a reply, told apart by
// their subject. What they mean is up to those who send and handle them.

namespace crocusreach {

// How long a listener that takes messages of instances keeps an idle connection.
constexpr Duration peerIdleTimeout = std::chrono::seconds(120);

class PeerTask
{
public:
    // Sends the body of a reply, once; absent if the message is malformed.
    using Reply = std::function<auto(std::optional<std::string> body)->void>;
    using Handler = std::function<auto(std::string_view body, Reply &&reply)->void>;
    // Absent if there was no reply in time, or none that is one.
    using OnReply = std::function<auto(std::optional<std::string> body)->void>;

    explicit PeerTask(Reactor &reactor);

    // Sets who answers the messages of a subject.
    auto handle(std::string subject, Handler handler) -> void;

    // Sends a message. The function is called once, in a later turn of the loop.
    auto call(std::string_view address, std::string_view subject, std::string_view body,
              Duration timeout, OnReply onReply) -> void;

    // Answers a request that another instance sent to a listener of this one. Returns false if it
    // is no message between instances.
    auto answer(CallerId caller, const HttpMessage &request, HttpListener &listener) const -> bool;

private:
    struct Connection
    {
        std::uint64_t link = 0;
        TimePoint idleSince = {};
    };
    struct OpenCall
    {
        std::string address;
        TimePoint endAt = {};
        OnReply onReply;
    };

    auto idleCount() const -> std::size_t;
    auto takeIdleLink(std::string_view address) -> std::uint64_t;
    auto finish(std::uint64_t link, std::optional<std::string> body, bool reusable) -> void;
    auto onClosed(std::uint64_t link) -> void;
    auto nextEnd() const -> std::optional<TimePoint>;
    auto checkTimes() -> void;

    Reactor &reactor;
    std::map<std::string, Handler, std::less<>> handlers; // by subject
    std::unordered_map<std::uint64_t, OpenCall> calls; // by link
    std::map<std::string, std::vector<Connection>, std::less<>> idle; // by address, oldest first
    std::uint64_t lastLink = 0;
    HttpLinks links;
    TimerHandle timer;
};

} // namespace crocusreach

#pragma once

#include "front/reactor.h"
#include "front/tcpsocket.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

// A TCP proxy on loopback that harms the connections through it. Without a fault, it passes on each
// end as it came, in order or by a reset, and holds a writer up whose reader doesn't read.

namespace crocusreach::soak {

enum class LinkFault : std::uint8_t {
    None,
    Delay, // bytes are held back for a while
    OneWay, // bytes towards the server are lost without a sign
    Silent, // bytes of both directions are lost without a sign
    Refuse, // connections are closed at once
};

// To be made, used and destroyed in the reactor's thread.
class FaultProxy
{
public:
    FaultProxy(Reactor &reactor, std::string target);
    FaultProxy(const FaultProxy &) = delete;
    auto operator=(const FaultProxy &) -> FaultProxy & = delete;
    ~FaultProxy();

    auto address() const -> const std::string & { return this->listenAddress; }
    auto setFault(LinkFault changed, Duration delay = {}) -> void;
    // Ends all open connections with a reset.
    auto resetConnections() -> void;

private:
    enum class Side : std::uint8_t { Client, Server };

    // The bytes of one direction that aren't passed on yet.
    struct Direction
    {
        std::string bytes;
        bool ended = false; // in order, behind these bytes
        bool endPassedOn = false;
    };

    struct Pipe
    {
        TcpStream client;
        TcpStream server;
        Direction toServer;
        Direction toClient;
        TimePoint heldUntil = {};
        bool isReset = false; // by one side

        auto holdsAnything() const -> bool
        {
            return !this->toServer.bytes.empty() || !this->toClient.bytes.empty()
                   || this->toServer.ended || this->toClient.ended || this->isReset;
        }
    };

    auto acceptAll() -> void;
    auto onReady(std::uint64_t id, Side side, Readiness readiness) -> void;
    auto read(Pipe &pipe, Side side) -> void;
    auto isLost(Side from) const -> bool;
    // Passes on what is there. Drops the pipe if both sides have ended.
    auto flush(std::uint64_t id) -> void;
    auto flush(Direction &direction, TcpStream &target) -> void;
    auto updateWanted(const Pipe &pipe) -> void;
    auto drop(std::uint64_t id) -> void;
    auto nextRelease() const -> std::optional<TimePoint>;
    auto release() -> void;

    Reactor &reactor;
    std::string target;
    std::string listenAddress;
    FileHandle listener;
    LinkFault fault = LinkFault::None;
    Duration delay = {};
    std::map<std::uint64_t, std::unique_ptr<Pipe>> pipes;
    std::uint64_t lastId = 0;
    TimerHandle timer;
};

} // namespace crocusreach::soak

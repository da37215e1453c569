#include "faultproxy.h"

#include "base/clock.h"
#include "tests/testclient.h"

#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace crocusreach::soak {

namespace {

// Of one direction of a connection. More waits at its sender.
constexpr auto maxHeldBytes = std::size_t(16) * 1024;

} // namespace

FaultProxy::FaultProxy(Reactor &reactor, std::string target)
    : reactor(reactor)
    , target(std::move(target))
    , listener(std::get<FileHandle>(listenTcp("127.0.0.1:0")))
    , timer(reactor.addTimer([this] { return this->nextRelease(); }, [this] { this->release(); }))
{
    this->listenAddress = localAddress(this->listener.get());
    tests::limitWindow(this->listener.get());
    reactor.watch(this->listener.get(), {true, false, false},
                  [this](Readiness) { this->acceptAll(); });
}

FaultProxy::~FaultProxy()
{
    this->reactor.forget(this->listener.get());
    while (!this->pipes.empty())
        this->drop(this->pipes.begin()->first);
}

auto FaultProxy::setFault(LinkFault changed, Duration newDelay) -> void
{
    this->fault = changed;
    this->delay = newDelay;
    if (changed == LinkFault::Refuse)
        this->resetConnections();
}

auto FaultProxy::resetConnections() -> void
{
    for (const auto &[id, pipe] : this->pipes) {
        resetOnClose(pipe->client.socket.get());
        resetOnClose(pipe->server.socket.get());
    }
    while (!this->pipes.empty())
        this->drop(this->pipes.begin()->first);
}

auto FaultProxy::acceptAll() -> void
{
    for (auto client = acceptTcp(this->listener.get()); client.isOpen();
         client = acceptTcp(this->listener.get())) {
        if (this->fault == LinkFault::Refuse)
            continue;
        auto server = connectTcp(this->target, {});
        if (isError(server))
            continue;
        const auto id = ++this->lastId;
        auto pipe = std::make_unique<Pipe>();
        pipe->client.socket = std::move(client);
        pipe->server.socket = std::get<FileHandle>(std::move(server));
        for (const auto side : {Side::Client, Side::Server}) {
            const auto &socket = (side == Side::Client ? pipe->client : pipe->server).socket;
            this->reactor.watch(
                    socket.get(), {true, false, false},
                    [this, id, side](Readiness ready) { this->onReady(id, side, ready); });
        }
        this->pipes.emplace(id, std::move(pipe));
    }
}

auto FaultProxy::onReady(std::uint64_t id, Side side, Readiness readiness) -> void
{
    const auto found = this->pipes.find(id);
    if (found == this->pipes.end())
        return;
    auto &pipe = *found->second;
    if (readiness.readable || readiness.broken)
        this->read(pipe, side);
    if (pipe.isReset || pipe.heldUntil <= decisionNow())
        this->flush(id);
    else
        this->updateWanted(pipe);
}

// Bytes from this side are lost without a sign.
auto FaultProxy::isLost(Side from) const -> bool
{
    return this->fault == LinkFault::Silent
           || (this->fault == LinkFault::OneWay && from == Side::Client);
}

auto FaultProxy::read(Pipe &pipe, Side side) -> void
{
    auto bytes = std::string();
    const auto fromClient = side == Side::Client;
    auto &direction = fromClient ? pipe.toServer : pipe.toClient;
    const auto status = readSome(fromClient ? pipe.client : pipe.server, bytes);
    if (!this->isLost(side))
        direction.bytes += bytes;
    // Both directions of a side that has nothing more to read are closed.
    pipe.isReset = pipe.isReset || status == IoStatus::Broken || direction.ended;
    direction.ended = direction.ended || status == IoStatus::Ended;
    if (this->fault == LinkFault::Delay && pipe.heldUntil <= decisionNow())
        pipe.heldUntil = decisionNow() + this->delay;
}

auto FaultProxy::flush(std::uint64_t id) -> void
{
    auto &pipe = *this->pipes.at(id);
    this->flush(pipe.toServer, pipe.server);
    this->flush(pipe.toClient, pipe.client);
    if (pipe.isReset) {
        resetOnClose(pipe.client.socket.get());
        resetOnClose(pipe.server.socket.get());
        return this->drop(id);
    }
    if (pipe.toServer.endPassedOn && pipe.toClient.endPassedOn)
        return this->drop(id);
    this->updateWanted(pipe);
}

auto FaultProxy::flush(Direction &direction, TcpStream &target) -> void
{
    auto position = std::size_t(0);
    writeSome(target, direction.bytes, position);
    direction.bytes.erase(0, position);
    if (!direction.ended || direction.endPassedOn || !direction.bytes.empty())
        return;
    ::shutdown(target.socket.get(), SHUT_WR);
    direction.endPassedOn = true;
}

auto FaultProxy::updateWanted(const Pipe &pipe) -> void
{
    const auto takesMore = [](const Direction &direction) {
        return !direction.ended && direction.bytes.size() < maxHeldBytes;
    };
    this->reactor.change(pipe.client.socket.get(),
                         {takesMore(pipe.toServer), !pipe.toClient.bytes.empty(), false});
    this->reactor.change(pipe.server.socket.get(),
                         {takesMore(pipe.toClient), !pipe.toServer.bytes.empty(), false});
}

auto FaultProxy::drop(std::uint64_t id) -> void
{
    const auto found = this->pipes.find(id);
    if (found == this->pipes.end())
        return;
    this->reactor.forget(found->second->client.socket.get());
    this->reactor.forget(found->second->server.socket.get());
    this->pipes.erase(found);
}

auto FaultProxy::nextRelease() const -> std::optional<TimePoint>
{
    auto next = std::optional<TimePoint>();
    for (const auto &[id, pipe] : this->pipes) {
        if (pipe->holdsAnything() && pipe->heldUntil > decisionNow())
            next = std::min(next.value_or(TimePoint::max()), pipe->heldUntil);
    }
    return next;
}

auto FaultProxy::release() -> void
{
    auto due = std::vector<std::uint64_t>();
    for (const auto &[id, pipe] : this->pipes) {
        if (pipe->heldUntil <= decisionNow())
            due.push_back(id);
    }
    for (const auto id : due)
        this->flush(id);
}

} // namespace crocusreach::soak

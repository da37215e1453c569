#include "faultproxy.h"

#include "base/clock.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace crocusreach::soak {

FaultProxy::FaultProxy(Reactor &reactor, std::string target)
    : reactor(reactor)
    , target(std::move(target))
    , listener(std::get<FileHandle>(listenTcp("127.0.0.1:0")))
    , timer(reactor.addTimer([this] { return this->nextRelease(); }, [this] { this->release(); }))
{
    this->listenAddress = localAddress(this->listener.get());
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
        resetOnClose(pipe->client.get());
        resetOnClose(pipe->server.get());
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
        pipe->client = std::move(client);
        pipe->server = std::get<FileHandle>(std::move(server));
        for (const auto side : {Side::Client, Side::Server}) {
            const auto &socket = side == Side::Client ? pipe->client : pipe->server;
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
    if ((readiness.readable || readiness.broken) && !this->read(pipe, side)) {
        // What was read before the end still goes out, unless it is held back.
        if (this->fault == LinkFault::None)
            this->flush(id);
        return this->drop(id);
    }
    if (pipe.heldUntil <= decisionNow())
        this->flush(id);
}

// False if this side has ended.
auto FaultProxy::read(Pipe &pipe, Side side) -> bool
{
    auto bytes = std::string();
    const auto fromClient = side == Side::Client;
    const auto status = readSome((fromClient ? pipe.client : pipe.server).get(), bytes);
    const auto lost
            = this->fault == LinkFault::Silent || (this->fault == LinkFault::OneWay && fromClient);
    if (!lost)
        (fromClient ? pipe.toServer : pipe.toClient) += bytes;
    if (this->fault == LinkFault::Delay && pipe.heldUntil <= decisionNow())
        pipe.heldUntil = decisionNow() + this->delay;
    return status == IoStatus::Ok || status == IoStatus::WouldBlock;
}

auto FaultProxy::flush(std::uint64_t id) -> void
{
    auto &pipe = *this->pipes.at(id);
    for (const auto toServer : {true, false}) {
        auto &bytes = toServer ? pipe.toServer : pipe.toClient;
        const auto descriptor = (toServer ? pipe.server : pipe.client).get();
        auto position = std::size_t(0);
        writeSome(descriptor, bytes, position);
        bytes.erase(0, position);
        this->reactor.change(descriptor, {true, !bytes.empty(), false});
    }
}

auto FaultProxy::drop(std::uint64_t id) -> void
{
    const auto found = this->pipes.find(id);
    if (found == this->pipes.end())
        return;
    this->reactor.forget(found->second->client.get());
    this->reactor.forget(found->second->server.get());
    this->pipes.erase(found);
}

auto FaultProxy::nextRelease() const -> std::optional<TimePoint>
{
    auto next = std::optional<TimePoint>();
    for (const auto &[id, pipe] : this->pipes) {
        const auto holds = !pipe->toServer.empty() || !pipe->toClient.empty();
        if (holds && pipe->heldUntil > decisionNow())
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

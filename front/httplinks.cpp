#include "httplinks.h"

namespace crocusreach {

namespace {

// A connection may bring a late second response to an earlier request; a server that sends more is
// not answering.
constexpr std::uint32_t maxSkippedResponses = 8;
// A short body is sent in one piece with its head. Long ones are shared by all sends of a request.
constexpr std::size_t maxCopiedBody = std::size_t(4) * 1024;

} // namespace

HttpLinks::HttpLinks(Reactor &reactor, KeepAlive keepAlive, LinkEvents events)
    : reactor(reactor)
    , keepAlive(keepAlive)
    , events(std::move(events))
{ }

HttpLinks::~HttpLinks()
{
    for (const auto &[id, link] : this->links)
        this->reactor.forget(link->stream.socket.get());
}

auto HttpLinks::open(std::uint64_t id, std::string_view address) -> Link *
{
    auto socket = connectTcp(address, this->keepAlive);
    if (isError(socket))
        return nullptr;
    auto link = std::make_unique<Link>();
    link->id = id;
    link->stream.socket = std::get<FileHandle>(std::move(socket));
    link->reader = std::make_unique<HttpReader>(HttpSide::Response, HttpReadLimits());
    this->reactor.watch(link->stream.socket.get(), {true, true, false},
                        [this, id = link->id](Readiness ready) { this->onSocket(id, ready); });
    return this->links.insert_or_assign(link->id, std::move(link)).first->second.get();
}

auto HttpLinks::send(LinkSend &&request) -> void
{
    const auto found = this->links.find(request.link);
    auto *link = found == this->links.end() ? nullptr : found->second.get();
    if (request.open)
        link = this->open(request.link, request.address);
    if (link == nullptr) {
        // The connection has ended while the request was on its way here.
        this->reactor.post([this, id = request.link] {
            this->events.failed(id, {LinkFailure::NotSent, ConnectionEnd::Closed, 0});
        });
        return;
    }
    link->busy = true;
    link->skipped = 0;
    link->requestId = std::move(request.requestId);
    link->reader->expectNoBody(request.headOnly);
    link->output = std::move(request.head);
    link->longBody.reset();
    if (request.body != nullptr && request.body->size() <= maxCopiedBody)
        link->output += *request.body;
    else
        link->longBody = std::move(request.body);
    link->written = 0;
    link->bodyWritten = 0;
    link->request = RequestState::Writing;
    if (link->connected)
        this->write(*link);
}

auto HttpLinks::openIdle(std::uint64_t link, std::string_view address) -> void
{
    if (this->open(link, address) == nullptr)
        this->reactor.post([this, link] { this->events.closed(link); });
}

auto HttpLinks::close(std::uint64_t id) -> void
{
    const auto found = this->links.find(id);
    if (found == this->links.end())
        return;
    const auto descriptor = found->second->stream.socket.get();
    if (found->second->busy)
        resetOnClose(descriptor);
    this->reactor.forget(descriptor);
    this->setHeldBytes(*found->second, 0);
    this->links.erase(found);
}

auto HttpLinks::setHeldBytes(Link &link, std::size_t size) -> void
{
    this->heldBytes += size - link.heldBytes;
    link.heldBytes = size;
}

auto HttpLinks::fail(Link &link, LinkFailure failure) -> void
{
    const auto id = link.id;
    const auto busy = link.busy;
    const auto sent = link.written > 0 || link.request != RequestState::Writing;
    const auto loss = LinkLoss{sent ? failure : LinkFailure::NotSent, link.stream.end,
                               link.reader->isInMessage() ? link.reader->heldBytes() : 0};
    this->close(id);
    if (!busy)
        this->events.closed(id);
    else
        this->events.failed(id, loss);
}

auto HttpLinks::onSocket(std::uint64_t id, Readiness readiness) -> void
{
    auto &link = *this->links.at(id);
    if (!link.connected) {
        if (!isEstablished(link.stream) || (readiness.broken && !readiness.writable))
            return this->fail(link, LinkFailure::NotSent);
        if (!readiness.writable)
            return;
        link.connected = true;
        if (!link.busy) {
            this->reactor.change(link.stream.socket.get(), {true, false, false});
            return this->events.opened(id);
        }
    }
    // A write that fails takes the connection's error from the receive that would tell an orderly
    // end from another. So nothing is written on while something is left to read.
    const auto mayBeAnswered = readiness.readable || readiness.broken || link.written > 0;
    if (mayBeAnswered && this->read(link) != IoStatus::WouldBlock)
        return;
    if (readiness.writable)
        this->write(link);
}

auto HttpLinks::write(Link &link) -> void
{
    if (link.request != RequestState::Writing)
        return;
    auto status = writeSome(link.stream, link.output, link.written);
    if (status == IoStatus::Ok && link.longBody != nullptr)
        status = writeSome(link.stream, *link.longBody, link.bodyWritten);
    if (status == IoStatus::Broken && link.written == 0)
        return this->fail(link, LinkFailure::NotSent);
    if (status != IoStatus::WouldBlock) {
        link.request = status == IoStatus::Ok ? RequestState::Sent : RequestState::CutOff;
        // The body of a request isn't kept until the answer comes.
        std::string().swap(link.output);
        link.longBody.reset();
        link.written = 0;
    }
    const auto writesOn = link.request == RequestState::Writing;
    this->reactor.change(link.stream.socket.get(), {true, writesOn, false});
    if (link.request == RequestState::CutOff && this->read(link) == IoStatus::WouldBlock)
        this->fail(link, LinkFailure::Lost);
}

auto HttpLinks::read(Link &link) -> IoStatus
{
    auto bytes = std::string();
    const auto status = readSome(link.stream, bytes);
    if (status == IoStatus::WouldBlock)
        return status;
    if (!link.busy)
        this->fail(link, LinkFailure::Lost);
    else if (status == IoStatus::Ok)
        this->takeResponses(link, bytes);
    else
        this->endResponse(link, status);
    return status;
}

// The connection has ended.
auto HttpLinks::endResponse(Link &link, IoStatus status) -> void
{
    // A response without a length ends with its connection, if that ends in order.
    if (status == IoStatus::Ended)
        link.reader->feedEnd();
    auto response = link.reader->take();
    if (!response || !this->events.belongs(*response, link.requestId))
        return this->fail(link, LinkFailure::Lost);
    const auto id = link.id;
    this->close(id);
    this->events.answered(id, std::move(*response), false);
}

auto HttpLinks::takeResponses(Link &link, std::string_view bytes) -> void
{
    while (!bytes.empty()) {
        bytes.remove_prefix(link.reader->feed(bytes));
        auto response = link.reader->take();
        if (!response && link.reader->fault() != HttpFault::None)
            return this->fail(link, LinkFailure::Invalid);
        if (!response) {
            this->setHeldBytes(link, link.reader->heldBytes());
            if (this->heldBytes > this->maxHeldBytes)
                this->fail(link, LinkFailure::Invalid);
            return;
        }
        this->setHeldBytes(link, 0);
        if (response->status == HTTP_STATUS_NO_CONTENT && !bytes.empty())
            return this->fail(link, LinkFailure::Invalid);
        if (!this->events.belongs(*response, link.requestId)) {
            if (++link.skipped > maxSkippedResponses)
                return this->fail(link, LinkFailure::Invalid);
            continue;
        }
        // Bytes after the response, or a request that isn't out whole, would mix with what follows.
        const auto usable = bytes.empty() && response->keepAlive && link.skipped == 0
                            && link.request == RequestState::Sent;
        const auto id = link.id;
        link.busy = false;
        if (!usable)
            this->close(id);
        this->events.answered(id, std::move(*response), usable);
        return;
    }
}

} // namespace crocusreach

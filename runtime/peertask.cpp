#include "peertask.h"

#include "base/clock.h"
#include "base/log.h"

namespace crocusreach {

namespace {

// Three heartbeats at the usual interval of 500 ms.
constexpr auto silentAfter = Duration(std::chrono::milliseconds(1500));
// Finds a silent connection on which no heartbeats are sent, that is, to another cell.
constexpr auto keepaliveInterval = 2000; // ms
constexpr auto keepaliveTimeout = 1500; // ms
constexpr auto longestMessage = 16 << 20; // bytes; a configuration has at most 1 MiB
// A peer that doesn't read must not fill the memory.
constexpr std::size_t queueLimit = 8192; // messages of one stream

auto isOutgoing(const PeerLink &link) -> bool
{
    return link.clientContext != nullptr;
}

// The tag of an operation that is about to start.
auto startTag(PeerLink &link, LinkOperation operation) -> void *
{
    ++link.pending;
    auto &tag = link.tags.at(static_cast<std::size_t>(operation));
    tag = LinkTag{&link, operation};
    return &tag;
}

auto cancelLink(PeerLink &link) -> void
{
    if (isOutgoing(link))
        link.clientContext->TryCancel();
    else if (link.open)
        link.serverContext->TryCancel();
}

// Streams to one address would share a connection, so that a new stream could get the silent one.
auto makeChannel(const std::string &address, int serial) -> std::shared_ptr<grpc::Channel>
{
    auto arguments = grpc::ChannelArguments();
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt("crocusreach.channel", serial);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepaliveInterval);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepaliveTimeout);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetMaxReceiveMessageSize(longestMessage);
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments);
}

auto isHeartbeat(const PeerPayload &payload) -> bool
{
    return std::holds_alternative<Heartbeat>(payload)
           || std::holds_alternative<HeartbeatReply>(payload);
}

} // namespace

PeerTask::PeerTask(PeerOutlets outlets)
    : outlets(std::move(outlets))
    , thread("peer")
{
    this->thread.run([this] {
        this->mailbox.attach(this->thread.context(), [this](PeerCommand &&command) {
            std::visit([this](auto &content) { this->handle(std::move(content)); }, command);
        });
    });
}

auto PeerTask::listen(const std::string &address) -> Result<std::string>
{
    auto port = 0;
    auto builder = grpc::ServerBuilder();
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&this->service);
    builder.SetMaxReceiveMessageSize(longestMessage);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               keepaliveInterval / 2);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    this->queue = builder.AddCompletionQueue();
    this->server = builder.BuildAndStart();
    if (this->server == nullptr || port == 0) {
        this->queue->Shutdown();
        this->queue.reset();
        return Error{Step::PeerCall, address, "the peer listener can't be opened"};
    }
    this->waiter = std::thread([this] {
        auto completion = LinkCompletion();
        while (this->queue->Next(&completion.tag, &completion.ok))
            this->mailbox.post(completion);
    });
    return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

auto PeerTask::start() -> void
{
    this->thread.run([this] { this->acceptLink(); });
}

auto PeerTask::stop() -> void
{
    if (std::exchange(this->stopped, true))
        return;
    if (this->server != nullptr) {
        this->thread.run([this] { this->closeAll(); });
        this->server->Shutdown(std::chrono::system_clock::now());
        this->thread.run([this] {
            while (!this->links.empty())
                g_main_context_iteration(this->thread.context(), TRUE);
        });
        this->queue->Shutdown();
        this->waiter.join();
    }
    this->thread.run([this] { this->mailbox.detach(); });
    this->thread.stop();
}

auto PeerTask::closeAll() -> void
{
    this->stopping = true;
    for (auto &[key, link] : this->links) {
        link->failed = true;
        cancelLink(*link);
    }
}

auto PeerTask::handle(SendLeafRequest &&send) -> void
{
    const auto *peer = this->view == nullptr ? nullptr : findPeer(*this->view, send.holder);
    if (peer == nullptr || this->stopping)
        return this->refuse(send.request, {});
    this->enqueue(this->linkTo(peer->address, send.holder), std::move(send.request));
}

auto PeerTask::handle(SendCancel &&send) -> void
{
    const auto *peer = this->view == nullptr ? nullptr : findPeer(*this->view, send.holder);
    if (peer == nullptr)
        return;
    // Without a stream the holder doesn't know the request any more.
    const auto found = this->outgoing.find(peer->address);
    if (found != this->outgoing.end())
        this->enqueue(*found->second, send.cancel);
}

auto PeerTask::handle(SendLeafReply &&reply) -> void
{
    this->sendDown(reply.origin, OriginatedReply{reply.origin, std::move(reply.reply)});
}

auto PeerTask::handle(ControlToPeer &&message) -> void
{
    if (this->stopping)
        return;
    const auto handlers = Overloaded{
            [&](SendHeartbeat &&send) { this->sendHeartbeat(std::move(send)); },
            [&](SendHeartbeatReply &&send) { this->sendDown(send.to, std::move(send.reply)); },
            [&](SendFetchState &&send) {
                this->enqueue(this->linkTo(send.address, {}), send.fetch);
            },
            [&](SendFetchedState &&send) { this->sendDown(send.to, std::move(send.state)); }};
    std::visit(handlers, std::move(message));
}

auto PeerTask::sendHeartbeat(SendHeartbeat &&send) -> void
{
    const auto now = decisionNow();
    const auto found = this->outgoing.find(send.address);
    if (found != this->outgoing.end() && found->second->unansweredSince
        && now - *found->second->unansweredSince > silentAfter) {
        logEvent(LogEvent::PeerLinkSilent, {{"address", send.address}});
        this->fail(*found->second);
    }
    auto &link = this->linkTo(send.address, {});
    if (!link.unansweredSince)
        link.unansweredSince = now;
    this->enqueue(link, std::move(send.heartbeat));
}

auto PeerTask::sendDown(InstanceId to, PeerPayload &&payload) -> void
{
    const auto found = this->incoming.find(to);
    if (found != this->incoming.end())
        this->enqueue(*found->second, std::move(payload));
}

auto PeerTask::linkTo(std::string_view address, InstanceId peer) -> PeerLink &
{
    auto key = std::string(address);
    const auto found = this->outgoing.find(key);
    auto &link = found == this->outgoing.end() ? this->openLink(key) : *found->second;
    if (peer != InstanceId())
        link.peer = peer;
    return link;
}

auto PeerTask::openLink(const std::string &address) -> PeerLink &
{
    auto owned = std::make_unique<PeerLink>();
    auto &link = *owned;
    link.address = address;
    link.channel = makeChannel(address, ++this->lastChannel);
    link.stub = wire::Peer::NewStub(link.channel);
    link.clientContext = std::make_unique<grpc::ClientContext>();
    link.up = link.stub->PrepareAsyncLink(link.clientContext.get(), this->queue.get());
    link.up->StartCall(startTag(link, LinkOperation::Open));
    this->links.emplace(&link, std::move(owned));
    this->outgoing.insert_or_assign(address, &link);
    return link;
}

auto PeerTask::acceptLink() -> void
{
    auto owned = std::make_unique<PeerLink>();
    auto &link = *owned;
    link.serverContext = std::make_unique<grpc::ServerContext>();
    link.down
            = std::make_unique<grpc::ServerAsyncReaderWriter<wire::PeerMessage, wire::PeerMessage>>(
                    link.serverContext.get());
    this->service.RequestLink(link.serverContext.get(), link.down.get(), this->queue.get(),
                              this->queue.get(), startTag(link, LinkOperation::Open));
    this->links.emplace(&link, std::move(owned));
}

auto PeerTask::handle(LinkCompletion &&completion) -> void
{
    const auto tag = *static_cast<LinkTag *>(completion.tag);
    auto &link = *tag.link;
    --link.pending;
    if (tag.operation == LinkOperation::Finish
        || (!isOutgoing(link) && !link.open && !completion.ok
            && tag.operation == LinkOperation::Open)) {
        this->links.erase(&link);
        return;
    }
    if (tag.operation == LinkOperation::Open && !isOutgoing(link))
        this->accepted(link);
    if (!completion.ok && !link.failed)
        this->fail(link);
    if (link.failed)
        return this->finishIfIdle(link);
    switch (tag.operation) {
    case LinkOperation::Open:
        if (isOutgoing(link))
            link.up->ReadInitialMetadata(startTag(link, LinkOperation::Metadata));
        else
            link.down->SendInitialMetadata(startTag(link, LinkOperation::Metadata));
        break;
    case LinkOperation::Metadata:
        this->opened(link);
        break;
    case LinkOperation::Read:
        this->received(link);
        break;
    case LinkOperation::Write:
        link.writing = false;
        this->writeNext(link);
        break;
    case LinkOperation::Finish:
    case LinkOperation::Count:
        break;
    }
}

// A peer has opened a stream; the next one may come.
auto PeerTask::accepted(PeerLink &link) -> void
{
    link.open = true;
    if (this->stopping) {
        link.failed = true;
        cancelLink(link);
        return;
    }
    this->acceptLink();
}

// The peer has accepted the stream; before that nothing is written, so that a message that waits
// has provably not been sent.
auto PeerTask::opened(PeerLink &link) -> void
{
    link.open = true;
    if (isOutgoing(link)) {
        logEvent(LogEvent::PeerLinkOpened, {{"address", link.address}});
        this->outlets.control(PeerConnected{link.address});
    }
    this->startRead(link);
    this->writeNext(link);
}

auto PeerTask::startRead(PeerLink &link) -> void
{
    auto *const tag = startTag(link, LinkOperation::Read);
    if (isOutgoing(link))
        link.up->Read(&link.read, tag);
    else
        link.down->Read(&link.read, tag);
}

auto PeerTask::enqueue(PeerLink &link, PeerPayload &&payload) -> void
{
    if (isHeartbeat(payload)) {
        // Heartbeats don't wait behind leaf requests; of those that wait the newest counts.
        if (!link.waiting.empty() && isHeartbeat(link.waiting.front()))
            link.waiting.front() = std::move(payload);
        else
            link.waiting.push_front(std::move(payload));
    } else if (link.waiting.size() < queueLimit) {
        link.waiting.push_back(std::move(payload));
    } else if (const auto *request = std::get_if<LeafRequest>(&payload)) {
        this->refuse(*request, link.address);
    }
    this->writeNext(link);
}

auto PeerTask::writeNext(PeerLink &link) -> void
{
    if (!link.open || link.failed || link.writing || link.waiting.empty())
        return;
    link.written.Clear();
    encode(link.waiting.front(), decisionNow(), link.written);
    link.waiting.pop_front();
    link.writing = true;
    // Messages that follow at once are sent in one piece with this one.
    auto options = grpc::WriteOptions();
    if (!link.waiting.empty())
        options.set_buffer_hint();
    auto *const tag = startTag(link, LinkOperation::Write);
    if (isOutgoing(link))
        link.up->Write(link.written, options, tag);
    else
        link.down->Write(link.written, options, tag);
}

auto PeerTask::received(PeerLink &link) -> void
{
    auto decoded = decode(link.read, decisionNow());
    this->startRead(link);
    if (isError(decoded)) {
        logEvent(LogEvent::PeerMessageInvalid,
                 {{"address", link.address}, {"error", describe(std::get<Error>(decoded))}});
        return;
    }
    this->deliver(link, std::get<PeerPayload>(std::move(decoded)));
}

auto PeerTask::deliver(PeerLink &link, PeerPayload &&payload) -> void
{
    const auto handlers
            = Overloaded{[&](LeafRequest &&request) {
                             this->learnPeer(link, request.origin);
                             this->outlets.dispatch(std::move(request));
                         },
                         [&](OriginatedReply &&originated) {
                             if (originated.origin == this->outlets.self)
                                 this->outlets.query(std::move(originated.reply));
                         },
                         [&](CancelLeafRequest &&cancel) { this->outlets.dispatch(cancel); },
                         [&](Heartbeat &&heartbeat) {
                             this->learnPeer(link, heartbeat.from.id);
                             this->outlets.control(std::move(heartbeat));
                         },
                         [&](HeartbeatReply &&reply) {
                             link.unansweredSince.reset();
                             if (isOutgoing(link))
                                 link.peer = reply.state.from.id;
                             this->outlets.control(std::move(reply));
                         },
                         [&](FetchState &&fetch) {
                             this->learnPeer(link, fetch.from);
                             this->outlets.control(fetch);
                         },
                         [&](FetchedState &&state) { this->outlets.control(std::move(state)); }};
    std::visit(handlers, std::move(payload));
}

auto PeerTask::learnPeer(PeerLink &link, InstanceId peer) -> void
{
    if (isOutgoing(link) || link.peer == peer)
        return;
    link.peer = peer;
    this->incoming.insert_or_assign(peer, &link);
}

// Takes a stream out of use and reports what was lost with it.
auto PeerTask::fail(PeerLink &link) -> void
{
    link.failed = true;
    cancelLink(link);
    if (!isOutgoing(link)) {
        const auto found = this->incoming.find(link.peer);
        if (found != this->incoming.end() && found->second == &link)
            this->incoming.erase(found);
        return this->finishIfIdle(link);
    }
    const auto found = this->outgoing.find(link.address);
    if (found != this->outgoing.end() && found->second == &link)
        this->outgoing.erase(found);
    if (link.open)
        logEvent(LogEvent::PeerLinkLost, {{"address", link.address}});
    for (const auto &payload : link.waiting) {
        if (const auto *request = std::get_if<LeafRequest>(&payload))
            this->refuse(*request, link.address);
    }
    link.waiting.clear();
    if (link.open && link.peer != InstanceId())
        this->outlets.query(HolderDisconnected{link.peer});
    this->outlets.control(PeerDisconnected{link.address});
}

auto PeerTask::refuse(const LeafRequest &request, std::string_view peer) -> void
{
    auto reply = LeafReply();
    reply.attempt = request.attempt;
    reply.leaf = request.leaf;
    reply.shard = request.shard;
    reply.outcome = Outcome::NotRun;
    reply.reason = Reason::HolderUnreachable;
    reply.step = Step::PeerCall;
    reply.peer = peer;
    this->outlets.query(std::move(reply));
}

auto PeerTask::finishIfIdle(PeerLink &link) -> void
{
    if (link.pending > 0 || link.finishing)
        return;
    link.finishing = true;
    auto *const tag = startTag(link, LinkOperation::Finish);
    if (isOutgoing(link))
        link.up->Finish(&link.status, tag);
    else
        link.down->Finish(grpc::Status::OK, tag);
}

} // namespace crocusreach

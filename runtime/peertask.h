#pragma once

#include "base/mailbox.h"
#include "controltask.h"
#include "core/control.h"
#include "core/dispatch.h"
#include "core/query.h"
#include "peerlink.h"

#include <grpcpp/grpcpp.h>
#include <peer.grpc.pb.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <variant>

// The task that owns the streams to and from other instances.

namespace crocusreach {

// An operation of gRPC on a stream that has ended. Posted by the thread that waits for gRPC.
struct LinkCompletion
{
    void *tag = nullptr;
    bool ok = false;
};

using PeerCommand = std::variant<SendLeafRequest, SendCancel, SendLeafReply, ControlToPeer,
                                 ViewChanged, LinkCompletion>;

struct PeerOutlets
{
    InstanceId self = {};
    std::function<auto(QueryEvent &&)->void> query;
    std::function<auto(DispatchEvent &&)->void> dispatch;
    std::function<auto(ControlEvent &&)->void> control;
};

// Keeps one stream to each peer that something was sent to; what the peer replies comes down the
// same stream. A lost stream is opened again by the next message. A leaf request that was still
// waiting for its stream is reported as not run.
class PeerTask
{
public:
    explicit PeerTask(PeerOutlets outlets);
    PeerTask(const PeerTask &) = delete;
    auto operator=(const PeerTask &) -> PeerTask & = delete;
    ~PeerTask() { this->stop(); }

    // Opens the listener and returns its real address. To be called once.
    auto listen(const std::string &address) -> Result<std::string>;
    // Accepts streams. Streams that peers opened earlier wait until then.
    auto start() -> void;
    auto post(PeerCommand command) -> void { this->mailbox.post(std::move(command)); }
    // Cancels all streams and ends the threads.
    auto stop() -> void;

private:
    auto handle(SendLeafRequest &&send) -> void;
    auto handle(SendCancel &&send) -> void;
    auto handle(SendLeafReply &&reply) -> void;
    auto handle(ControlToPeer &&message) -> void;
    auto handle(ViewChanged &&change) -> void { this->view = std::move(change.view); }
    auto handle(LinkCompletion &&completion) -> void;

    auto sendHeartbeat(SendHeartbeat &&send) -> void;
    auto sendDown(InstanceId to, PeerPayload &&payload) -> void;
    auto linkTo(std::string_view address, InstanceId peer) -> PeerLink &;
    auto openLink(const std::string &address) -> PeerLink &;
    auto acceptLink() -> void;
    auto accepted(PeerLink &link) -> void;
    auto opened(PeerLink &link) -> void;
    auto startRead(PeerLink &link) -> void;
    auto enqueue(PeerLink &link, PeerPayload &&payload) -> void;
    auto writeNext(PeerLink &link) -> void;
    auto received(PeerLink &link) -> void;
    auto deliver(PeerLink &link, PeerPayload &&payload) -> void;
    auto learnPeer(PeerLink &link, InstanceId peer) -> void;
    auto fail(PeerLink &link) -> void;
    auto refuse(const LeafRequest &request, std::string_view peer) -> void;
    auto finishIfIdle(PeerLink &link) -> void;
    auto closeAll() -> void;

    PeerOutlets outlets;
    MainThread thread;
    Mailbox<PeerCommand> mailbox;
    wire::Peer::AsyncService service;
    std::unique_ptr<grpc::ServerCompletionQueue> queue;
    std::unique_ptr<grpc::Server> server;
    std::thread waiter; // blocks on the queue
    ClusterViewPtr view;
    std::unordered_map<PeerLink *, std::unique_ptr<PeerLink>> links;
    std::unordered_map<std::string, PeerLink *> outgoing; // by address
    std::unordered_map<InstanceId, PeerLink *> incoming; // the newest stream from a peer
    int lastChannel = 0;
    bool stopping = false;
    bool stopped = false;
};

} // namespace crocusreach

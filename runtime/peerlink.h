#pragma once

#include "core/types.h"
#include "wire/codec.h"

#include <grpcpp/grpcpp.h>
#include <peer.grpc.pb.h>

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>

// The state of one stream between two instances, owned by the peer task.

namespace crocusreach {

struct PeerLink;

enum class LinkOperation : std::uint8_t { Open, Metadata, Read, Write, Finish, Count };

struct LinkTag
{
    PeerLink *link = nullptr;
    LinkOperation operation = LinkOperation::Open;
};

// One stream, opened by this instance (with an address) or by a peer.
struct PeerLink
{
    std::string address; // empty if the peer opened it
    InstanceId peer = {};
    std::array<LinkTag, static_cast<std::size_t>(LinkOperation::Count)> tags;
    std::size_t pending = 0; // operations that gRPC has not completed
    bool open = false;
    bool failed = false;
    bool finishing = false;
    bool writing = false;
    std::optional<TimePoint> unansweredSince; // the first heartbeat without a reply
    std::deque<PeerPayload> waiting;
    wire::PeerMessage read;
    wire::PeerMessage written;

    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<wire::Peer::Stub> stub;
    std::unique_ptr<grpc::ClientContext> clientContext;
    std::unique_ptr<grpc::ClientAsyncReaderWriter<wire::PeerMessage, wire::PeerMessage>> up;
    std::unique_ptr<grpc::ServerContext> serverContext;
    std::unique_ptr<grpc::ServerAsyncReaderWriter<wire::PeerMessage, wire::PeerMessage>> down;
    grpc::Status status;
};

} // namespace crocusreach

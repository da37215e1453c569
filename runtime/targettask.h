#pragma once

#include "base/gobject.h"
#include "base/mailbox.h"
#include "boundedread.h"
#include "core/dispatch.h"

#include <libsoup/soup.h>

#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>

// The task that owns the connections to targets and speaks their HTTP protocol.

namespace crocusreach {

using TargetMessage
        = std::variant<SendTargetRequest, ProbeTarget, CancelTargetRequest, CloseTargetConnections>;

// Receives a TargetReply for each SendTargetRequest and a ProbeReply for each ProbeTarget. Called
// in the task's thread; it posts to the dispatch task.
using TargetOutlet = std::function<auto(DispatchEvent &&)->void>;

// Each connection is a session of libsoup limited to one connection, since a session chooses among
// its connections by itself. No request is sent twice: libsoup resends a request when a reused
// connection closes before the reply, which is cancelled here.
class TargetTask
{
public:
    explicit TargetTask(TargetOutlet outlet);
    TargetTask(const TargetTask &) = delete;
    auto operator=(const TargetTask &) -> TargetTask & = delete;
    ~TargetTask() { this->stop(); }

    auto post(TargetMessage message) -> void { this->mailbox.post(std::move(message)); }
    // Closes all connections and ends the thread. Requests still running get no reply.
    auto stop() -> void;

private:
    struct Connection
    {
        ObjectPtr<SoupSession> session;
        bool busy = false;
        bool dropWhenIdle = false;
    };

    // One request from its send to its only reply.
    struct Exchange
    {
        TargetTask *task = nullptr;
        SendTargetRequest request;
        ObjectPtr<SoupSession> session;
        ObjectPtr<SoupMessage> message;
        ObjectPtr<GCancellable> cancellable;
        TimePoint startedAt = {};
        TimePoint connectStartedAt = {};
        Duration connecting = {};
        bool sent = false; // at least a part of it may have reached the target
        bool connected = false;
        bool connectionRefused = false; // libsoup was to open a connection that isn't allowed
        bool resendRefused = false;
        bool cancelled = false;
        bool closeConnection = false;
    };

    struct Probe
    {
        LeafId leaf = {};
        ObjectPtr<SoupSession> session;
        ObjectPtr<SoupMessage> message;
        ObjectPtr<GCancellable> cancellable;
    };

    using ConnectionKey = std::pair<LeafId, ConnectionIndex>;

    auto handle(SendTargetRequest &&request) -> void;
    auto handle(ProbeTarget &&request) -> void;
    auto handle(CancelTargetRequest &&request) -> void;
    auto handle(CloseTargetConnections &&request) -> void;
    auto complete(Exchange &exchange, std::string_view body, const GError *error) -> void;
    auto complete(const Probe &probe, const GError *error) -> void;
    auto release(const Exchange &exchange, bool connectionOpen) -> void;

    static auto watch(Exchange &exchange) -> void;
    static auto onNetworkEvent(SoupMessage *message, GSocketClientEvent event, GIOStream *stream,
                               gpointer data) -> void;
    static auto onStarting(SoupMessage *message, gpointer data) -> void;
    static auto onRestarted(SoupMessage *message, gpointer data) -> void;

    TargetOutlet outlet;
    MainThread thread;
    Mailbox<TargetMessage> mailbox;
    std::map<ConnectionKey, Connection> connections;
    ObjectPtr<SoupSession> probeSession;
    std::unordered_map<SendId, std::unique_ptr<Exchange>> exchanges;
    std::size_t probesRunning = 0;
    ReplyBudget budget;
    bool stopping = false;
};

} // namespace crocusreach

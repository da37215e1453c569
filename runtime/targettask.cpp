#include "targettask.h"

#include "base/clock.h"
#include "targetreply.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <charconv>

namespace crocusreach {

namespace {

// Longer than any deadline of a request (3 s); ends a request that nobody cancels.
constexpr guint socketTimeoutSeconds = 5;
constexpr guint probeTimeoutSeconds = 1;
// Ends a reply that goes on and on. Nobody waits for it any more.
constexpr Duration maxExchangeTime = std::chrono::seconds(10);
// Several probe intervals (1 s), so that only leafs that are probed no more lose their connection.
constexpr guint probeIdleSeconds = 5;
constexpr int mostProbeConnections = 10000;

// A session with at most one connection to each target.
auto makeSession(int mostConnections, guint idleSeconds, guint timeoutSeconds)
        -> ObjectPtr<SoupSession>
{
    auto session = ObjectPtr<SoupSession>(soup_session_new_with_options(
            "max-conns", mostConnections, "max-conns-per-host", 1, "idle-timeout", idleSeconds,
            "timeout", timeoutSeconds, "proxy-resolver", nullptr, nullptr));
    soup_session_remove_feature_by_type(session.get(), SOUP_TYPE_CONTENT_DECODER);
    soup_session_remove_feature_by_type(session.get(), SOUP_TYPE_AUTH_MANAGER);
    return session;
}

auto makeMessage(const char *method, std::string_view address, std::string_view path)
        -> ObjectPtr<SoupMessage>
{
    auto uri = std::string("http://");
    uri.append(address).append(path);
    auto message = ObjectPtr<SoupMessage>(soup_message_new(method, uri.c_str()));
    if (message != nullptr)
        soup_message_add_flags(message.get(), SOUP_MESSAGE_NO_REDIRECT);
    return message;
}

auto setNumber(SoupMessageHeaders *headers, const char *name, std::int64_t value) -> void
{
    auto text = std::array<char, 24>();
    std::to_chars(text.data(), text.data() + text.size() - 1, value);
    soup_message_headers_replace(headers, name, text.data());
}

auto setHeaders(SoupMessageHeaders *headers, const SendTargetRequest &request) -> void
{
    const auto left
            = std::chrono::floor<std::chrono::milliseconds>(request.deadline - decisionNow());
    const auto deadline = (wallNow() + left).time_since_epoch().count();
    setNumber(headers, "X-Deadline-Unix-Ms", deadline);
    setNumber(headers, "X-Index-Version", static_cast<std::int64_t>(toUnderlying(request.version)));
    setNumber(headers, "X-Layout", toUnderlying(request.layout));
    setNumber(headers, "X-Shard", toUnderlying(request.shard));
    if (!request.requestId.empty())
        soup_message_headers_replace(headers, "X-Request-Id", request.requestId.c_str());
}

// Bytes that keep the shared text alive instead of copying it.
auto shareBody(const std::shared_ptr<const std::string> &body) -> BytesPtr
{
    using Holder = std::shared_ptr<const std::string>;
    auto holder = std::make_unique<Holder>(body);
    const auto &text = **holder;
    const auto freeHolder = [](gpointer data) { delete static_cast<Holder *>(data); };
    return BytesPtr(
            g_bytes_new_with_free_func(text.data(), text.size(), freeHolder, holder.release()));
}

} // namespace

TargetTask::TargetTask(TargetOutlet outlet)
    : outlet(std::move(outlet))
    , thread("target")
{
    this->thread.run([this] {
        this->probeSession
                = makeSession(mostProbeConnections, probeIdleSeconds, probeTimeoutSeconds);
        this->mailbox.attach(this->thread.context(), [this](TargetMessage &&message) {
            std::visit([this](auto &content) { this->handle(std::move(content)); }, message);
        });
    });
}

auto TargetTask::stop() -> void
{
    if (std::exchange(this->stopping, true))
        return;
    this->thread.run([this] {
        this->mailbox.detach();
        for (auto &[id, exchange] : this->exchanges)
            g_cancellable_cancel(exchange->cancellable.get());
        soup_session_abort(this->probeSession.get());
        while (!this->exchanges.empty() || this->probesRunning > 0)
            g_main_context_iteration(this->thread.context(), TRUE);
        this->connections.clear();
        this->probeSession.reset();
    });
    this->thread.stop();
}

auto TargetTask::handle(SendTargetRequest &&request) -> void
{
    auto owned = std::make_unique<Exchange>();
    auto &exchange = *owned;
    exchange.task = this;
    exchange.startedAt = decisionNow();
    exchange.request = std::move(request);
    exchange.message = makeMessage(SOUP_METHOD_POST, exchange.request.address, "/v1/search");
    if (exchange.message == nullptr) {
        auto reply = TargetReply{exchange.request.send, exchange.request.leaf};
        reply.outcome = Outcome::NotRun;
        reply.reason = Reason::ConnectFailed;
        return this->outlet(std::move(reply));
    }

    auto &connection = this->connections[{exchange.request.leaf, exchange.request.connection}];
    if (connection.session == nullptr)
        connection.session = makeSession(1, 0, socketTimeoutSeconds);
    connection.busy = true;
    exchange.session = shareObject(connection.session.get());
    exchange.cancellable.reset(g_cancellable_new());

    auto *message = exchange.message.get();
    // Without the flag libsoup opens a new connection for each POST.
    soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
    setHeaders(soup_message_get_request_headers(message), exchange.request);
    const auto body = shareBody(exchange.request.body);
    soup_message_set_request_body_from_bytes(message, "text/plain; charset=utf-8", body.get());
    TargetTask::watch(exchange);
    const auto id = exchange.request.send;
    this->exchanges.insert_or_assign(id, std::move(owned));
    sendAndRead(exchange.session.get(), message, exchange.cancellable.get(), this->budget,
                maxExchangeTime, [this, &exchange](std::string_view body, const GError *error) {
                    g_signal_handlers_disconnect_by_data(exchange.message.get(), &exchange);
                    this->complete(exchange, body, error);
                });
}

auto TargetTask::handle(ProbeTarget &&request) -> void
{
    auto message = makeMessage(SOUP_METHOD_GET, request.address, "/v1/health");
    if (message == nullptr)
        return this->outlet(ProbeReply{request.leaf, false, {}, {}, 0});
    // One session for the probes of all leafs: each session adds a source that every turn of the
    // loop looks at. libsoup closes a connection whose probe has failed.
    auto session = request.newConnection ? makeSession(1, 0, probeTimeoutSeconds)
                                         : shareObject(this->probeSession.get());
    auto probe = std::make_shared<Probe>();
    probe->leaf = request.leaf;
    probe->session = std::move(session);
    probe->message = std::move(message);
    probe->cancellable.reset(g_cancellable_new());
    ++this->probesRunning;
    sendAndRead(probe->session.get(), probe->message.get(), probe->cancellable.get(), this->budget,
                std::chrono::seconds(probeTimeoutSeconds),
                [this, probe](std::string_view /*body*/, const GError *error) {
                    this->complete(*probe, error);
                });
}

auto TargetTask::handle(CancelTargetRequest &&request) -> void
{
    const auto found = this->exchanges.find(request.send);
    if (found == this->exchanges.end())
        return;
    auto &exchange = *found->second;
    // Cancelling a request that was sent closes its connection. Unless that is wanted, the request
    // goes on, so that its reply tells when the target's slot is free.
    if (exchange.sent && !request.closeConnection)
        return;
    exchange.cancelled = true;
    exchange.closeConnection = request.closeConnection;
    g_cancellable_cancel(exchange.cancellable.get());
}

auto TargetTask::handle(CloseTargetConnections &&request) -> void
{
    const auto first = this->connections.lower_bound({request.leaf, ConnectionIndex(0)});
    for (auto current = first;
         current != this->connections.end() && current->first.first == request.leaf;) {
        if (current->second.busy) {
            current->second.dropWhenIdle = true;
            ++current;
        } else {
            soup_session_abort(current->second.session.get());
            current = this->connections.erase(current);
        }
    }
}

auto TargetTask::watch(Exchange &exchange) -> void
{
    auto *message = exchange.message.get();
    g_signal_connect(message, "network-event", G_CALLBACK(&TargetTask::onNetworkEvent), &exchange);
    g_signal_connect(message, "starting", G_CALLBACK(&TargetTask::onStarting), &exchange);
    g_signal_connect(message, "restarted", G_CALLBACK(&TargetTask::onRestarted), &exchange);
}

auto TargetTask::onNetworkEvent(SoupMessage * /*message*/, GSocketClientEvent event,
                                GIOStream *stream, gpointer data) -> void
{
    auto &exchange = *static_cast<Exchange *>(data);
    const auto now = decisionNow();
    if (exchange.connectStartedAt == TimePoint())
        exchange.connectStartedAt = now;
    if (!exchange.request.allowConnect || exchange.sent) {
        exchange.connectionRefused = true;
        g_cancellable_cancel(exchange.cancellable.get());
        return;
    }
    // libsoup writes head and body apart; the body must not wait for an acknowledgement.
    if (event == G_SOCKET_CLIENT_CONNECTED)
        g_socket_set_option(g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream)),
                            IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    if (event != G_SOCKET_CLIENT_COMPLETE)
        return;
    exchange.connected = true;
    exchange.connecting = now - exchange.connectStartedAt;
}

// Emitted when a connection is there and the request is about to be written.
auto TargetTask::onStarting(SoupMessage * /*message*/, gpointer data) -> void
{
    auto &exchange = *static_cast<Exchange *>(data);
    if (!g_cancellable_is_cancelled(exchange.cancellable.get()))
        exchange.sent = true;
}

// Emitted when libsoup is about to send the request again.
auto TargetTask::onRestarted(SoupMessage * /*message*/, gpointer data) -> void
{
    auto &exchange = *static_cast<Exchange *>(data);
    exchange.resendRefused = true;
    g_cancellable_cancel(exchange.cancellable.get());
}

auto TargetTask::complete(Exchange &exchange, std::string_view body, const GError *error) -> void
{
    const auto &request = exchange.request;
    auto reply = TargetReply{request.send, request.leaf};
    reply.openedConnection = exchange.connected;
    reply.connecting = exchange.connecting;
    reply.elapsed = decisionNow() - exchange.startedAt;
    if (error == nullptr) {
        auto *message = exchange.message.get();
        auto *headers = soup_message_get_response_headers(message);
        readTargetHeaders(headers, reply);
        readTargetResult(soup_message_get_status(message), headers, body, reply);
        const auto otherLayout = toUnderlying(reply.layout) != 0 && reply.layout != request.layout;
        if (reply.reason == Reason::VersionNotServed && otherLayout)
            reply.reason = Reason::LayoutNotServed;
        reply.connectionOpen
                = soup_message_is_keepalive(message) != FALSE && !exchange.closeConnection;
    } else {
        reply.outcome = exchange.sent ? Outcome::Unknown : Outcome::NotRun;
        const auto lost = exchange.sent || (exchange.connectionRefused && !request.allowConnect);
        reply.reason = lost ? Reason::ConnectionLost : Reason::ConnectFailed;
        if (exchange.cancelled)
            reply.reason = Reason::Cancelled;
    }
    this->release(exchange, reply.connectionOpen);
    const auto send = request.send;
    this->exchanges.erase(send);
    if (!this->stopping)
        this->outlet(std::move(reply));
}

auto TargetTask::release(const Exchange &exchange, bool connectionOpen) -> void
{
    const auto found = this->connections.find({exchange.request.leaf, exchange.request.connection});
    if (found == this->connections.end() || found->second.session != exchange.session)
        return;
    found->second.busy = false;
    if (connectionOpen && !found->second.dropWhenIdle)
        return;
    soup_session_abort(found->second.session.get());
    this->connections.erase(found);
}

auto TargetTask::complete(const Probe &probe, const GError *error) -> void
{
    --this->probesRunning;
    auto headers = TargetReply();
    if (error == nullptr)
        readTargetHeaders(soup_message_get_response_headers(probe.message.get()), headers);
    if (this->stopping)
        return;
    this->outlet(ProbeReply{probe.leaf, error == nullptr, std::move(headers.startId), headers.state,
                            headers.load});
}

} // namespace crocusreach

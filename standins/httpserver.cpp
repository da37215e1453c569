#include "httpserver.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <stdexcept>

namespace crocusreach::standins {

namespace {

// True if the peer has closed its end, or the socket is closed.
auto isClosed(GSocket *socket) -> bool
{
    if (g_socket_is_closed(socket) != FALSE)
        return true;
    auto byte = char();
    const auto count = recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

auto portOf(GSocketAddress *address) -> std::uint16_t
{
    return g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address));
}

[[noreturn]] auto fail(const std::string &what, GError *error) -> void
{
    const auto text = what + ": " + (error != nullptr ? error->message : "unknown error");
    g_clear_error(&error);
    throw std::runtime_error(text);
}

} // namespace

auto splitAddress(std::string_view address) -> std::pair<std::string, std::uint16_t>
{
    const auto colon = address.rfind(':');
    auto port = std::uint16_t();
    if (colon == std::string_view::npos
        || std::from_chars(address.data() + colon + 1, address.data() + address.size(), port).ec
                   != std::errc())
        throw std::runtime_error("not an IP:port: " + std::string(address));
    return {std::string(address.substr(0, colon)), port};
}

Exchange::Exchange(HttpServer &server, SoupServerMessage *message, std::uint16_t port)
    : server(&server)
    , message(SOUP_SERVER_MESSAGE(g_object_ref(message)))
    , port(port)
{ }

Exchange::~Exchange()
{
    if (!this->answered)
        this->closeConnection();
}

auto Exchange::method() const -> std::string_view
{
    return soup_server_message_get_method(this->message.get());
}

auto Exchange::path() const -> std::string_view
{
    return g_uri_get_path(soup_server_message_get_uri(this->message.get()));
}

auto Exchange::body() const -> std::string_view
{
    const auto *body = soup_server_message_get_request_body(this->message.get());
    return {body->data, static_cast<std::size_t>(body->length)};
}

auto Exchange::header(const char *name) const -> std::string
{
    const auto *value = soup_message_headers_get_one(
            soup_server_message_get_request_headers(this->message.get()), name);
    return value != nullptr ? value : "";
}

auto Exchange::parameter(std::string_view name) const -> std::string
{
    const auto *query = g_uri_get_query(soup_server_message_get_uri(this->message.get()));
    if (query == nullptr)
        return {};
    auto *form = soup_form_decode(query);
    const auto *value
            = static_cast<const char *>(g_hash_table_lookup(form, std::string(name).c_str()));
    auto text = std::string(value != nullptr ? value : "");
    g_hash_table_destroy(form);
    return text;
}

auto Exchange::reply(unsigned status, const Headers &headers, std::string_view body) -> void
{
    if (this->answered)
        return;
    const auto *connection = this->server->find(this->port);
    if (connection != nullptr && connection->silent && !isClosed(connection->socket.get())) {
        this->server->keepSilent(this->shared_from_this());
        return;
    }
    this->answered = true;
    this->disconnect = {};
    auto *response = soup_server_message_get_response_headers(this->message.get());
    for (const auto &[name, value] : headers)
        soup_message_headers_replace(response, name.c_str(), value.c_str());
    soup_server_message_set_status(this->message.get(), status, nullptr);
    soup_server_message_set_response(this->message.get(), "application/json", SOUP_MEMORY_COPY,
                                     body.data(), body.size());
    soup_server_message_unpause(this->message.get());
}

auto Exchange::closeConnection() -> void
{
    if (this->answered)
        return;
    if (auto *connection = this->server->find(this->port); connection != nullptr)
        g_socket_shutdown(connection->socket.get(), TRUE, TRUE, nullptr);
    // libsoup notices the closed socket when it tries to write.
    this->reply(SOUP_STATUS_INTERNAL_SERVER_ERROR, {}, {});
}

auto Exchange::onDisconnect(std::function<auto()->void> function) -> void
{
    auto *connection = this->server->find(this->port);
    if (connection == nullptr)
        return;
    auto *socket = connection->socket.get();
    auto *source = g_socket_create_source(socket, G_IO_IN, nullptr);
    // Sources of sockets pass the socket and the condition to their callback, so it is replaced.
    using Watch = std::pair<GSocket *, std::function<auto()->void>>;
    const GSocketSourceFunc readable = [](GSocket *, GIOCondition, gpointer data) -> gboolean {
        const auto watch = *static_cast<Watch *>(data);
        if (isClosed(watch.first))
            watch.second();
        return G_SOURCE_REMOVE;
    };
    this->disconnect = Source(source, [] {});
    g_source_set_callback(source, G_SOURCE_FUNC(readable), new Watch(socket, std::move(function)),
                          [](gpointer data) { delete static_cast<Watch *>(data); });
}

auto Exchange::isConnected() const -> bool
{
    const auto *connection = this->server->find(this->port);
    return connection != nullptr && !isClosed(connection->socket.get());
}

HttpServer::HttpServer(std::string_view address, Handler handler)
    : listenAddress(address)
    , handler(std::move(handler))
    , server(soup_server_new(nullptr, nullptr))
{
    soup_server_add_handler(
            this->server.get(), nullptr,
            [](SoupServer *, SoupServerMessage *message, const char *, GHashTable *,
               gpointer data) { static_cast<HttpServer *>(data)->serve(message); },
            this, nullptr);
    // libsoup keeps a connection after its first request only while the server has a listener of
    // its own; this one is never connected to.
    auto *error = static_cast<GError *>(nullptr);
    if (soup_server_listen_local(this->server.get(), 0, SOUP_SERVER_LISTEN_IPV4_ONLY, &error)
        == FALSE)
        fail("listen", error);
    this->bindSocket();
    this->refuseConnections(false);
}

HttpServer::~HttpServer()
{
    this->accepting = {};
    this->silenced.clear();
    this->closeConnections();
    soup_server_disconnect(this->server.get());
}

auto HttpServer::bindSocket() -> void
{
    const auto [host, port] = splitAddress(this->listenAddress);
    auto *error = static_cast<GError *>(nullptr);
    this->listener.reset(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, &error));
    if (this->listener == nullptr)
        fail("socket", error);
    const auto address
            = ObjectPtr<GSocketAddress>(g_inet_socket_address_new_from_string(host.c_str(), port));
    if (address == nullptr
        || g_socket_bind(this->listener.get(), address.get(), TRUE, &error) == FALSE)
        fail("bind " + this->listenAddress, error);
    g_socket_set_blocking(this->listener.get(), FALSE);
    const auto bound
            = ObjectPtr<GSocketAddress>(g_socket_get_local_address(this->listener.get(), nullptr));
    this->listenAddress = host + ":" + std::to_string(portOf(bound.get()));
}

auto HttpServer::refuseConnections(bool refuse) -> void
{
    this->accepting = {};
    if (refuse) {
        // A bound socket that doesn't listen keeps the port, and the kernel refuses connections.
        g_socket_close(this->listener.get(), nullptr);
        this->bindSocket();
        return;
    }
    auto *error = static_cast<GError *>(nullptr);
    g_socket_set_listen_backlog(this->listener.get(), 512);
    if (g_socket_listen(this->listener.get(), &error) == FALSE)
        fail("listen " + this->listenAddress, error);
    auto *source = g_socket_create_source(this->listener.get(), G_IO_IN, nullptr);
    const GSocketSourceFunc readable = [](GSocket *, GIOCondition, gpointer data) -> gboolean {
        static_cast<HttpServer *>(data)->acceptAll();
        return G_SOURCE_CONTINUE;
    };
    this->accepting = Source(source, [] {});
    g_source_set_callback(source, G_SOURCE_FUNC(readable), this, nullptr);
}

auto HttpServer::acceptAll() -> void
{
    while (auto *accepted = g_socket_accept(this->listener.get(), nullptr, nullptr)) {
        const auto socket = ObjectPtr<GSocket>(accepted);
        // libsoup writes head and body apart; without the option the body waits 40 ms for the
        // acknowledgement of the head. Its own listeners set it.
        g_socket_set_option(accepted, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
        const auto remote
                = ObjectPtr<GSocketAddress>(g_socket_get_remote_address(accepted, nullptr));
        const auto local = ObjectPtr<GSocketAddress>(g_socket_get_local_address(accepted, nullptr));
        if (remote == nullptr || local == nullptr)
            continue; // closed by the peer before it was accepted
        const auto stream = ObjectPtr<GSocketConnection>(
                g_socket_connection_factory_create_connection(accepted));
        const auto port = portOf(remote.get());
        this->connections.insert_or_assign(
                port, Connection{ObjectPtr<GSocket>(G_SOCKET(g_object_ref(accepted)))});
        const auto open = this->openConnections();
        if (this->openedConnection && !this->openedConnection(open)) {
            this->connections.erase(port);
            g_socket_close(accepted, nullptr);
            continue;
        }
        soup_server_accept_iostream(this->server.get(), G_IO_STREAM(stream.get()), local.get(),
                                    remote.get(), nullptr);
    }
}

auto HttpServer::serve(SoupServerMessage *message) -> void
{
    const auto port = portOf(soup_server_message_get_remote_address(message));
    const auto exchange = std::make_shared<Exchange>(*this, message, port);
    soup_server_message_pause(message);
    const auto *connection = this->find(port);
    if (connection == nullptr || !connection->silent) {
        this->handler(exchange);
        return;
    }
    this->keepSilent(exchange);
}

auto HttpServer::keepSilent(const ExchangePtr &exchange) -> void
{
    this->silenced.emplace(exchange.get(), exchange);
    exchange->onDisconnect([this, key = exchange.get()] { this->silenced.erase(key); });
}

auto HttpServer::find(std::uint16_t port) -> Connection *
{
    const auto found = this->connections.find(port);
    return found != this->connections.end() ? &found->second : nullptr;
}

auto HttpServer::openConnections() -> std::size_t
{
    std::erase_if(this->connections,
                  [](const auto &entry) { return isClosed(entry.second.socket.get()); });
    return this->connections.size();
}

auto HttpServer::onConnection(std::function<auto(std::size_t)->bool> function) -> void
{
    this->openedConnection = std::move(function);
}

auto HttpServer::closeConnections() -> void
{
    this->silenced.clear();
    for (auto &[port, connection] : this->connections)
        g_socket_shutdown(connection.socket.get(), TRUE, TRUE, nullptr);
}

auto HttpServer::silenceConnections() -> void
{
    for (auto &[port, connection] : this->connections)
        connection.silent = true;
}

} // namespace crocusreach::standins

#pragma once

#include "sources.h"

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// An HTTP server over libsoup that knows its connections, so that faults can be injected in them.

namespace crocusreach::standins {

class HttpServer;

using Headers = std::vector<std::pair<std::string, std::string>>;

// One request, answered at most once, now or later.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(HttpServer &server, SoupServerMessage *message, std::uint16_t port);
    Exchange(const Exchange &) = delete;
    auto operator=(const Exchange &) -> Exchange & = delete;
    ~Exchange();

    auto method() const -> std::string_view;
    auto path() const -> std::string_view;
    auto body() const -> std::string_view;
    auto header(const char *name) const -> std::string;
    // A parameter of the query part of the URL; empty if absent.
    auto parameter(std::string_view name) const -> std::string;

    auto reply(unsigned status, const Headers &headers, std::string_view body) -> void;
    // Closes the connection without a reply.
    auto closeConnection() -> void;
    // Calls the function if the peer closes the connection before the reply.
    auto onDisconnect(std::function<auto()->void> function) -> void;
    auto isConnected() const -> bool;

private:
    HttpServer *server;
    ObjectPtr<SoupServerMessage> message;
    std::uint16_t port; // of the peer
    bool answered = false;
    Source disconnect;
};

using ExchangePtr = std::shared_ptr<Exchange>;

struct Connection
{
    ObjectPtr<GSocket> socket;
    bool silent = false;
};

// To be made, used and destroyed in one thread, whose default main context serves the requests.
class HttpServer
{
public:
    using Handler = std::function<auto(const ExchangePtr &)->void>;

    // Listens on IP:port; port 0 lets the kernel choose. Throws std::runtime_error if it can't.
    HttpServer(std::string_view address, Handler handler);
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;
    ~HttpServer();

    // IP:port with the port in use.
    auto address() const -> const std::string & { return this->listenAddress; }
    // Open connections, without those that the peer has closed.
    auto openConnections() -> std::size_t;
    // Called with the number of connections after each accepted one; false closes it.
    auto onConnection(std::function<auto(std::size_t)->bool> function) -> void;
    auto closeConnections() -> void;
    // From now on the open connections are read and never answered; new ones work.
    auto silenceConnections() -> void;
    // While refusing, the kernel refuses new connections. The port is kept.
    auto refuseConnections(bool refuse) -> void;

private:
    friend class Exchange;

    auto bindSocket() -> void;
    auto acceptAll() -> void;
    auto serve(SoupServerMessage *message) -> void;
    auto keepSilent(const ExchangePtr &exchange) -> void;
    auto find(std::uint16_t port) -> Connection *;

    std::string listenAddress;
    Handler handler;
    std::function<auto(std::size_t)->bool> openedConnection;
    ObjectPtr<SoupServer> server;
    ObjectPtr<GSocket> listener;
    Source accepting;
    std::map<std::uint16_t, Connection> connections; // by the peer's port
    std::map<Exchange *, ExchangePtr> silenced; // read and not answered
};

// Port and IP of "IP:port".
auto splitAddress(std::string_view address) -> std::pair<std::string, std::uint16_t>;

} // namespace crocusreach::standins

#pragma once

#include "core/types.h"
#include "httpmessage.h"
#include "reactor.h"
#include "tcpsocket.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

// The task that owns connections to HTTP servers. Its user numbers the connections and decides what
// is sent on which; nothing is ever sent twice.

namespace crocusreach {

// One request on one connection.
struct LinkSend
{
    std::uint64_t link = 0;
    bool open = false; // the connection is to be opened
    std::string address; // IP:port, of a connection to open
    std::string head; // of the request, with the empty line
    std::shared_ptr<const std::string> body; // null: none
    std::string requestId; // that the response echoes; empty: any response is the one
    bool headOnly = false; // the response has no body whatever it says
};

enum class LinkFailure : std::uint8_t {
    NotSent, // no byte of the request has left
    Lost, // the connection ended
    Invalid, // what came isn't a whole response
};

// What is known of a send that got no answer.
struct LinkLoss
{
    LinkFailure failure = LinkFailure::Lost;
    ConnectionEnd end = ConnectionEnd::Open; // Open: this side closed the connection
    std::size_t answerBytes = 0; // of an answer that broke off
};

// All are called in the reactor's thread. A send is followed by one of answered and failed, unless
// its link is closed by the user.
struct LinkEvents
{
    std::function<auto(std::uint64_t link, HttpMessage &&response, bool usable)->void> answered;
    std::function<auto(std::uint64_t link, const LinkLoss &loss)->void> failed; // and closed
    std::function<auto(std::uint64_t link)->void> closed; // while idle
    // Whether a response belongs to the request with this id.
    std::function<auto(const HttpMessage &response, std::string_view requestId)->bool> belongs;
    std::function<auto(std::uint64_t link)->void> opened = {}; // without a request
};

class HttpLinks
{
public:
    HttpLinks(Reactor &reactor, KeepAlive keepAlive, LinkEvents events);
    HttpLinks(const HttpLinks &) = delete;
    auto operator=(const HttpLinks &) -> HttpLinks & = delete;
    ~HttpLinks();

    // Bounds the bytes of responses in progress of all links together.
    auto setMaxHeldBytes(std::size_t size) -> void { this->maxHeldBytes = size; }

    auto send(LinkSend &&request) -> void;
    // Opens a connection without a request. It is followed by opened or closed, unless the user
    // closes it before.
    auto openIdle(std::uint64_t link, std::string_view address) -> void;
    auto close(std::uint64_t link) -> void;

private:
    enum class RequestState : std::uint8_t {
        Writing,
        Sent, // whole; the output was freed
        CutOff, // the connection broke before its end; what came before is still to be read
    };

    struct Link
    {
        std::uint64_t id = 0;
        TcpStream stream;
        std::unique_ptr<HttpReader> reader;
        std::string output; // the head, with a short body
        std::shared_ptr<const std::string> longBody; // follows the output
        std::size_t written = 0; // of the output
        std::size_t bodyWritten = 0; // of the long body
        RequestState request = RequestState::Writing;
        std::string requestId;
        bool busy = false;
        bool connected = false;
        std::uint32_t skipped = 0; // responses to other requests that came before
        std::size_t heldBytes = 0; // of a response in progress
    };

    auto open(std::uint64_t id, std::string_view address) -> Link *;
    auto onSocket(std::uint64_t id, Readiness readiness) -> void;
    auto write(Link &link) -> void;
    // The link is gone if the request has ended.
    auto read(Link &link) -> IoStatus;
    auto takeResponses(Link &link, std::string_view bytes) -> void;
    auto endResponse(Link &link, IoStatus status) -> void;
    auto setHeldBytes(Link &link, std::size_t size) -> void;
    auto fail(Link &link, LinkFailure failure) -> void;

    Reactor &reactor;
    KeepAlive keepAlive;
    LinkEvents events;
    std::unordered_map<std::uint64_t, std::unique_ptr<Link>> links;
    std::size_t heldBytes = 0; // of all links
    // Many leafs whose answers don't end can't use up the memory of a small machine.
    std::size_t maxHeldBytes = std::size_t(48) * 1024 * 1024;
};

} // namespace crocusreach

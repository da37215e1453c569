#pragma once

#include "callerguard.h"
#include "core/types.h"
#include "httpmessage.h"
#include "reactor.h"
#include "tcpsocket.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// The task that owns a listening socket and the connections of its callers.

namespace crocusreach {

// A connection of a caller; unique in the life of the process.
enum class CallerId : std::uint64_t {};

struct HttpListenerLimits
{
    HttpReadLimits message;
    Duration headerTimeout
            = std::chrono::seconds(3); // from the first byte of a request to its body
    Duration idleTimeout = std::chrono::seconds(15); // between requests
};

// Both are called in the reactor's thread. A request is followed by one respond(), or by
// callerLeft if the caller closes the connection before.
struct HttpListenerEvents
{
    std::function<auto(CallerId, HttpMessage &&)->void> requestArrived;
    std::function<auto(CallerId)->void> callerLeft;
};

// An answer that its caller hasn't taken in whole.
struct UnfinishedAnswer
{
    std::string requestId;
    std::size_t sent = 0; // bytes, with the head
    std::size_t left = 0;
};

// A connection carries one request at a time; further ones wait in its buffer.
class HttpListener
{
public:
    // A listener without a guard has no bound on its connections and on what they hold.
    HttpListener(Reactor &reactor, HttpListenerEvents events, CallerGuard *guard = nullptr,
                 forward::ListenerKind kind = forward::ListenerKind::Callers);
    HttpListener(const HttpListener &) = delete;
    auto operator=(const HttpListener &) -> HttpListener & = delete;
    ~HttpListener();

    // Returns the address that the listener really has.
    auto open(std::string_view address) -> Result<std::string>;
    auto setLimits(const HttpListenerLimits &newLimits) -> void;
    // Whether answers announce the end of their connection, so that callers move to another
    // instance.
    auto setClosing(bool value) -> void { this->closing = value; }
    // Accepts and reads what callers have sent so far, then closes the connections without a
    // request, except those that were opened a moment ago for one.
    auto closeIdle() -> void;

    // Names the request of a caller for unfinishedAnswers(). Long names are cut.
    auto nameRequest(CallerId caller, std::string_view requestId) -> void;
    auto unfinishedAnswers() const -> std::vector<UnfinishedAnswer>;

    // Ignored if the caller has left meanwhile.
    auto respond(CallerId caller, std::uint32_t status, std::span<const HttpHeader> headers,
                 std::string_view body) -> void;

    // Requests that were read, or are being read or answered, and new connections whose first
    // request is about to come.
    auto openRequests() const -> std::size_t;

private:
    enum class Phase : std::uint8_t { Reading, Answering, Closing };

    struct Connection
    {
        Connection(CallerId id, AcceptedSocket &&accepted, HttpReadLimits limits)
            : id(id)
            , address(accepted.address)
            , socket(std::move(accepted.socket))
            , reader(HttpSide::Request, limits)
        { }

        CallerId id = {};
        std::uint32_t address;
        FileHandle socket;
        HttpReader reader;
        Phase phase = Phase::Reading;
        std::string input; // not yet read by the parser
        std::string output;
        std::size_t written = 0;
        bool closeAfterWrite = false;
        bool noBody = false; // the request was a HEAD
        bool used = false; // has carried a request
        bool invited = false; // the caller was told to send its body
        // Start of the request, of the idle time or of the closing, or the latest time that the
        // caller took a part of its answer.
        TimePoint since = {};
        // Start of the request that is read, or of the answer that the caller takes, and the bytes
        // of it that have moved since.
        TimePoint messageBegan = {};
        std::uint64_t moved = 0;
        std::size_t requestMemory = 0; // of a request that was read and isn't answered
        std::string requestId; // of the latest request, if it was named
    };

    auto acceptAll() -> void;
    auto add(AcceptedSocket &&accepted) -> void;
    auto pauseAccepting() -> void;
    auto nextWake() const -> std::optional<TimePoint>;
    auto onTime() -> void;
    auto awaitsFirstRequest(const Connection &connection, TimePoint now) const -> bool;
    auto onSocket(CallerId id, Readiness readiness) -> void;
    auto lose(CallerId id) -> void;
    auto readInput(Connection &connection) -> bool;
    // The connection may have ended afterwards.
    auto parseInput(Connection &connection) -> void;
    auto invite(Connection &connection) -> void;
    auto parseLater(CallerId id) -> void;
    auto hasMemoryFor(Connection &connection, const HttpMessage &request) -> bool;
    auto refuse(Connection &connection, std::uint32_t status) -> void;
    auto relieve(CallerId id) -> void;
    auto dropIfIdle(CallerId id) -> bool;
    auto note(CallerRefusal reason) -> void;
    auto updateAccount(const Connection &connection) -> void;
    auto write(Connection &connection) -> bool;
    auto drop(CallerId id) -> void;
    auto checkTimes() -> void;
    auto updateWanted(Connection &connection) -> void;

    Reactor &reactor;
    HttpListenerEvents events;
    CallerGuard *guard;
    forward::ListenerKind kind;
    HttpListenerLimits limits;
    FileHandle listener;
    std::unordered_map<CallerId, std::unique_ptr<Connection>> connections;
    std::uint64_t lastId = 0;
    bool closing = false;
    std::optional<TimePoint> nextCheck;
    std::optional<TimePoint> acceptAgainAt; // while no connection is accepted
    TimerHandle timer;
};

} // namespace crocusreach

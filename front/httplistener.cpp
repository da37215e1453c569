#include "httplistener.h"

#include "base/clock.h"

#include <sys/socket.h>

#include <algorithm>
#include <vector>

namespace crocusreach {

namespace {

// Times of connections are checked this often.
constexpr Duration checkInterval = std::chrono::milliseconds(500);
// After its last answer, a connection is kept this long for the caller to close it. A socket that
// is closed with unread bytes is reset, which can destroy the answer.
constexpr Duration lingerTime = std::chrono::seconds(1);
// A caller sends the first request of a connection within this time. Until then, a listener that
// closes idle connections leaves a new one open.
constexpr Duration firstRequestTime = std::chrono::milliseconds(100);
// Requests that a caller sends ahead of its answers; beyond this, it has to wait.
constexpr std::size_t mostInput = std::size_t(512) * 1024;

auto statusOf(HttpFault fault) -> std::uint32_t
{
    switch (fault) {
    case HttpFault::HeaderTooLarge:
        return HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
    case HttpFault::BodyTooLarge:
        return HTTP_STATUS_PAYLOAD_TOO_LARGE;
    case HttpFault::None:
    case HttpFault::Malformed:
        break;
    }
    return HTTP_STATUS_BAD_REQUEST;
}

} // namespace

HttpListener::HttpListener(Reactor &reactor, HttpListenerEvents events)
    : reactor(reactor)
    , events(std::move(events))
    , timer(reactor.addTimer([this] { return this->nextCheck; }, [this] { this->checkTimes(); }))
{ }

HttpListener::~HttpListener()
{
    for (const auto &[id, connection] : this->connections)
        this->reactor.forget(connection->socket.get());
    if (this->listener.isOpen())
        this->reactor.forget(this->listener.get());
}

auto HttpListener::open(std::string_view address) -> Result<std::string>
{
    auto opened = listenTcp(address);
    if (isError(opened))
        return std::get<Error>(opened);
    this->listener = std::get<FileHandle>(std::move(opened));
    this->reactor.watch(this->listener.get(), {true, false, false},
                        [this](Readiness) { this->acceptAll(); });
    return localAddress(this->listener.get());
}

auto HttpListener::setLimits(const HttpListenerLimits &newLimits) -> void
{
    this->limits = newLimits;
    for (auto &[id, connection] : this->connections)
        connection->reader.setLimits(newLimits.message);
}

auto HttpListener::acceptAll() -> void
{
    for (auto socket = acceptTcp(this->listener.get()); socket.isOpen();
         socket = acceptTcp(this->listener.get())) {
        const auto id = CallerId(++this->lastId);
        const auto descriptor = socket.get();
        auto connection = std::make_unique<Connection>(id, std::move(socket), this->limits.message);
        connection->since = decisionNow();
        this->connections.emplace(id, std::move(connection));
        if (!this->nextCheck)
            this->nextCheck = decisionNow() + checkInterval;
        this->reactor.watch(descriptor, {true, false, false},
                            [this, id](Readiness readiness) { this->onSocket(id, readiness); });
    }
}

auto HttpListener::onSocket(CallerId id, Readiness readiness) -> void
{
    auto &connection = *this->connections.at(id);
    if (readiness.readable || readiness.broken) {
        if (!this->readInput(connection))
            return this->lose(id);
        // After a pause, the end of a connection may already wait behind the request.
        const auto mayHaveLeft = this->reactor.inputAge() > Duration();
        if (connection.phase == Phase::Reading && mayHaveLeft && hasEnded(connection.socket.get()))
            return this->lose(id);
        if (connection.phase == Phase::Reading)
            this->parseInput(connection);
    }
    // A request that was answered at once may have ended its connection.
    const auto found = this->connections.find(id);
    if (found == this->connections.end())
        return;
    if (readiness.writable && !this->write(*found->second))
        return this->lose(id);
    this->updateWanted(*found->second);
}

// The caller has ended the connection.
auto HttpListener::lose(CallerId id) -> void
{
    const auto answering = this->connections.at(id)->phase == Phase::Answering;
    this->drop(id);
    if (answering)
        this->events.callerLeft(id);
}

// False if the connection has ended.
auto HttpListener::readInput(Connection &connection) -> bool
{
    const auto status = readSome(connection.socket.get(), connection.input);
    if (status == IoStatus::Ended || status == IoStatus::Broken)
        return false;
    if (connection.phase == Phase::Closing)
        connection.input.clear();
    return true;
}

auto HttpListener::parseInput(Connection &connection) -> void
{
    // The parser would take an empty input for the end of the connection.
    if (connection.input.empty())
        return;
    if (!connection.reader.isInMessage())
        connection.since = decisionNow();
    const auto taken = connection.reader.feed(connection.input);
    connection.input.erase(0, taken);
    if (connection.reader.fault() != HttpFault::None)
        return this->refuse(connection);
    auto request = connection.reader.take();
    if (!request)
        return this->invite(connection);
    connection.phase = Phase::Answering;
    connection.used = true;
    connection.invited = false;
    connection.closeAfterWrite = !request->keepAlive;
    connection.noBody = request->method == "HEAD";
    this->events.requestArrived(connection.id, std::move(*request));
}

// Tells a caller that waits for leave to send its body to go on.
auto HttpListener::invite(Connection &connection) -> void
{
    if (connection.invited || !connection.reader.hasHeaders())
        return;
    const auto expectation = findHeader(connection.reader.current(), "Expect");
    if (!expectation || !sameHeaderName(*expectation, "100-continue"))
        return;
    connection.invited = true;
    connection.output += "HTTP/1.1 100 Continue\r\n\r\n";
    this->write(connection);
}

auto HttpListener::refuse(Connection &connection) -> void
{
    connection.phase = Phase::Answering;
    connection.closeAfterWrite = true;
    this->respond(connection.id, statusOf(connection.reader.fault()), {}, {});
}

auto HttpListener::respond(CallerId caller, std::uint32_t status,
                           std::span<const HttpHeader> headers, std::string_view body) -> void
{
    const auto found = this->connections.find(caller);
    if (found == this->connections.end() || found->second->phase != Phase::Answering)
        return;
    auto &connection = *found->second;
    connection.closeAfterWrite = connection.closeAfterWrite || this->closing;
    auto text = writeResponse(status, headers, body, connection.closeAfterWrite);
    if (connection.noBody)
        text.resize(text.size() - body.size());
    connection.output.erase(0, connection.written);
    connection.written = 0;
    connection.output += text;
    connection.since = decisionNow();
    connection.phase = connection.closeAfterWrite ? Phase::Closing : Phase::Reading;
    if (!this->write(connection))
        return this->drop(caller);
    if (connection.phase == Phase::Reading && !connection.input.empty()) {
        // The next request was read ahead. It is taken up in a turn of its own.
        this->reactor.post([this, caller] {
            const auto again = this->connections.find(caller);
            if (again != this->connections.end() && again->second->phase == Phase::Reading)
                this->parseInput(*again->second);
        });
    }
}

// False if the connection has ended.
auto HttpListener::write(Connection &connection) -> bool
{
    const auto before = connection.written;
    const auto status = writeSome(connection.socket.get(), connection.output, connection.written);
    if (status == IoStatus::Broken)
        return false;
    if (connection.written > before)
        connection.since = decisionNow();
    if (status == IoStatus::Ok) {
        connection.output.clear();
        connection.written = 0;
        if (connection.phase == Phase::Closing)
            ::shutdown(connection.socket.get(), SHUT_WR);
    }
    this->updateWanted(connection);
    return true;
}

auto HttpListener::updateWanted(Connection &connection) -> void
{
    this->reactor.change(connection.socket.get(),
                         {connection.input.size() < mostInput, !connection.output.empty(), false});
}

auto HttpListener::drop(CallerId id) -> void
{
    const auto found = this->connections.find(id);
    if (found == this->connections.end())
        return;
    this->reactor.forget(found->second->socket.get());
    this->connections.erase(found);
}

auto HttpListener::awaitsFirstRequest(const Connection &connection, TimePoint now) const -> bool
{
    return !connection.used && now - connection.since < firstRequestTime;
}

auto HttpListener::closeIdle() -> void
{
    this->acceptAll();
    auto open = std::vector<CallerId>();
    for (const auto &[id, connection] : this->connections) {
        if (connection->phase == Phase::Reading)
            open.push_back(id);
    }
    const auto now = decisionNow();
    for (const auto id : open) {
        // A request may have come since the socket was last polled.
        this->onSocket(id, {true, false, false});
        const auto found = this->connections.find(id);
        if (found == this->connections.end())
            continue;
        const auto &connection = *found->second;
        if (connection.phase == Phase::Reading && connection.input.empty()
            && connection.output.empty() && !connection.reader.isInMessage()
            && !this->awaitsFirstRequest(connection, now))
            this->drop(id);
    }
}

auto HttpListener::openRequests() const -> std::size_t
{
    const auto now = decisionNow();
    return static_cast<std::size_t>(std::count_if(
            this->connections.begin(), this->connections.end(), [&](const auto &item) {
                const auto &connection = *item.second;
                return connection.phase == Phase::Answering || !connection.output.empty()
                       || connection.reader.isInMessage()
                       || this->awaitsFirstRequest(connection, now);
            }));
}

auto HttpListener::checkTimes() -> void
{
    const auto now = decisionNow();
    auto ended = std::vector<CallerId>();
    auto late = std::vector<CallerId>();
    for (const auto &[id, connection] : this->connections) {
        const auto age = now - connection->since;
        const auto reading = connection->phase == Phase::Reading;
        const auto inMessage = connection->reader.isInMessage();
        // A caller that takes nothing of its answer for this long has gone.
        const auto closingTime = connection->output.empty() ? lingerTime : this->limits.idleTimeout;
        if (connection->phase == Phase::Closing && age > closingTime)
            ended.push_back(id);
        if (reading && !inMessage && age > this->limits.idleTimeout)
            ended.push_back(id);
        if (reading && inMessage && age > this->limits.headerTimeout)
            late.push_back(id);
    }
    for (const auto id : ended)
        this->drop(id);
    for (const auto id : late) {
        auto &connection = *this->connections.at(id);
        connection.phase = Phase::Answering;
        connection.closeAfterWrite = true;
        this->respond(id, HTTP_STATUS_REQUEST_TIMEOUT, {}, {});
    }
    this->nextCheck.reset();
    if (!this->connections.empty())
        this->nextCheck = now + checkInterval;
}

} // namespace crocusreach

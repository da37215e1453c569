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
constexpr std::size_t mostInput = std::size_t(64) * 1024;
// What the kernel keeps of a connection that isn't read (boundBuffers()).
constexpr std::size_t kernelBuffer = std::size_t(64) * 1024;
// A connection without a request: its objects here and in the reactor, and the overhead of their
// allocations.
constexpr std::size_t connectionMemory = 2048;
// Buffers are kept for the next message of a connection up to this size.
constexpr std::size_t keptBuffer = 2048;
// The memory of names isn't charged to their callers.
constexpr std::size_t maxRequestId = 64;
// Accepting is tried again after this time when there is no descriptor or place.
constexpr Duration acceptPause = std::chrono::milliseconds(100);

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

auto reasonOf(HttpFault fault) -> CallerRefusal
{
    switch (fault) {
    case HttpFault::HeaderTooLarge:
        return CallerRefusal::HeadTooLarge;
    case HttpFault::BodyTooLarge:
        return CallerRefusal::BodyTooLarge;
    case HttpFault::None:
    case HttpFault::Malformed:
        break;
    }
    return CallerRefusal::Malformed;
}

auto clear(std::string &buffer) -> void
{
    // An assignment would keep the buffer.
    if (buffer.capacity() > keptBuffer)
        std::string().swap(buffer);
    else
        buffer.clear();
}

// Memory of a request between its end and its answer: its headers once more as fields to be passed
// on. All sends of the request share its body.
auto memoryOf(const HttpMessage &request) -> std::size_t
{
    auto size = request.body.capacity() + request.target.capacity();
    for (const auto &header : request.headers)
        size += 2 * (sizeof(HttpHeader) + header.name.size() + header.value.size());
    return size;
}

} // namespace

HttpListener::HttpListener(Reactor &reactor, HttpListenerEvents events, CallerGuard *guard,
                           forward::ListenerKind kind)
    : reactor(reactor)
    , events(std::move(events))
    , guard(guard)
    , kind(kind)
    , timer(reactor.addTimer([this] { return this->nextWake(); }, [this] { this->onTime(); }))
{
    if (guard != nullptr)
        guard->join(kind, {[this](std::uint64_t id) { this->relieve(CallerId(id)); },
                           [this](std::uint64_t id) { return this->dropIfIdle(CallerId(id)); }});
}

HttpListener::~HttpListener()
{
    for (const auto &[id, connection] : this->connections)
        this->reactor.forget(connection->socket.get());
    if (this->listener.isOpen())
        this->reactor.forget(this->listener.get());
    if (this->guard != nullptr)
        this->guard->leave(this->kind);
}

auto HttpListener::open(std::string_view address) -> Result<std::string>
{
    auto opened = listenTcp(address);
    if (isError(opened))
        return std::get<Error>(opened);
    this->listener = std::get<FileHandle>(std::move(opened));
    if (this->guard != nullptr)
        boundBuffers(this->listener.get());
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
    auto retried = false;
    while (true) {
        // Whether a connection waits matters only if another one has to go for it.
        const auto isFull = this->guard != nullptr && this->guard->isFull(this->kind);
        if (isFull && !isReadable(this->listener.get()))
            return;
        if (isFull && !this->guard->makeRoom(this->kind))
            return this->pauseAccepting();
        auto accepted = acceptCaller(this->listener.get());
        if (accepted.lacksResources && !std::exchange(retried, true) && this->guard != nullptr
            && this->guard->freeDescriptor())
            continue;
        if (accepted.lacksResources)
            return this->pauseAccepting();
        if (!accepted.socket.isOpen())
            return;
        this->add(std::move(accepted));
    }
}

auto HttpListener::add(AcceptedSocket &&accepted) -> void
{
    const auto id = CallerId(++this->lastId);
    const auto descriptor = accepted.socket.get();
    auto connection = std::make_unique<Connection>(id, std::move(accepted), this->limits.message);
    connection->since = decisionNow();
    this->updateAccount(*connection);
    this->connections.emplace(id, std::move(connection));
    if (!this->nextCheck)
        this->nextCheck = decisionNow() + checkInterval;
    this->reactor.watch(descriptor, {true, false, false},
                        [this, id](Readiness readiness) { this->onSocket(id, readiness); });
}

// A listening socket that is watched while nothing can be accepted wakes the loop without end.
auto HttpListener::pauseAccepting() -> void
{
    this->note(CallerRefusal::AcceptPaused);
    this->reactor.change(this->listener.get(), {false, false, false});
    this->acceptAgainAt = decisionNow() + acceptPause;
}

auto HttpListener::nextWake() const -> std::optional<TimePoint>
{
    if (!this->nextCheck || !this->acceptAgainAt)
        return this->nextCheck ? this->nextCheck : this->acceptAgainAt;
    return std::min(*this->nextCheck, *this->acceptAgainAt);
}

auto HttpListener::onTime() -> void
{
    const auto now = decisionNow();
    if (this->nextCheck && *this->nextCheck <= now)
        this->checkTimes();
    if (this->acceptAgainAt && *this->acceptAgainAt <= now) {
        this->acceptAgainAt.reset();
        this->reactor.change(this->listener.get(), {true, false, false});
        this->acceptAll();
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
        clear(connection.input);
    return true;
}

auto HttpListener::parseInput(Connection &connection) -> void
{
    // The parser would take an empty input for the end of the connection.
    if (connection.input.empty())
        return;
    if (!connection.reader.isInMessage()) {
        // A caller that sends ahead has to take its answers before the next one is made.
        if (!connection.output.empty())
            return;
        connection.since = decisionNow();
        connection.messageBegan = connection.since;
        connection.moved = 0;
    }
    const auto taken = connection.reader.feed(connection.input);
    connection.moved += taken;
    if (taken == connection.input.size())
        clear(connection.input);
    else
        connection.input.erase(0, taken);
    const auto fault = connection.reader.fault();
    if (fault != HttpFault::None) {
        this->note(reasonOf(fault));
        return this->refuse(connection, statusOf(fault));
    }
    auto request = connection.reader.take();
    if (!request)
        return this->invite(connection);
    if (!this->hasMemoryFor(connection, *request))
        return;
    connection.phase = Phase::Answering;
    connection.used = true;
    connection.invited = false;
    connection.closeAfterWrite = !request->keepAlive;
    connection.noBody = request->method == "HEAD";
    this->events.requestArrived(connection.id, std::move(*request));
}

// False if the request was refused instead; the connection may have ended then.
auto HttpListener::hasMemoryFor(Connection &connection, const HttpMessage &request) -> bool
{
    if (this->guard == nullptr)
        return true;
    const auto id = connection.id;
    connection.requestMemory = memoryOf(request);
    this->updateAccount(connection);
    // The refusal says that the request has not run, so it comes before the request is passed on.
    this->guard->relieve();
    const auto found = this->connections.find(id);
    return found != this->connections.end() && found->second->phase == Phase::Reading;
}

// Takes up the next request of a connection, or more of it, that was read ahead. A caller that
// sends many requests at once gets one answer a turn, so that others are served meanwhile.
auto HttpListener::parseLater(CallerId id) -> void
{
    this->reactor.postToNextTurn([this, id] {
        const auto found = this->connections.find(id);
        if (found == this->connections.end() || found->second->phase != Phase::Reading)
            return;
        this->parseInput(*found->second);
        const auto again = this->connections.find(id);
        if (again != this->connections.end())
            this->updateWanted(*again->second);
    });
}

// Tells a caller that waits for leave to send its body to go on.
auto HttpListener::invite(Connection &connection) -> void
{
    if (connection.invited || !connection.reader.hasHeaders())
        return;
    const auto expectation = connection.reader.header("Expect");
    if (!expectation || !sameHeaderName(*expectation, "100-continue"))
        return;
    connection.invited = true;
    connection.output += "HTTP/1.1 100 Continue\r\n\r\n";
    this->write(connection);
}

// Answers a request that isn't whole, or wasn't passed on, and ends the connection.
auto HttpListener::refuse(Connection &connection, std::uint32_t status) -> void
{
    connection.phase = Phase::Answering;
    connection.closeAfterWrite = true;
    connection.reader.discard();
    std::string().swap(connection.input);
    const auto retryAfter = HttpHeader{"Retry-After", "1"};
    const auto maySendAgain = status == HTTP_STATUS_SERVICE_UNAVAILABLE;
    this->respond(connection.id, status, {&retryAfter, maySendAgain ? 1U : 0U}, {});
}

auto HttpListener::relieve(CallerId id) -> void
{
    const auto found = this->connections.find(id);
    if (found == this->connections.end())
        return;
    auto &connection = *found->second;
    const auto hasRequest = connection.reader.isInMessage() || connection.requestMemory != 0;
    if (connection.phase == Phase::Reading && hasRequest && connection.output.empty())
        return this->refuse(connection, HTTP_STATUS_SERVICE_UNAVAILABLE);
    this->lose(id);
}

// The caller may have sent a request since the socket was last polled.
auto HttpListener::dropIfIdle(CallerId id) -> bool
{
    if (!this->connections.contains(id))
        return true;
    this->onSocket(id, {true, false, false});
    const auto found = this->connections.find(id);
    if (found == this->connections.end())
        return true;
    const auto &connection = *found->second;
    if (connection.phase != Phase::Reading || !connection.input.empty()
        || !connection.output.empty() || connection.reader.isInMessage())
        return false;
    this->drop(id);
    return true;
}

auto HttpListener::note(CallerRefusal reason) -> void
{
    if (this->guard != nullptr)
        this->guard->note(reason, this->kind);
}

auto HttpListener::updateAccount(const Connection &connection) -> void
{
    if (this->guard == nullptr)
        return;
    using Stage = forward::CallerStage;
    auto holding = forward::CallerHolding();
    const auto isPaused = connection.input.size() >= mostInput;
    holding.bytes = {connectionMemory,
                     connection.input.capacity() + (isPaused ? kernelBuffer : 0),
                     connection.reader.headMemory(),
                     connection.reader.bodyMemory(),
                     connection.requestMemory,
                     connection.output.capacity()};
    holding.address = connection.address;
    holding.moved = connection.moved;
    holding.since = connection.messageBegan;
    if (connection.phase == Phase::Answering)
        holding.stage = Stage::Waiting;
    else if (!connection.output.empty())
        holding.stage = Stage::Taking;
    else if (connection.phase == Phase::Closing)
        holding.stage = Stage::Closing;
    else if (connection.reader.isInMessage() || connection.requestMemory != 0
             || !connection.input.empty())
        holding.stage = Stage::Sending;
    else
        holding.since = connection.since;
    this->guard->update({this->kind, static_cast<std::uint64_t>(connection.id)}, holding);
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
    connection.messageBegan = connection.since;
    connection.moved = 0;
    connection.requestMemory = 0;
    connection.phase = connection.closeAfterWrite ? Phase::Closing : Phase::Reading;
    if (!this->write(connection))
        this->drop(caller);
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
    connection.moved += connection.written - before;
    if (status == IoStatus::Ok) {
        clear(connection.output);
        connection.written = 0;
        if (connection.phase == Phase::Closing)
            ::shutdown(connection.socket.get(), SHUT_WR);
        else if (connection.phase == Phase::Reading && !connection.input.empty())
            this->parseLater(connection.id);
    }
    this->updateWanted(connection);
    return true;
}

auto HttpListener::updateWanted(Connection &connection) -> void
{
    this->reactor.change(connection.socket.get(),
                         {connection.input.size() < mostInput, !connection.output.empty(), false});
    this->updateAccount(connection);
}

auto HttpListener::drop(CallerId id) -> void
{
    const auto found = this->connections.find(id);
    if (found == this->connections.end())
        return;
    this->reactor.forget(found->second->socket.get());
    this->connections.erase(found);
    if (this->guard != nullptr)
        this->guard->drop({this->kind, static_cast<std::uint64_t>(id)});
    if (this->acceptAgainAt)
        this->acceptAgainAt = decisionNow();
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
                       || connection.reader.isInMessage() || !connection.input.empty()
                       || this->awaitsFirstRequest(connection, now);
            }));
}

auto HttpListener::nameRequest(CallerId caller, std::string_view requestId) -> void
{
    const auto found = this->connections.find(caller);
    if (found != this->connections.end())
        found->second->requestId = requestId.substr(0, maxRequestId);
}

auto HttpListener::unfinishedAnswers() const -> std::vector<UnfinishedAnswer>
{
    auto unfinished = std::vector<UnfinishedAnswer>();
    for (const auto &[id, connection] : this->connections) {
        const auto size = connection->output.size();
        if (connection->written < size)
            unfinished.push_back(
                    {connection->requestId, connection->written, size - connection->written});
    }
    return unfinished;
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
    for (const auto id : ended) {
        if (this->connections.at(id)->phase == Phase::Reading)
            this->note(CallerRefusal::Silent);
        this->drop(id);
    }
    for (const auto id : late) {
        this->note(CallerRefusal::TooSlow);
        this->refuse(*this->connections.at(id), HTTP_STATUS_REQUEST_TIMEOUT);
    }
    this->nextCheck.reset();
    if (!this->connections.empty())
        this->nextCheck = now + checkInterval;
}

} // namespace crocusreach

#include "uploadleaf.h"

#include "standins/platformobjects.h"
#include "tests/testclient.h"

#include <sys/socket.h>

#include <functional>

namespace crocusreach::soak {

using standins::requestIdHeader;

namespace {

constexpr auto answerSize = std::size_t(40'000);
constexpr auto cutSize = std::size_t(10'000);

} // namespace

auto uploadAnswer(std::string_view leaf, std::string_view requestId) -> std::string
{
    auto line = std::string(leaf);
    line.append("|").append(requestId).append("\n");
    auto text = std::string();
    while (text.size() < answerSize)
        text += line;
    return text;
}

UploadLeaf::UploadLeaf(Reactor &reactor, std::string id, standins::RunLedger &ledger)
    : reactor(reactor)
    , leafId(std::move(id))
    , ledger(ledger)
    , listener(std::get<FileHandle>(listenTcp("127.0.0.1:0")))
    , listenAddress(localAddress(this->listener.get()))
{
    tests::limitWindow(this->listener.get());
    reactor.watch(this->listener.get(), {true, false, false},
                  [this](Readiness) { this->acceptAll(); });
}

UploadLeaf::~UploadLeaf()
{
    this->reactor.forget(this->listener.get());
    while (!this->connections.empty())
        this->drop(this->connections.begin()->first);
}

auto UploadLeaf::acceptAll() -> void
{
    for (auto accepted = acceptTcp(this->listener.get()); accepted.isOpen();
         accepted = acceptTcp(this->listener.get())) {
        const auto id = ++this->lastId;
        auto connection = std::make_unique<Connection>();
        connection->socket = std::move(accepted);
        this->reactor.watch(connection->socket.get(), {true, false, false},
                            [this, id](Readiness ready) { this->onReady(id, ready); });
        this->connections.emplace(id, std::move(connection));
    }
}

auto UploadLeaf::onReady(std::uint64_t id, Readiness readiness) -> void
{
    auto &connection = *this->connections.at(id);
    if ((readiness.readable || readiness.broken) && !this->read(connection))
        return this->drop(id);
    this->write(id, connection);
}

auto UploadLeaf::read(Connection &connection) -> bool
{
    auto bytes = std::string();
    const auto status = readSome(connection.socket.get(), bytes);
    if (status == IoStatus::Ended || status == IoStatus::Broken)
        return false;
    while (!bytes.empty() && connection.reader.fault() == HttpFault::None) {
        bytes.erase(0, connection.reader.feed(bytes));
        const auto request = connection.reader.take();
        const auto isKnown = request || connection.reader.hasHeaders();
        if (isKnown && !connection.answered) {
            const auto requestId = std::string((request ? findHeader(*request, requestIdHeader)
                                                        : connection.reader.header(requestIdHeader))
                                                       .value_or(std::string_view()));
            connection.manner = this->mannerOf(requestId);
            if (request || connection.manner != Manner::AfterRequest)
                this->answer(connection, requestId);
        }
        if (request)
            connection.answered = false;
    }
    return connection.reader.fault() == HttpFault::None;
}

auto UploadLeaf::mannerOf(const std::string &requestId) const -> Manner
{
    const auto hash = std::hash<std::string>()(this->leafId + requestId);
    return static_cast<Manner>(hash % static_cast<std::size_t>(Manner::Count));
}

auto UploadLeaf::answer(Connection &connection, const std::string &requestId) -> void
{
    const auto body = uploadAnswer(this->leafId, requestId);
    this->ledger.noteRun(requestId, this->leafId);
    connection.answered = true;
    connection.output = "HTTP/1.1 200 OK\r\n";
    connection.output.append(requestIdHeader).append(": ").append(requestId).append("\r\n");
    connection.output.append(standins::receiptHeader).append(": ").append(this->leafId);
    connection.output.append(".").append(requestId).append("\r\n");
    if (connection.manner == Manner::EarlyWithLength)
        connection.output.append("Content-Length: ").append(std::to_string(body.size()));
    else
        connection.output.append("Connection: close");
    connection.output.append("\r\n\r\n");
    const auto isCut = connection.manner == Manner::EarlyCut;
    connection.output.append(isCut ? std::string_view(body).substr(0, cutSize)
                                   : std::string_view(body));
}

auto UploadLeaf::write(std::uint64_t id, Connection &connection) -> void
{
    if (connection.output.empty())
        return;
    const auto descriptor = connection.socket.get();
    const auto status = writeSome(descriptor, connection.output, connection.written);
    this->reactor.change(descriptor, {true, status == IoStatus::WouldBlock, false});
    if (status == IoStatus::Broken)
        return this->drop(id);
    if (status == IoStatus::WouldBlock)
        return;
    connection.output.clear();
    connection.written = 0;
    if (connection.manner == Manner::EarlyCut) {
        resetOnClose(descriptor);
        return this->drop(id);
    }
    // The rest of the request is still read.
    if (connection.manner != Manner::EarlyWithLength)
        ::shutdown(descriptor, SHUT_WR);
}

auto UploadLeaf::drop(std::uint64_t id) -> void
{
    const auto found = this->connections.find(id);
    if (found == this->connections.end())
        return;
    this->reactor.forget(found->second->socket.get());
    this->connections.erase(found);
}

} // namespace crocusreach::soak

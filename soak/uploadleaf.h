#pragma once

#include "front/httpmessage.h"
#include "front/reactor.h"
#include "front/tcpsocket.h"
#include "standins/platformleaf.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

// A leaf that takes long requests over a small window. It answers many of them before it has read
// them, often without a length, and breaks some answers off with a reset.

namespace crocusreach::soak {

// The whole answer of an upload leaf to a request.
auto uploadAnswer(std::string_view leaf, std::string_view requestId) -> std::string;

// To be made, used and destroyed in the reactor's thread.
class UploadLeaf
{
public:
    UploadLeaf(Reactor &reactor, std::string id, standins::RunLedger &ledger);
    UploadLeaf(const UploadLeaf &) = delete;
    auto operator=(const UploadLeaf &) -> UploadLeaf & = delete;
    ~UploadLeaf();

    auto address() const -> const std::string & { return this->listenAddress; }

private:
    // Follows from the leaf and the request.
    enum class Manner : std::uint8_t {
        Early, // without a length, ended in order
        EarlyCut, // without a length, reset after a part
        EarlyWithLength,
        AfterRequest, // without a length, ended in order
        Count
    };

    struct Connection
    {
        FileHandle socket;
        HttpReader reader = HttpReader(HttpSide::Request, {});
        std::string output;
        std::size_t written = 0;
        Manner manner = Manner::Early;
        bool answered = false; // the request that is being read
    };

    auto acceptAll() -> void;
    auto onReady(std::uint64_t id, Readiness readiness) -> void;
    // False if the connection has ended.
    auto read(Connection &connection) -> bool;
    auto mannerOf(const std::string &requestId) const -> Manner;
    auto answer(Connection &connection, const std::string &requestId) -> void;
    auto write(std::uint64_t id, Connection &connection) -> void;
    auto drop(std::uint64_t id) -> void;

    Reactor &reactor;
    std::string leafId;
    standins::RunLedger &ledger;
    FileHandle listener;
    std::string listenAddress;
    std::map<std::uint64_t, std::unique_ptr<Connection>> connections;
    std::uint64_t lastId = 0;
};

} // namespace crocusreach::soak

#pragma once

#include "httpserver.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

// A leaf on the users' platform. It answers a request with a receipt and records that name it.

namespace crocusreach::standins {

enum class PlatformLeafMode : std::uint8_t {
    Serves,
    Refuses, // 503 as not run
    Silent, // runs and never answers
    Fails, // runs and answers 500
    Loses, // runs and closes the connection
    OtherLeaf, // is no longer the leaf of its entry
};

// What leafs saw of requests, over all leafs of a test. May be used from any thread.
class RunLedger
{
public:
    auto noteRun(const std::string &requestId, const std::string &leaf) -> void;
    // Runs of a request, by leaf.
    auto runsOf(const std::string &requestId) const -> std::map<std::string, int>;

private:
    mutable std::mutex mutex;
    std::map<std::string, std::map<std::string, int>> runs; // guarded by mutex
};

// To be made, used and destroyed in one thread; the counters may be read from any.
class PlatformLeaf
{
public:
    PlatformLeaf(std::string_view address, std::string id, RunLedger &ledger);

    auto address() const -> const std::string & { return this->server.address(); }
    auto id() const -> const std::string & { return this->leafId; }
    auto setMode(PlatformLeafMode changed) -> void { this->mode = changed; }
    // Headers that it adds to all its answers, with which it states something about itself.
    auto setStatements(Headers headers) -> void { this->statements = std::move(headers); }
    auto setWork(std::int64_t microseconds) -> void { this->work = microseconds; }
    auto runs() const -> std::uint64_t { return this->runCount; }
    auto closeConnections() -> void { this->server.closeConnections(); }

private:
    auto handle(const ExchangePtr &exchange) -> void;
    auto answer(const ExchangePtr &exchange) -> void;
    auto reply(const ExchangePtr &exchange, unsigned status, Headers headers, std::string_view body)
            -> void;

    std::string leafId;
    RunLedger &ledger;
    PlatformLeafMode mode = PlatformLeafMode::Serves;
    std::int64_t work = 1000;
    Headers statements;
    std::atomic<std::uint64_t> runCount = 0;
    std::map<Exchange *, Source> running;
    std::map<Exchange *, ExchangePtr> silenced;
    HttpServer server;
};

} // namespace crocusreach::standins

#pragma once

#include "httpserver.h"

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <random>
#include <string>
#include <string_view>

// The platform's object API of docs/protocols.md, in memory, with faults.

namespace crocusreach::standins {

enum class StoreCallKind : std::uint8_t { Get, Watch, Put, Remove, List, Count };

auto toString(StoreCallKind kind) -> std::string_view;

enum class StoreAvailability : std::uint8_t {
    Up,
    Unavailable, // answers 503
    Silent, // accepts and never answers
};

struct StoreFaults
{
    StoreAvailability availability = StoreAvailability::Up;
    double slowMs = 0; // added to each call
    double loseBefore = 0; // probability that a write is lost together with its reply
    double loseAfter = 0; // probability that a write takes effect and its reply is lost
    bool silentWatches = false; // watches never answer
};

struct StoredObject
{
    std::uint64_t version = 0; // kept after a removal
    bool present = false;
    std::string value;
};

struct StoreCounters
{
    std::array<std::uint64_t, static_cast<std::size_t>(StoreCallKind::Count)> calls = {};
    std::uint64_t conflicts = 0;
    std::uint64_t lost = 0; // replies lost by a fault
    std::uint64_t pendingWatches = 0;
};

// To be made, used and destroyed in one thread.
class ObjectStore
{
public:
    ObjectStore(std::string_view address, std::uint64_t seed);

    auto address() const -> const std::string & { return this->server.address(); }
    auto setFaults(const StoreFaults &changed) -> void { this->faults = changed; }
    auto currentFaults() const -> const StoreFaults & { return this->faults; }
    auto counters() const -> StoreCounters;
    // Reads and writes past the faults, for the set-up of a test.
    auto find(const std::string &key) const -> StoredObject;
    auto write(const std::string &key, std::string value) -> std::uint64_t;

private:
    struct PendingWatch
    {
        std::string key;
        std::uint64_t newerThan = 0;
        ExchangePtr exchange;
        Source timeout;
    };

    auto handle(const ExchangePtr &exchange) -> void;
    auto serve(const ExchangePtr &exchange) -> void;
    auto get(const ExchangePtr &exchange, const std::string &key) -> void;
    auto watch(const ExchangePtr &exchange, const std::string &key) -> void;
    auto change(const ExchangePtr &exchange, const std::string &key, bool remove) -> void;
    auto listKeys(const ExchangePtr &exchange) -> void;
    auto count(StoreCallKind kind) -> void;
    auto notify(const std::string &key) -> void;

    StoreFaults faults;
    StoreCounters counted;
    std::mt19937_64 random;
    std::map<std::string, StoredObject> objects;
    HttpServer server;
    // Before the server at destruction, since exchanges refer to it.
    std::list<PendingWatch> watches;
    std::map<Exchange *, Source> delayed;
};

} // namespace crocusreach::standins

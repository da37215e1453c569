#pragma once

#include "standins/platformleaf.h"
#include "tests/testclient.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

// Callers of a soak, and what they check of each answer.

namespace crocusreach::soak {

// Sets of shards that a desired state has named so far. Used by all callers.
class NamedShardSets
{
public:
    auto add(std::set<std::string> shards) -> void;
    // Whether parts of these services, and so many missing ones, make up one of the sets.
    auto fits(const std::set<std::string> &parts, std::size_t missing) const -> bool;

private:
    mutable std::mutex mutex;
    std::vector<std::set<std::string>> sets; // guarded by mutex
};

struct CallerCounts
{
    std::atomic<std::uint64_t> asked = 0;
    std::atomic<std::uint64_t> served = 0;
    std::atomic<std::uint64_t> partial = 0;
    std::atomic<std::uint64_t> refused = 0;
    std::atomic<std::uint64_t> failed = 0;
};

// Asks fronts in turn until it is told to end: over all shards, one leaf, one leaf at most once,
// and one leaf with a long body. Connections are kept for several requests.
class Callers
{
public:
    using PickAddress = std::function<auto()->std::string>;

    Callers(std::size_t count, std::uint32_t seed, PickAddress pickAddress,
            standins::RunLedger &ledger, NamedShardSets &shardSets);
    Callers(const Callers &) = delete;
    auto operator=(const Callers &) -> Callers & = delete;
    ~Callers() { this->stop(); }

    auto stop() -> void;
    auto counts() const -> const CallerCounts & { return this->counted; }
    // What must never happen and did. To be called after stop().
    auto findings() const -> std::vector<std::string>;

private:
    auto run(std::size_t number, std::uint32_t seed) -> void;
    auto ask(tests::TestClient &client, std::uint32_t kind, const std::string &id) -> bool;
    auto checkGather(const HttpMessage &response, const std::string &id) -> void;
    auto checkSingle(const HttpMessage &response, const std::string &id, bool isUpload) -> void;
    auto find(const std::string &text) -> void;

    PickAddress pickAddress;
    standins::RunLedger &ledger;
    NamedShardSets &shardSets;
    CallerCounts counted;
    std::atomic<bool> ending = false;
    mutable std::mutex mutex;
    std::vector<std::string> found; // guarded by mutex, as is the following
    std::vector<std::string> refusedOnce; // requests that must not run, now or later
    std::vector<std::string> onceIds;
    std::vector<std::thread> threads;
};

} // namespace crocusreach::soak

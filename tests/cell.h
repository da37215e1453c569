#pragma once

#include "core/configuration.h"
#include "processes.h"
#include "standins/standins.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// A cell of real instances with stand-in targets and a stand-in platform, and callers that check
// each answer.

namespace crocusreach::tests {

struct CellSettings
{
    int instances = 7;
    int services = 2; // "s-1", ...
    int leafs = 3; // of each service, each in a failure domain of its own
    std::uint16_t slots = 3;
    std::uint16_t coldSlots = 2;
    std::uint16_t connections = 30;
    standins::ServiceTime serviceTime = {4, 0.25, 0.005, 60};
    double coldMs = 1500;
};

struct RunningInstance
{
    std::string name;
    std::string callerAddress;
    std::string peerAddress;
    std::string log;
    Process process;
};

// Names of the failure domains, "d-0" to "d-3". Instance i and leaf i lie in domain i mod 4.
constexpr auto cellDomains = 4;

class Cell
{
public:
    // Starts everything and waits until each instance answers completely for each service.
    explicit Cell(const CellSettings &settings = {});

    auto instance(std::size_t index) -> RunningInstance & { return this->instances.at(index); }
    auto size() const -> std::size_t { return this->instances.size(); }
    auto outside() -> standins::Standins & { return *this->standins; }
    auto configuration() -> Configuration & { return this->desired; }
    // Puts the configuration as it is now into the store, past its faults.
    auto publish() -> void;
    // Starts one more instance with the seeds of those that run.
    auto start(const std::string &name, int domain) -> void;
    // True if the instance answers completely for each service.
    auto answersCompletely(std::size_t index) -> bool;
    // Violations that the instances logged and the targets counted; empty if there are none.
    auto violations() -> std::vector<std::string>;

private:
    CellSettings settings;
    TemporaryFolder folder;
    std::unique_ptr<standins::Standins> standins;
    Configuration desired;
    std::vector<RunningInstance> instances;
};

// What callers saw since the start.
struct Seen
{
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0; // no reply; a fault unless the instance is disturbed
    std::map<std::string, std::uint64_t> reasons; // of refusals and missing shards
    std::vector<std::string> faults; // answers that break a promise, at most a few
};

// Callers in threads of their own, each with one query at a time on each instance in turn.
class Callers
{
public:
    Callers(Cell &cell, std::size_t threads);
    Callers(const Callers &) = delete;
    auto operator=(const Callers &) -> Callers & = delete;
    ~Callers();

    auto seen() const -> Seen;
    // The test stops or kills the instance: it may leave queries unanswered, or answer late.
    auto disturb(std::size_t instance) -> void;
    // From now on no caller asks the instance; queries under way end first.
    auto avoid(std::size_t instance) -> void;
    // Waits for that many further complete answers; false if they don't come.
    auto waitForComplete(std::uint64_t further) const -> bool;

private:
    auto run(std::size_t caller) -> void;
    auto ask(HttpClient &client, std::size_t instance, const std::string &text) -> void;
    auto record(std::size_t instance, const std::string &text, const HttpAnswer &answer,
                bool isLate) -> std::string;

    Cell &cell;
    std::vector<std::string> addresses;
    mutable std::mutex mutex;
    Seen counted; // guarded by mutex
    std::vector<bool> avoided; // guarded by mutex
    std::vector<bool> disturbed; // guarded by mutex
    std::vector<bool> asking; // one per caller and instance; guarded by mutex
    std::atomic<bool> ending = false;
    std::vector<std::thread> threads;
};

// What is wrong with an answer to the query text: coverage that doesn't match the rows, rows of
// another query, version, layout or shard. Empty if nothing is.
auto faultOf(const nlohmann::json &answer, const std::string &text) -> std::string;

// One non-idempotent request; the answer is null if none came.
auto askOnce(const std::string &address, const std::string &id, bool firstAttempt)
        -> nlohmann::json;

// Scale of the long forms: 1, or the value of CROCUSREACH_LONG.
auto longFactor() -> int;

} // namespace crocusreach::tests

#pragma once

#include "base/mailbox.h"
#include "httpserver.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// Targets that answer searches, obey their own limits as far as the callers let them, and count
// from their own side. The limits, faults and counters are plain structs.

namespace crocusreach::standins {

// Log-normal service time with a share of stragglers, in milliseconds.
struct ServiceTime
{
    double medianMs = 2;
    double sigma = 0.25;
    double stragglerProbability = 0.005;
    double stragglerMs = 60; // added to a straggler
};

auto sample(const ServiceTime &time, std::mt19937_64 &random) -> double;

enum class HealthPage : std::uint8_t {
    Honest,
    Lagging, // shows the state of some time ago
    Lying, // always warm and without load
};

struct TargetSettings
{
    std::string name; // "service/leaf"
    std::string address = "127.0.0.1:0";
    std::uint32_t slots = 1;
    std::uint32_t coldSlots = 1;
    std::uint32_t connections = 1;
    std::vector<std::uint32_t> shards;
    std::uint32_t layout = 1;
    std::vector<std::uint64_t> versions = {1}; // ascending, never empty
    ServiceTime serviceTime;
    bool startCold = false;
    double coldMs = 3000; // time from a start until the target is warm
    std::uint32_t results = 3; // per search
    double shed = 0; // probability
    double error = 0; // probability of status 500 after the search ran
    HealthPage health = HealthPage::Honest;
    double healthLagMs = 0;
};

// What the target saw. Peaks count what was open or running at the same time.
struct TargetCounters
{
    std::uint64_t requests = 0; // searches received
    std::uint64_t runs = 0; // searches that began to run
    std::uint64_t answered = 0; // status 200
    std::uint64_t shed = 0;
    std::uint64_t expired = 0; // deadline over at arrival
    std::uint64_t notServed = 0; // another version, layout or shard
    std::uint64_t cancelled = 0; // the caller closed the connection while the search ran
    std::uint64_t deadlineEnded = 0; // ended by the deadline while it ran
    std::uint64_t restarts = 0;
    std::uint64_t overSlots = 0; // searches that began above the slots
    std::uint64_t overCold = 0; // searches above the cold slots; each makes the target fall over
    std::uint64_t overConnections = 0; // connections above the cap; they are closed
    std::uint64_t afterOut = 0; // searches received after the target was taken out
    std::uint64_t afterDraining = 0;
    double latestAfterOutMs = 0; // time from being taken out to the latest such search
    double latestAfterDrainingMs = 0;
    std::uint32_t peakRunning = 0;
    std::uint32_t peakRunningCold = 0;
    std::uint32_t peakConnections = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t healthReads = 0;
};

// To be made, used and destroyed in one thread.
class Target
{
public:
    Target(TargetSettings settings, std::uint64_t seed);

    TargetSettings settings; // may be changed at any time
    TargetCounters counters;
    // Runs of each request id that starts with "once-", in this target.
    std::map<std::string, std::uint32_t> onceRuns;

    auto address() const -> const std::string & { return this->server.address(); }
    // Loses all requests and connections, and starts cold with a new start identity. Connections
    // are refused for the given time.
    auto restart(double downMs) -> void;
    auto setDraining(bool draining) -> void;
    // Tells the target that operators took it out, for its counters only.
    auto setOut(bool out) -> void;
    auto silenceConnections() -> void { this->server.silenceConnections(); }
    auto closeConnections() -> void { this->server.closeConnections(); }

private:
    struct Running
    {
        ExchangePtr exchange;
        Source end;
    };
    struct Health
    {
        std::int64_t at = 0; // monotonic, in microseconds
        std::string state;
        std::string startId;
    };

    auto handle(const ExchangePtr &exchange) -> void;
    auto search(const ExchangePtr &exchange) -> void;
    auto countLateness() -> void;
    auto run(const ExchangePtr &exchange, std::uint64_t version, double deadlineMs) -> void;
    auto finish(const ExchangePtr &exchange, std::uint64_t version, double leftMs) -> void;
    auto dropEnded() -> void;
    auto isCold() const -> bool;
    auto state() const -> std::string;
    auto headers(std::uint64_t version) const -> Headers;
    auto healthHeaders() -> Headers;
    auto recordHealth() -> void;
    auto newStartId() -> void;

    std::mt19937_64 random;
    std::string startId;
    std::int64_t coldUntil = 0; // monotonic, in microseconds
    std::int64_t outSince = 0; // 0 if in rotation
    std::int64_t drainingSince = 0; // 0 if not draining
    std::deque<Health> healthHistory;
    HttpServer server;
    // After the server, since exchanges refer to it at their destruction.
    std::unordered_map<Exchange *, Running> running;
    Source warmUp;
    Source reopen;
};

// Targets spread over threads. The functions may be called from any thread but the targets' own.
class Targets
{
public:
    Targets(std::size_t threads, std::uint64_t seed);

    // Starts a target and returns its address.
    auto add(const TargetSettings &settings) -> std::string;
    // Runs a function on each target whose name matches, in the target's thread. A pattern ending
    // in
    // '*' matches by prefix. Returns the number of targets.
    auto change(std::string_view pattern, const std::function<auto(Target &)->void> &function)
            -> std::size_t;
    auto remove(const std::string &name) -> void;

private:
    struct Entry
    {
        std::size_t worker = 0;
        std::unique_ptr<Target> target;
    };
    struct Stop
    {
        Targets *targets;
        ~Stop();
    };

    std::vector<std::unique_ptr<MainThread>> workers;
    std::map<std::string, Entry> targets;
    std::uint64_t seed;
    std::size_t added = 0;
    Stop stop{this}; // destroys the targets in their threads, before the members above
};

} // namespace crocusreach::standins

#pragma once

#include "leafstatements.h"
#include "routetable.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// The leafs of all services: their entries in the platform's registry, and what this instance has
// observed of them.

namespace crocusreach::forward {

// Row of a leaf in the table. It belongs to one registered id as long as sends or connections refer
// to it, and for some minutes after that.
enum class LeafNumber : std::uint32_t {};

// Identifies a connection to a leaf; unique within the process.
enum class ConnectionId : std::uint64_t {};

// A leaf's entry in the registry.
struct LeafRecord
{
    std::string id; // of this leaf process, as stated in its answers to callers
    std::string service;
    std::string address; // IP:port
    std::string domain; // failure domain
    std::string version; // of the program that runs there
    std::uint32_t slots = 1;
    bool draining = false;
    Duration coldTimeLeft = {}; // rest of its cold start when the entry was written
    std::optional<std::int64_t> startedAt; // Unix time in milliseconds
    std::uint64_t revision = 0; // of the entry
    std::uint64_t era = 0; // of the store, whose revisions begin again with each era
};

// Requests of all callers at a leaf, as it reported them with an answer.
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // How long work takes at the leaf now, in percent of its usual time; 0 if it doesn't say.
    std::uint32_t pace = 0;
};

enum class ConnectionState : std::uint8_t { Idle, Busy };

struct LeafConnection
{
    ConnectionId id = {};
    ConnectionState state = ConnectionState::Busy;
    TimePoint idleSince = {};
    Duration keepAliveTimeout = {}; // idle time after which the leaf closes it; 0: not announced
};

struct OutstandingSend
{
    SendId send = {};
    TimePoint sentAt = {};
    TimePoint overdueAt = {}; // the leaf counts as stalled if it has not answered by then
};

// Which requests a leaf may get as a leaf of its version.
enum class VersionUse : std::uint8_t {
    InUse,
    Canary, // only the share of requests that tries a new version
    Barred, // none
};

struct LeafState
{
    LeafRecord record;
    bool listed = false; // the registry has the entry, or its removal isn't in force yet
    std::optional<TimePoint> removeAt; // when a pending removal takes effect
    std::optional<TimePoint> unlistedAt; // when it stopped being listed; empty while it is
    bool misdirected = false; // another leaf answered at the address
    bool displaced = false; // the entry of another leaf has the better claim to the address
    VersionUse versionUse = VersionUse::InUse;
    bool preferred = true; // this instance keeps connections to it
    double connectionShare = 1; // connections that this instance may keep to it, at most 1
    std::uint64_t idHash = 0;
    std::uint32_t process = 0; // counts the processes of the leaf that had this id
    LeafStatements statements; // of the current process
    std::vector<LeafConnection> connections;
    std::vector<OutstandingSend> outstanding; // oldest first
    // Moving average of the latency relative to the typical latency of the route. Without answers
    // it decays towards 1, so that a leaf that was slow is tried again.
    double latencyRatio = 1;
    TimePoint latencyRatioAt = {};
    ReportedLoad load;
    TimePoint loadAt = {};
    double failureRate = 0; // moving average: the fraction of sends without a success
    TimePoint failureRateAt = {};
    TimePoint lastAnswerAt = {}; // the latest successful one
    std::uint32_t failuresInRow = 0;
    TimePoint avoidUntil = {}; // after failures; until then used only if there is no other
    TimePoint coldUntil = {};
    TimePoint nextColdSendAt = {};
    std::optional<TimePoint> checkAt; // of the timer for calls that wait until it can be used
};

struct LeafTable
{
    std::deque<LeafState> leafs;
    std::unordered_map<std::string, LeafNumber> byId;
    std::unordered_map<std::string, std::vector<LeafNumber>> byService; // listed leafs only
    std::unordered_map<std::string, std::vector<LeafNumber>> byAddress; // listed leafs only
    std::set<std::string, std::less<>> routedServices; // those that requests may go to
    std::deque<LeafNumber> unlisted; // oldest first; some are listed again
    std::set<std::string, std::less<>> evacuatedDomains; // failure domains that get no requests
    std::optional<TimePoint> nextRemovalAt; // earliest removeAt
};

auto leafAt(LeafTable &table, LeafNumber index) -> LeafState &;

// Adds or updates a leaf by its entry in the registry. An older revision is ignored.
auto putLeaf(LeafTable &table, const LeafRecord &record, TimePoint now) -> void;

// Sets the services that the desired state's routes name.
auto setRoutedServices(LeafTable &table, std::set<std::string, std::less<>> services) -> void;

// Records that another leaf answered at the leaf's address.
auto markMisdirected(LeafTable &table, LeafNumber index) -> void;

// Schedules the removal of a leaf whose entry has left the registry. Entries also expire while the
// registry is unavailable, so the removal takes effect only at the given time, unless the entry is
// back by then. A leaf that was draining is removed at once.
auto removeLeaf(LeafTable &table, std::string_view id, TimePoint effectiveAt, TimePoint now)
        -> void;

// Carries out the removals that are due.
auto applyRemovals(LeafTable &table, TimePoint now) -> void;

// True if requests may be sent to the leaf: it is listed, neither draining nor gone by its own
// statement, at its address, not evacuated, and its version is in use.
auto isUsable(const LeafTable &table, const LeafState &leaf, TimePoint now) -> bool;

// Likewise for requests that go to leafs with this use of their version only.
auto isUsableAs(const LeafTable &table, const LeafState &leaf, VersionUse use, TimePoint now)
        -> bool;

// True while an answer is overdue: the leaf is stalled, or the network path to it has failed.
auto isStalled(const LeafState &leaf, TimePoint now) -> bool;

// True if the leaf has not answered for longer than leafs stall, or has failed several times in a
// row. A request to it will most likely get no answer.
auto isUnresponsive(const LeafState &leaf, TimePoint now) -> bool;

// Records a successful answer. The ratio is that of its latency to the route's typical latency;
// empty if the answer says nothing about the leaf's speed.
auto recordAnswer(LeafState &leaf, std::optional<double> ratio, TimePoint now) -> void;

// Time since the latest successful answer to this instance; absent if there was none.
auto timeSinceAnswer(const LeafState &leaf, TimePoint now) -> std::optional<Duration>;

// Records a send without a successful answer.
auto recordFailure(LeafState &leaf, TimePoint now) -> void;

// Failure rate, decayed to the given time.
auto failureRateOf(const LeafState &leaf, TimePoint now) -> double;

// Latency ratio, decayed to the given time.
auto latencyRatioOf(const LeafState &leaf, TimePoint now) -> double;

} // namespace crocusreach::forward

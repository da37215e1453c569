#pragma once

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

// The leafs of all services: what they say of themselves in the platform's registry, and what this
// instance's own requests show.

namespace crocusreach::forward {

// Index of a leaf in its table. An index stays with one registered id while sends or connections
// refer to it, and for some minutes more.
enum class LeafNumber : std::uint32_t {};

// A connection to a leaf; unique in the life of the process.
enum class ConnectionId : std::uint64_t {};

// What a leaf has registered.
struct LeafRecord
{
    std::string id; // of this start of the leaf, as it names itself towards callers
    std::string service;
    std::string address; // IP:port
    std::string domain; // failure domain
    std::uint32_t slots = 1;
    bool draining = false;
    Duration coldTimeLeft = {}; // how much longer it stays cold, as of the entry's writing
    std::optional<std::int64_t> startedAt; // Unix time in milliseconds
    std::uint64_t revision = 0; // of the registry entry
};

// Requests at a leaf from all callers, as it reported them with an answer.
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

enum class ConnectionState : std::uint8_t { Idle, Busy };

struct LeafConnection
{
    ConnectionId id = {};
    ConnectionState state = ConnectionState::Busy;
    TimePoint idleSince = {};
    Duration keepAliveTimeout = {}; // the leaf closes the connection after this time; 0: not stated
};

struct OutstandingSend
{
    SendId send = {};
    TimePoint sentAt = {};
    TimePoint overdueAt = {}; // unanswered at this time, the leaf counts as stalled
};

struct LeafState
{
    LeafRecord record;
    bool listed = false; // the registry holds the entry, or its removal isn't in force yet
    std::optional<TimePoint> removeAt; // a removal that takes effect at this time
    std::optional<TimePoint> unlistedAt; // while it isn't listed, if it was
    bool misdirected = false; // another leaf answered at the address
    bool preferred = true; // this instance keeps connections to it
    double connectionShare = 1; // connections to it that this instance may keep, if below one
    std::uint64_t idHash = 0;
    std::vector<LeafConnection> connections;
    std::vector<OutstandingSend> outstanding; // oldest first
    // Latency relative to what is usual for the route. It returns towards 1 without answers, so
    // that a leaf that was slow is tried again.
    double latencyRatio = 1;
    TimePoint latencyRatioAt = {};
    ReportedLoad load;
    TimePoint loadAt = {};
    double failureRate = 0; // recent share of sends without a success
    TimePoint failureRateAt = {};
    TimePoint lastAnswerAt = {}; // of any kind
    std::uint32_t failuresInRow = 0;
    TimePoint avoidUntil = {}; // after failures; used only if there is no other
    TimePoint coldUntil = {};
    TimePoint nextColdSendAt = {};
};

struct LeafTable
{
    std::deque<LeafState> leafs;
    std::unordered_map<std::string, LeafNumber> byId;
    std::unordered_map<std::string, std::vector<LeafNumber>> byService; // listed leafs only
    std::unordered_map<std::string, LeafNumber> byAddress; // with the newest entry of each
    std::deque<LeafNumber> unlisted; // the first one longest ago; some are listed again
    std::set<std::string, std::less<>> evacuatedDomains; // failure domains that get nothing
    std::optional<TimePoint> nextRemovalAt; // earliest removeAt
};

auto leafAt(LeafTable &table, LeafNumber index) -> LeafState &;

// Takes in an entry of the registry.
auto putLeaf(LeafTable &table, const LeafRecord &record, TimePoint now) -> void;

// An entry has left the registry. Entries also lapse while the registry is away, so that the
// removal takes effect only at the time given, unless the entry is back by then. A leaf that was
// draining is removed at once.
auto removeLeaf(LeafTable &table, std::string_view id, TimePoint effectiveAt, TimePoint now)
        -> void;

// Carries out the removals that are due.
auto applyRemovals(LeafTable &table, TimePoint now) -> void;

// True if work may be sent to the leaf: listed, not draining, at its address, not evacuated.
auto isUsable(const LeafTable &table, const LeafState &leaf) -> bool;

// True while an answer is overdue: the leaf stands still, or the way to it is cut.
auto isStalled(const LeafState &leaf, TimePoint now) -> bool;

// True if the leaf has been silent for longer than leafs stand still, or has failed several times
// in a row: a request to it will most likely get no answer.
auto isUnresponsive(const LeafState &leaf, TimePoint now) -> bool;

// Effect of one answer on what is known of the leaf. The ratio is that of its latency to the usual
// one of the route; absent if the answer says nothing about the speed.
auto recordAnswer(LeafState &leaf, std::optional<double> ratio, TimePoint now) -> void;

// A send got no answer.
auto recordFailure(LeafState &leaf, TimePoint now) -> void;

// Failure rate as of now.
auto failureRateOf(const LeafState &leaf, TimePoint now) -> double;

// Slowness as of now.
auto latencyRatioOf(const LeafState &leaf, TimePoint now) -> double;

} // namespace crocusreach::forward

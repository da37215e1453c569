#pragma once

#include "rolloutevidence.h"
#include "types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Orders to move a service to another version, and the messages about them: to and from the
// platform's store, and between instances. Nothing here depends on how a message is encoded.

namespace crocusreach::forward {

// Limits on what a version that may be bad can get.
struct RolloutLimits
{
    bool isEnforced = false;
    double canaryShare = 0.1; // of the requests that reach the service
    double canarySlack = 50; // requests beyond that
    Duration rollbackTime = std::chrono::seconds(5); // after the 50th bad answer
};

// What an order's status says of it.
enum class RolloutState : std::uint8_t { None, Running, Completed, RolledBack };

// The step of an order at an instance. Completed and RolledBack are final.
enum class RolloutPhase : std::uint8_t { Running, Switching, Completed, RolledBack, Count };

auto toString(RolloutPhase phase) -> std::string_view;
auto rolloutPhaseFromString(std::string_view name) -> std::optional<RolloutPhase>;

// An operator's order, with the status that the instances wrote.
struct RolloutOrder
{
    std::string name; // of the entry in the store
    std::string service;
    std::string targetVersion;
    Duration duration = {};
    RolloutState state = RolloutState::None; // None as well if the status is about another version
    std::uint64_t revision = 0; // of the entry
};

// One instance's message to the service's coordinator. All counts are cumulative.
struct RolloutReport
{
    std::string sender;
    std::uint64_t process = 0; // differs for each process of the sender
    std::string service;
    std::string targetVersion;
    std::uint64_t orderRevision = 0; // of the entry without a status; 0 if it was never seen
    Duration orderAge = {}; // since the order was first seen by any instance
    RolloutPhase phase = RolloutPhase::Running;
    bool isBad = false; // the sender holds a bad verdict
    std::uint64_t openOldSends = 0; // to versions other than the target
    std::vector<EvidenceRow> rows;
};

struct RolloutReply
{
    bool isKnown = false; // the instance knows the order; the rest has no meaning otherwise
    bool hasQuorum = false; // it hears from most instances
    std::uint64_t orderRevision = 0;
    Duration orderAge = {};
    RolloutPhase phase = RolloutPhase::Running;
    bool isBad = false;
};

// Where the outcome of a send is to be counted; order 0: nowhere.
struct RolloutTicket
{
    std::uint64_t order = 0;
    std::size_t row = 0;
    bool toTarget = false;
};

// Events.

// All orders in the store.
struct RolloutsChanged
{
    std::vector<RolloutOrder> orders;
    std::vector<std::string> unreadable; // names of entries that are invalid; they change nothing
};

// Another instance reports.
struct RolloutReported
{
    std::uint64_t number = 0; // of the message, for the reply
    RolloutReport report;
};

// The reply to a report of this instance; absent if there was none in time.
struct RolloutReplied
{
    std::uint64_t number = 0;
    std::optional<RolloutReply> reply;
};

enum class StatusWriteResult : std::uint8_t {
    Written,
    Conflict, // the entry has another revision
    Failed,
};

struct RolloutStatusWritten
{
    std::string name; // of the entry
    RolloutState state = RolloutState::None;
    StatusWriteResult result = StatusWriteResult::Failed;
    std::uint64_t revision = 0; // of the entry now; 0 if the store didn't tell
};

// Actions.

struct SendRolloutReport
{
    std::uint64_t number = 0;
    std::string address;
    RolloutReport report;
};

struct AnswerRolloutReport
{
    std::uint64_t number = 0;
    RolloutReply reply;
};

struct WriteRolloutStatus
{
    std::string name; // of the entry
    std::uint64_t revision = 0; // that the entry must have
    RolloutState state = RolloutState::None;
    std::string targetVersion;
};

// For the log: an order is in another phase at this instance.
struct RolloutPhaseChanged
{
    std::string service;
    std::string targetVersion;
    RolloutPhase phase = RolloutPhase::Running;
    Duration elapsed = {}; // since the order
    std::optional<BadEvidence> evidence; // if this instance found the version to be bad
};

} // namespace crocusreach::forward

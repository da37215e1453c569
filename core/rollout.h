#pragma once

#include "leaftable.h"
#include "peers.h"
#include "rolloutevidence.h"
#include "rolloutmessages.h"
#include "routing.h"
#include "types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

// Moves services to another version of their leafs by the operators' orders. Each instance sends
// the new version a bounded share of its own requests and reports the outcome to the service's
// coordinator, which judges the version, has all instances switch to it, and records the result in
// the order's status. A bad version is barred at once wherever its verdict is heard.

namespace crocusreach::forward {

// How far requests may go to leafs of a version without an order that names it.
enum class VersionState : std::uint8_t {
    InUse,
    Withheld, // it appeared beside a version in use, and an order for it may follow
    Excluded, // an order has ended against it
};

struct KnownVersion
{
    VersionState state = VersionState::InUse;
    TimePoint withheldUntil = {};
};

// The latest report of an instance to this one.
struct HeardReport
{
    RolloutReport report;
    TimePoint at = {};
};

// What this instance knows as the coordinator of an order.
struct RolloutCoordination
{
    std::map<std::string, HeardReport> reports; // by sender
    std::vector<EvidenceRow> formerRows; // of the senders' earlier processes
    std::optional<TimePoint> askedAt; // latest report of another instance
    std::optional<TimePoint> switchingSince;
    TimePoint nextLookAt = {};
    TimePoint nextWriteAt = {};
    bool switchRequested = false; // the write that permits the switch is open
};

struct RolloutProgress
{
    RolloutOrder order;
    std::uint64_t number = 0; // of the order within this process
    std::uint64_t orderRevision = 0; // of the entry without a status; 0 if it was never seen
    TimePoint startedAt = {};
    RolloutPhase phase = RolloutPhase::Running;
    bool isBad = false; // once found, until another order
    // Limits of this instance's own sends to the target version.
    double slackPart = 0;
    std::uint64_t reachedSends = 0; // all sends to the service that have ended and reached a leaf
    std::uint64_t targetSends = 0;
    std::uint64_t openOldSends = 0;
    std::vector<EvidenceRow> rows;
    bool hasNews = true; // since the latest report
    std::optional<TimePoint> nextReportAt;
    std::uint64_t openReport = 0; // its number; 0: none
    std::string reportedTo; // address
    std::optional<TimePoint> reportedAt; // the start of the open report, or of the latest one
    std::optional<TimePoint> heardAt; // a coordinator that hears most instances answered a report
    RolloutCoordination coordination;
};

struct ServiceVersions
{
    std::map<std::string, KnownVersion, std::less<>> versions;
    std::optional<RolloutProgress> progress;
};

struct Rollouts
{
    RolloutLimits limits;
    std::string instance;
    std::uint64_t process = 0;
    PeerList peers;
    std::map<std::string, TimePoint, std::less<>> avoidedPeers; // until when, by address
    std::map<std::string, ServiceVersions, std::less<>> services;
    std::uint64_t lastNumber = 0; // of orders and reports
    std::uint64_t openWrite = 0; // number of the order whose status is being written; 0: none
    std::optional<TimePoint> nextTickAt;
};

using RolloutAction = std::variant<SendRolloutReport, AnswerRolloutReport, WriteRolloutStatus,
                                   RolloutPhaseChanged>;

// What the decisions need of the forwarder.
struct RolloutContext
{
    LeafTable *leafs = nullptr;
    RandomState *random = nullptr;
    bool stateRead = false;
    std::optional<std::uint32_t> instances; // absent until known
};

// Takes the entries of leafs that have just been put into the table.
auto learnVersions(Rollouts &rollouts, const std::vector<LeafRecord> &records,
                   const RolloutContext &context, TimePoint now) -> void;

auto takeOrders(Rollouts &rollouts, const RolloutsChanged &changed, const RolloutContext &context,
                TimePoint now, std::vector<RolloutAction> &actions) -> void;

auto takeReport(Rollouts &rollouts, const RolloutReported &event, const RolloutContext &context,
                TimePoint now, std::vector<RolloutAction> &actions) -> void;

auto takeReply(Rollouts &rollouts, const RolloutReplied &event, const RolloutContext &context,
               TimePoint now, std::vector<RolloutAction> &actions) -> void;

auto takeWritten(Rollouts &rollouts, const RolloutStatusWritten &event,
                 const RolloutContext &context, TimePoint now, std::vector<RolloutAction> &actions)
        -> void;

// Sends reports and acts as coordinator where it is due.
auto tickRollouts(Rollouts &rollouts, const RolloutContext &context, TimePoint now,
                  std::vector<RolloutAction> &actions) -> void;

// True if a request to the service may go to the version that an order names.
auto allowsCanary(const Rollouts &rollouts, std::string_view service, TimePoint now) -> bool;

auto countSend(Rollouts &rollouts, std::string_view service, std::string_view route,
               const LeafRecord &leaf) -> RolloutTicket;

enum class SendOutcome : std::uint8_t {
    NotReached, // the leaf hasn't got the request
    NotRun, // the leaf states that it didn't run it
    Succeeded,
    Failed,
    Unanswered, // within its time
};

// The ratio is that of the latency to the route's typical one; absent if it doesn't count.
auto countOutcome(Rollouts &rollouts, const RolloutTicket &ticket, SendOutcome outcome,
                  std::optional<double> latencyRatio) -> void;

} // namespace crocusreach::forward

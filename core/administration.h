#pragma once

#include "configuration.h"
#include "control.h"
#include "sheet.h"
#include "types.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

// One operator's change from the request to a proven result, over a store with conditional writes
// whose replies may be lost.

namespace crocusreach {

struct ApplySheet
{
    Sheet sheet;
    std::string confirmationToken; // token of the plan that the operator saw; empty: none
};

// Always recorded as a new decision, also if the state stays the same: an older sheet must not undo
// a decision that an operator repeated.
struct SetState
{
    ItemKind kind = ItemKind::Domain;
    std::string name;
    DesiredState state = DesiredState::In;
    std::string reason;
};

// Replaces what is declared. Items that stay declared keep their decisions.
struct ReplaceConfiguration
{
    std::shared_ptr<const Configuration> configuration;
    Revision expected = {}; // 0: none is stored yet
};

struct ChangeRequest
{
    std::string changeId;
    std::string author;
    std::variant<ApplySheet, SetState, ReplaceConfiguration> request;
};

enum class ChangeStatus : std::uint8_t {
    Applied,
    Unchanged, // everything asked for is in force already
    Conflict, // somebody else changed the configuration meanwhile; nothing was written
    ConfirmationNeeded, // nothing was written
    Invalid, // nothing was written
    NotAccepted, // the store can't be reached; nothing was written
    Uncertain, // a write got no reply and can't be looked up; ask again with the same change id
};

auto toString(ChangeStatus status) -> std::string_view;

struct ChangeResult
{
    ChangeStatus status = ChangeStatus::Invalid;
    Revision revision = {}; // Applied: of the change; otherwise the newest known
    bool repeated = false; // an earlier request with this change id had been applied already
    std::vector<Error> errors; // Invalid, NotAccepted and Uncertain
    std::vector<Change> conflicting; // Conflict: what others changed, newest first
    std::vector<Difference> differences; // Conflict: from the stored to the wanted configuration
    SheetPlan plan; // of a sheet
    std::vector<ShardWithoutReplica> shardsWithoutReplica; // what a SetState left without a replica
};

struct ReadConfiguration
{ };

struct WriteConfiguration
{
    std::shared_ptr<const Configuration> configuration;
    Revision expected = {}; // 0: must be absent
};

// ChangeResult comes once, as the last action.
using AdministrationAction = std::variant<ReadConfiguration, WriteConfiguration, ChangeResult>;
using AdministrationActions = std::vector<AdministrationAction>;

// Ok, Absent, Invalid or Unknown.
struct ConfigurationRead
{
    StoreStatus status = StoreStatus::Unknown;
    std::shared_ptr<const Configuration> configuration; // if Ok, with its revision
};

// Ok, Conflict or Unknown.
struct ConfigurationWritten
{
    StoreStatus status = StoreStatus::Unknown;
    Revision revision = {}; // if Ok
};

using AdministrationEvent = std::variant<ConfigurationRead, ConfigurationWritten>;

// Store calls without a reply that one change may have before it gives up.
constexpr std::uint32_t unansweredCallLimit = 3;
// Conditional writes that one change may lose to changes of other items.
constexpr std::uint32_t writeConflictLimit = 20;

struct ChangeState
{
    ChangeRequest request;
    std::shared_ptr<const Configuration> base; // last one read
    std::uint32_t unansweredCalls = 0;
    std::uint32_t writeConflicts = 0;
    bool writeUnresolved = false; // a write got no reply
    Revision unresolvedRevision = {}; // that it expected; it can't take effect on a newer one
    bool writeSent = false; // a write was sent
    Revision firstRevision = {}; // that the change was first decided on
    std::optional<Decision> firstDecision; // of the item of a SetState in that revision
    SheetPlan plan; // of the last write
    std::vector<ShardWithoutReplica> shardsWithoutReplica; // of the last write
};

// Checks the change id and the author, and starts to read.
auto startChange(ChangeRequest request, AdministrationActions &actions) -> ChangeState;

// The time is recorded with decisions and changes.
auto handle(ChangeState &state, const AdministrationEvent &event, WallTime now,
            AdministrationActions &actions) -> void;

// What the stored configuration would be after a replacement, for the write and for a diff.
auto replaceConfiguration(const Configuration &current, const Configuration &wanted,
                          std::string_view author, WallTime now) -> Configuration;

// The accepted changes with their revisions, newest first. The newest has the revision of the
// configuration itself, which its writer couldn't know.
auto history(const Configuration &configuration) -> std::vector<Change>;

} // namespace crocusreach

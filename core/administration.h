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

// Applies one operator's change to the stored configuration by conditional writes. Replies of the
// store may be lost, so the configuration is read back to find out whether a write took effect.

namespace crocusreach {

struct ApplySheet
{
    Sheet sheet;
    std::string confirmationToken; // token of the plan that the operator saw; empty: none
};

// Always recorded as a new decision, even if the state stays the same: an older sheet must not undo
// a decision that an operator has repeated.
struct SetState
{
    ItemKind kind = ItemKind::Domain;
    std::string name;
    DesiredState state = DesiredState::In;
    std::string reason;
};

// Replaces the declared items. Items that stay declared keep their decisions.
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
    Unchanged, // the stored configuration already is as requested
    Conflict, // the configuration was changed concurrently; nothing was written
    ConfirmationNeeded, // nothing was written
    Invalid, // nothing was written
    NotAccepted, // nothing was written, for example because the store is unreachable
    Uncertain, // a write got no reply and can't be read back; repeat it with the same change id
};

auto toString(ChangeStatus status) -> std::string_view;

struct ChangeResult
{
    ChangeStatus status = ChangeStatus::Invalid;
    Revision revision = {}; // Applied: of the change; otherwise the newest known
    bool repeated = false; // an earlier request with this change id had been applied already
    std::vector<Error> errors; // Invalid, NotAccepted and Uncertain
    std::vector<Change> conflicting; // Conflict: the concurrent changes, newest first
    std::vector<Difference> differences; // Conflict: from the stored to the desired configuration
    SheetPlan plan; // of an ApplySheet
    std::vector<ShardWithoutReplica> shardsWithoutReplica; // due to a SetState
};

struct ReadConfiguration
{ };

struct WriteConfiguration
{
    std::shared_ptr<const Configuration> configuration;
    Revision expected = {}; // 0: must be absent
};

// ChangeResult is emitted once, as the last action.
using AdministrationAction = std::variant<ReadConfiguration, WriteConfiguration, ChangeResult>;
using AdministrationActions = std::vector<AdministrationAction>;

// The status is Ok, Absent, Invalid, or Unknown if the store didn't answer.
struct ConfigurationRead
{
    StoreStatus status = StoreStatus::Unknown;
    std::shared_ptr<const Configuration> configuration; // if Ok, with its revision
};

// The status is Ok, Conflict, or Unknown if the store didn't answer.
struct ConfigurationWritten
{
    StoreStatus status = StoreStatus::Unknown;
    Revision revision = {}; // if Ok
};

using AdministrationEvent = std::variant<ConfigurationRead, ConfigurationWritten>;

// Unanswered store calls after which a change is abandoned.
constexpr std::uint32_t unansweredCallLimit = 3;
// Write conflicts with changes of other items after which a change is abandoned.
constexpr std::uint32_t writeConflictLimit = 20;

struct ChangeState
{
    ChangeRequest request;
    std::shared_ptr<const Configuration> base; // latest one read
    std::uint32_t unansweredCalls = 0;
    std::uint32_t writeConflicts = 0;
    bool writeUnresolved = false; // a write got no reply and may still take effect
    Revision unresolvedRevision = {}; // that it expects; it can't take effect on a newer one
    bool writeSent = false;
    Revision firstRevision = {}; // of the first configuration read
    std::optional<Decision> firstDecision; // about the item of a SetState, in that configuration
    SheetPlan plan; // of the last write
    std::vector<ShardWithoutReplica> shardsWithoutReplica; // of the last write
};

// Checks the change id and requests the first read.
auto startChange(ChangeRequest request, AdministrationActions &actions) -> ChangeState;

// The time is recorded in decisions and changes.
auto handle(ChangeState &state, const AdministrationEvent &event, WallTime now,
            AdministrationActions &actions) -> void;

// The configuration that a replacement would store, for the write and for a diff: the desired
// items, with the revision, the change history and the decisions of the current configuration.
auto replaceConfiguration(const Configuration &current, const Configuration &desired,
                          std::string_view author, WallTime now) -> Configuration;

// The accepted changes with their revisions, newest first. The newest change gets the revision of
// the configuration itself, which wasn't known when it was written.
auto history(const Configuration &configuration) -> std::vector<Change>;

} // namespace crocusreach

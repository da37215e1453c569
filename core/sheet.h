#pragma once

#include "configuration.h"
#include "types.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// The sheet of desired states that planners export each morning, and the plan of what applying it
// would change.

namespace crocusreach {

struct SheetRow
{
    std::size_t line = 0;
    ItemKind kind = ItemKind::Domain;
    std::string name;
    DesiredState state = DesiredState::In;
    std::string reason;

    auto operator==(const SheetRow &) const -> bool = default;
};

struct Sheet
{
    WallTime exportedAt = {};
    std::string author;
    std::vector<SheetRow> rows;
};

// A row that changes the state of its item.
struct PlannedChange
{
    SheetRow row;
    Decision former;
};

// A declared item without a row; it keeps its state.
struct UnlistedItem
{
    ItemKind kind = ItemKind::Domain;
    std::string name;
    DesiredState state = DesiredState::In;
};

// The row would undo a decision newer than the sheet's export.
struct NewerDecision
{
    SheetRow row;
    Decision decision;
};

// More than maxOutPercent of the items of a kind would be out.
struct TooManyOut
{
    ItemKind kind = ItemKind::Domain;
    std::size_t out = 0;
    std::size_t declared = 0;
};

// The shard would have no replica in rotation, although its service is in rotation.
struct ShardWithoutReplica
{
    std::string service;
    ShardNumber shard = {};
};

// What an operator has to confirm before a sheet is applied.
using Confirmation = std::variant<NewerDecision, TooManyOut, ShardWithoutReplica>;

constexpr std::size_t maxOutPercent = 34;

// How far a planner's clock may be ahead. A sheet whose export time is further ahead is refused,
// since decisions newer than the sheet would look older.
constexpr auto exportClockTolerance = std::chrono::minutes(5);

struct SheetPlan
{
    Revision baseRevision = {}; // of the configuration that the plan was made for
    std::vector<Error> errors; // Step::Sheet, "line N" as peer; nothing may be applied if any
    std::vector<PlannedChange> changes;
    std::vector<UnlistedItem> unlisted;
    std::vector<Confirmation> confirmations;
    // Identifies this plan: a hash of the sheet and the base revision. Empty if no confirmation is
    // needed.
    std::string token;
};

auto planSheet(const Sheet &sheet, const Configuration &configuration, WallTime now) -> SheetPlan;

// Sets the states of a plan without errors.
auto applyPlan(const SheetPlan &plan, Configuration &configuration, std::string_view author,
               WallTime now) -> void;

// One sentence for operators, without times.
auto describe(const Confirmation &confirmation) -> std::string;

// Shards that lose their last replica in rotation, of services that are in rotation afterwards.
auto shardsLosingReplicas(const Configuration &before, const Configuration &after)
        -> std::vector<ShardWithoutReplica>;

// The decision about an item, or nullptr if no such item is declared.
auto findDecision(const Configuration &configuration, ItemKind kind, std::string_view name)
        -> const Decision *;
auto findDecision(Configuration &configuration, ItemKind kind, std::string_view name) -> Decision *;

} // namespace crocusreach

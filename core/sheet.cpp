#include "sheet.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>
#include <utility>

namespace crocusreach {

namespace {

auto sheetError(std::size_t line, std::string text) -> Error
{
    return {Step::Sheet, "line " + std::to_string(line), std::move(text)};
}

auto rowTitle(const SheetRow &row) -> std::string
{
    return std::string(toString(row.kind)) + " " + row.name;
}

template <typename Item>
auto decisionOf(std::span<Item> items, std::string_view name) -> decltype(&items[0].decision)
{
    const auto found
            = std::ranges::find_if(items, [&](const auto &item) { return item.name == name; });
    return found == items.end() ? nullptr : &found->decision;
}

// The decisions of all items of a kind, with their names.
auto namedDecisions(const Configuration &configuration, ItemKind kind)
        -> std::vector<std::pair<std::string_view, const Decision *>>
{
    auto named = std::vector<std::pair<std::string_view, const Decision *>>();
    const auto addAll = [&](const auto &items) {
        for (const auto &item : items)
            named.emplace_back(item.name, &item.decision);
    };
    switch (kind) {
    case ItemKind::Domain:
        addAll(configuration.domains);
        break;
    case ItemKind::Service:
        addAll(configuration.services);
        break;
    case ItemKind::Instance:
        addAll(configuration.instances);
        break;
    }
    return named;
}

constexpr std::array<ItemKind, 3> itemKinds
        = {ItemKind::Domain, ItemKind::Service, ItemKind::Instance};

auto planRow(const SheetRow &row, const Sheet &sheet, const Configuration &configuration,
             SheetPlan &plan) -> void
{
    const auto *decision = findDecision(configuration, row.kind, row.name);
    if (decision == nullptr) {
        plan.errors.push_back(sheetError(row.line, rowTitle(row) + " is not declared"));
        return;
    }
    if (decision->state == row.state)
        return;
    plan.changes.push_back({row, *decision});
    if (decision->at > sheet.exportedAt)
        plan.confirmations.emplace_back(NewerDecision{row, *decision});
}

auto findUnlisted(const Configuration &configuration,
                  const std::set<std::pair<ItemKind, std::string_view>> &listed, SheetPlan &plan)
        -> void
{
    for (const auto kind : itemKinds) {
        for (const auto &[name, decision] : namedDecisions(configuration, kind)) {
            if (!listed.contains({kind, name}))
                plan.unlisted.push_back({kind, std::string(name), decision->state});
        }
    }
}

auto countOut(const Configuration &configuration, ItemKind kind) -> std::size_t
{
    const auto named = namedDecisions(configuration, kind);
    return static_cast<std::size_t>(std::ranges::count_if(
            named, [](const auto &item) { return item.second->state == DesiredState::Out; }));
}

// Items that were already out count as well: otherwise two sheets that take out a quarter each
// would take out half of a kind without a confirmation.
auto checkOutPercent(const Configuration &after, SheetPlan &plan) -> void
{
    for (const auto kind : itemKinds) {
        const auto takesOut = std::ranges::any_of(plan.changes, [&](const PlannedChange &change) {
            return change.row.kind == kind && change.row.state == DesiredState::Out;
        });
        const auto declared = namedDecisions(after, kind).size();
        const auto out = countOut(after, kind);
        if (takesOut && out * 100 > declared * maxOutPercent)
            plan.confirmations.emplace_back(TooManyOut{kind, out, declared});
    }
}

auto planToken(const Sheet &sheet, Revision base) -> std::string
{
    auto text = std::to_string(sheet.exportedAt.time_since_epoch().count()) + '\n' + sheet.author;
    for (const auto &row : sheet.rows) {
        text += '\n' + rowTitle(row) + ' ' + std::string(toString(row.state)) + ' ';
        text += row.reason;
    }
    const auto hash = hashPair(hashName(text), toUnderlying(base));
    auto buffer = std::array<char, 24>();
    std::snprintf(buffer.data(), buffer.size(), "%016llx", static_cast<unsigned long long>(hash));
    return buffer.data();
}

// For each shard of a service, whether the failure domain of one of its replicas is in rotation.
auto shardsInRotation(const Service &service, const Configuration &configuration)
        -> std::vector<bool>
{
    auto inRotation = std::vector<bool>(service.shardCount);
    for (const auto &leaf : service.leafs) {
        const auto *domain = findDomain(configuration, leaf.domain);
        if (domain == nullptr || domain->decision.state == DesiredState::Out)
            continue;
        for (const auto shard : leaf.shards)
            inRotation[toUnderlying(shard)] = true;
    }
    return inRotation;
}

auto describeConfirmation(const NewerDecision &newer) -> std::string
{
    return "line " + std::to_string(newer.row.line) + ": " + rowTitle(newer.row) + " was set "
           + std::string(toString(newer.decision.state)) + " by " + newer.decision.author
           + " after the sheet was exported";
}

auto describeConfirmation(const TooManyOut &many) -> std::string
{
    return std::to_string(many.out) + " of " + std::to_string(many.declared) + " items of kind "
           + std::string(toString(many.kind)) + " would be out";
}

auto describeConfirmation(const ShardWithoutReplica &shard) -> std::string
{
    return "shard " + std::to_string(toUnderlying(shard.shard)) + " of service " + shard.service
           + " would have no replica in rotation";
}

} // namespace

auto findDecision(const Configuration &configuration, ItemKind kind, std::string_view name)
        -> const Decision *
{
    switch (kind) {
    case ItemKind::Domain:
        return decisionOf(std::span(configuration.domains), name);
    case ItemKind::Service:
        return decisionOf(std::span(configuration.services), name);
    case ItemKind::Instance:
        return decisionOf(std::span(configuration.instances), name);
    }
    return nullptr;
}

auto findDecision(Configuration &configuration, ItemKind kind, std::string_view name) -> Decision *
{
    const auto *found = findDecision(std::as_const(configuration), kind, name);
    return const_cast<Decision *>(found); // the configuration itself isn't const
}

auto planSheet(const Sheet &sheet, const Configuration &configuration, WallTime now) -> SheetPlan
{
    auto plan = SheetPlan();
    plan.baseRevision = configuration.revision;
    if (sheet.rows.empty())
        plan.errors.push_back(sheetError(1, "the sheet has no rows"));
    if (sheet.exportedAt > now + exportClockTolerance)
        plan.errors.push_back(sheetError(1, "the export time is in the future"));
    auto listed = std::set<std::pair<ItemKind, std::string_view>>();
    for (const auto &row : sheet.rows) {
        if (!listed.insert({row.kind, row.name}).second)
            plan.errors.push_back(sheetError(row.line, rowTitle(row) + " has a second row"));
        else
            planRow(row, sheet, configuration, plan);
    }
    findUnlisted(configuration, listed, plan);
    auto after = configuration;
    applyPlan(plan, after, sheet.author, now);
    checkOutPercent(after, plan);
    for (auto &shard : shardsLosingReplicas(configuration, after))
        plan.confirmations.emplace_back(std::move(shard));
    if (!plan.confirmations.empty())
        plan.token = planToken(sheet, configuration.revision);
    return plan;
}

auto applyPlan(const SheetPlan &plan, Configuration &configuration, std::string_view author,
               WallTime now) -> void
{
    for (const auto &change : plan.changes) {
        auto *decision = findDecision(configuration, change.row.kind, change.row.name);
        if (decision != nullptr)
            *decision = {change.row.state, std::string(author), now, change.row.reason};
    }
}

auto describe(const Confirmation &confirmation) -> std::string
{
    return std::visit([](const auto &content) { return describeConfirmation(content); },
                      confirmation);
}

auto shardsLosingReplicas(const Configuration &before, const Configuration &after)
        -> std::vector<ShardWithoutReplica>
{
    auto shards = std::vector<ShardWithoutReplica>();
    for (const auto &service : after.services) {
        const auto *old = findService(before, service.id);
        if (old == nullptr || service.decision.state == DesiredState::Out)
            continue;
        const auto hadReplica = shardsInRotation(*old, before);
        const auto hasReplica = shardsInRotation(service, after);
        for (std::size_t shard = 0; shard < std::min(hadReplica.size(), hasReplica.size());
             ++shard) {
            if (hadReplica[shard] && !hasReplica[shard])
                shards.push_back({service.name, ShardNumber{static_cast<std::uint32_t>(shard)}});
        }
    }
    return shards;
}

} // namespace crocusreach

#include "administration.h"

#include <algorithm>
#include <utility>

namespace crocusreach {

namespace {

constexpr std::size_t maxChangeIdLength = 64;

auto isChangeId(std::string_view text) -> bool
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
               || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= maxChangeIdLength && std::ranges::all_of(text, allowed);
}

auto administrationError(std::string peer, std::string text) -> Error
{
    return {Step::Administration, std::move(peer), std::move(text)};
}

auto finish(ChangeStatus status, const ChangeState &state, AdministrationActions &actions)
        -> ChangeResult &
{
    auto result = ChangeResult();
    result.status = status;
    result.revision = state.base == nullptr ? Revision{0} : state.base->revision;
    actions.emplace_back(std::move(result));
    return std::get<ChangeResult>(actions.back());
}

auto finishInvalid(const ChangeState &state, std::vector<Error> errors,
                   AdministrationActions &actions) -> void
{
    finish(ChangeStatus::Invalid, state, actions).errors = std::move(errors);
}

// Ends the change without a further store call. An unanswered write may have taken effect.
auto abandonChange(const ChangeState &state, std::string_view cause, AdministrationActions &actions)
        -> void
{
    const auto status = state.writeUnresolved ? ChangeStatus::Uncertain : ChangeStatus::NotAccepted;
    auto text = std::string(cause);
    if (state.writeUnresolved)
        text += "; the change may have been applied; repeat it with the same change id";
    else
        text += "; the change was not accepted";
    finish(status, state, actions).errors = {{Step::Store, "config/current", std::move(text)}};
}

// Clears the mark of an unanswered write once it can't take effect any more, since the stored
// revision is newer than the one it expects.
auto updateWriteUnresolved(ChangeState &state) -> void
{
    if (state.writeUnresolved && state.base->revision > state.unresolvedRevision)
        state.writeUnresolved = false;
}

// Changes accepted after a revision, newest first.
auto changesSince(const Configuration &configuration, Revision revision) -> std::vector<Change>
{
    auto changes = history(configuration);
    std::erase_if(changes, [&](const Change &change) { return change.revision <= revision; });
    return changes;
}

auto finishConflict(const ChangeState &state, const Configuration &desired, Revision since,
                    AdministrationActions &actions) -> void
{
    auto &result = finish(ChangeStatus::Conflict, state, actions);
    result.conflicting = changesSince(*state.base, since);
    result.differences = difference(*state.base, desired);
}

// Records the change and sends the conditional write.
auto write(ChangeState &state, Configuration desired, std::string summary, WallTime now,
           AdministrationActions &actions) -> void
{
    // Fills in the revision of the newest stored change, which the store assigned to that write.
    if (!desired.changes.empty() && desired.changes.back().revision == Revision{0})
        desired.changes.back().revision = state.base->revision;
    recordChange(desired, {Revision{0}, state.request.changeId, state.request.author, now,
                           std::move(summary)});
    desired.revision = Revision{0};
    state.writeSent = true;
    actions.emplace_back(WriteConfiguration{
            std::make_shared<const Configuration>(std::move(desired)), state.base->revision});
}

auto summarize(const Sheet &sheet, const SheetPlan &plan) -> std::string
{
    auto text = "sheet by " + sheet.author + ":";
    constexpr std::size_t maxListedChanges = 5;
    for (std::size_t index = 0; index < std::min(maxListedChanges, plan.changes.size()); ++index) {
        const auto &row = plan.changes[index].row;
        text += (index == 0 ? " " : ", ") + std::string(toString(row.kind)) + " " + row.name + " "
                + std::string(toString(row.state));
    }
    if (plan.changes.size() > maxListedChanges)
        text += " and " + std::to_string(plan.changes.size() - maxListedChanges) + " more";
    return text;
}

// The following functions apply a request to the configuration just read: they send the write, or
// end the change with another result.
auto attemptChange(ChangeState &state, const ApplySheet &request, WallTime now,
                   AdministrationActions &actions) -> void
{
    state.plan = planSheet(request.sheet, *state.base, now);
    const auto &plan = state.plan;
    if (!plan.errors.empty())
        return finishInvalid(state, plan.errors, actions);
    if (plan.changes.empty()) {
        finish(ChangeStatus::Unchanged, state, actions).plan = plan;
        return;
    }
    auto desired = *state.base;
    applyPlan(plan, desired, state.request.author, now);
    // The operator has seen the plan for the first revision only.
    if (state.base->revision != state.firstRevision)
        return finishConflict(state, desired, state.firstRevision, actions);
    if (plan.token != request.confirmationToken && !plan.token.empty()) {
        finish(ChangeStatus::ConfirmationNeeded, state, actions).plan = plan;
        return;
    }
    write(state, std::move(desired), summarize(request.sheet, plan), now, actions);
}

auto attemptChange(ChangeState &state, const SetState &request, WallTime now,
                   AdministrationActions &actions) -> void
{
    const auto title = std::string(toString(request.kind)) + " " + request.name;
    auto desired = *state.base;
    auto *decision = findDecision(desired, request.kind, request.name);
    if (decision == nullptr)
        return finishInvalid(state, {administrationError(title, "is not declared")}, actions);
    if (!state.firstDecision)
        state.firstDecision = *decision;
    const auto decidedConcurrently = *decision != *state.firstDecision;
    *decision = {request.state, state.request.author, now, request.reason};
    if (decidedConcurrently)
        return finishConflict(state, desired, state.firstRevision, actions);
    state.shardsWithoutReplica = shardsLosingReplicas(*state.base, desired);
    auto summary = title + " " + std::string(toString(request.state));
    if (!request.reason.empty())
        summary += ": " + request.reason;
    write(state, std::move(desired), std::move(summary), now, actions);
}

auto attemptChange(ChangeState &state, const ReplaceConfiguration &request, WallTime now,
                   AdministrationActions &actions) -> void
{
    auto desired
            = replaceConfiguration(*state.base, *request.configuration, state.request.author, now);
    if (request.expected != state.base->revision)
        return finishConflict(state, desired, request.expected, actions);
    auto errors = validate(desired);
    if (!errors.empty())
        return finishInvalid(state, std::move(errors), actions);
    const auto differences = difference(*state.base, desired);
    if (differences.empty() && state.base->revision != Revision{0}) {
        finish(ChangeStatus::Unchanged, state, actions);
        return;
    }
    auto summary = "configuration: " + std::to_string(differences.size()) + " items differ";
    write(state, std::move(desired), std::move(summary), now, actions);
}

// Ends a change whose id is in the stored history, from this request or an earlier one.
auto finishRecorded(const ChangeState &state, const Change &change, AdministrationActions &actions)
        -> void
{
    if (change.author != state.request.author) {
        return finishInvalid(state,
                             {administrationError(change.changeId,
                                                  "the change id was used by " + change.author)},
                             actions);
    }
    auto &result = finish(ChangeStatus::Applied, state, actions);
    result.repeated = !state.writeSent;
    if (change.revision != Revision{0})
        result.revision = change.revision;
    result.plan = state.plan;
    result.shardsWithoutReplica = state.shardsWithoutReplica;
}

auto onEvent(ChangeState &state, const ConfigurationRead &event, WallTime now,
             AdministrationActions &actions) -> void
{
    if (event.status == StoreStatus::Unknown) {
        if (++state.unansweredCalls >= unansweredCallLimit)
            return abandonChange(state, "the store doesn't answer", actions);
        actions.emplace_back(ReadConfiguration());
        return;
    }
    if (event.status == StoreStatus::Invalid)
        return abandonChange(state, "the stored configuration is invalid", actions);
    const auto isFirst = state.base == nullptr;
    state.base = event.status == StoreStatus::Ok ? event.configuration
                                                 : std::make_shared<const Configuration>();
    if (isFirst)
        state.firstRevision = state.base->revision;
    const auto *change = findChange(*state.base, state.request.changeId);
    if (change != nullptr)
        return finishRecorded(state, *change, actions);
    updateWriteUnresolved(state);
    std::visit([&](const auto &request) { attemptChange(state, request, now, actions); },
               state.request.request);
}

auto onEvent(ChangeState &state, const ConfigurationWritten &event, WallTime /*now*/,
             AdministrationActions &actions) -> void
{
    if (event.status == StoreStatus::Ok) {
        auto &result = finish(ChangeStatus::Applied, state, actions);
        result.revision = event.revision;
        result.plan = state.plan;
        result.shardsWithoutReplica = state.shardsWithoutReplica;
        return;
    }
    if (event.status == StoreStatus::Conflict) {
        if (++state.writeConflicts >= writeConflictLimit)
            return abandonChange(state, "too many changes by others", actions);
    } else {
        state.writeUnresolved = true;
        state.unresolvedRevision = state.base->revision;
        if (++state.unansweredCalls >= unansweredCallLimit)
            return abandonChange(state, "the store doesn't answer", actions);
    }
    // Only reading the configuration back tells whether this write took effect.
    actions.emplace_back(ReadConfiguration());
}

} // namespace

auto toString(ChangeStatus status) -> std::string_view
{
    switch (status) {
    case ChangeStatus::Applied:
        return "applied";
    case ChangeStatus::Unchanged:
        return "unchanged";
    case ChangeStatus::Conflict:
        return "conflict";
    case ChangeStatus::ConfirmationNeeded:
        return "confirmation_needed";
    case ChangeStatus::Invalid:
        return "invalid";
    case ChangeStatus::NotAccepted:
        return "not_accepted";
    case ChangeStatus::Uncertain:
        return "uncertain";
    }
    return "invalid";
}

auto startChange(ChangeRequest request, AdministrationActions &actions) -> ChangeState
{
    auto state = ChangeState();
    state.request = std::move(request);
    if (!isChangeId(state.request.changeId)) {
        finishInvalid(state,
                      {administrationError("change_id",
                                           "must be 1 to 64 letters, digits, '-', '_' or '.'")},
                      actions);
        return state;
    }
    actions.emplace_back(ReadConfiguration());
    return state;
}

auto handle(ChangeState &state, const AdministrationEvent &event, WallTime now,
            AdministrationActions &actions) -> void
{
    std::visit([&](const auto &content) { onEvent(state, content, now, actions); }, event);
}

auto replaceConfiguration(const Configuration &current, const Configuration &desired,
                          std::string_view author, WallTime now) -> Configuration
{
    auto result = desired;
    result.revision = current.revision;
    result.changes = current.changes;
    const auto keepDecisions = [&](auto &items, ItemKind kind) {
        for (auto &item : items) {
            const auto *former = findDecision(current, kind, item.name);
            if (former != nullptr)
                item.decision = *former;
            else
                item.decision
                        = {item.decision.state, std::string(author), now, item.decision.reason};
        }
    };
    keepDecisions(result.domains, ItemKind::Domain);
    keepDecisions(result.services, ItemKind::Service);
    keepDecisions(result.instances, ItemKind::Instance);
    return result;
}

auto history(const Configuration &configuration) -> std::vector<Change>
{
    auto changes = configuration.changes;
    if (!changes.empty() && changes.back().revision == Revision{0})
        changes.back().revision = configuration.revision;
    std::ranges::reverse(changes);
    return changes;
}

} // namespace crocusreach

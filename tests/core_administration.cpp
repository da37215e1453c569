#include <catch2/catch.hpp>

#include "core/administration.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>

using namespace crocusreach;

namespace {

const auto testTime = WallTime(std::chrono::hours(1000));

auto makeConfiguration() -> Configuration
{
    auto configuration = Configuration();
    for (const auto *name : {"a", "b", "c", "d"})
        configuration.domains.push_back({domainId(name), name, "johor", {}});
    return configuration;
}

auto setState(const std::string &changeId, const std::string &name, DesiredState state)
        -> ChangeRequest
{
    return {changeId, "operator", SetState{ItemKind::Domain, name, state, "fire"}};
}

auto applySheet(const std::string &changeId, const std::string &out) -> ChangeRequest
{
    auto sheet = Sheet{testTime, "planner", {}};
    sheet.rows.push_back({3, ItemKind::Domain, out, DesiredState::Out, "work"});
    return {changeId, "planner", ApplySheet{sheet, ""}};
}

enum class CallOutcome : std::uint8_t { Answered, RequestLost, ReplyLost, Delayed };

// A store with conditional writes. The test decides the outcome of each call.
struct FakeStore
{
    std::shared_ptr<const Configuration> current;
    std::vector<WriteConfiguration> delayed; // without a reply so far; they may still arrive
    std::vector<std::string> accepted; // change ids in order

    auto tryWrite(const WriteConfiguration &write) -> bool
    {
        if (write.expected != this->current->revision)
            return false;
        auto next = *write.configuration;
        next.revision = Revision{toUnderlying(this->current->revision) + 3};
        this->accepted.push_back(next.changes.back().changeId);
        this->current = std::make_shared<const Configuration>(std::move(next));
        return true;
    }
};

auto makeStore() -> FakeStore
{
    auto configuration = makeConfiguration();
    configuration.revision = Revision{7};
    return {std::make_shared<const Configuration>(std::move(configuration)), {}, {}};
}

auto executeCall(FakeStore &store, const AdministrationAction &action, CallOutcome outcome)
        -> AdministrationEvent
{
    if (std::holds_alternative<ReadConfiguration>(action)) {
        if (outcome != CallOutcome::Answered)
            return ConfigurationRead();
        return ConfigurationRead{StoreStatus::Ok, store.current};
    }
    const auto &write = std::get<WriteConfiguration>(action);
    if (outcome == CallOutcome::RequestLost)
        return ConfigurationWritten();
    if (outcome == CallOutcome::Delayed) {
        store.delayed.push_back(write);
        return ConfigurationWritten();
    }
    const auto written = store.tryWrite(write);
    if (outcome == CallOutcome::ReplyLost)
        return ConfigurationWritten();
    if (!written)
        return ConfigurationWritten{StoreStatus::Conflict, {}};
    return ConfigurationWritten{StoreStatus::Ok, store.current->revision};
}

// A change in progress with its outstanding store call.
struct RunningChange
{
    ChangeState state;
    AdministrationActions actions;
};

auto beginChange(const ChangeRequest &request) -> RunningChange
{
    auto change = RunningChange();
    change.state = startChange(request, change.actions);
    return change;
}

auto isDone(const RunningChange &change) -> bool
{
    return std::holds_alternative<ChangeResult>(change.actions.back());
}

auto resultOf(const RunningChange &change) -> const ChangeResult &
{
    return std::get<ChangeResult>(change.actions.back());
}

auto step(RunningChange &change, FakeStore &store, CallOutcome outcome) -> void
{
    const auto event = executeCall(store, change.actions.back(), outcome);
    handle(change.state, event, testTime, change.actions);
}

auto runToEnd(RunningChange &change, FakeStore &store, std::deque<CallOutcome> outcomes)
        -> const ChangeResult &
{
    while (!isDone(change)) {
        const auto outcome = outcomes.empty() ? CallOutcome::Answered : outcomes.front();
        if (!outcomes.empty())
            outcomes.pop_front();
        step(change, store, outcome);
    }
    return resultOf(change);
}

} // namespace

SCENARIO("an operator's change is applied at most once")
{
    auto store = makeStore();
    GIVEN("a failure domain to take out")
    {
        auto change = beginChange(setState("id-1", "a", DesiredState::Out));
        WHEN("every store call is answered")
        {
            const auto &result = runToEnd(change, store, {});
            THEN("the decision is recorded with author, time and reason")
            {
                CHECK(result.status == ChangeStatus::Applied);
                CHECK(result.revision == store.current->revision);
                CHECK(store.current->domains[0].decision
                      == Decision{DesiredState::Out, "operator", testTime, "fire"});
                CHECK(history(*store.current)[0].summary == "domain a out: fire");
                CHECK(history(*store.current)[0].revision == result.revision);
            }
            AND_WHEN("the same change id is sent again")
            {
                auto again = beginChange(setState("id-1", "a", DesiredState::Out));
                const auto &second = runToEnd(again, store, {});
                THEN("the reply is the first result")
                {
                    CHECK(second.status == ChangeStatus::Applied);
                    CHECK(second.repeated);
                    CHECK(second.revision == result.revision);
                    CHECK(store.accepted.size() == 1);
                }
            }
            AND_WHEN("another author sends the same change id")
            {
                auto request = setState("id-1", "b", DesiredState::Out);
                request.author = "other";
                auto again = beginChange(request);
                THEN("it is refused")
                {
                    CHECK(runToEnd(again, store, {}).status == ChangeStatus::Invalid);
                }
            }
        }
        WHEN("the reply to the write is lost after it took effect")
        {
            const auto &result
                    = runToEnd(change, store, {CallOutcome::Answered, CallOutcome::ReplyLost});
            THEN("reading back finds the change")
            {
                CHECK(result.status == ChangeStatus::Applied);
                CHECK_FALSE(result.repeated);
                CHECK(store.accepted.size() == 1);
            }
        }
        WHEN("the store is down from the start")
        {
            const auto lost = CallOutcome::RequestLost;
            const auto &result = runToEnd(change, store, {lost, lost, lost});
            THEN("the change isn't accepted, and the reply says so")
            {
                CHECK(result.status == ChangeStatus::NotAccepted);
                CHECK(result.errors[0].text
                      == "the store doesn't answer; the change was not accepted");
            }
        }
        WHEN("the store goes down with the write")
        {
            // Guards against the report "not accepted" for a change that took effect.
            const auto lost = CallOutcome::ReplyLost;
            const auto &result = runToEnd(change, store, {CallOutcome::Answered, lost, lost, lost});
            THEN("the reply says that the outcome isn't known")
            {
                CHECK(result.status == ChangeStatus::Uncertain);
            }
        }
        WHEN("another change to a different item is written first")
        {
            step(change, store, CallOutcome::Answered);
            auto other = beginChange(setState("id-2", "b", DesiredState::Out));
            runToEnd(other, store, {});
            THEN("both changes are applied")
            {
                CHECK(runToEnd(change, store, {}).status == ChangeStatus::Applied);
                CHECK(store.accepted == std::vector<std::string>{"id-2", "id-1"});
                CHECK(store.current->domains[1].decision.state == DesiredState::Out);
            }
        }
        WHEN("another decision about the same item is written first")
        {
            step(change, store, CallOutcome::Answered);
            auto other = beginChange(setState("id-2", "a", DesiredState::In));
            runToEnd(other, store, {});
            const auto &result = runToEnd(change, store, {});
            THEN("the conflict names the author, the time and the differences")
            {
                CHECK(result.status == ChangeStatus::Conflict);
                REQUIRE(result.conflicting.size() == 1);
                CHECK(result.conflicting[0].author == "operator");
                CHECK(result.conflicting[0].at == testTime);
                REQUIRE(result.differences.size() == 1);
                CHECK(result.differences[0].item == "domain a");
            }
        }
    }
    GIVEN("a replacement, and a stored configuration newer than the operator has seen")
    {
        auto wanted = makeConfiguration();
        wanted.domains.pop_back();
        auto first = beginChange(setState("id-1", "a", DesiredState::Out));
        runToEnd(first, store, {});
        const auto shared = std::make_shared<const Configuration>(wanted);
        WHEN("it expects the older revision")
        {
            auto change
                    = beginChange({"id-2", "operator", ReplaceConfiguration{shared, Revision{7}}});
            THEN("it is a conflict")
            {
                const auto &result = runToEnd(change, store, {});
                CHECK(result.status == ChangeStatus::Conflict);
                CHECK(result.conflicting[0].changeId == "id-1");
            }
        }
        WHEN("it expects the newest revision")
        {
            auto change = beginChange(
                    {"id-2", "operator", ReplaceConfiguration{shared, store.current->revision}});
            THEN("the decisions of items that stay declared are kept")
            {
                // Guards against a file without decisions that puts a failure domain back in
                // rotation.
                CHECK(runToEnd(change, store, {}).status == ChangeStatus::Applied);
                CHECK(store.current->domains.size() == 3);
                CHECK(store.current->domains[0].decision.state == DesiredState::Out);
            }
        }
    }
    GIVEN("a sheet that needs a confirmation")
    {
        auto request = applySheet("id-1", "a");
        std::get<ApplySheet>(request.request)
                .sheet.rows.push_back({4, ItemKind::Domain, "b", DesiredState::Out, ""});
        auto change = beginChange(request);
        const auto needed = runToEnd(change, store, {});
        REQUIRE(needed.status == ChangeStatus::ConfirmationNeeded);
        REQUIRE(store.accepted.empty());
        std::get<ApplySheet>(request.request).confirmationToken = needed.plan.token;
        auto confirmed = beginChange(request);
        WHEN("it is confirmed")
        {
            THEN("it is applied")
            {
                CHECK(runToEnd(confirmed, store, {}).status == ChangeStatus::Applied);
            }
        }
        WHEN("the configuration changes before it is confirmed")
        {
            auto other = beginChange(setState("id-2", "c", DesiredState::Out));
            runToEnd(other, store, {});
            THEN("the token is no longer valid")
            {
                CHECK(runToEnd(confirmed, store, {}).status == ChangeStatus::ConfirmationNeeded);
            }
        }
    }
}

namespace {

// True if the result reported to the operator agrees with the changes that the store accepted.
auto matchesHistory(const ChangeResult &result, const FakeStore &store, const std::string &changeId)
        -> bool
{
    const auto count = std::ranges::count(store.accepted, changeId);
    switch (result.status) {
    case ChangeStatus::Applied:
        return count == 1;
    case ChangeStatus::Uncertain:
        return count <= 1;
    default:
        return count == 0;
    }
}

auto historyIds(const Configuration &configuration) -> std::vector<std::string>
{
    auto ids = std::vector<std::string>();
    for (const auto &change : configuration.changes)
        ids.push_back(change.changeId);
    return ids;
}

} // namespace

SCENARIO("two sheets are applied concurrently to a store that loses replies")
{
    // Guards against a change that is applied twice, undone by an older one, or reported wrongly.
    constexpr std::uint32_t seed = 20261204;
    constexpr auto rounds = 1000;
    INFO("seed " << seed);
    auto random = std::mt19937(seed);
    auto statuses = std::map<ChangeStatus, int>();
    for (auto round = 0; round < rounds; ++round) {
        auto store = makeStore();
        const auto identical = random() % 2 == 0;
        auto changes = std::vector<RunningChange>();
        changes.push_back(beginChange(applySheet("id-0", "a")));
        changes.push_back(beginChange(applySheet("id-1", identical ? "a" : "b")));
        while (!std::ranges::all_of(changes, isDone)) {
            auto &change = changes[random() % changes.size()];
            if (isDone(change))
                continue;
            const auto draw = random() % 8; // five of eight calls are answered
            step(change, store, draw < 4 ? static_cast<CallOutcome>(draw) : CallOutcome::Answered);
            if (!store.delayed.empty() && random() % 2 == 0) {
                store.tryWrite(store.delayed.back());
                store.delayed.pop_back();
            }
        }
        for (const auto &write : store.delayed)
            store.tryWrite(write);
        for (std::size_t index = 0; index < changes.size(); ++index) {
            const auto &result = resultOf(changes[index]);
            ++statuses[result.status];
            INFO("round " << round << " change " << index << " " << toString(result.status));
            REQUIRE(matchesHistory(result, store, "id-" + std::to_string(index)));
        }
        INFO("round " << round);
        REQUIRE(historyIds(*store.current) == store.accepted);
        REQUIRE((!identical || store.accepted.size() <= 1));
    }
    THEN("every kind of result occurred")
    {
        for (const auto status :
             {ChangeStatus::Applied, ChangeStatus::Unchanged, ChangeStatus::Conflict,
              ChangeStatus::NotAccepted, ChangeStatus::Uncertain})
            CHECK(statuses[status] > 0);
    }
}

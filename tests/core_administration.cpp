#include <catch2/catch.hpp>

#include "core/administration.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>

using namespace crocusreach;

namespace {

const auto morning = WallTime(std::chrono::hours(1000));

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
    auto sheet = Sheet{morning, "planner", {}};
    sheet.rows.push_back({3, ItemKind::Domain, out, DesiredState::Out, "work"});
    return {changeId, "planner", ApplySheet{sheet, ""}};
}

enum class Fate : std::uint8_t { Answered, LostBefore, LostAfter, Delayed };

// A store with conditional writes. What happens to a call is decided by the test.
struct FakeStore
{
    std::shared_ptr<const Configuration> current;
    std::vector<WriteConfiguration> delayed; // lost on the way, and may still arrive
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

auto serve(FakeStore &store, const AdministrationAction &action, Fate fate) -> AdministrationEvent
{
    if (std::holds_alternative<ReadConfiguration>(action)) {
        if (fate != Fate::Answered)
            return ConfigurationRead();
        return ConfigurationRead{StoreStatus::Ok, store.current};
    }
    const auto &write = std::get<WriteConfiguration>(action);
    if (fate == Fate::LostBefore)
        return ConfigurationWritten();
    if (fate == Fate::Delayed) {
        store.delayed.push_back(write);
        return ConfigurationWritten();
    }
    const auto written = store.tryWrite(write);
    if (fate == Fate::LostAfter)
        return ConfigurationWritten();
    if (!written)
        return ConfigurationWritten{StoreStatus::Conflict, {}};
    return ConfigurationWritten{StoreStatus::Ok, store.current->revision};
}

// One change under way with its one outstanding store call.
struct Applier
{
    ChangeState state;
    AdministrationActions actions;
};

auto makeApplier(const ChangeRequest &request) -> Applier
{
    auto applier = Applier();
    applier.state = startChange(request, applier.actions);
    return applier;
}

auto isDone(const Applier &applier) -> bool
{
    return std::holds_alternative<ChangeResult>(applier.actions.back());
}

auto resultOf(const Applier &applier) -> const ChangeResult &
{
    return std::get<ChangeResult>(applier.actions.back());
}

auto step(Applier &applier, FakeStore &store, Fate fate) -> void
{
    const auto event = serve(store, applier.actions.back(), fate);
    handle(applier.state, event, morning, applier.actions);
}

auto runAll(Applier &applier, FakeStore &store, std::deque<Fate> fates) -> const ChangeResult &
{
    while (!isDone(applier)) {
        const auto fate = fates.empty() ? Fate::Answered : fates.front();
        if (!fates.empty())
            fates.pop_front();
        step(applier, store, fate);
    }
    return resultOf(applier);
}

} // namespace

SCENARIO("an operator's change is applied once, or not at all")
{
    auto store = makeStore();
    GIVEN("a failure domain to take out")
    {
        auto applier = makeApplier(setState("id-1", "a", DesiredState::Out));
        WHEN("all replies come")
        {
            const auto &result = runAll(applier, store, {});
            THEN("the decision is recorded with author, time and reason")
            {
                CHECK(result.status == ChangeStatus::Applied);
                CHECK(result.revision == store.current->revision);
                CHECK(store.current->domains[0].decision
                      == Decision{DesiredState::Out, "operator", morning, "fire"});
                CHECK(history(*store.current)[0].summary == "domain a out: fire");
                CHECK(history(*store.current)[0].revision == result.revision);
            }
            AND_WHEN("the same change id is sent again")
            {
                auto again = makeApplier(setState("id-1", "a", DesiredState::Out));
                const auto &second = runAll(again, store, {});
                THEN("it is told the first result")
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
                auto again = makeApplier(request);
                THEN("it is refused")
                {
                    CHECK(runAll(again, store, {}).status == ChangeStatus::Invalid);
                }
            }
        }
        WHEN("the reply to the write is lost after it took effect")
        {
            const auto &result = runAll(applier, store, {Fate::Answered, Fate::LostAfter});
            THEN("reading back finds the change")
            {
                CHECK(result.status == ChangeStatus::Applied);
                CHECK_FALSE(result.repeated);
                CHECK(store.accepted.size() == 1);
            }
        }
        WHEN("the store is down from the start")
        {
            const auto lost = Fate::LostBefore;
            const auto &result = runAll(applier, store, {lost, lost, lost});
            THEN("the change isn't accepted, and the reply says so")
            {
                CHECK(result.status == ChangeStatus::NotAccepted);
                CHECK(result.errors[0].text
                      == "the store doesn't answer; the change was not accepted");
            }
        }
        WHEN("the store goes down with the write")
        {
            // Guards against telling an operator "not accepted" of a change that took effect.
            const auto lost = Fate::LostAfter;
            const auto &result = runAll(applier, store, {Fate::Answered, lost, lost, lost});
            THEN("the reply says that the outcome isn't known")
            {
                CHECK(result.status == ChangeStatus::Uncertain);
            }
        }
        WHEN("somebody else changes another item meanwhile")
        {
            step(applier, store, Fate::Answered);
            auto other = makeApplier(setState("id-2", "b", DesiredState::Out));
            runAll(other, store, {});
            THEN("both changes are applied")
            {
                CHECK(runAll(applier, store, {}).status == ChangeStatus::Applied);
                CHECK(store.accepted == std::vector<std::string>{"id-2", "id-1"});
                CHECK(store.current->domains[1].decision.state == DesiredState::Out);
            }
        }
        WHEN("somebody else decides about the same item meanwhile")
        {
            step(applier, store, Fate::Answered);
            auto other = makeApplier(setState("id-2", "a", DesiredState::In));
            runAll(other, store, {});
            const auto &result = runAll(applier, store, {});
            THEN("the conflict says who, when and what differs")
            {
                CHECK(result.status == ChangeStatus::Conflict);
                REQUIRE(result.conflicting.size() == 1);
                CHECK(result.conflicting[0].author == "operator");
                CHECK(result.conflicting[0].at == morning);
                REQUIRE(result.differences.size() == 1);
                CHECK(result.differences[0].item == "domain a");
            }
        }
    }
    GIVEN("a configuration that replaces a newer one than the operator saw")
    {
        auto wanted = makeConfiguration();
        wanted.domains.pop_back();
        auto first = makeApplier(setState("id-1", "a", DesiredState::Out));
        runAll(first, store, {});
        const auto shared = std::make_shared<const Configuration>(wanted);
        WHEN("it expects the older revision")
        {
            auto applier
                    = makeApplier({"id-2", "operator", ReplaceConfiguration{shared, Revision{7}}});
            THEN("it is a conflict")
            {
                const auto &result = runAll(applier, store, {});
                CHECK(result.status == ChangeStatus::Conflict);
                CHECK(result.conflicting[0].changeId == "id-1");
            }
        }
        WHEN("it expects the newest revision")
        {
            auto applier = makeApplier(
                    {"id-2", "operator", ReplaceConfiguration{shared, store.current->revision}});
            THEN("the decisions of items that stay declared are kept")
            {
                // Guards against a file without decisions that brings a failure domain back.
                CHECK(runAll(applier, store, {}).status == ChangeStatus::Applied);
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
        auto applier = makeApplier(request);
        const auto needed = runAll(applier, store, {});
        REQUIRE(needed.status == ChangeStatus::ConfirmationNeeded);
        REQUIRE(store.accepted.empty());
        std::get<ApplySheet>(request.request).confirmation = needed.plan.token;
        auto confirmed = makeApplier(request);
        WHEN("it is confirmed")
        {
            THEN("it is applied")
            {
                CHECK(runAll(confirmed, store, {}).status == ChangeStatus::Applied);
            }
        }
        WHEN("the configuration changes before it is confirmed")
        {
            auto other = makeApplier(setState("id-2", "c", DesiredState::Out));
            runAll(other, store, {});
            THEN("the token no longer fits")
            {
                CHECK(runAll(confirmed, store, {}).status == ChangeStatus::ConfirmationNeeded);
            }
        }
    }
}

namespace {

// What an operator was told must be what the accepted history says.
auto agrees(const ChangeResult &result, const FakeStore &store, const std::string &changeId) -> bool
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

SCENARIO("two sheets race over a store that loses replies")
{
    // Guards against a change that is applied twice, undone by an older one, or reported wrongly.
    constexpr std::uint32_t seed = 20261204;
    constexpr auto rounds = 1000;
    INFO("seed " << seed);
    auto random = std::mt19937(seed);
    auto statuses = std::map<ChangeStatus, int>();
    for (auto round = 0; round < rounds; ++round) {
        auto store = makeStore();
        const auto copies = random() % 2 == 0;
        auto appliers = std::vector<Applier>();
        appliers.push_back(makeApplier(applySheet("id-0", "a")));
        appliers.push_back(makeApplier(applySheet("id-1", copies ? "a" : "b")));
        while (!std::ranges::all_of(appliers, isDone)) {
            auto &applier = appliers[random() % appliers.size()];
            if (isDone(applier))
                continue;
            const auto roll = random() % 8; // five of eight calls are answered
            step(applier, store, roll < 4 ? static_cast<Fate>(roll) : Fate::Answered);
            if (!store.delayed.empty() && random() % 2 == 0) {
                store.tryWrite(store.delayed.back());
                store.delayed.pop_back();
            }
        }
        for (const auto &write : store.delayed)
            store.tryWrite(write);
        for (std::size_t index = 0; index < appliers.size(); ++index) {
            const auto &result = resultOf(appliers[index]);
            ++statuses[result.status];
            INFO("round " << round << " applier " << index << " " << toString(result.status));
            REQUIRE(agrees(result, store, "id-" + std::to_string(index)));
        }
        INFO("round " << round);
        REQUIRE(historyIds(*store.current) == store.accepted);
        REQUIRE((!copies || store.accepted.size() <= 1));
    }
    THEN("every kind of result occurred")
    {
        for (const auto status :
             {ChangeStatus::Applied, ChangeStatus::Unchanged, ChangeStatus::Conflict,
              ChangeStatus::NotAccepted, ChangeStatus::Uncertain})
            CHECK(statuses[status] > 0);
    }
}

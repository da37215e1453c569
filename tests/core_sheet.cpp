#include <catch2/catch.hpp>

#include "core/sheet.h"

using namespace crocusreach;

namespace {

using std::chrono::hours;

const auto exportTime = WallTime(hours(1000));

auto makeDomain(const std::string &name) -> FailureDomain
{
    return {domainId(name), name, "johor", {}};
}

auto makeLeaf(const std::string &name, const std::string &domain, std::uint32_t shard) -> Leaf
{
    return {leafId("catalogue", name), name, "127.0.0.1:1", domainId(domain), 1, 1, 1,
            {ShardNumber{shard}}};
}

// Four failure domains; shard 0 has replicas in a and b, shard 1 only in c.
auto makeConfiguration() -> Configuration
{
    auto configuration = Configuration();
    configuration.revision = Revision{7};
    for (const auto *name : {"a", "b", "c", "d"})
        configuration.domains.push_back(makeDomain(name));
    auto service = Service();
    service.id = serviceId("catalogue");
    service.name = "catalogue";
    service.shardCount = 2;
    service.leafs = {makeLeaf("1", "a", 0), makeLeaf("2", "b", 0), makeLeaf("3", "c", 1)};
    configuration.services.push_back(service);
    return configuration;
}

auto makeSheet(const std::vector<std::pair<std::string, DesiredState>> &domains) -> Sheet
{
    auto sheet = Sheet{exportTime, "planner", {}};
    for (const auto &[name, state] : domains)
        sheet.rows.push_back({sheet.rows.size() + 3, ItemKind::Domain, name, state, "work"});
    return sheet;
}

constexpr auto in = DesiredState::In;
constexpr auto out = DesiredState::Out;

} // namespace

SCENARIO("a sheet is planned before it is applied")
{
    auto configuration = makeConfiguration();
    GIVEN("a sheet that takes one failure domain of four out")
    {
        const auto sheet = makeSheet({{"a", out}, {"b", in}});
        const auto plan = planSheet(sheet, configuration, exportTime);
        THEN("the plan has one change, names the unlisted items and needs no confirmation")
        {
            CHECK(plan.errors.empty());
            CHECK(plan.changes.size() == 1);
            CHECK(plan.unlisted.size() == 3);
            CHECK(plan.confirmations.empty());
            CHECK(plan.token.empty());
        }
        WHEN("it is applied and planned again")
        {
            applyPlan(plan, configuration, "planner", exportTime + hours(1));
            const auto again = planSheet(sheet, configuration, exportTime + hours(2));
            THEN("the second plan has no change and needs no confirmation")
            {
                CHECK(configuration.domains[0].decision
                      == Decision{out, "planner", exportTime + hours(1), "work"});
                CHECK(again.changes.empty());
                CHECK(again.confirmations.empty());
            }
        }
    }
    GIVEN("a sheet with unknown and repeated items")
    {
        const auto plan = planSheet(makeSheet({{"a", out}, {"a", in}, {"x", out}}), configuration,
                                    exportTime);
        THEN("every error names its line")
        {
            REQUIRE(plan.errors.size() == 2);
            CHECK(describe(plan.errors[0]) == "sheet at line 4: domain a has a second row");
            CHECK(describe(plan.errors[1]) == "sheet at line 5: domain x is not declared");
        }
    }
    GIVEN("a sheet exported in the future")
    {
        // Guards against a planner's clock that runs ahead, so that newer decisions look older than
        // the sheet.
        const auto plan = planSheet(makeSheet({{"a", out}}), configuration, exportTime - hours(1));
        THEN("it is refused")
        {
            REQUIRE(plan.errors.size() == 1);
            CHECK(plan.errors[0].text == "the export time is in the future");
        }
    }
    GIVEN("a sheet that takes out the only replica of a shard")
    {
        const auto plan = planSheet(makeSheet({{"c", out}}), configuration, exportTime);
        THEN("the shard has to be confirmed")
        {
            REQUIRE(plan.confirmations.size() == 1);
            CHECK(describe(plan.confirmations[0])
                  == "shard 1 of service catalogue would have no replica in rotation");
            CHECK_FALSE(plan.token.empty());
        }
    }
    GIVEN("a failure domain that is out already")
    {
        configuration.domains[3].decision.state = out;
        const auto plan = planSheet(makeSheet({{"a", out}}), configuration, exportTime);
        THEN("taking out another one leaves half of them out, which has to be confirmed")
        {
            REQUIRE(plan.confirmations.size() == 1);
            CHECK(describe(plan.confirmations[0]) == "2 of 4 items of kind domain would be out");
        }
    }
    GIVEN("a decision that is newer than the sheet")
    {
        configuration.domains[0].decision = {out, "operator", exportTime + hours(1), "fire"};
        const auto sheet = makeSheet({{"a", in}});
        const auto plan = planSheet(sheet, configuration, exportTime + hours(2));
        THEN("undoing it has to be confirmed, with line and author")
        {
            REQUIRE(plan.confirmations.size() == 1);
            CHECK(describe(plan.confirmations[0])
                  == "line 3: domain a was set out by operator after the sheet was exported");
        }
        THEN("the token is valid for this sheet and this revision only")
        {
            auto changed = configuration;
            changed.revision = Revision{8};
            auto other = sheet;
            other.rows[0].reason = "other";
            CHECK(planSheet(sheet, configuration, exportTime + hours(3)).token == plan.token);
            CHECK(planSheet(sheet, changed, exportTime + hours(2)).token != plan.token);
            CHECK(planSheet(other, configuration, exportTime + hours(2)).token != plan.token);
        }
    }
}

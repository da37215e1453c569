#include <catch2/catch.hpp>

#include "examples.h"
#include "formats/configurationjson.h"
#include "formats/querymessages.h"
#include "formats/settings.h"
#include "formats/sheetcsv.h"
#include "mutation.h"

using namespace crocusreach;
using namespace crocusreach::tests;

namespace {

// Small enough for thousands of parses in a second, with every field.
const auto *const smallConfiguration = R"({
    "failure_domains": [{"name": "a", "region": "r"},
        {"name": "b", "region": "r", "decision": {"state": "out", "author": "planner",
         "at": "2026-12-04T06:30:00Z", "reason": "work"}}],
    "services": [{"name": "s", "cell": "c", "layout": 1, "shard_count": 2, "leafs": [
        {"name": "l", "address": "127.0.0.1:1", "failure_domain": "a", "slots": 3,
         "cold_slots": 2, "connections": 30, "shards": [0, 1]}]}],
    "instances": [{"name": "i"}],
    "changes": [{"revision": 1, "change_id": "x", "author": "planner",
                 "at": "2026-12-04T06:30:00Z", "summary": "domain b out"}]})";

const auto *const smallSheet = "sheet,2026-12-04T06:30:00Z,planner,3\nkind,name,state,reason\n"
                               "domain,a,out,\"power, \"\"work\"\"\"\nservice,s,in,\n"
                               "instance,i,out,spare\n";

const auto *const smallQuery
        = R"({"query": {"w": ["teak", 1.5, null]}, "deadline_ms": 200, "request_id": "r-1",
             "idempotent": false, "shard_key": "k", "limit": 3})";

} // namespace

SCENARIO("no input crashes a parser or is half accepted")
{
    constexpr std::uint32_t seed = 2718;
    const auto each = inputCount() / 4;
    auto random = Random(seed);
    WARN("seed " << seed << ", " << each << " inputs for each of 4 formats");

    GIVEN("mutated configurations")
    {
        // Guards against accepting what can't be written and read again, as the store requires.
        auto accepted = std::size_t();
        for (std::size_t round = 0; round < each; ++round) {
            const auto text = nextInput(smallConfiguration, random);
            const auto result = parseConfiguration(text, "c");
            if (isError(result)) {
                REQUIRE_FALSE(std::get<Error>(result).text.empty());
                continue;
            }
            ++accepted;
            const auto &configuration = std::get<Configuration>(result);
            REQUIRE(validate(configuration).empty());
            const auto again = parseConfiguration(writeConfiguration(configuration), "again");
            REQUIRE_FALSE(isError(again));
            REQUIRE(difference(configuration, std::get<Configuration>(again)).empty());
        }
        CHECK(accepted > 0);
    }
    GIVEN("mutated settings")
    {
        const auto example = readExample("settings.json");
        auto accepted = std::size_t();
        for (std::size_t round = 0; round < each; ++round) {
            const auto result = parseSettings(nextInput(example, random), "s");
            if (isError(result)) {
                REQUIRE_FALSE(std::get<Error>(result).text.empty());
                continue;
            }
            ++accepted;
            REQUIRE_FALSE(std::get<Settings>(result).instance.empty());
            REQUIRE(std::get<Settings>(result).dispatch.queueCapacity > 0);
        }
        CHECK(accepted > 0);
    }
    GIVEN("mutated sheets")
    {
        const auto configuration
                = std::get<Configuration>(parseConfiguration(smallConfiguration, "c"));
        const auto before = writeConfiguration(configuration);
        const auto now = WallTime(std::chrono::sys_days(std::chrono::year(9998) / 1 / 1));
        auto accepted = std::size_t();
        for (std::size_t round = 0; round < each; ++round) {
            const auto parsed = parseSheet(nextInput(smallSheet, random));
            const auto plan = planSheet(parsed.sheet, configuration, now);
            REQUIRE(writeConfiguration(configuration) == before);
            if (!parsed.errors.empty() || !plan.errors.empty())
                continue;
            ++accepted;
            auto after = configuration;
            applyPlan(plan, after, "planner", now);
            for (const auto &row : parsed.sheet.rows)
                REQUIRE(findDecision(after, row.kind, row.name)->state == row.state);
            REQUIRE_FALSE(isError(parseConfiguration(writeConfiguration(after), "again")));
        }
        CHECK(accepted > 0);
    }
    GIVEN("mutated queries")
    {
        auto accepted = std::size_t();
        for (std::size_t round = 0; round < each; ++round) {
            const auto result = parseQuery(nextInput(smallQuery, random), "s");
            if (isError(result))
                continue;
            ++accepted;
            const auto &query = std::get<QueryArrived>(result);
            REQUIRE(query.body != nullptr);
            REQUIRE((query.idempotent || !query.requestId.empty()));
        }
        CHECK(accepted > 0);
    }
}

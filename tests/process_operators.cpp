#include "cellchecks.h"

using namespace crocusreach;
using namespace crocusreach::tests;

SCENARIO("operators change the configuration under load")
{
    auto cell = Cell();
    auto callers = Callers(cell, 8);
    REQUIRE(callers.waitForComplete(200));
    auto &targets = cell.outside().targets();
    const auto runs = [&](const char *name) -> std::uint64_t {
        return cell.outside().counters()["targets"][name]["runs"];
    };

    // Guards against work for a failure domain that operators took out, and against full load on
    // targets that come back cold.
    WHEN("a failure domain is taken out and returned")
    {
        const auto setDomain = [&](DesiredState state) {
            cell.configuration().domains[0].decision.state = state;
            for (const auto *name : {"s-1/l-0", "s-2/l-0"})
                targets.change(name, [state](standins::Target &target) {
                    target.setOut(state == DesiredState::Out);
                });
            cell.publish();
        };
        setDomain(DesiredState::Out);
        std::this_thread::sleep_for(std::chrono::seconds(7));
        const auto before = runs("s-1/l-0");
        THEN("it gets no work while out, and work again after its return")
        {
            CHECK(callers.waitForComplete(300));
            CHECK(runs("s-1/l-0") == before);
            for (const auto *name : {"s-1/l-0", "s-2/l-0"})
                targets.change(name, [](standins::Target &target) { target.restart(0); });
            setDomain(DesiredState::In);
            CHECK(waitUntil([&] { return runs("s-1/l-0") > before + 50; }));
            CHECK(callers.waitForComplete(300));
            checkPromises(cell, callers);
        }
    }
    // Guards against an answer that mixes two index versions.
    WHEN("the index version changes, one target after the other")
    {
        for (const auto &versions : {std::vector<std::uint64_t>{1, 2}, {2}, {2, 3}, {3}}) {
            for (const auto *name : {"s-1/l-0", "s-1/l-1", "s-1/l-2"}) {
                targets.change(name, [&](standins::Target &target) {
                    target.settings.versions = versions;
                });
                REQUIRE(callers.waitForComplete(60));
            }
        }
        THEN("each answer has one version, and in the end all are complete")
        {
            CHECK(callers.waitForComplete(300));
            CHECK(waitUntil([&] { return cell.answersCompletely(0); }));
            checkPromises(cell, callers);
        }
    }
    // Guards against results of two layouts in one answer.
    WHEN("a service is repartitioned from three shards to six")
    {
        auto &service = cell.configuration().services[0];
        service.layout = LayoutVersion(2);
        service.shardCount = 6;
        for (auto index = std::uint32_t(0); index < 3; ++index) {
            const auto next = (index + 1) % 3;
            auto shards
                    = std::vector<std::uint32_t>{index * 2, index * 2 + 1, next * 2, next * 2 + 1};
            std::ranges::sort(shards);
            auto &leaf = service.leafs[index];
            leaf.shards.clear();
            for (const auto shard : shards)
                leaf.shards.push_back(ShardNumber(shard));
            targets.change("s-1/" + leaf.name, [&](standins::Target &target) {
                target.settings.layout = 2;
                target.settings.shards = shards;
            });
        }
        cell.publish();
        THEN("each answer has one layout, and in the end all have the new one")
        {
            CHECK(waitUntil([&] {
                const auto answer = httpCall("POST", cell.instance(4).callerAddress,
                                             "/v1/services/s-1/query", R"({"query": "q"})");
                const auto json = nlohmann::json::parse(answer.body, nullptr, false);
                return json.is_object() && json.value("layout", 0) == 2
                       && json.value("status", "") == "complete";
            }));
            CHECK(callers.waitForComplete(300));
            checkPromises(cell, callers);
        }
    }
}

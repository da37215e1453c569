#include "cellchecks.h"

using namespace crocusreach;
using namespace crocusreach::tests;

SCENARIO("a target misbehaves under load")
{
    auto cell = Cell();
    auto callers = Callers(cell, 8);
    REQUIRE(callers.waitForComplete(200));
    const auto name = std::string("s-1/l-0");
    const auto change = [&](const std::function<auto(standins::Target &)->void> &function) {
        REQUIRE(cell.outside().targets().change(name, function) == 1);
    };
    const auto counter = [&](const char *field) -> std::uint64_t {
        return cell.outside().counters()["targets"][name][field];
    };

    // Guards against a dead connection that is used again and again, or counted against the target.
    WHEN("its open connections go silent")
    {
        const auto before = counter("runs");
        change([](standins::Target &target) { target.silenceConnections(); });
        THEN("it gets work on new connections, and queries stay complete")
        {
            CHECK(waitUntil([&] { return counter("runs") > before + 50; }));
            CHECK(callers.waitForComplete(500));
            checkPromises(cell, callers);
        }
    }
    // Guards against full load on a target that a lagging health page still shows as warm.
    WHEN("it restarts twice without warning behind a lying health page")
    {
        change([](standins::Target &target) {
            target.settings.health = standins::HealthPage::Lying;
            target.restart(0);
        });
        REQUIRE(callers.waitForComplete(500));
        change([](standins::Target &target) { target.restart(200); });
        THEN("it gets no more than its cold slots, and ends with work again")
        {
            const auto before = counter("runs");
            CHECK(waitUntil([&] { return counter("runs") > before + 100; }));
            CHECK(callers.waitForComplete(500));
            CHECK(counter("restarts") == 2);
            checkPromises(cell, callers);
        }
    }
    // Guards against work that goes on arriving at a target that leaves.
    WHEN("it drains")
    {
        change([](standins::Target &target) { target.setDraining(true); });
        std::this_thread::sleep_for(std::chrono::seconds(7));
        THEN("it gets no new work within the bound, and queries stay complete")
        {
            CHECK(callers.waitForComplete(500));
            checkPromises(cell, callers);
            // A new start identity makes it eligible again.
            const auto before = counter("runs");
            change([](standins::Target &target) { target.restart(0); });
            CHECK(waitUntil([&] { return counter("runs") > before; }));
        }
    }
}

#include "cellchecks.h"

#include <csignal>

using namespace crocusreach;
using namespace crocusreach::tests;

namespace {

constexpr auto leaseTime = std::chrono::seconds(4);

// True once all instances but one answer completely.
auto othersComplete(Cell &cell, std::size_t except) -> bool
{
    return waitUntil([&] {
        for (auto index = std::size_t(0); index < cell.size(); ++index) {
            if (index != except && !cell.answersCompletely(index))
                return false;
        }
        return true;
    });
}

} // namespace

SCENARIO("an instance fails or leaves under load")
{
    constexpr auto nobody = std::size_t(100);
    auto cell = Cell();
    auto callers = Callers(cell, 8);
    REQUIRE(callers.waitForComplete(200));

    // Guards against shares that stay with a dead holder, or that two holders use at once.
    WHEN("one is killed")
    {
        callers.disturb(2);
        cell.instance(2).process.signal(SIGKILL);
        THEN("the others take over its shares and answer completely")
        {
            CHECK(callers.waitForComplete(500));
            CHECK(othersComplete(cell, 2));
            checkPromises(cell, callers);
        }
    }
    // Guards against a holder that goes on with its shares after others took them over.
    WHEN("one is stopped for longer than its lease and goes on")
    {
        callers.disturb(1);
        cell.instance(1).process.signal(SIGSTOP);
        std::this_thread::sleep_for(leaseTime * 2 * longFactor());
        cell.instance(1).process.signal(SIGCONT);
        THEN("all answer completely again")
        {
            CHECK(othersComplete(cell, nobody));
            CHECK(callers.waitForComplete(500));
            checkPromises(cell, callers);
        }
    }
    // Guards against requests that are cut off, refused or lost by a planned stop.
    WHEN("one gets SIGTERM, and callers leave it when its health page says so")
    {
        auto &leaving = cell.instance(3);
        const auto before = callers.seen();
        leaving.process.signal(SIGTERM);
        REQUIRE(waitUntil([&] {
            return httpCall("GET", leaving.callerAddress, "/v1/health").status == 503;
        }));
        callers.avoid(3);
        THEN("it ends with code 0, and no query was interrupted")
        {
            CHECK(leaving.process.wait(std::chrono::seconds(30)) == 0);
            CHECK(othersComplete(cell, 3));
            CHECK(callers.seen().reasons["stopping"] == before.reasons.count("stopping"));
            checkPromises(cell, callers);
        }
    }
}

#include "cellchecks.h"

#include <csignal>
#include <future>

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

// What the caller of one query during a stop saw.
struct Stopped
{
    std::string id;
    HttpAnswer answer;
};

auto askWhileStopping(const std::string &address, const std::string &service, const std::string &id,
                      bool idempotent) -> Stopped
{
    const auto body = nlohmann::json{{"query", id},           {"deadline_ms", 3000},
                                     {"request_id", id},      {"idempotent", idempotent},
                                     {"first_attempt", true}, {"shard_key", id}}
                              .dump();
    return {id, httpCall("POST", address, "/v1/services/" + service + "/query", body)};
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

// Guards against queries that a planned stop takes and then cuts off without an answer.
SCENARIO("an instance gets SIGTERM while targets take short, long and too long")
{
    auto settings = CellSettings();
    settings.services = 3;
    settings.instances = 4;
    auto cell = Cell(settings);
    const auto slowDown = [&](const std::string &service, double workMs) {
        for (const auto *const leaf : {"/l-0", "/l-1", "/l-2"})
            cell.outside().targets().change(service + leaf, [workMs](standins::Target &target) {
                target.settings.serviceTime = {workMs, 0, 0, 0};
            });
    };
    slowDown("s-1", 100);
    slowDown("s-2", 2000);
    slowDown("s-3", 8000);
    auto &leaving = cell.instance(1);
    auto asked = std::vector<std::future<Stopped>>();
    leaving.process.signal(SIGTERM);
    // Queries are taken for 2 s, then refused.
    for (auto step = 0; step < 25; ++step) {
        for (const auto *const service : {"s-1", "s-2", "s-3"}) {
            const auto idempotent = step % 2 == 0;
            const auto id = std::string(service) + "-" + std::to_string(step);
            asked.push_back(std::async(std::launch::async, askWhileStopping, leaving.callerAddress,
                                       service, id, idempotent));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    THEN("every query gets an answer, and the instance ends with code 0")
    {
        for (auto &query : asked) {
            const auto seen = query.get();
            INFO(seen.id << ": " << seen.answer.body);
            CHECK(seen.answer.status != 0);
            CHECK(nlohmann::json::parse(seen.answer.body, nullptr, false).is_object());
        }
        CHECK(leaving.process.wait(std::chrono::seconds(30)) == 0);
        CHECK(cell.violations().empty());
    }
}

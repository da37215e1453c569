#include <catch2/catch.hpp>

#include "cell.h"

#include <csignal>
#include <future>

using namespace crocusreach;
using namespace crocusreach::tests;

namespace {

constexpr auto leaseTime = std::chrono::seconds(4);

// The promises that hold whatever happens.
auto checkPromises(Cell &cell, const Callers &callers) -> void
{
    const auto seen = callers.seen();
    CAPTURE(seen.complete, seen.partial, seen.refused, seen.reasons);
    CHECK(seen.faults == std::vector<std::string>());
    CHECK(cell.violations() == std::vector<std::string>());
}

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

SCENARIO("the store fails under load")
{
    auto cell = Cell();
    const auto setStore = [&cell](const standins::StoreFaults &faults) {
        cell.outside().change([&](standins::ObjectStore &store, standins::InstanceList &) {
            store.setFaults(faults);
        });
    };
    const auto address = [&cell](std::size_t index) {
        return cell.instance(index % cell.size()).callerAddress;
    };
    // Guards against leases that need the store, and against a claim that is taken as made.
    WHEN("it is down for longer than any lease")
    {
        auto callers = Callers(cell, 8);
        REQUIRE(callers.waitForComplete(200));
        setStore({standins::StoreAvailability::Unavailable});
        std::this_thread::sleep_for(leaseTime * 2 * longFactor());
        THEN("queries go on, and a request that needs a claim isn't run")
        {
            CHECK(callers.waitForComplete(500));
            CHECK(askOnce(address(0), "once-first", true).value("outcome", "") == "not_run");
            CHECK(askOnce(address(1), "once-first", false).value("outcome", "") == "unknown");
            setStore({});
            CHECK(waitUntil([&] {
                return askOnce(address(2), "once-later", true).value("outcome", "") == "done";
            }));
            checkPromises(cell, callers);
        }
    }
    // Guards against a second run when the reply to a claim is lost, or when two instances get the
    // same request at once.
    WHEN("it loses replies, and each request arrives at three instances")
    {
        setStore({standins::StoreAvailability::Up, 0, 0.1, 0.2});
        auto done = 0;
        const auto requests = 20 * longFactor();
        for (auto index = 0; index < requests; ++index) {
            const auto id = "once-" + std::to_string(index);
            const auto ask = [&, index](int offset, bool first) {
                return askOnce(address(static_cast<std::size_t>(index + offset)), id, first)
                        .value("outcome", "");
            };
            auto other = std::async(std::launch::async, ask, 1, false);
            const auto first = ask(0, true);
            const auto second = other.get();
            const auto third = ask(2, false);
            done += first == "done" || second == "done" || third == "done" ? 1 : 0;
        }
        THEN("none runs twice, and most are done")
        {
            CHECK(done > requests / 2);
            CHECK(cell.violations() == std::vector<std::string>());
        }
    }
}

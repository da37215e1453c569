#include "cellchecks.h"

#include <future>

using namespace crocusreach;
using namespace crocusreach::tests;

namespace {

constexpr auto leaseTime = std::chrono::seconds(4);

} // namespace

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
        auto done = std::size_t(0);
        const auto requests = std::size_t(20) * static_cast<std::size_t>(longFactor());
        for (auto index = std::size_t(0); index < requests; ++index) {
            const auto id = "once-" + std::to_string(index);
            const auto ask = [&, index](std::size_t offset, bool first) {
                return askOnce(address(index + offset), id, first).value("outcome", "");
            };
            auto other = std::async(std::launch::async, ask, 1, false);
            const auto first = ask(0, true);
            const auto second = other.get();
            const auto third = ask(2, false);
            done += first == "done" || second == "done" || third == "done" ? 1U : 0U;
        }
        THEN("none runs twice, and most are done")
        {
            CHECK(done > requests / 2);
            const auto violations = cell.violations();
            CAPTURE(violations);
            CHECK(violations.empty());
        }
    }
}

#include <catch2/catch.hpp>

#include "base/log.h"
#include "formats/requestlog.h"
#include "platformpath.h"

#include <list>
#include <sstream>

using namespace crocusreach;
using namespace crocusreach::tests;
using namespace crocusreach::forward;

namespace {

// Connections that a leaf takes, and callers that ask at the same time: more than have a connection
// or may wait for one.
constexpr auto mostConnections = 100;
constexpr auto crowd = 500;

// A front between callers, leafs and a store on loopback, and the log that it writes.
struct LoggedPath
{
    LoggedPath()
    {
        startLog(Severity::Info, this->written);
        for (const auto *const leaf : {"l-a", "l-b"})
            this->path.addLeaf("ledger", leaf, "muar-a");
        this->configure(3, "/one/");
    }

    ~LoggedPath() { this->endLog(); }

    LoggedPath(const LoggedPath &) = delete;
    auto operator=(const LoggedPath &) -> LoggedPath & = delete;

    auto configure(int version, const char *prefix) -> void
    {
        this->path.configure(version, {singleRouteSpec(prefix, "ledger", true, {800, 100, 1})},
                             {{"ledger", mostConnections}});
    }

    // The front ends first, since it writes to the log.
    auto endLog() -> void
    {
        this->path.stopFront();
        stopLog();
    }

    // Requests that are served, so that the usual latency of the route is known.
    auto serveCalmly(int count = 40) -> void
    {
        auto client = TestClient(this->path.addresses.caller);
        for (auto number = 0; number < count; ++number) {
            client.send(this->path.requestText("/one/x", "GET", {}));
            REQUIRE(client.receive().value_or(HttpMessage()).status == 200);
        }
    }

    auto setModes(PlatformLeafMode mode) -> void
    {
        this->path.setMode("l-a", mode);
        this->path.setMode("l-b", mode);
    }

    auto setWork(std::int64_t microseconds) -> void
    {
        this->path.worker.run([&] {
            for (auto &[id, leaf] : this->path.leafs)
                leaf->setWork(microseconds);
        });
    }

    // What the log says of the request with this id.
    auto explain(const std::string &id) -> Finding
    {
        this->endLog();
        auto read = RequestLog();
        read.requestId = id;
        for (auto line = std::string(); std::getline(this->written, line);)
            takeLine(read, line);
        return diagnoseRequest(read.history);
    }

    std::stringstream written;
    PlatformPath path;
};

} // namespace

// Each section brings about one fault at the leafs, the store or the callers, and reads its place
// from the lines that the front wrote. It guards against evidence that is lost between the sockets
// and the log, which front_explain can't see.
SCENARIO("the log of a front names the place of a fault outside it")
{
    auto logged = LoggedPath();
    auto &path = logged.path;
    GIVEN("leafs that take 300 ms instead of one")
    {
        path.startFront();
        logged.serveCalmly();
        logged.setWork(300'000);
        path.ask("/one/x", "GET", "late");
        THEN("a slow leaf is named")
        {
            CHECK(logged.explain("late").location == FaultLocation::SlowTarget);
        }
    }
    GIVEN("leafs that stand still")
    {
        path.startFront();
        logged.serveCalmly();
        logged.setModes(PlatformLeafMode::Silent);
        path.ask("/one/x", "GET", "stuck");
        THEN("a leaf is named as standing still")
        {
            CHECK(logged.explain("stuck").location == FaultLocation::StalledTarget);
        }
    }
    GIVEN("leafs in cold start that don't answer")
    {
        for (const auto *const leaf : {"l-a", "l-b"})
            path.enterLeaf(leaf, {"ledger", {}, "muar-a", false, 60'000});
        path.startFront();
        logged.serveCalmly();
        logged.setModes(PlatformLeafMode::Silent);
        path.ask("/one/x", "GET", "cold");
        THEN("the cold start is named")
        {
            CHECK(logged.explain("cold").location == FaultLocation::ColdTarget);
        }
    }
    GIVEN("leafs that refuse as full")
    {
        path.startFront();
        logged.setModes(PlatformLeafMode::Refuses);
        path.ask("/one/x", "GET", "full");
        THEN("the reached cap is named")
        {
            CHECK(logged.explain("full").location == FaultLocation::CapReached);
        }
    }
    GIVEN("an evacuated failure domain that held all leafs")
    {
        path.startFront();
        path.worker.run([&] { path.store->put(evacuationKind, "muar-a", Json::object()); });
        REQUIRE(awaitTrue([&] { return path.ask("/one/x").status == 503; }));
        path.ask("/one/x", "GET", "evacuated");
        THEN("the failure domain is named")
        {
            const auto finding = logged.explain("evacuated");
            CHECK(finding.location == FaultLocation::FailureDomainOut);
            CHECK(finding.component == "muar-a");
        }
    }
    GIVEN("a desired state that no longer has the caller's route")
    {
        path.startFront();
        logged.configure(5, "/other/");
        REQUIRE(awaitTrue([&] { return path.ask("/one/x").status == 404; }));
        path.ask("/one/x", "GET", "dropped");
        THEN("the change of the desired state is named")
        {
            CHECK(logged.explain("dropped").location == FaultLocation::DesiredStateChange);
        }
    }
    GIVEN("a store that is away while the front starts")
    {
        path.worker.run([&] { path.store->setAvailability(PlatformAvailability::Busy); });
        path.launchFront();
        path.ask("/one/x", "GET", "early");
        THEN("the store is named")
        {
            CHECK(logged.explain("early").location == FaultLocation::StoreUnavailable);
        }
    }
    GIVEN("a connection that goes silent while its leaf, the only one, answers on others")
    {
        path.worker.run([&] { path.store->remove(leafKind, "l-b"); });
        path.startFront();
        logged.serveCalmly();
        logged.setModes(PlatformLeafMode::Silent);
        auto client = TestClient(path.addresses.caller);
        client.send(path.requestText("/one/x", "GET", "silent"));
        REQUIRE(awaitTrue([&] { return path.ledger.runsOf("silent").size() == 1; }));
        logged.setModes(PlatformLeafMode::Serves);
        logged.serveCalmly(200);
        client.receive();
        THEN("the connection is named, not the leaf as slow")
        {
            const auto finding = logged.explain("silent");
            CHECK(finding.location == FaultLocation::SilentConnection);
            CHECK(finding.component == "l-a");
        }
    }
    GIVEN("a caller that gives less time than one leaf needs")
    {
        path.startFront();
        logged.setWork(30'000);
        logged.serveCalmly();
        auto client = TestClient(path.addresses.caller);
        client.send(path.requestText("/one/x", "GET", "short", 40));
        client.receive();
        THEN("the short time is named, not the leaf")
        {
            CHECK(logged.explain("short").location == FaultLocation::ShortDeadline);
        }
    }
    GIVEN("more callers at once than may wait")
    {
        path.startFront();
        logged.serveCalmly();
        logged.setModes(PlatformLeafMode::Silent);
        auto callers = std::list<TestClient>();
        for (auto number = 0; number < crowd; ++number) {
            callers.emplace_back(path.addresses.caller);
            callers.back().send(
                    path.requestText("/one/x", "GET", "crowd-" + std::to_string(number)));
        }
        REQUIRE(callers.back().receive().value_or(HttpMessage()).status == 503);
        // Refusals come at once. Of one second, the log only has the first ones.
        auto refused = std::string();
        for (auto number = 0; auto &caller : callers) {
            const auto answer = caller.receive(0ms);
            if (refused.empty() && answer && answer->status == 503)
                refused = "crowd-" + std::to_string(number);
            ++number;
        }
        THEN("the instance's own overload is named")
        {
            CHECK(logged.explain(refused).location == FaultLocation::OwnInstanceOverloaded);
        }
    }
}

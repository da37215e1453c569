#include <catch2/catch.hpp>

#include "frontprocess.h"

#include <memory>
#include <thread>
#include <vector>

using namespace crocusreach;
using namespace crocusreach::tests;

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto routeTimeout = 3000; // milliseconds; reaches past the end of the grace period
constexpr auto interval = 100ms;

struct Kind
{
    std::string service;
    std::chrono::milliseconds work;
    bool idempotent;

    auto prefix() const -> std::string
    {
        return "/" + this->service + (this->idempotent ? "/read/" : "/once/");
    }
    auto method() const -> std::string { return this->idempotent ? "GET" : "POST"; }
};

const auto kinds = std::vector<Kind>{
        {"quick", 100ms, true},  {"quick", 100ms, false}, {"slow", 2000ms, true},
        {"slow", 2000ms, false}, {"stuck", 8000ms, true}, {"stuck", 8000ms, false},
};

// One request of the test, whose answer is read after the front has ended.
struct Asked
{
    std::unique_ptr<TestClient> client;
    std::string id;
    const Kind *kind = nullptr;
    std::chrono::milliseconds sentAt = {}; // after the stop request, once it was sent
    bool kept = false; // on a connection that was open before the stop
};

auto addServices(PlatformPath &path) -> void
{
    auto routes = std::vector<Json>();
    for (const auto &kind : kinds) {
        if (kind.idempotent) {
            // Enough of them that no request has to wait for a slot.
            for (auto number = 0; number < 24; ++number) {
                const auto id = kind.service + "-" + std::to_string(number);
                path.addLeaf(kind.service, id, number % 2 == 0 ? "muar-a" : "muar-b");
                path.worker.run([&] {
                    path.leafs.at(id)->setWork(std::chrono::microseconds(kind.work).count());
                });
            }
        }
        routes.push_back(singleRouteSpec(kind.prefix(), kind.service, kind.idempotent,
                                         {routeTimeout, 500, 1}));
    }
    path.configure(3, routes);
}

// What the caller of a request saw, and whether it ran.
struct Seen
{
    std::uint32_t status = 0; // 0: no complete answer
    int runs = 0;
    std::string requestId; // of the answer, if it has one
    bool hasRetryAfter = false;
};

auto readAnswer(Asked &asked, const RunLedger &ledger) -> Seen
{
    auto seen = Seen();
    // The front has ended: what it answered is here already.
    if (const auto response = asked.client->receive(500ms)) {
        seen.status = response->status;
        seen.requestId = findHeader(*response, "Crocusreach-Request-Id").value_or("");
        seen.hasRetryAfter = findHeader(*response, "Retry-After").has_value();
    }
    for (const auto &[leaf, count] : ledger.runsOf(asked.id))
        seen.runs += count;
    return seen;
}

auto describe(const Asked &asked, const Seen &seen) -> std::string
{
    return asked.kind->service + (asked.kind->idempotent ? " read" : " once")
           + (asked.kept ? " on a kept connection" : " on a new connection") + ", sent "
           + std::to_string(asked.sentAt.count()) + " ms after the stop request, status "
           + std::to_string(seen.status) + ", runs " + std::to_string(seen.runs);
}

} // namespace

// Guards against requests that a planned stop takes and then cuts off without an answer, above all
// those that must not be repeated: their callers can't know whether they ran.
SCENARIO("a front gets SIGTERM while leafs take short, long and too long")
{
    auto path = PlatformPath();
    addServices(path);
    auto front = FrontProcess(path);
    REQUIRE(front.awaitReady());

    // A connection per request that is sent on an open one, opened and used before.
    constexpr auto steps = 58; // until shortly before the process would be killed
    auto kept = std::vector<std::unique_ptr<TestClient>>();
    for (auto step = 0; step < steps; ++step) {
        auto &client = kept.emplace_back(std::make_unique<TestClient>(front.callerAddress()));
        client->send(path.requestText(kinds[0].prefix(), "GET", "warm-" + std::to_string(step)));
        REQUIRE(client->receive().value().status == 200);
    }

    auto asked = std::vector<Asked>();
    const auto ask = [&](std::unique_ptr<TestClient> client, const Kind &kind, std::string id,
                         bool isKept, Clock::time_point begin) {
        client->send(path.requestText(kind.prefix() + "x", kind.method(), id, routeTimeout));
        const auto sentAt
                = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin);
        asked.push_back({std::move(client), std::move(id), &kind, sentAt, isKept});
    };

    front.signal(SIGTERM);
    const auto begin = Clock::now();
    for (auto step = 0; step < steps; ++step) {
        std::this_thread::sleep_until(begin + step * interval);
        for (std::size_t number = 0; number < kinds.size(); ++number) {
            const auto id = std::to_string(step) + "-" + std::to_string(number);
            ask(std::make_unique<TestClient>(front.callerAddress()), kinds[number], id, false,
                begin);
        }
        const auto &kind = kinds[static_cast<std::size_t>(step) % kinds.size()];
        ask(std::move(kept[static_cast<std::size_t>(step)]), kind, std::to_string(step) + "-kept",
            true, begin);
    }

    THEN("it ends in time, every request that it took is answered, and the answers are true")
    {
        CHECK(front.wait() == 0);
        for (auto &request : asked) {
            const auto seen = readAnswer(request, path.ledger);
            INFO(describe(request, seen));
            // Cut off: passed on, and not answered.
            CHECK_FALSE((seen.status == 0 && seen.runs > 0));
            // Refusals say that the request did not run.
            CHECK_FALSE((seen.status == 503 && seen.runs > 0));
            CHECK((seen.status != 503 || seen.hasRetryAfter));
            CHECK((seen.requestId.empty() || seen.requestId == request.id));
            if (!request.kind->idempotent)
                CHECK(seen.runs <= 1);
            // Until the balancer has noticed the stop, every request gets an answer.
            if (request.sentAt < 3200ms)
                CHECK(seen.status != 0);
            // What can end well before the process does is served.
            const auto canEnd = request.kind->work == 100ms && request.kind->idempotent;
            if (canEnd && request.sentAt < 3200ms)
                CHECK(seen.status == 200);
        }
    }
}

// Guards against a change of settings that harms requests in progress.
SCENARIO("a front gets SIGHUP under load")
{
    auto path = PlatformPath();
    addServices(path);
    auto front = FrontProcess(path);
    REQUIRE(front.awaitReady());
    auto asked = std::vector<Asked>();
    auto keptClient = TestClient(front.callerAddress());
    for (auto step = 0; step < 60; ++step) {
        if (step % 5 == 0) {
            front.writeSettings();
            front.signal(SIGHUP);
        }
        const auto &kind = kinds[static_cast<std::size_t>(step) % 4];
        auto client = std::make_unique<TestClient>(front.callerAddress());
        const auto id = "h-" + std::to_string(step);
        client->send(path.requestText(kind.prefix() + "x", kind.method(), id, routeTimeout));
        asked.push_back({std::move(client), id, &kind, {}, false});
        const auto keptId = "k-" + std::to_string(step);
        keptClient.send(path.requestText(kinds[0].prefix(), "GET", keptId));
        const auto response = keptClient.receive().value();
        CHECK(response.status == 200);
        CHECK(findHeader(response, "Crocusreach-Request-Id") == keptId);
        std::this_thread::sleep_for(20ms);
    }
    THEN("every request is served, and what must not be repeated once")
    {
        for (auto &request : asked) {
            const auto response = request.client->receive();
            REQUIRE(response);
            CHECK(response->status == 200);
            // One that may be repeated may have been hedged.
            const auto runs = path.ledger.runsOf(request.id).size();
            CHECK((request.kind->idempotent ? runs >= 1 : runs == 1));
        }
        front.signal(SIGTERM);
        CHECK(front.wait() == 0);
    }
}

// Guards against a front that goes on after a pause as if no time had passed.
SCENARIO("a front is paused for some seconds and goes on")
{
    constexpr auto pauseTime = 2500ms; // longer than a turn of the front's loop may take
    auto path = PlatformPath();
    path.addLeaf("quick", "l-a", "muar-a");
    path.addLeaf("quick", "l-b", "muar-b");
    path.configure(3, {singleRouteSpec("/quick/read/", "quick", true, {20000, 500, 1}),
                       singleRouteSpec("/quick/once/", "quick", false, {20000, 500, 1})});
    auto front = FrontProcess(path);
    REQUIRE(front.awaitReady());
    auto client = TestClient(front.callerAddress());
    client.send(path.requestText("/quick/read/x", "GET", "before", 20000));
    REQUIRE(PlatformPath::leafOf(client.receive().value()) == "l-a");
    front.signal(SIGSTOP);

    WHEN("requests come during the pause whose callers' time runs out before its end")
    {
        auto fresh = TestClient(front.callerAddress());
        client.send(path.requestText("/quick/once/x", "POST", "kept", 500));
        fresh.send(path.requestText("/quick/once/x", "POST", "fresh", 500));
        std::this_thread::sleep_for(pauseTime);
        front.signal(SIGCONT);
        THEN("they are refused and don't run")
        {
            CHECK(client.receive().value().status == 503);
            CHECK(fresh.receive().value().status == 503);
            CHECK(path.ledger.runsOf("kept").empty());
            CHECK(path.ledger.runsOf("fresh").empty());
        }
    }
    WHEN("callers send requests during the pause and leave before its end")
    {
        for (auto number = 0; number < 20; ++number) {
            auto leaving = TestClient(front.callerAddress());
            leaving.send(path.requestText("/quick/once/x", "POST", "left-" + std::to_string(number),
                                          500));
        }
        std::this_thread::sleep_for(pauseTime);
        front.signal(SIGCONT);
        client.send(path.requestText("/quick/read/x", "GET", "after", 20000));
        CHECK(client.receive().value().status == 200);
        THEN("none of these requests runs")
        {
            for (auto number = 0; number < 20; ++number)
                CHECK(path.ledger.runsOf("left-" + std::to_string(number)).empty());
        }
    }
    WHEN("a leaf begins to leave and its domain is evacuated during the pause")
    {
        path.enterLeaf("l-a", {"quick", {}, "muar-a", true});
        path.worker.run([&] { path.store->put(evacuationKind, "muar-a", Json::object()); });
        client.send(path.requestText("/quick/read/x", "GET", "waiting", 20000));
        std::this_thread::sleep_for(pauseTime);
        front.signal(SIGCONT);
        THEN("the first request after it goes elsewhere")
        {
            CHECK(PlatformPath::leafOf(client.receive().value()) == "l-b");
            CHECK(path.ledger.runsOf("waiting").contains("l-b"));
            CHECK_FALSE(path.ledger.runsOf("waiting").contains("l-a"));
            CHECK(awaitTrue(
                    [&] { return front.log().find("pause_noticed") != std::string::npos; }));
        }
    }
    WHEN("the store is away when it goes on")
    {
        path.worker.run([&] { path.store->setAvailability(PlatformAvailability::Silent); });
        std::this_thread::sleep_for(pauseTime);
        front.signal(SIGCONT);
        client.send(path.requestText("/quick/read/x", "GET", "after", 20000));
        THEN("it serves by what it knew before")
        {
            CHECK(client.receive().value().status == 200);
        }
    }
}

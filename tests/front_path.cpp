#include <catch2/catch.hpp>

#include "front/front.h"
#include "platform/codec.h"
#include "standins/platformleaf.h"
#include "standins/platformobjects.h"
#include "standins/platformstore.h"
#include "testclient.h"

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace crocusreach;
using namespace crocusreach::tests;
using namespace crocusreach::standins;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

auto singleRoute(const char *prefix, bool idempotent) -> Json
{
    return singleRouteSpec(prefix, "ledger", idempotent, {2000, 1000, 2});
}

// A store, leafs and one front with the real encodings, all in this process.
struct Path
{
    Path()
    {
        this->worker.run([this] { this->store = std::make_unique<PlatformStore>("127.0.0.1:0"); });
    }

    ~Path()
    {
        this->stopFront();
        this->worker.run([this] {
            this->leafs.clear();
            this->store.reset();
        });
    }

    Path(const Path &) = delete;
    auto operator=(const Path &) -> Path & = delete;

    auto addLeaf(const std::string &service, const std::string &id, const std::string &domain)
            -> void
    {
        this->worker.run([&] {
            auto leaf = std::make_unique<PlatformLeaf>("127.0.0.1:0", id, this->ledger);
            this->enterLeaf(service, id, domain, leaf->address(), false);
            this->leafs[id] = std::move(leaf);
        });
    }

    // In the worker's thread.
    auto enterLeaf(const std::string &service, const std::string &id, const std::string &domain,
                   const std::string &address, bool draining) -> void
    {
        this->store->put(leafKind, id, leafSpec({service, address, domain, draining}));
    }

    auto drain(const std::string &service, const std::string &id, const std::string &domain) -> void
    {
        this->worker.run(
                [&] { this->enterLeaf(service, id, domain, this->leafs.at(id)->address(), true); });
    }

    auto configure(int version, const std::vector<Json> &routes) -> void
    {
        this->worker.run([&] {
            this->store->put(desiredStateKind, desiredStateName,
                             desiredStateSpec(version, routes, {{"max_header_bytes", 4000}}));
        });
    }

    auto setMode(const std::string &id, PlatformLeafMode mode) -> void
    {
        this->worker.run([&] { this->leafs.at(id)->setMode(mode); });
    }

    auto settings() const -> FrontSettings
    {
        auto made = FrontSettings();
        made.instance = "front-1";
        made.callerAddress = "127.0.0.1:0";
        made.readyAddress = "127.0.0.1:0";
        made.adminAddress = "127.0.0.1:0";
        made.seedAddress = "127.0.0.1:0";
        made.storeAddress = this->store->address();
        made.forwarder.domain = "muar-a";
        made.forwarder.repeats = {0.2, 100, 10s};
        made.lifecycle.grace = 2s;
        return made;
    }

    auto startFront() -> void
    {
        this->thread = std::make_unique<MainThread>("front");
        this->thread->run([this] {
            auto started = Front::start(this->settings(), platform::makeCodec(),
                                        this->thread->context());
            this->front = std::get<std::unique_ptr<Front>>(std::move(started));
            this->addresses = this->front->addresses();
        });
        REQUIRE(awaitTrue([this] { return this->readyStatus() == 200; }));
    }

    auto stopFront() -> void
    {
        if (this->thread == nullptr)
            return;
        this->thread->run([this] { this->front.reset(); });
        this->thread.reset();
    }

    auto readyStatus() -> std::uint32_t
    {
        auto client = TestClient(this->addresses.ready);
        client.send("GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        const auto response = client.receive();
        return response ? response->status : 0;
    }

    // One request on a connection of its own.
    auto ask(const std::string &target, const std::string &method = "GET",
             const std::string &id = {}) -> HttpMessage
    {
        auto client = TestClient(this->addresses.caller);
        client.send(this->requestText(target, method, id));
        return client.receive().value_or(HttpMessage());
    }

    auto requestText(const std::string &target, const std::string &method, std::string id)
            -> std::string
    {
        if (id.empty())
            id = "id-" + std::to_string(++this->lastId);
        return callerRequestText(method, target, id, 2000);
    }

    // The leaf whose receipt an answer bears; empty if none.
    static auto leafOf(const HttpMessage &response) -> std::string
    {
        const auto receipt
                = std::string(findHeader(response, receiptHeader).value_or(std::string_view()));
        return receipt.substr(0, receipt.find('.'));
    }

    Worker worker;
    RunLedger ledger;
    std::unique_ptr<PlatformStore> store;
    std::map<std::string, std::unique_ptr<PlatformLeaf>> leafs;
    std::unique_ptr<MainThread> thread;
    std::unique_ptr<Front> front;
    FrontAddresses addresses;
    int lastId = 0;
};

} // namespace

SCENARIO("requests go through a front from end to end")
{
    auto path = Path();
    const auto shards = std::vector<std::string>{"s1", "s2", "s3"};
    for (const auto &shard : shards) {
        path.addLeaf(shard, shard + "-a", "muar-a");
        path.addLeaf(shard, shard + "-b", "muar-b");
    }
    path.addLeaf("ledger", "l-a", "muar-a");
    path.addLeaf("ledger", "l-b", "muar-b");
    path.configure(3, {gatherRouteSpec("/all/", shards, 0.6, {2000, 1000, 1}),
                       singleRoute("/one/", true), singleRoute("/pay/", false)});
    path.startFront();

    WHEN("a query asks all shards")
    {
        const auto response = path.ask("/all/x", "GET", "q1");
        THEN("the answer has a receipt of each and the greatest records")
        {
            CHECK(response.status == 200);
            CHECK(findHeader(response, "Crocusreach-Missing-Parts") == "0");
            CHECK(findHeader(response, "Crocusreach-Part-Stamps") == "s1-a.q1, s2-a.q1, s3-a.q1");
            CHECK(response.body.size() == std::size_t(5) * 16);
            CHECK(response.body.starts_with("3|s3-a|q1"));
        }
    }
    WHEN("a request asks one leaf")
    {
        THEN("its answer comes back with the receipt")
        {
            const auto response = path.ask("/one/x");
            CHECK(response.status == 200);
            CHECK(Path::leafOf(response) == "l-a");
        }
        THEN("without a matching route there is 404")
        {
            CHECK(path.ask("/none/").status == 404);
        }
    }
    WHEN("many requests use one connection")
    {
        auto client = TestClient(path.addresses.caller);
        for (auto number = 0; number < 20; ++number) {
            const auto id = "k" + std::to_string(number);
            client.send(path.requestText("/one/x", "GET", id));
            const auto response = client.receive().value();
            // Guards against an answer of one call that reaches the next one.
            CHECK(findHeader(response, "Crocusreach-Request-Id") == id);
        }
    }
    WHEN("the leaf loses the answer to a request that must not be repeated")
    {
        path.setMode("l-a", PlatformLeafMode::Loses);
        const auto response = path.ask("/pay/x", "POST", "p1");
        THEN("it ran once, and the caller isn't promised that it did not")
        {
            CHECK(response.status == 502);
            CHECK(path.ledger.runsOf("p1").size() == 1);
        }
    }
    WHEN("the leaf refuses a request that must not be repeated")
    {
        path.setMode("l-a", PlatformLeafMode::Refuses);
        const auto response = path.ask("/pay/x", "POST", "p2");
        THEN("the other one runs it")
        {
            CHECK(response.status == 200);
            CHECK(Path::leafOf(response) == "l-b");
        }
    }
    WHEN("all leafs refuse")
    {
        path.setMode("l-a", PlatformLeafMode::Refuses);
        path.setMode("l-b", PlatformLeafMode::Refuses);
        const auto response = path.ask("/pay/x", "POST");
        THEN("it is refused as not run, with a time to come back")
        {
            CHECK(response.status == 503);
            CHECK(findHeader(response, "Retry-After").has_value());
        }
    }
    WHEN("another leaf has got the address")
    {
        path.setMode("l-a", PlatformLeafMode::OtherLeaf);
        THEN("requests go to the leaf that is there")
        {
            CHECK(Path::leafOf(path.ask("/one/x")) == "l-b");
            CHECK(Path::leafOf(path.ask("/pay/x", "POST")) == "l-b");
        }
    }
    WHEN("a shard's leafs are silent")
    {
        path.setMode("s2-a", PlatformLeafMode::Silent);
        path.setMode("s2-b", PlatformLeafMode::Silent);
        const auto response = path.ask("/all/x");
        THEN("the answer says that one part is missing")
        {
            CHECK(response.status == 200);
            CHECK(findHeader(response, "Crocusreach-Missing-Parts") == "1");
        }
    }
    WHEN("a leaf drains")
    {
        REQUIRE(Path::leafOf(path.ask("/one/x")) == "l-a");
        path.drain("ledger", "l-a", "muar-a");
        THEN("soon it gets nothing more")
        {
            CHECK(awaitTrue([&] { return Path::leafOf(path.ask("/one/x")) == "l-b"; }));
        }
    }
    WHEN("a failure domain is evacuated and taken back")
    {
        path.worker.run([&] { path.store->put(evacuationKind, "muar-a", Json::object()); });
        CHECK(awaitTrue([&] { return Path::leafOf(path.ask("/one/x")) == "l-b"; }));
        path.worker.run([&] { path.store->remove(evacuationKind, "muar-a"); });
        CHECK(awaitTrue([&] { return Path::leafOf(path.ask("/one/x")) == "l-a"; }));
    }
    WHEN("a newer desired state drops a route")
    {
        path.configure(5, {singleRoute("/one/", true)});
        THEN("it is in force soon")
        {
            CHECK(awaitTrue([&] { return path.ask("/all/x").status == 404; }));
            CHECK(path.ask("/one/x").status == 200);
        }
    }
    WHEN("the store goes away")
    {
        const auto availability
                = GENERATE(PlatformAvailability::Busy, PlatformAvailability::Silent);
        path.worker.run([&] { path.store->setAvailability(availability); });
        THEN("requests are served with what is known, and a change is taken in afterwards")
        {
            CHECK(path.ask("/all/x").status == 200);
            CHECK(path.readyStatus() == 200);
            path.worker.run([&] {
                path.store->setAvailability(PlatformAvailability::Up);
                path.store->forgetHistory();
            });
            path.configure(9, {singleRoute("/late/", true)});
            CHECK(awaitTrue([&] { return path.ask("/late/x").status == 200; }));
        }
    }
    WHEN("metrics are asked for")
    {
        path.ask("/one/x");
        auto client = TestClient(path.addresses.admin);
        client.send("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
        const auto text = client.receive().value().body;
        THEN("they count what was done")
        {
            CHECK(text.find("crocusreach_request_ends_total{end=\"complete\"} 1")
                  != std::string::npos);
            CHECK(text.find("crocusreach_forward_events_total{event=\"send\"} 1")
                  != std::string::npos);
        }
    }
    WHEN("the front is asked to stop while a request runs")
    {
        path.worker.run([&] { path.leafs.at("l-a")->setWork(300'000); });
        auto client = TestClient(path.addresses.caller);
        client.send(path.requestText("/one/x", "GET", {}));
        auto stopped = std::atomic<int>(0);
        path.thread->run(
                [&] { path.front->beginStop([&](bool allEnded) { stopped = allEnded ? 1 : 2; }); });
        THEN("the request is answered and its connection told to end")
        {
            const auto response = client.receive().value();
            CHECK(response.status == 200);
            CHECK_FALSE(response.keepAlive);
            CHECK(path.readyStatus() == 503);
            CHECK(awaitTrue([&] { return stopped != 0; }));
            CHECK(stopped == 1);
        }
    }
}

SCENARIO("a front that starts while the store is away")
{
    auto path = Path();
    path.addLeaf("ledger", "l-a", "muar-a");
    path.configure(3, {singleRoute("/one/", true)});
    path.worker.run([&] { path.store->setAvailability(PlatformAvailability::Busy); });
    path.thread = std::make_unique<MainThread>("front");
    path.thread->run([&] {
        path.front = std::get<std::unique_ptr<Front>>(
                Front::start(path.settings(), platform::makeCodec(), path.thread->context()));
        path.addresses = path.front->addresses();
    });
    THEN("it isn't ready and refuses requests as not run, until the store is back")
    {
        CHECK(path.readyStatus() == 503);
        CHECK(path.ask("/one/x").status == 503);
        path.worker.run([&] { path.store->setAvailability(PlatformAvailability::Up); });
        CHECK(awaitTrue([&] { return path.readyStatus() == 200; }));
        CHECK(path.ask("/one/x").status == 200);
    }
}

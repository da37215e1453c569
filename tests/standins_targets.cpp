#include <catch2/catch.hpp>

#include "processes.h"
#include "standins/standins.h"

#include <future>

using namespace crocusreach;
using namespace crocusreach::standins;
using crocusreach::tests::HttpAnswer;
using crocusreach::tests::httpCall;
using crocusreach::tests::waitUntil;

namespace {

struct Search
{
    std::string id = "r";
    std::string layout = "1";
    int deadlineMs = 5000;
};

// One search on a connection of its own.
auto search(const std::string &address, const Search &asked = {}) -> HttpAnswer
{
    const auto deadline = g_get_real_time() / 1000 + asked.deadlineMs;
    return httpCall("POST", address, "/v1/search", "teak",
                    {{"X-Deadline-Unix-Ms", std::to_string(deadline)},
                     {"X-Request-Id", asked.id},
                     {"X-Layout", asked.layout},
                     {"X-Shard", "0"}},
                    std::chrono::seconds(3));
}

auto counter(Standins &all, const char *name) -> std::uint64_t
{
    return all.counters()["targets"]["s/l"][name];
}

} // namespace

SCENARIO("a stand-in target counts from its own side")
{
    auto all = Standins(StandinsSettings());
    auto settings = TargetSettings();
    settings.name = "s/l";
    settings.slots = 2;
    settings.connections = 8;
    settings.shards = {0};
    settings.serviceTime = {1, 0, 0, 0};
    const auto address = all.targets().add(settings);
    const auto control = [&all](const char *change) {
        return httpCall("PUT", all.controlAddress(), "/control/v1/targets/s/l", change).status;
    };

    THEN("a search shows its query, version, layout and shard")
    {
        CHECK(search(address).body.find("teak|1|1|0") != std::string::npos);
    }
    THEN("another layout and a past deadline are refused without a run")
    {
        CHECK(search(address, {"r", "2"}).status == 409);
        CHECK(search(address, {"r", "1", -1}).status == 408);
        CHECK(counter(all, "runs") == 0);
    }
    THEN("a second run of the same request id is reported")
    {
        search(address, {"once-1"});
        CHECK(all.counters()["doubled"].empty());
        search(address, {"once-1"});
        CHECK(all.counters()["doubled"][0] == "once-1");
    }
    WHEN("it drains")
    {
        REQUIRE(control(R"({"draining": true})") == 200);
        THEN("searches are refused, and counted with their lateness")
        {
            const auto answer = search(address);
            CHECK(answer.status == 503);
            CHECK(answer.state == "draining");
            CHECK(counter(all, "after_draining") == 1);
        }
    }
    WHEN("searches take long")
    {
        REQUIRE(control(R"({"median_ms": 20000})") == 200);
        auto running = std::vector<std::future<HttpAnswer>>();
        const auto start = [&](int searches, int deadlineMs) {
            for (auto index = 0; index < searches; ++index)
                running.push_back(std::async(std::launch::async, [&, deadlineMs] {
                    return search(address, {"r", "1", deadlineMs});
                }));
        };
        // Guards against limits that are checked against anything but what really runs.
        THEN("more of them than slots are counted, and the deadline ends them")
        {
            start(3, 1000);
            for (auto &one : running)
                CHECK(one.get().status == 504);
            CHECK(counter(all, "peak_running") == 3);
            CHECK(counter(all, "over_slots") == 1);
        }
        THEN("a restart loses them and changes the start identity")
        {
            const auto former = httpCall("GET", address, "/v1/health").startId;
            start(1, 20000);
            REQUIRE(waitUntil([&] { return counter(all, "runs") == 1; }));
            REQUIRE(control(R"({"restart": 0})") == 200);
            CHECK(running[0].get().status == 0);
            const auto answer = httpCall("GET", address, "/v1/health");
            CHECK(answer.startId != former);
            CHECK(answer.state == "cold");
        }
        THEN("a second search on a cold target with one cold slot makes it fall over")
        {
            REQUIRE(control(R"({"restart": 0, "cold_ms": 20000})") == 200);
            start(2, 20000);
            for (auto &one : running)
                CHECK(one.get().status == 0);
            CHECK(counter(all, "over_cold") == 1);
            CHECK(counter(all, "restarts") == 2);
        }
        THEN("searches on silent connections get no answer, and new ones work")
        {
            start(1, 500);
            REQUIRE(waitUntil([&] { return counter(all, "runs") == 1; }));
            REQUIRE(control(R"({"silence_connections": true, "median_ms": 1})") == 200);
            CHECK(search(address).status == 200);
            CHECK(running[0].wait_for(std::chrono::seconds(1)) == std::future_status::timeout);
        }
    }
    WHEN("it restarts with a time down")
    {
        REQUIRE(control(R"({"restart": 300})") == 200);
        THEN("connections are refused, and the port is kept")
        {
            CHECK(search(address).status == 0);
            CHECK(waitUntil([&] { return search(address).status == 200; }));
        }
    }
}

#include <catch2/catch.hpp>

#include "adminfixture.h"
#include "base/log.h"
#include "processes.h"

using namespace crocusreach;
using tests::adminToken;
using tests::httpCall;
using tests::makePorts;
using tests::makeSettings;
using tests::makeView;
using tests::readExample;
using tests::StoreFault;
using tests::TestStore;
using Json = nlohmann::json;

namespace {

const tests::HttpHeaders authorized = {{"Authorization", "Bearer " + adminToken}};

auto withChange(const std::string &changeId) -> tests::HttpHeaders
{
    auto headers = authorized;
    headers.emplace_back("X-Change-Id", changeId);
    return headers;
}

auto stateBody(const std::string &changeId) -> std::string
{
    return R"({"reason": "power work", "change_id": ")" + changeId + "\"}";
}

auto sheetOf(const std::string &rows, int count) -> std::string
{
    return "sheet,2026-12-04T06:30:00Z,planner," + std::to_string(count)
           + "\nkind,name,state,reason\n" + rows;
}

} // namespace

SCENARIO("operators decide over the administration listener")
{
    auto store = TestStore();
    store.store = makeEmbeddedStore({{std::string(tests::storedKey), readExample()}});
    auto task = AdminTask(makeSettings(), makePorts(store));
    const auto listening = task.listen("127.0.0.1:0");
    REQUIRE_FALSE(isError(listening));
    const auto address = std::get<std::string>(listening);
    const auto configuration
            = std::get<Configuration>(parseConfiguration(readExample(), "example"));
    const auto get = [&](const std::string &path) {
        return httpCall("GET", address, path, {}, authorized);
    };
    const auto post = [&](const std::string &path, const std::string &body) {
        return httpCall("POST", address, path, body, withChange("id-1"));
    };

    GIVEN("an instance without a view")
    {
        THEN("its health page says that it is starting")
        {
            CHECK(httpCall("GET", address, "/health").status == 503);
        }
    }
    GIVEN("calls without a valid token")
    {
        THEN("they are refused, but for health and metrics")
        {
            task.post({makeView(configuration)});
            const auto path = std::string("/admin/v1/configuration");
            CHECK(httpCall("GET", address, path).status == 401);
            const auto wrong = tests::HttpHeaders{{"Authorization", "Bearer " + adminToken + "x"}};
            const auto refused = httpCall("GET", address, path, {}, wrong);
            CHECK(refused.status == 401);
            CHECK(Json::parse(refused.body)["error"]["code"] == "unauthorized");
            CHECK(refused.body.find(adminToken) == std::string::npos);
            CHECK(httpCall("POST", address, "/admin/v1/domain/muar-a/out", stateBody("x")).status
                  == 401);
            CHECK(httpCall("GET", address, "/metrics").body == "queries_total 1\n");
            CHECK(httpCall("GET", address, "/health").status == 200);
        }
    }
    GIVEN("a failure domain to take out")
    {
        const auto taken = post("/admin/v1/domain/muar-a/out", stateBody("id-1"));
        REQUIRE(taken.status == 200);
        const auto revision = Json::parse(taken.body)["revision"].get<std::uint64_t>();
        THEN("the decision is stored and listed with author and reason")
        {
            const auto list = Json::parse(get("/admin/v1/domain?after=batu-pahat&limit=1").body);
            CHECK(list["items"][0]["name"] == "muar-a");
            CHECK(list["items"][0]["state"] == "out");
            CHECK(list["items"][0]["author"] == "planner");
            CHECK(list["more"] == true);
            CHECK(list["revision"] == revision);
            const auto past = Json::parse(get("/admin/v1/history").body);
            CHECK(past["changes"][0]["change_id"] == "id-1");
            CHECK(past["changes"][0]["revision"] == revision);
        }
        THEN("the same call with the same change id has the same result")
        {
            const auto again
                    = Json::parse(post("/admin/v1/domain/muar-a/out", stateBody("id-1")).body);
            CHECK(again["revision"] == revision);
            CHECK(again["repeated"] == true);
        }
        THEN("a configuration based on the former revision is a conflict that names its cause")
        {
            auto headers = withChange("id-2");
            headers.emplace_back("If-Match", std::to_string(revision - 1));
            const auto answer
                    = httpCall("PUT", address, "/admin/v1/configuration", readExample(), headers);
            CHECK(answer.status == 412);
            const auto error = Json::parse(answer.body)["error"];
            CHECK(error["code"] == "conflict");
            CHECK(error["conflicting"][0]["author"] == "planner");
        }
    }
    GIVEN("a log, and changes that are stored, repeated, refused and not accepted")
    {
        auto written = std::ostringstream();
        startLog(Severity::Info, written);
        post("/admin/v1/domain/muar-a/out", stateBody("id-1"));
        post("/admin/v1/domain/muar-a/out", stateBody("id-1"));
        post("/admin/v1/domain/muar-a/in", stateBody(std::string(5000, '/')));
        store.setFault(StoreFault::LoseAllReplies);
        post("/admin/v1/domain/muar-a/in", stateBody("id-2"));
        stopLog();
        THEN("each has a line with its author, its result and what it was about")
        {
            // Guards against a decision that the on-call engineer finds in force without a trace of
            // who made it, and against a caller that fills the log with one call.
            const auto text = written.str();
            const auto holds
                    = [&](std::string_view part) { return text.find(part) != std::string::npos; };
            CHECK(holds(
                    "name=change_accepted severity=info text=\"an operator's change is stored\" "
                    "change=id-1 kind=\"domain/muar-a=out\" author=planner status=applied "
                    "revision=2 repeated=no"));
            CHECK(holds("revision=2 repeated=yes"));
            CHECK(holds("status=invalid"));
            CHECK(holds("change=id-2 kind=\"domain/muar-a=in\" author=planner "
                        "status=not_accepted"));
            CHECK(text.size() < 2000);
        }
    }
    GIVEN("a store that loses the reply to the write")
    {
        store.setFault(StoreFault::LoseOneWriteReply);
        THEN("the change is applied once")
        {
            CHECK(post("/admin/v1/service/catalogue-1/out", stateBody("id-1")).status == 200);
            CHECK(store.writes == 1);
        }
    }
    GIVEN("a store that is down")
    {
        task.post({makeView(configuration)});
        for (const auto fault : {StoreFault::LoseAllReplies, StoreFault::NeverAnswer}) {
            store.setFault(fault);
            THEN("a change isn't accepted, and reads show what is in force (fault "
                 + std::to_string(static_cast<int>(fault)) + ")")
            {
                const auto refused = post("/admin/v1/domain/muar-a/out", stateBody("id-1"));
                CHECK(refused.status == 503);
                CHECK(Json::parse(refused.body)["error"]["code"] == "store_unavailable");
                CHECK(get("/admin/v1/configuration").status == 200);
            }
        }
    }
    GIVEN("sheets")
    {
        THEN("a wrong one is refused with its lines")
        {
            const auto answer = post("/admin/v1/sheet/check",
                                     sheetOf("domain,nowhere,out,\nrack,r,out,\n", 2));
            CHECK(answer.status == 400);
            const auto details = Json::parse(answer.body)["error"]["details"];
            REQUIRE(details.size() == 2);
            CHECK(details[0]["message"] == "domain nowhere is not declared");
            CHECK(details[1]["line"] == 4);
        }
        THEN("one that takes out half of the failure domains needs its token")
        {
            const auto sheet = sheetOf("domain,muar-a,out,\ndomain,muar-b,out,\n", 2);
            const auto diff = Json::parse(post("/admin/v1/sheet/diff", sheet).body);
            CHECK(diff["changes"].size() == 2);
            const auto needed = post("/admin/v1/sheet/apply", sheet);
            CHECK(needed.status == 409);
            const auto confirmation = Json::parse(needed.body)["error"]["token"].get<std::string>();
            CHECK(confirmation == diff["token"]);
            CHECK(post("/admin/v1/sheet/apply?confirm=0", sheet).status == 409);
            const auto applied = post("/admin/v1/sheet/apply?confirm=" + confirmation, sheet);
            CHECK(applied.status == 200);
            CHECK(store.writes == 1);
        }
    }
    GIVEN("questions to other tasks")
    {
        task.post({makeView(configuration)});
        THEN("status, members and explanation are told")
        {
            const auto status = Json::parse(get("/admin/v1/status").body);
            CHECK(status["instance"] == "johor-1");
            CHECK(status["members"][0]["revision"] == 1);
            CHECK(status["leafs"][0]["service"] == "catalogue-1");
            const auto explained = Json::parse(get("/admin/v1/explain?service=catalogue-1").body);
            CHECK(explained["sentences"][0] == "The target 127.0.0.1:1 is slow.");
            CHECK(get("/admin/v1/explain?service=nothing").status == 404);
        }
    }
    GIVEN("requests that fit no call")
    {
        THEN("the error says why")
        {
            CHECK(get("/admin/v1/rack").status == 404);
            CHECK(get("/admin/v1/sheet/apply").status == 405);
            CHECK(get("/admin/v1/history?limit=0").status == 400);
            CHECK(post("/admin/v1/domain/muar-a/out", "{}").status == 400);
            CHECK(post("/admin/v1/domain/nowhere/out", stateBody("id-1")).status == 400);
            CHECK(post("/admin/v1/sheet/check", std::string((1 << 20) + 1, 'x')).status == 413);
        }
    }
}

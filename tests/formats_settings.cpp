#include <catch2/catch.hpp>

#include "formats/settings.h"

#include <fstream>
#include <sstream>

using namespace crocusreach;

namespace {

const std::string good = R"({
    "instance": "johor-1", "region": "johor", "failure_domain": "muar-a", "cell": "johor",
    "caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0", "admin_address": "[::1]:0"
)";

// The good settings with more members.
auto withMembers(const std::string &members) -> std::string
{
    return good + (members.empty() ? "" : ",\n") + members + "}";
}

auto faultOf(const std::string &text) -> std::string
{
    const auto result = parseSettings(text, "s.json");
    return isError(result) ? describe(std::get<Error>(result)) : "";
}

} // namespace

SCENARIO("an instance starts only with settings that are right")
{
    GIVEN("settings with only what is required")
    {
        const auto result = parseSettings(good + "// the rest is left out\n}", "s.json");
        REQUIRE_FALSE(isError(result));
        const auto &settings = std::get<Settings>(result);
        THEN("the rest has defaults and control knows its own name")
        {
            CHECK(settings.stopDeadline == std::chrono::seconds(15));
            CHECK(settings.control.self.id == instanceId("johor-1"));
            CHECK(settings.control.self.domain == domainId("muar-a"));
            CHECK(settings.control.cell == "johor");
        }
    }
    GIVEN("settings with units in their keys")
    {
        const auto result = parseSettings(withMembers(R"("query": {"hedge_budget_percent": 2.5},
                               "dispatch": {"ramp_step_ms": 250})"),
                                          "s.json");
        REQUIRE_FALSE(isError(result));
        const auto &settings = std::get<Settings>(result);
        THEN("they are converted")
        {
            CHECK(settings.query.hedgeBudget == Approx(0.025));
            CHECK(settings.dispatch.rampStepDuration == std::chrono::milliseconds(250));
        }
    }
    GIVEN("settings with one fault each")
    {
        // Guards against a typing mistake that an instance would start with, and against a message
        // that doesn't say where the mistake is.
        struct Case
        {
            std::string members;
            std::string fault;
        };
        const auto cases = std::vector<Case>{
                {R"("balancer_grace": 5)", "settings at s.json: balancer_grace: unknown key"},
                {R"("dispatch": {"ramp": 5})", "settings at s.json: dispatch.ramp: unknown key"},
                {R"("stop_deadline_ms": "15 s")",
                 "settings at s.json: stop_deadline_ms: must be a whole number from 1 to 3600000"},
                {R"("dispatch": {"queue_capacity_requests": 0})",
                 "settings at s.json: dispatch.queue_capacity_requests: must be a whole number "
                 "from "
                 "1 to 1000000"},
                {R"("balancer_grace_ms": 12000)",
                 "settings at s.json: stop_deadline_ms: must be more than balancer_grace_ms and "
                 "query.longest_deadline_ms together"},
                {R"("cell": "other")", "settings at s.json: cell: duplicate key"},
                {R"("store_address": "127.0.0.1")",
                 "settings at s.json: store_address: must be IP:port"},
                {R"("store_address": "localhost:80")",
                 "settings at s.json: store_address: must be IP:port"},
                {R"("seeds": ["127.0.0.1:70000"])",
                 "settings at s.json: seeds[0]: must be IP:port"},
                {R"("query": 7)", "settings at s.json: query: must be an object"},
                {R"("query": {"default_deadline_ms": 4000})",
                 "settings at s.json: query.default_deadline_ms: must be at most "
                 "longest_deadline_ms"},
                {R"("query": {"hedge_budget_percent": 101})",
                 "settings at s.json: query.hedge_budget_percent: must be a number from 0.0 to "
                 "100.0"},
                {R"("control": {"suspect_after_ms": 600})",
                 "settings at s.json: control.suspect_after_ms: must be at least twice "
                 "heartbeat_interval_ms"},
                {R"("log_level": "loud")",
                 "settings at s.json: log_level: must be trace, debug, info, warning, error or "
                 "fatal"},
                {R"("admin_tokens": [{"name": "a", "token": "short"}])",
                 "settings at s.json: admin_tokens[0].token: must be at least 16 printable "
                 "characters, no spaces"},
        };
        for (const auto &example : cases) {
            THEN("one line names the fault of " + example.members)
            {
                CHECK(faultOf(withMembers(example.members)) == example.fault);
            }
        }
    }
    GIVEN("text that isn't JSON")
    {
        THEN("the line is named")
        {
            const auto fault = faultOf("{\n\"instance\": \"a\",\n\"region\" \"b\"}");
            CHECK(fault.starts_with("settings at s.json: line 3: syntax error"));
            CHECK(fault.find('\n') == std::string::npos);
        }
    }
    GIVEN("settings with several faults")
    {
        const auto fault = faultOf(R"({"instance": "", "cell": 5, "colour": 1})");
        THEN("all are named at once")
        {
            for (const auto *part : {"instance: must be", "cell: must be a string",
                                     "region: is required", "colour: unknown key"})
                CHECK(fault.find(part) != std::string::npos);
        }
    }
    GIVEN("the example file")
    {
        auto file = std::ifstream(EXAMPLES "/settings.json");
        auto text = std::stringstream();
        text << file.rdbuf();
        THEN("it is right")
        {
            CHECK(faultOf(text.str()).empty());
        }
    }
}

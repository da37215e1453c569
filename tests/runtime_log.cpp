#include <catch2/catch.hpp>

#include "base/log.h"

#include <fstream>
#include <set>
#include <sstream>

using namespace crocusreach;

namespace {

auto catalogueRow(const LogEventInfo &info) -> std::string
{
    auto row = std::ostringstream();
    row << "| " << static_cast<unsigned>(info.event) << " | `" << info.name << "` | "
        << toString(info.severity) << " | " << info.text << " |";
    return row.str();
}

auto documentedRows() -> std::vector<std::string>
{
    auto file = std::ifstream(CROCUSREACH_SOURCE_FOLDER "/docs/log-events.md");
    REQUIRE(file.is_open());
    auto rows = std::vector<std::string>();
    for (auto line = std::string(); std::getline(file, line);) {
        if (line.size() > 2 && line.starts_with("| ") && line[2] >= '0' && line[2] <= '9')
            rows.push_back(line.substr(0, line.rfind(" | ")) + " |");
    }
    return rows;
}

} // namespace

SCENARIO("the catalogue of log events is complete")
{
    GIVEN("the events of the code")
    {
        auto expected = std::vector<std::string>();
        for (const auto &info : logEvents())
            expected.push_back(catalogueRow(info));
        THEN("docs/log-events.md lists exactly these, in order")
        {
            // Guards against an event that operators can't look up, or that was changed in one
            // place only.
            CHECK(documentedRows() == expected);
        }
        THEN("numbers and names are unique and the numbers ascend")
        {
            auto names = std::set<std::string_view>();
            auto last = 0U;
            for (const auto &info : logEvents()) {
                CHECK(names.insert(info.name).second);
                CHECK(static_cast<unsigned>(info.event) > last);
                last = static_cast<unsigned>(info.event);
            }
        }
    }
}

SCENARIO("a log line can be read back")
{
    GIVEN("a plain value and one with spaces, quotes and a line break")
    {
        const auto fields = std::vector<LogField>{{"address", "127.0.0.1:80"},
                                                  {"error", "said \"no\"\nevent=1"}};
        const auto line = formatLogLine(LogEvent::PeerMessageInvalid, fields);
        THEN("the line names the event and stays one line")
        {
            // Guards against text from outside that imitates an event of its own.
            CHECK(line.starts_with("event=303 name=peer_message_invalid severity=error text=\""));
            CHECK(line.ends_with(R"(address=127.0.0.1:80 error="said \"no\"\x0aevent=1")"));
            CHECK(line.find('\n') == std::string::npos);
        }
    }
}

SCENARIO("the levels of the settings are known to the log")
{
    CHECK(severityFromString("trace") == Severity::Debug);
    CHECK(severityFromString("debug") == Severity::Debug);
    CHECK(severityFromString("info") == Severity::Info);
    CHECK(severityFromString("warning") == Severity::Warning);
    CHECK(severityFromString("error") == Severity::Error);
    CHECK(severityFromString("fatal") == Severity::Error);
}

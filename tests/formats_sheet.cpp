#include <catch2/catch.hpp>

#include "examples.h"
#include "formats/configurationjson.h"
#include "formats/sheetcsv.h"
#include "formats/timetext.h"

using namespace crocusreach;

namespace {

constexpr auto columns = "kind,name,state,reason\n";

auto withRows(const std::string &count, const std::string &rows) -> std::string
{
    return "sheet,2026-12-04T06:30:00Z,planner," + count + "\n" + columns + rows;
}

// The errors as "line N: text" lines.
auto errorsOf(const std::string &text) -> std::string
{
    auto lines = std::string();
    for (const auto &error : parseSheet(text).errors)
        lines += error.peer + ": " + error.text + "\n";
    return lines;
}

} // namespace

SCENARIO("a sheet is read whole or refused with every error")
{
    GIVEN("a sheet as a spreadsheet program writes it")
    {
        const auto *text = "\xEF\xBB\xBFsheet,2026-12-04T12:00:00+05:30,planner,2\r\n"
                           "kind,name,state,reason\r\n"
                           "domain,\"muar-a\",out,\"power, \"\"work\"\"\"\r\n"
                           "\r\n"
                           "service, catalogue-1 ,in,\r\n";
        const auto result = parseSheet(text);
        REQUIRE(result.errors.empty());
        const auto &sheet = result.sheet;
        THEN("byte-order mark, line ends, quotes and blanks are understood")
        {
            CHECK(writeTime(sheet.exportedAt) == "2026-12-04T06:30:00.000Z");
            CHECK(sheet.author == "planner");
            REQUIRE(sheet.rows.size() == 2);
            CHECK(sheet.rows[0]
                  == SheetRow{3, ItemKind::Domain, "muar-a", DesiredState::Out, "power, \"work\""});
            CHECK(sheet.rows[1]
                  == SheetRow{5, ItemKind::Service, "catalogue-1", DesiredState::In, ""});
        }
    }
    GIVEN("a sheet with an error in nearly each line")
    {
        const auto errors = errorsOf(withRows("x", "domain,a,in\nrack,a,in,\nservice,,off,\n"));
        THEN("all are listed with their lines")
        {
            CHECK(errors
                  == "line 1: the number of rows must be a whole number\n"
                     "line 3: has 3 fields, not 4\n"
                     "line 4: the kind must be domain, service or instance\n"
                     "line 5: the state must be in or out\n"
                     "line 5: the name is empty\n");
        }
        THEN("no wrong row is kept")
        {
            const auto result = parseSheet(withRows("2", "rack,a,in,\ndomain,b,out,\n"));
            REQUIRE(result.sheet.rows.size() == 1);
            CHECK(result.sheet.rows[0].name == "b");
        }
    }
    GIVEN("a sheet cut off at any byte")
    {
        // Guards against half a sheet becoming the desired state of the day.
        const auto whole
                = withRows("3", "domain,a,in,x\nservice,\"s\",out,\"y\"\ninstance,i,in,\n");
        REQUIRE(errorsOf(whole).empty());
        THEN("it is refused")
        {
            for (std::size_t size = 0; size < whole.size(); ++size) {
                INFO(size);
                CHECK_FALSE(errorsOf(whole.substr(0, size)).empty());
            }
        }
    }
    GIVEN("the example sheets of both users")
    {
        const auto now = *parseTime("2026-12-04T12:00:00Z");
        for (const auto *user : {"kelaniya", "kayu-burung"}) {
            THEN(std::string(user) + "'s sheet fits its configuration")
            {
                const auto configuration = std::get<Configuration>(
                        parseConfiguration(readExample(std::string(user) + ".json"), user));
                const auto parsed = parseSheet(readExample(std::string(user) + "-sheet.csv"));
                const auto plan = planSheet(parsed.sheet, configuration, now);
                CHECK(parsed.errors.empty());
                CHECK(plan.errors.empty());
                CHECK(plan.confirmations.empty());
                CHECK(plan.changes.size() >= 2);
            }
        }
    }
    GIVEN("sheets without rows")
    {
        THEN("they are refused")
        {
            CHECK(errorsOf("") == "line 1: the sheet is empty\n");
            CHECK(errorsOf(withRows("0", "")) == "line 2: the sheet has no rows\n");
        }
    }
    GIVEN("text that would not survive in logs or in the store")
    {
        THEN("it is refused")
        {
            CHECK_FALSE(errorsOf(withRows("1", "domain,a,in,\xff\n")).empty());
            CHECK_FALSE(errorsOf(withRows("1", "domain,a,in,\"two\nlines\"\n")).empty());
            CHECK_FALSE(
                    errorsOf(withRows("1", "domain,a,in," + std::string(201, 'x') + "\n")).empty());
        }
    }
}

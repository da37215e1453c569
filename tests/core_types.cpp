#include <catch2/catch.hpp>

#include "core/types.h"

using namespace crocusreach;

SCENARIO("reasons, steps and errors are named")
{
    GIVEN("every reason")
    {
        // Guards against a reason that is added to the enumeration without a name.
        for (std::size_t index = 0; index < static_cast<std::size_t>(Reason::Count); ++index) {
            const auto reason = static_cast<Reason>(index);
            THEN("reason " + std::to_string(index) + " is found again by its name")
            {
                CHECK(!toString(reason).empty());
                CHECK(reasonFromString(toString(reason)) == reason);
            }
        }
        THEN("an unknown name gives Reason::Count")
        {
            CHECK(reasonFromString("no such") == Reason::Count);
        }
    }
    GIVEN("an error with step and peer")
    {
        const auto error = Error{Step::TargetCall, "127.0.0.1:80", "timed out"};
        THEN("the description names both")
        {
            CHECK(describe(error) == "target_call at 127.0.0.1:80: timed out");
        }
    }
}

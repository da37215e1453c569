#include <catch2/catch.hpp>

#include "core/attempts.h"
#include "core/coldstart.h"
#include "core/latency.h"
#include "core/limiter.h"
#include "core/timers.h"

#include <map>
#include <random>
#include <vector>

using namespace crocusreach;
using namespace std::chrono_literals;

SCENARIO("latency quantiles follow recent observations")
{
    GIVEN("a histogram with 99 short times and one long one")
    {
        auto histogram = makeLatencyHistogram();
        auto now = TimePoint(1h);
        for (auto count = 0; count < 99; ++count)
            record(histogram, 5ms, now);
        record(histogram, 400ms, now);
        THEN("the median is within one bucket of the short time, the maximum of the long one")
        {
            CHECK(quantile(histogram, 0.5) >= 5ms);
            CHECK(quantile(histogram, 0.5) < 6ms);
            CHECK(quantile(histogram, 1.0) >= 400ms);
            CHECK(quantile(histogram, 1.0) < 480ms);
            CHECK(summarize(histogram, now).valid);
        }
        WHEN("minutes pass without observations")
        {
            now += 5min;
            // Guards against decisions based on service times of an hour ago.
            THEN("the quantiles are no longer known")
            {
                CHECK_FALSE(summarize(histogram, now).valid);
            }
        }
        WHEN("the times change")
        {
            now += 2min;
            for (auto count = 0; count < 100; ++count)
                record(histogram, 50ms, now);
            THEN("the median follows")
            {
                CHECK(summarize(histogram, now).p50 >= 50ms);
            }
        }
    }
    GIVEN("times below and above the range of the buckets")
    {
        auto histogram = makeLatencyHistogram();
        record(histogram, 0us, TimePoint(1h));
        record(histogram, 1h, TimePoint(1h));
        THEN("they are counted in the first and the last bucket")
        {
            CHECK(quantile(histogram, 0.1) <= 20us);
            CHECK(quantile(histogram, 1.0) >= 20s);
        }
    }
}

SCENARIO("timers fire once and on time, however far ahead they are due")
{
    // Guards against a timer that is lost, fires early or fires twice, also when it is due beyond
    // one turn of the wheel.
    GIVEN("timers that are armed, rearmed and disarmed at random")
    {
        auto random = std::mt19937_64(7);
        auto wheel = TimerWheel();
        auto due = std::map<std::uint32_t, TimePoint>();
        auto now = TimePoint(12h + 345us);
        auto fired = 0;
        for (auto round = 0; round < 20'000; ++round) {
            const auto index = static_cast<std::uint32_t>(random() % 200);
            if (random() % 4 == 0) {
                disarm(wheel, index);
                due.erase(index);
            } else {
                const auto range = random() % 8 == 0 ? 20'000'000 : 50'000;
                due[index] = now + Duration(static_cast<std::int64_t>(random() % range));
                arm(wheel, index, due[index]);
            }
            now += Duration(
                    static_cast<std::int64_t>(random() % (round % 100 == 0 ? 9'000'000 : 900)));
            const auto earliest = std::ranges::min_element(
                    due, {}, [](const auto &entry) { return entry.second; });
            if (earliest != due.end())
                REQUIRE(nextDue(wheel).value() <= earliest->second);
            while (const auto taken = popDue(wheel, now)) {
                REQUIRE(due.contains(*taken));
                REQUIRE(due[*taken] <= now);
                due.erase(*taken);
                ++fired;
            }
            for (const auto &[armedIndex, time] : due)
                REQUIRE(time > now);
        }
        THEN("many fired")
        {
            CHECK(fired > 5'000);
        }
    }
}

SCENARIO("duplicates of recent attempts are detected")
{
    GIVEN("an attempt that ended")
    {
        auto filter = DuplicateFilter();
        const auto now = TimePoint(1h);
        const auto key = AttemptKey{InstanceId(1), AttemptId(2)};
        rotateIfDue(filter, now);
        CHECK(insertAttempt(filter, key) != nullptr);
        THEN("a duplicate is detected, and an attempt of another origin isn't one")
        {
            CHECK_FALSE(rotateIfDue(filter, now + 4s));
            CHECK(insertAttempt(filter, key) == nullptr);
            CHECK(insertAttempt(filter, {InstanceId(2), AttemptId(2)}) != nullptr);
        }
        WHEN("the duplicate window passes once")
        {
            CHECK(rotateIfDue(filter, now + 5s));
            THEN("the duplicate is still detected")
            {
                CHECK(insertAttempt(filter, key) == nullptr);
            }
        }
        WHEN("many others arrive over a long time")
        {
            for (auto count = std::uint64_t(10); count < 100'000; ++count) {
                rotateIfDue(filter, now + Duration(static_cast<std::int64_t>(count) * 1000));
                REQUIRE(insertAttempt(filter, {InstanceId(1), AttemptId(count)}) != nullptr);
                REQUIRE(insertAttempt(filter, {InstanceId(1), AttemptId(count)}) == nullptr);
                if (count > 4010)
                    REQUIRE(insertAttempt(filter, {InstanceId(1), AttemptId(count - 4000)})
                            == nullptr);
            }
            // Guards against a filter whose memory grows with the total number of requests.
            THEN("old ones are removed from the filter")
            {
                CHECK(filter.recent.count <= 5'000);
                CHECK(filter.recent.entries.size() <= 16'384);
                CHECK(insertAttempt(filter, {InstanceId(1), AttemptId(10)}) != nullptr);
            }
        }
    }
    GIVEN("an attempt that is found by its key")
    {
        auto table = AttemptTable();
        auto filter = DuplicateFilter();
        const auto index = allocateAttempt(table);
        const auto key = AttemptKey{InstanceId(1), AttemptId(2)};
        *insertAttempt(filter, key) = index;
        table.attempts[index].request.origin = key.origin;
        table.attempts[index].request.attempt = key.attempt;
        table.attempts[index].phase = AttemptPhase::Waiting;
        CHECK(findAttempt(table, filter, key) == index);
        WHEN("it has ended and its place is used by another one")
        {
            releaseAttempt(table, index);
            CHECK_FALSE(findAttempt(table, filter, key));
            const auto again = allocateAttempt(table);
            table.attempts[again].request.attempt = AttemptId(3);
            table.attempts[again].phase = AttemptPhase::Waiting;
            // Guards against a late cancel that ends another request.
            THEN("it isn't found")
            {
                CHECK(again == index);
                CHECK_FALSE(findAttempt(table, filter, key));
            }
        }
    }
}

SCENARIO("the ramp of a cold target")
{
    GIVEN("a target with one cold slot and six slots")
    {
        auto cold = ColdStart();
        const auto limits = RampLimits{6, 1};
        const auto settings = RampSettings();
        auto now = TimePoint(1h);
        restartRamp(cold, limits, now);
        const auto step = [&](const RampObservation &reply) {
            for (auto count = 0; count < 8; ++count)
                advanceRamp(cold, limits, settings, reply, now);
            now += 2s;
            advanceRamp(cold, limits, settings, reply, now);
        };
        WHEN("each step succeeds")
        {
            THEN("the concurrency doubles up to the slots")
            {
                auto steps = std::vector<std::uint32_t>();
                for (auto count = 0; count < 4; ++count) {
                    steps.push_back(rampConcurrencyLimit(cold, limits));
                    step({TargetState::Warm, false, false});
                }
                CHECK(steps == std::vector<std::uint32_t>{1, 2, 4, 6});
            }
        }
        WHEN("a slow reply comes within a step")
        {
            for (auto count = 0; count < 8; ++count)
                advanceRamp(cold, limits, settings, {TargetState::Warm, false, false}, now);
            now += 1900ms;
            advanceRamp(cold, limits, settings, {TargetState::Warm, false, true}, now);
            now += 100ms;
            advanceRamp(cold, limits, settings, {TargetState::Warm, false, false}, now);
            THEN("the step starts again")
            {
                CHECK(rampConcurrencyLimit(cold, limits) == 1);
            }
        }
    }
}

#include <catch2/catch.hpp>

#include "formats/requestlog.h"
#include "formats/timetext.h"
#include "forwarderbench.h"
#include "front/frontlog.h"

using namespace crocusreach;
using namespace crocusreach::forward;
using namespace std::chrono_literals;

namespace {

// A forwarder whose leafs are played by hand, and the log that a front writes for it.
struct LoggedFront
{
    LoggedFront()
    {
        this->bench.setRoute(tests::singleRoute(true));
        this->bench.addLeaf("ledger", "a");
    }

    auto write(LogEvent event, std::span<const LogField> fields) -> void
    {
        const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
                this->bench.now.time_since_epoch());
        this->log.append("time=").append(writeTime(WallTime(time))).append(" ");
        this->log.append(formatLogLine(event, fields)).append("\n");
    }

    auto write(LogEvent event, std::initializer_list<LogField> fields) -> void
    {
        this->write(event, std::span(fields.begin(), fields.size()));
    }

    auto writeActions() -> void
    {
        for (const auto &action : this->bench.actions) {
            if (const auto *const ended = std::get_if<CallEnded>(&action))
                this->write(eventOf(ended->summary), fieldsOf(ended->summary));
            if (const auto *const repeated = std::get_if<SendRepeated>(&action))
                this->write(LogEvent::SendRepeated, fieldsOf(*repeated));
            if (const auto *const failed = std::get_if<FailedSend>(&action))
                this->write(LogEvent::SendFailed, fieldsOf(*failed));
        }
        this->bench.actions.clear();
    }

    // Requests that are answered in 10 ms, so that the usual latency of the route is known.
    auto serveCalmly() -> void
    {
        for (auto number = 0; number < 40; ++number) {
            this->bench.arrive();
            const auto send = this->bench.takeSends().at(0);
            this->bench.pass(10ms);
            this->bench.answer(send);
        }
        this->writeActions();
    }

    auto arrive(Duration timeLeft = 800ms) -> SendToLeaf
    {
        this->bench.arrive(timeLeft);
        return this->bench.takeSends().at(0);
    }

    // What the log says of the latest request.
    auto explain() -> Finding
    {
        this->writeActions();
        auto read = RequestLog();
        read.requestId = "request-" + std::to_string(this->bench.lastCall);
        auto text = std::string_view(this->log);
        while (!text.empty()) {
            const auto end = text.find('\n');
            takeLine(read, text.substr(0, end));
            text.remove_prefix(end + 1);
        }
        return diagnoseRequest(read.history);
    }

    tests::ForwarderBench bench;
    std::string log;
};

} // namespace

// Each section brings about one fault and reads its place from the log's text alone. It guards
// against log lines that don't carry what an on-call engineer needs.
SCENARIO("a request's log leads to the place of its fault")
{
    auto front = LoggedFront();
    auto &bench = front.bench;
    front.serveCalmly();
    GIVEN("a leaf that takes 200 ms for one request while it answers others")
    {
        const auto slow = front.arrive();
        const auto slowId = bench.lastCall;
        for (auto number = 0; number < 4; ++number) {
            const auto other = front.arrive();
            bench.pass(50ms);
            bench.answer(other);
        }
        bench.answer(slow);
        bench.lastCall = slowId;
        THEN("the leaf is named as slow")
        {
            const auto finding = front.explain();
            CHECK(finding.location == FaultLocation::SlowTarget);
            CHECK(finding.component == "a");
        }
    }
    GIVEN("a leaf that stands still until the caller's time is over")
    {
        front.arrive();
        bench.pass(900ms);
        THEN("the leaf is named as standing still")
        {
            const auto finding = front.explain();
            CHECK(finding.location == FaultLocation::StalledTarget);
            CHECK(finding.component == "a");
        }
    }
    GIVEN("a leaf that stands still, and a log whose lines of sends were left out")
    {
        front.arrive();
        bench.pass(900ms);
        std::erase_if(bench.actions, [](const ForwardAction &action) {
            return std::holds_alternative<FailedSend>(action);
        });
        THEN("the line of the end is enough")
        {
            const auto finding = front.explain();
            CHECK(finding.location == FaultLocation::StalledTarget);
            CHECK(finding.component == "a");
        }
    }
    GIVEN("a leaf that uses all of the time and then reports a failure")
    {
        const auto slow = front.arrive();
        bench.pass(780ms);
        bench.answer(slow, LeafAnswerKind::Failure, 504);
        bench.pass(20ms);
        THEN("it isn't named as failing, since the time made it give up")
        {
            const auto finding = front.explain();
            CHECK(finding.location == FaultLocation::StalledTarget);
            CHECK(finding.component == "a");
        }
    }
    GIVEN("a leaf that is busy on all connections until shortly before the request's end")
    {
        bench.setRoute(tests::gatherRoute(2, 0.5), {{"shard-0", 4, 0}, {"shard-1", 4, 0}});
        bench.addLeaf("shard-0", "s0");
        bench.addLeaf("shard-1", "s1");
        auto busy = std::vector<SendToLeaf>();
        auto sends = std::vector<SendToLeaf>();
        do {
            bench.arrive();
            sends = bench.takeSends();
            busy.insert(busy.end(), sends.begin(), sends.end());
        } while (!sends.empty());
        const auto waiting = bench.lastCall;
        bench.pass(96ms);
        for (const auto &send : busy)
            bench.answer(send);
        const auto late = bench.takeSends();
        REQUIRE(late.size() == 2);
        bench.answer(late[0]);
        bench.pass(20ms);
        bench.lastCall = waiting;
        THEN("the wait for a connection is named, not the leaf asked last")
        {
            CHECK(front.explain().location == FaultLocation::CapReached);
        }
    }
    GIVEN("a leaf in cold start that doesn't answer in time")
    {
        auto cold = bench.record("ledger", "cold");
        cold.coldLeft = 10s;
        bench.give(LeafsRemoved{{"a"}, false});
        bench.pass(4s);
        bench.give(LeafsRegistered{{cold}});
        front.arrive();
        bench.pass(900ms);
        THEN("the cold start is named")
        {
            const auto finding = front.explain();
            CHECK(finding.location == FaultLocation::ColdTarget);
            CHECK(finding.component == "cold");
        }
    }
    GIVEN("a leaf that refuses as full")
    {
        auto send = front.arrive();
        bench.answer(send, LeafAnswerKind::NotRun, 503);
        for (const auto &again : bench.takeSends())
            bench.answer(again, LeafAnswerKind::NotRun, 503);
        THEN("its reached cap is named")
        {
            const auto finding = front.explain();
            CHECK(finding.location == FaultLocation::CapReached);
            CHECK(finding.component == "a");
        }
    }
    GIVEN("an evacuated failure domain that held all leafs")
    {
        const auto domains = std::vector<LogField>{{"domains", "muar-a"}};
        bench.give(DomainsEvacuated{{"muar-a"}});
        front.write(LogEvent::EvacuationsChanged, domains);
        bench.arrive();
        THEN("the failure domain is named")
        {
            const auto finding = front.explain();
            CHECK(finding.location == FaultLocation::FailureDomainOut);
            CHECK(finding.component == "muar-a");
        }
        WHEN("it is taken back and a request is served")
        {
            bench.give(DomainsEvacuated());
            front.write(LogEvent::EvacuationsChanged, {{"domains", ""}});
            const auto send = front.arrive();
            bench.pass(5ms);
            bench.answer(send);
            THEN("there is no fault")
            {
                CHECK(front.explain().location == FaultLocation::NoFault);
            }
        }
    }
    GIVEN("a failure domain whose leafs are all silent")
    {
        bench.setRoute(tests::gatherRoute(4, 1));
        for (auto shard = 0; shard < 4; ++shard) {
            const auto service = "shard-" + std::to_string(shard);
            bench.addLeaf(service, service + "-b", "muar-b");
        }
        bench.arrive();
        bench.pass(900ms);
        THEN("the failure domain is named, not one of its leafs")
        {
            const auto finding = front.explain();
            CHECK(finding.location == FaultLocation::FailureDomainOut);
            CHECK(finding.component == "muar-b");
        }
    }
    GIVEN("a desired state that no longer has the caller's route")
    {
        auto other = tests::singleRoute(true);
        other.host = "b.example";
        bench.setRoute(other);
        front.write(LogEvent::RoutesInForce, {{"version", "2"}, {"routes", "1"}});
        bench.pass(2s);
        bench.arrive();
        THEN("the change of the desired state is named")
        {
            CHECK(front.explain().location == FaultLocation::DesiredStateChange);
        }
        WHEN("the request comes a minute later")
        {
            bench.pass(1min);
            bench.arrive();
            THEN("the caller is named, which asks for what isn't there")
            {
                CHECK(front.explain().location == FaultLocation::Caller);
            }
        }
    }
    GIVEN("as many requests in progress as the instance takes")
    {
        for (auto number = 0; number < 4000; ++number)
            bench.arrive();
        THEN("its own overload is named")
        {
            CHECK(front.explain().location == FaultLocation::OwnInstanceOverloaded);
        }
    }
    GIVEN("a connection that goes silent while the leaf answers on others")
    {
        front.arrive();
        const auto silentId = bench.lastCall;
        for (auto number = 0; number < 80; ++number) {
            const auto other = front.arrive();
            bench.pass(10ms);
            bench.answer(other);
        }
        bench.pass(100ms);
        bench.lastCall = silentId;
        THEN("the connection is named, not the leaf as slow")
        {
            const auto finding = front.explain();
            CHECK(finding.location == FaultLocation::SilentConnection);
            CHECK(finding.component == "a");
        }
    }
    GIVEN("a caller that gives less time than one leaf needs")
    {
        front.arrive(18ms);
        bench.pass(20ms);
        THEN("the short time is named, not the leaf")
        {
            CHECK(front.explain().location == FaultLocation::ShortDeadline);
        }
    }
    GIVEN("a route whose timeout is shorter than one leaf needs")
    {
        auto route = tests::singleRoute(true);
        route.timeout = 30ms;
        bench.setRoute(route);
        front.arrive();
        bench.pass(40ms);
        THEN("the timeout is named, not the caller")
        {
            const auto finding = front.explain();
            CHECK(finding.location == FaultLocation::ShortDeadline);
            CHECK(finding.description.find("timeout") != std::string::npos);
        }
    }
    GIVEN("a leaf whose connection ends after the request was sent")
    {
        bench.setRoute(tests::singleRoute(false));
        const auto send = front.arrive();
        bench.pass(7ms);
        bench.give(SendFailed{send.send, SendFailure::Lost});
        THEN("the failing leaf is named")
        {
            const auto finding = front.explain();
            CHECK(finding.location == FaultLocation::FailingTarget);
            CHECK(finding.component == "a");
        }
    }
    GIVEN("an instance that is about to end")
    {
        bench.give(NewRequestsRefused());
        bench.arrive();
        THEN("its stop is named")
        {
            CHECK(front.explain().location == FaultLocation::OwnInstanceStopping);
        }
    }
    GIVEN("a log without a line of the request's end")
    {
        front.arrive();
        THEN("the place is not known")
        {
            const auto finding = front.explain();
            CHECK(finding.location == FaultLocation::NotEnoughEvidence);
            CHECK(finding.description.find("not known") != std::string::npos);
        }
    }
}

SCENARIO("a request at an instance that hasn't read the desired state")
{
    auto front = LoggedFront();
    front.bench = tests::ForwarderBench();
    GIVEN("a store that doesn't answer")
    {
        front.write(LogEvent::StoreUnreachable,
                    {{"source", "store"}, {"channel", "config"}, {"failure", "silent"}});
        front.bench.give(StateUnavailable());
        front.bench.arrive();
        THEN("the store is named with the channel")
        {
            const auto finding = front.explain();
            CHECK(finding.location == FaultLocation::StoreUnavailable);
            CHECK(finding.description.find("config") != std::string::npos);
        }
    }
}

SCENARIO("log lines are read as they were written")
{
    GIVEN("a value with quotes, a control character and a backslash")
    {
        const auto value = std::string("a \"b\" \\ \n=c");
        const auto fields = std::vector<LogField>{{"request", "r1"}, {"error", value}};
        const auto text = "12.5 front-1 | time=2026-12-04T11:24:07.782Z "
                          + formatLogLine(LogEvent::SendFailed, fields);
        THEN("it comes back unchanged, and what collectors put before the line is ignored")
        {
            const auto line = parseLogLine(text);
            REQUIRE(line);
            CHECK(line->event == LogEvent::SendFailed);
            CHECK(line->time == parseTime("2026-12-04T11:24:07.782Z"));
            CHECK(fieldOf(*line, "request") == "r1");
            CHECK(fieldOf(*line, "error") == value);
        }
        THEN("no cut of the line is taken for more than it says")
        {
            for (std::size_t size = 0; size < text.size(); ++size) {
                const auto line = parseLogLine(std::string_view(text).substr(0, size));
                if (line)
                    CHECK(line->event == LogEvent::SendFailed);
            }
        }
    }
    GIVEN("lines of other programs and unknown events")
    {
        THEN("they are no lines of the log")
        {
            CHECK_FALSE(parseLogLine(""));
            CHECK_FALSE(parseLogLine("GET /all/1 200"));
            CHECK_FALSE(parseLogLine("time=2026-12-04T11:24:07.782Z event=9999 name=x"));
            CHECK_FALSE(parseLogLine("event=404 text=\"unfinished"));
        }
    }
}

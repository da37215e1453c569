#include <catch2/catch.hpp>

#include "core/diagnosis.h"

using namespace crocusreach;
using namespace std::chrono_literals;

namespace {

constexpr auto now = TimePoint(1h);
constexpr std::uint64_t queryCount = 100;

// A view with one service of two leafs and one peer.
auto makeView() -> ClusterView
{
    auto configuration = std::make_shared<Configuration>();
    configuration->domains.push_back({domainId("muar-a"), "muar-a", "johor", {}});
    auto service = Service{
            serviceId("catalogue-1"), "catalogue-1", "johor", LayoutVersion{1}, 2, {}, {}};
    for (const auto *name : {"leaf-1", "leaf-2"})
        service.leafs.push_back({leafId("catalogue-1", name),
                                 name,
                                 std::string("127.0.0.1:") + name[5],
                                 domainId("muar-a"),
                                 4,
                                 2,
                                 35,
                                 {}});
    configuration->services.push_back(std::move(service));
    auto view = ClusterView();
    view.configuration = configuration;
    view.peers.push_back(
            {instanceId("peer"), {}, "peer", "127.0.0.1:9", {}, true, false, {}, {}, 1ms});
    return view;
}

// Statistics of healthy traffic: each query sends one request to each of both leafs, which take
// 5 ms.
struct DiagnosisFixture
{
    ClusterView view = makeView();
    RollingStatistics statistics;
    AttemptTrace first = healthyAttempt(0);
    AttemptTrace second = healthyAttempt(1);
    Duration deadline = 100ms;
    Reason missing = Reason::None; // of the first leaf's shard
    Reason refusal = Reason::None;
    std::uint64_t restarts = 0;

    static auto healthyAttempt(std::uint32_t index) -> AttemptTrace
    {
        auto attempt = AttemptTrace();
        attempt.leaf = leafId("catalogue-1", index == 0 ? "leaf-1" : "leaf-2");
        attempt.outcome = Outcome::Done;
        attempt.merged = true;
        attempt.breakdown = {500us, 100us, 0us, 5ms, 0us};
        attempt.elapsed = 5600us;
        return attempt;
    }

    auto diagnoseTraffic() -> Diagnosis
    {
        const auto &service = this->view.configuration->services[0];
        auto &serviceStatistics = currentPeriod(this->statistics, now).services[service.id];
        serviceStatistics.queries += queryCount;
        serviceStatistics.restarts += this->restarts;
        serviceStatistics.shardsAsked += 2 * queryCount;
        serviceStatistics.shardsAnswered += (this->missing == Reason::None ? 2 : 1) * queryCount;
        serviceStatistics.deadline += this->deadline * queryCount;
        serviceStatistics.elapsed += 6ms * queryCount;
        if (this->missing != Reason::None)
            serviceStatistics.missing[static_cast<std::size_t>(this->missing)] += queryCount;
        if (this->refusal != Reason::None)
            serviceStatistics.refusals[static_cast<std::size_t>(this->refusal)] += queryCount / 2;
        for (std::uint64_t query = 0; query < queryCount; ++query) {
            recordAttempt(this->statistics, service.id, this->first, now);
            recordAttempt(this->statistics, service.id, this->second, now);
        }
        return diagnose(this->statistics, this->view, service);
    }
};

} // namespace

// Guards against a diagnosis that reports the wrong location, for example the network for a slow
// target.
SCENARIO("the diagnosis names the location of each kind of fault")
{
    auto fixture = DiagnosisFixture();
    GIVEN("healthy traffic")
    {
        const auto diagnosis = fixture.diagnoseTraffic();
        THEN("no fault is reported")
        {
            CHECK(diagnosis.findings[0].location == FaultLocation::NoFault);
        }
    }
    GIVEN("too few queries")
    {
        const auto diagnosis = diagnose(fixture.statistics, fixture.view,
                                        fixture.view.configuration->services[0]);
        THEN("it reports that there is not enough evidence")
        {
            CHECK(diagnosis.findings[0].location == FaultLocation::NotEnoughEvidence);
        }
    }
    GIVEN("a fault in the attempts")
    {
        auto expected = FaultLocation::NoFault;
        auto component = std::string();
        SECTION("one slow target")
        {
            fixture.first.breakdown.target = 60ms;
            fixture.first.elapsed = 61ms;
            expected = FaultLocation::SlowTarget;
            component = "leaf-1";
        }
        SECTION("one target that does not answer by the deadline")
        {
            fixture.first.reason = Reason::DeadlineExceeded;
            fixture.first.breakdown = {0us, 0us, 0us, 0us, 100ms};
            fixture.first.elapsed = 100ms;
            fixture.missing = Reason::DeadlineExceeded;
            expected = FaultLocation::SlowTarget;
            component = "leaf-1";
        }
        SECTION("a slow network between instances")
        {
            for (auto *attempt : {&fixture.first, &fixture.second}) {
                attempt->breakdown.network = 40ms;
                attempt->elapsed = 46ms;
            }
            expected = FaultLocation::SlowLink;
        }
        SECTION("a cold target")
        {
            fixture.first.cold = true;
            expected = FaultLocation::ColdTarget;
            component = "leaf-1";
        }
        SECTION("slots that are all in use")
        {
            for (auto *attempt : {&fixture.first, &fixture.second}) {
                attempt->breakdown.queued = 30ms;
                attempt->elapsed = 36ms;
            }
            expected = FaultLocation::CapReached;
        }
        SECTION("a target that sheds requests")
        {
            fixture.first.reason = Reason::TargetShed;
            fixture.missing = Reason::TargetShed;
            expected = FaultLocation::CapReached;
            component = "leaf-1";
        }
        SECTION("a silent connection")
        {
            fixture.first.reason = Reason::ConnectionSilent;
            fixture.first.breakdown = {500us, 0us, 0us, 50ms, 0us};
            fixture.first.elapsed = 51ms;
            expected = FaultLocation::SilentConnection;
            component = "leaf-1";
        }
        SECTION("a failing target")
        {
            fixture.first.reason = Reason::TargetError;
            fixture.missing = Reason::TargetError;
            expected = FaultLocation::FailingTarget;
            component = "leaf-1";
        }
        SECTION("a changing index version")
        {
            fixture.restarts = queryCount / 2;
            expected = FaultLocation::IndexChange;
        }
        SECTION("a failure domain out of rotation")
        {
            auto configuration = *fixture.view.configuration;
            configuration.domains[0].decision.state = DesiredState::Out;
            fixture.view.configuration = std::make_shared<Configuration>(configuration);
            fixture.missing = Reason::DomainOut;
            expected = FaultLocation::FailureDomainOut;
            component = "muar-a";
        }
        SECTION("an unreachable holder")
        {
            fixture.view.peers[0].reachable = false;
            fixture.missing = Reason::HolderUnreachable;
            expected = FaultLocation::HolderUnreachable;
            component = "peer";
        }
        SECTION("an overloaded instance")
        {
            fixture.refusal = Reason::Overloaded;
            expected = FaultLocation::OwnInstanceOverloaded;
        }
        SECTION("callers that allow too little time")
        {
            fixture.deadline = 6ms;
            for (auto *attempt : {&fixture.first, &fixture.second}) {
                attempt->breakdown = {500us, 0us, 0us, 5200us, 0us};
                attempt->elapsed = 5700us;
            }
            fixture.missing = Reason::DeadlineExceeded;
            expected = FaultLocation::ShortDeadline;
        }
        const auto diagnosis = fixture.diagnoseTraffic();
        INFO(explainText(diagnosis));
        CHECK(diagnosis.findings[0].location == expected);
        CHECK(diagnosis.findings[0].component.find(component) != std::string::npos);
    }
}

SCENARIO("rolling statistics drop periods that are older than five minutes")
{
    auto fixture = DiagnosisFixture();
    fixture.diagnoseTraffic();
    WHEN("six minutes pass")
    {
        currentPeriod(fixture.statistics, now + 6min);
        THEN("the old sums are dropped")
        {
            CHECK(sumOf(fixture.statistics, serviceId("catalogue-1")).queries == 0);
            CHECK(fixture.statistics.periods.size() == 1);
        }
    }
}

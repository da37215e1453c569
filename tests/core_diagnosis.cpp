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

// Accounts of healthy traffic: each query asks both leafs, which take 5 ms.
struct Story
{
    ClusterView view = makeView();
    RollingAccounts accounts;
    AttemptAccount first = healthyAttempt(0);
    AttemptAccount second = healthyAttempt(1);
    Duration deadline = 100ms;
    Reason missing = Reason::None; // of the first leaf's shard
    Reason refusal = Reason::None;
    std::uint64_t restarts = 0;

    static auto healthyAttempt(std::uint32_t index) -> AttemptAccount
    {
        auto attempt = AttemptAccount();
        attempt.leaf = leafId("catalogue-1", index == 0 ? "leaf-1" : "leaf-2");
        attempt.outcome = Outcome::Done;
        attempt.merged = true;
        attempt.parts = {500us, 100us, 0us, 5ms, 0us};
        attempt.elapsed = 5600us;
        return attempt;
    }

    auto run() -> Diagnosis
    {
        const auto &service = this->view.configuration->services[0];
        auto &sums = currentPeriod(this->accounts, now).services[service.id];
        sums.queries += queryCount;
        sums.restarts += this->restarts;
        sums.shardsAsked += 2 * queryCount;
        sums.shardsAnswered += (this->missing == Reason::None ? 2 : 1) * queryCount;
        sums.deadline += this->deadline * queryCount;
        sums.spent += 6ms * queryCount;
        if (this->missing != Reason::None)
            sums.missing[static_cast<std::size_t>(this->missing)] += queryCount;
        if (this->refusal != Reason::None)
            sums.refusals[static_cast<std::size_t>(this->refusal)] += queryCount / 2;
        for (std::uint64_t query = 0; query < queryCount; ++query) {
            addAttempt(this->accounts, service.id, this->first, now);
            addAttempt(this->accounts, service.id, this->second, now);
        }
        return diagnose(this->accounts, this->view, service);
    }
};

} // namespace

// Guards against a diagnosis that blames the wrong place, for example the network for a slow
// target.
SCENARIO("explain names the place of each kind of fault")
{
    auto story = Story();
    GIVEN("healthy traffic")
    {
        const auto diagnosis = story.run();
        THEN("no fault is named")
        {
            CHECK(diagnosis.findings[0].place == FaultPlace::NoFault);
        }
    }
    GIVEN("too few queries")
    {
        const auto diagnosis
                = diagnose(story.accounts, story.view, story.view.configuration->services[0]);
        THEN("it says that the evidence doesn't suffice")
        {
            CHECK(diagnosis.findings[0].place == FaultPlace::NotEnoughEvidence);
        }
    }
    GIVEN("a fault in the attempts")
    {
        auto expected = FaultPlace::NoFault;
        auto where = std::string();
        SECTION("one slow target")
        {
            story.first.parts.target = 60ms;
            story.first.elapsed = 61ms;
            expected = FaultPlace::SlowTarget;
            where = "leaf-1";
        }
        SECTION("one target that does not answer by the deadline")
        {
            story.first.reason = Reason::DeadlineExceeded;
            story.first.parts = {0us, 0us, 0us, 0us, 100ms};
            story.first.elapsed = 100ms;
            story.missing = Reason::DeadlineExceeded;
            expected = FaultPlace::SlowTarget;
            where = "leaf-1";
        }
        SECTION("a slow link between instances")
        {
            for (auto *attempt : {&story.first, &story.second}) {
                attempt->parts.network = 40ms;
                attempt->elapsed = 46ms;
            }
            expected = FaultPlace::SlowLink;
        }
        SECTION("a cold target")
        {
            story.first.cold = true;
            expected = FaultPlace::ColdTarget;
            where = "leaf-1";
        }
        SECTION("slots that are all in use")
        {
            for (auto *attempt : {&story.first, &story.second}) {
                attempt->parts.queued = 30ms;
                attempt->elapsed = 36ms;
            }
            expected = FaultPlace::CapReached;
        }
        SECTION("a target that sheds")
        {
            story.first.reason = Reason::TargetShed;
            story.missing = Reason::TargetShed;
            expected = FaultPlace::CapReached;
            where = "leaf-1";
        }
        SECTION("a silent connection")
        {
            story.first.reason = Reason::ConnectionSilent;
            story.first.parts = {500us, 0us, 0us, 50ms, 0us};
            story.first.elapsed = 51ms;
            expected = FaultPlace::SilentConnection;
            where = "leaf-1";
        }
        SECTION("a failing target")
        {
            story.first.reason = Reason::TargetError;
            story.missing = Reason::TargetError;
            expected = FaultPlace::FailingTarget;
            where = "leaf-1";
        }
        SECTION("an index version in change")
        {
            story.restarts = queryCount / 2;
            expected = FaultPlace::IndexChange;
        }
        SECTION("a failure domain taken out")
        {
            auto configuration = *story.view.configuration;
            configuration.domains[0].decision.state = DesiredState::Out;
            story.view.configuration = std::make_shared<Configuration>(configuration);
            story.missing = Reason::DomainOut;
            expected = FaultPlace::FailureDomainOut;
            where = "muar-a";
        }
        SECTION("an unreachable holder")
        {
            story.view.peers[0].reachable = false;
            story.missing = Reason::HolderUnreachable;
            expected = FaultPlace::HolderUnreachable;
            where = "peer";
        }
        SECTION("an overloaded instance")
        {
            story.refusal = Reason::Overloaded;
            expected = FaultPlace::OwnInstanceOverloaded;
        }
        SECTION("callers that allow too little time")
        {
            story.deadline = 6ms;
            for (auto *attempt : {&story.first, &story.second}) {
                attempt->parts = {500us, 0us, 0us, 5200us, 0us};
                attempt->elapsed = 5700us;
            }
            story.missing = Reason::DeadlineExceeded;
            expected = FaultPlace::ShortDeadline;
        }
        const auto diagnosis = story.run();
        INFO(explainText(diagnosis));
        CHECK(diagnosis.findings[0].place == expected);
        CHECK(diagnosis.findings[0].where.find(where) != std::string::npos);
    }
}

SCENARIO("rolling accounts forget what is older than five minutes")
{
    auto story = Story();
    story.run();
    WHEN("six minutes pass")
    {
        currentPeriod(story.accounts, now + 6min);
        THEN("the old sums are gone")
        {
            CHECK(sumOf(story.accounts, serviceId("catalogue-1")).queries == 0);
            CHECK(story.accounts.periods.size() == 1);
        }
    }
}

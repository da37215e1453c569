#include "allocations.h"
#include "core/dispatch.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <random>

// Decision work of a holder: admission, queueing, send and reply of leaf requests.

namespace crocusreach::bench {

namespace {

using namespace std::chrono_literals;

constexpr auto shareSize = ShareSize{3, 2, 15};
// A node at design scale gets 24,400 leaf requests a second.
constexpr auto requestInterval = 41us;

struct DispatchRun
{
    ClusterView view;
    DispatchStatePtr state;
    TimePoint now = TimePoint(1h);
    DispatchActions actions;
    std::deque<SendTargetRequest> running; // oldest first
    std::vector<LeafId> leafs;
    std::mt19937_64 random{1};
    std::uint64_t attempts = 0;
    std::string requestId;
    std::shared_ptr<const std::string> body = std::make_shared<const std::string>("teak");
};

// Long names, as in real deployments, don't fit into a string without an allocation.
auto makeRun(std::size_t leafCount, bool longNames) -> DispatchRun
{
    auto run = DispatchRun();
    auto configuration = Configuration();
    configuration.domains.push_back({domainId("muar-a"), "muar-a", "johor", {}});
    auto service = Service();
    service.name = "catalogue";
    service.id = serviceId(service.name);
    auto assignment = Assignment();
    assignment.epoch = Epoch(1);
    run.view.self = instanceId("one");
    for (std::size_t index = 0; index < leafCount; ++index) {
        auto leaf = Leaf();
        leaf.name = "leaf-" + std::to_string(index);
        leaf.id = leafId(service.name, leaf.name);
        leaf.address = longNames ? "10.120.130.140:8080" : "10.1.2.3:8080";
        leaf.domain = domainId("muar-a");
        leaf.shards = {ShardNumber(0)};
        assignment.shares.push_back(
                {leaf.id, 0, shareSize, run.view.self, Incarnation(1), Epoch(1), {}, {}});
        run.view.heldShares.push_back({leaf.id, 0, shareSize});
        run.leafs.push_back(leaf.id);
        service.leafs.push_back(std::move(leaf));
    }
    std::ranges::sort(assignment.shares, {}, &Share::leaf);
    configuration.services.push_back(std::move(service));
    run.view.configuration = std::make_shared<const Configuration>(std::move(configuration));
    run.view.leafIndex = std::make_shared<const LeafIndex>(buildLeafIndex(*run.view.configuration));
    run.view.assignment = std::make_shared<const Assignment>(std::move(assignment));
    run.view.leaseValidUntil = run.now + 1000h;
    run.requestId = longNames ? "0d9d1a52-6a5f-4d53-9a0e-0d8f7f2f5a11" : "r-1";
    run.state = makeDispatchState({});
    handle(*run.state, ViewChanged{std::make_shared<const ClusterView>(run.view)}, run.now,
           run.actions);
    return run;
}

auto makeRequest(DispatchRun &run) -> DispatchEvent
{
    auto request = LeafRequest();
    request.attempt = static_cast<AttemptId>(++run.attempts);
    request.origin = instanceId("two");
    request.leaf = run.leafs[run.random() % run.leafs.size()];
    request.deadline = run.now + 3s;
    request.requestId = run.requestId;
    request.body = run.body;
    return request;
}

auto makeReply(const SendTargetRequest &send) -> DispatchEvent
{
    auto reply = TargetReply();
    reply.send = send.send;
    reply.leaf = send.leaf;
    reply.outcome = Outcome::Done;
    reply.startId = "start-1";
    reply.state = TargetState::Warm;
    reply.connectionOpen = true;
    reply.version = send.version;
    reply.rows = {{"key", 1.0, "body"}};
    reply.elapsed = 4ms;
    return reply;
}

// Answers probes, and remembers what was sent.
auto takeActions(DispatchRun &run) -> void
{
    auto probes = std::vector<LeafId>();
    for (auto &action : run.actions) {
        if (auto *send = std::get_if<SendTargetRequest>(&action))
            run.running.push_back(std::move(*send));
        else if (const auto *probe = std::get_if<ProbeTarget>(&action))
            probes.push_back(probe->leaf);
    }
    run.actions.clear();
    for (const auto leaf : probes)
        handle(*run.state, ProbeReply{leaf, true, "start-1", TargetState::Warm, 0}, run.now,
               run.actions);
}

struct Measured
{
    std::vector<double> nanoseconds; // of each event
    std::uint64_t allocations = 0;
    std::uint64_t events = 0;
};

auto give(DispatchRun &run, DispatchEvent event, Measured &measured) -> void
{
    const auto allocations = allocationCount();
    const auto start = std::chrono::steady_clock::now();
    handle(*run.state, std::move(event), run.now, run.actions);
    benchmark::DoNotOptimize(nextTickAt(*run.state));
    const auto end = std::chrono::steady_clock::now();
    measured.allocations += allocationCount() - allocations;
    if (measured.events < measured.nanoseconds.size())
        measured.nanoseconds[measured.events]
                = std::chrono::duration<double, std::nano>(end - start).count();
    ++measured.events;
    takeActions(run);
}

// One request arrives; replies come as soon as more run than wanted.
auto step(DispatchRun &run, std::size_t inFlight, Measured &requests, Measured &replies) -> void
{
    run.now += requestInterval;
    give(run, makeRequest(run), requests);
    while (!run.running.empty() && requestsInFlight(*run.state) > inFlight) {
        const auto send = std::move(run.running.front());
        run.running.pop_front();
        give(run, makeReply(send), replies);
    }
}

auto fraction(Measured &measured, double part) -> double
{
    const auto count = std::min<std::size_t>(measured.events, measured.nanoseconds.size());
    if (count == 0)
        return 0;
    const auto position = static_cast<std::ptrdiff_t>(part * static_cast<double>(count - 1));
    const auto middle = measured.nanoseconds.begin() + position;
    std::nth_element(measured.nanoseconds.begin(), middle,
                     measured.nanoseconds.begin() + static_cast<std::ptrdiff_t>(count));
    return *middle;
}

auto runDispatch(benchmark::State &bench, std::size_t inFlightPerMille, bool longNames) -> void
{
    const auto leafs = static_cast<std::size_t>(bench.range(0));
    auto run = makeRun(leafs, longNames);
    const auto inFlight
            = std::max<std::size_t>(1, leafs * shareSize.slots * inFlightPerMille / 1000);
    auto warmup = Measured();
    // Every leaf ends its ramp: three steps of two seconds with eight replies each.
    for (std::size_t count = 0; count < std::max<std::size_t>(400'000, leafs * 100); ++count)
        step(run, inFlight, warmup, warmup);
    constexpr std::size_t samples = 1'000'000;
    auto requests = Measured{std::vector<double>(samples), 0, 0};
    auto replies = Measured{std::vector<double>(samples), 0, 0};
    for (auto _ : bench)
        step(run, inFlight, requests, replies);
    const auto count = static_cast<double>(std::max<std::uint64_t>(1, requests.events));
    auto waiting = 0.0;
    for (const auto &row : leafStatus(*run.state))
        waiting += row.waiting;
    bench.counters["request_ns_p50"] = fraction(requests, 0.50);
    bench.counters["request_ns_p99"] = fraction(requests, 0.99);
    bench.counters["reply_ns_p50"] = fraction(replies, 0.50);
    bench.counters["reply_ns_p99"] = fraction(replies, 0.99);
    bench.counters["allocations_per_request"]
            = static_cast<double>(requests.allocations + replies.allocations) / count;
    bench.counters["waiting_at_end"] = waiting;
}

auto dispatchDirect(benchmark::State &bench) -> void
{
    runDispatch(bench, 300, false);
}

auto dispatchQueued(benchmark::State &bench) -> void
{
    runDispatch(bench, 1500, false);
}

auto dispatchLongNames(benchmark::State &bench) -> void
{
    runDispatch(bench, 300, true);
}

// A new view with the same shares, as after each heartbeat.
auto dispatchViewChange(benchmark::State &bench) -> void
{
    auto run = makeRun(static_cast<std::size_t>(bench.range(0)), false);
    for (auto _ : bench) {
        run.now += 100ms;
        run.actions.clear();
        handle(*run.state, ViewChanged{std::make_shared<const ClusterView>(run.view)}, run.now,
               run.actions);
    }
}

BENCHMARK(dispatchDirect)->Arg(50)->Arg(500)->Arg(4900)->Iterations(400'000);
BENCHMARK(dispatchQueued)->Arg(50)->Arg(500)->Arg(4900)->Iterations(400'000);
BENCHMARK(dispatchLongNames)->Arg(500)->Iterations(400'000);
BENCHMARK(dispatchViewChange)->Arg(50)->Arg(500)->Arg(4900);

} // namespace

} // namespace crocusreach::bench

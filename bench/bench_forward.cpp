#include "allocations.h"
#include "forwardrun.h"

#include <benchmark/benchmark.h>

#include <vector>

// Decision work of a front: leafs taken in, and queries over all shards of a service.

namespace crocusreach::bench {

namespace {

using namespace forward;
using namespace std::chrono_literals;

// One query, all of whose leafs answer in 4 ms. Returns the number of its leaf requests.
auto serve(ForwardRun &run) -> std::uint64_t
{
    run.arrive();
    auto sends = std::vector<SendId>();
    for (const auto &action : run.actions) {
        if (const auto *const send = std::get_if<SendToLeaf>(&action))
            sends.push_back(send->send);
    }
    run.actions.clear();
    run.now += 4ms;
    run.give(ForwarderTick());
    for (const auto send : sends)
        run.give(makeAnswer(send, LeafAnswerKind::Success));
    run.actions.clear();
    return sends.size();
}

// The first list of the registry.
auto registerLeafs(benchmark::State &state) -> void
{
    const auto leafs = makeLeafs(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state) {
        auto table = LeafTable();
        for (const auto &leaf : leafs)
            putLeaf(table, leaf, TimePoint(1h));
        benchmark::DoNotOptimize(table.byId.size());
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}

// Arguments: shards of the query, leafs of the deployment.
auto forwardQuery(benchmark::State &state) -> void
{
    auto run = ForwardRun(static_cast<std::size_t>(state.range(0)),
                          static_cast<std::size_t>(state.range(1)));
    for (auto number = 0; number < 100; ++number)
        serve(run);
    const auto allocations = allocationCount();
    auto sends = std::uint64_t(0);
    for (auto _ : state)
        sends += serve(run);
    const auto done = static_cast<double>(sends);
    state.counters["leaf_requests"] = benchmark::Counter(done, benchmark::Counter::kIsRate);
    state.counters["allocations_per_leaf_request"]
            = static_cast<double>(allocationCount() - allocations) / done;
}

} // namespace

BENCHMARK(registerLeafs)->Arg(50)->Arg(500)->Arg(4900)->Unit(benchmark::kMillisecond);
BENCHMARK(forwardQuery)
        ->Args({15, 50})
        ->Args({15, 500})
        ->Args({15, 4900})
        ->Args({54, 4900})
        ->Args({160, 4900})
        ->Unit(benchmark::kMicrosecond);

} // namespace crocusreach::bench

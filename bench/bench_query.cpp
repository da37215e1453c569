#include "allocations.h"
#include "core/query.h"
#include "core/querystate.h"
#include "fixture.h"

#include <benchmark/benchmark.h>

#include <algorithm>

// Decision work of the query core: plan, replies and merge of a query to many leafs.

namespace crocusreach::bench {

namespace {

using namespace std::chrono_literals;

auto goodReply(const LeafRequest &request) -> LeafReply
{
    auto reply = LeafReply();
    reply.attempt = request.attempt;
    reply.leaf = request.leaf;
    reply.shard = request.shard;
    reply.outcome = Outcome::Done;
    reply.version = IndexVersion{5};
    reply.layout = request.layout;
    reply.servedVersions = {IndexVersion{5}};
    reply.rows = {{"key", static_cast<double>(toUnderlying(request.shard)), "body"}};
    return reply;
}

// Runs whole queries; each iteration is one query with all its leaf requests.
auto runQueries(benchmark::State &bench, const FixtureSize &size) -> void
{
    const auto view = makeView(size);
    auto state = makeQueryState({}, 1);
    auto now = TimePoint(1h);
    auto actions = QueryActions();
    handle(*state, ViewChanged{view}, now, actions);
    auto request = QueryArrived();
    request.body = std::make_shared<const std::string>("teak");
    auto replies = std::vector<LeafReply>();
    auto leafRequests = std::uint64_t{0};
    auto allocations = std::uint64_t{0};
    auto queries = std::uint64_t{0};
    for (auto _ : bench) {
        bench.PauseTiming();
        now += 1ms;
        request.query = QueryId{++queries};
        request.service = serviceName(static_cast<std::uint32_t>(queries % size.services));
        actions.clear();
        replies.clear();
        bench.ResumeTiming();
        auto before = allocationCount();
        handle(*state, request, now, actions);
        allocations += allocationCount() - before;
        bench.PauseTiming();
        for (const auto &action : actions) {
            if (const auto *send = std::get_if<SendLeafRequest>(&action))
                replies.push_back(goodReply(send->request));
        }
        leafRequests += replies.size();
        now += 5ms;
        bench.ResumeTiming();
        before = allocationCount();
        for (auto &reply : replies)
            handle(*state, std::move(reply), now, actions);
        allocations += allocationCount() - before;
    }
    bench.counters["time_per_leaf_request"]
            = benchmark::Counter(static_cast<double>(leafRequests),
                                 benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
    bench.counters["allocations_per_leaf_request"]
            = static_cast<double>(allocations) / static_cast<double>(leafRequests);
}

auto queryByFanOut(benchmark::State &bench) -> void
{
    auto size = FixtureSize();
    size.leafsPerService = static_cast<std::uint32_t>(bench.range(0));
    runQueries(bench, size);
}

// All leafs of the fleet known, queries to 160 of them: the slope over the size of the
// configuration.
auto queryByLeafsKnown(benchmark::State &bench) -> void
{
    auto size = FixtureSize();
    size.leafsPerService = std::min<std::uint32_t>(160, static_cast<std::uint32_t>(bench.range(0)));
    size.services = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(bench.range(0))
                                                       / size.leafsPerService);
    runQueries(bench, size);
}

auto queryByHolders(benchmark::State &bench) -> void
{
    auto size = FixtureSize();
    size.holders = static_cast<std::uint32_t>(bench.range(0));
    runQueries(bench, size);
}

// Memory of one query to 160 leafs that is in flight.
auto memoryPerQuery(benchmark::State &bench) -> void
{
    const auto view = makeView({});
    auto state = makeQueryState({}, 1);
    const auto now = TimePoint(1h);
    auto actions = QueryActions();
    handle(*state, ViewChanged{view}, now, actions);
    auto request = QueryArrived();
    request.service = serviceName(0);
    request.body = std::make_shared<const std::string>("teak");
    auto queries = std::uint64_t{0};
    auto bytes = std::uint64_t{0};
    for (auto _ : bench) {
        if (queries % 2000 == 0) {
            state = makeQueryState({}, 1);
            handle(*state, ViewChanged{view}, now, actions);
        }
        request.query = QueryId{++queries};
        actions.clear();
        const auto before = allocatedBytes();
        handle(*state, request, now, actions);
        bytes += allocatedBytes() - before;
    }
    // Includes the copies of growing containers, so it is an upper bound.
    bench.counters["bytes_per_query"] = static_cast<double>(bytes) / static_cast<double>(queries);
}

BENCHMARK(queryByFanOut)->Arg(10)->Arg(50)->Arg(160)->Arg(500);
BENCHMARK(queryByLeafsKnown)->Arg(50)->Arg(500)->Arg(4900);
BENCHMARK(queryByHolders)->Arg(10)->Arg(100)->Arg(720);
BENCHMARK(memoryPerQuery)->Iterations(2000);

} // namespace

} // namespace crocusreach::bench

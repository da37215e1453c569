#include "core/lease.h"
#include "formats/configurationjson.h"
#include "tests/controlsimulation.h"
#include "wire/codec.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <ctime>

// Cost of the control core for one instance, from cells in virtual time. One round is a minute with
// one change of the configuration, which is the rate of 1,500 changes a day. Bytes are the encoded
// messages between instances, both ways, and the values that the store sends; the headers of HTTP
// come on top.

namespace crocusreach {

namespace {

constexpr Duration roundLength = std::chrono::seconds(60);
constexpr std::size_t membersPerCell = 9;
constexpr std::size_t leafsPerCell = 61;

const auto domainNames = std::vector<std::string>{"a", "b", "c", "d", "e"};

struct Load
{
    std::int64_t nanoseconds = 0; // of processor time
    std::uint64_t events = 0;
    std::uint64_t messages = 0; // sent and received
    std::uint64_t bytes = 0;
    std::uint64_t storeCalls = 0;
    std::uint64_t views = 0;
};

auto processorTime() -> std::int64_t
{
    auto time = timespec();
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return time.tv_sec * std::int64_t{1000000000} + time.tv_nsec;
}

auto countMessage(const PeerPayload &payload, Load &load) -> void
{
    auto message = wire::PeerMessage();
    encode(payload, TimePoint(), message);
    ++load.messages;
    load.bytes += message.ByteSizeLong();
}

auto countStoreReply(const StoreReply &reply, Load &load) -> void
{
    if (reply.configuration != nullptr)
        load.bytes += writeConfiguration(*reply.configuration).size();
    if (reply.assignment != nullptr)
        load.bytes += writeAssignment(*reply.assignment).size();
}

auto countEvent(const ControlEvent &event, Load &load) -> void
{
    ++load.events;
    std::visit(Overloaded{[&](const Heartbeat &message) { countMessage(message, load); },
                          [&](const HeartbeatReply &message) { countMessage(message, load); },
                          [&](const FetchState &message) { countMessage(message, load); },
                          [&](const FetchedState &message) { countMessage(message, load); },
                          [&](const StoreReply &reply) { countStoreReply(reply, load); },
                          [](const auto &) {}},
               event);
}

auto countAction(const ControlAction &action, Load &load) -> void
{
    std::visit(Overloaded{[&](const SendHeartbeat &send) { countMessage(send.heartbeat, load); },
                          [&](const SendHeartbeatReply &send) { countMessage(send.reply, load); },
                          [&](const SendFetchState &send) { countMessage(send.fetch, load); },
                          [&](const SendFetchedState &send) { countMessage(send.state, load); },
                          [&](const StoreCall &) { ++load.storeCalls; },
                          [&](const PublishView &) { ++load.views; }, [](const auto &) {}},
               action);
}

// Configuration of several cells with the same number of leafs each.
auto makeCells(std::size_t cells, std::size_t leafs) -> Configuration
{
    auto configuration = controltest::makeConfiguration(leafs, 6, 4, domainNames);
    const auto first = configuration.services.front();
    for (std::size_t cell = 1; cell < cells; ++cell) {
        auto service = first;
        service.name = "s" + std::to_string(cell);
        service.id = serviceId(service.name);
        service.cell = "cell-" + std::to_string(cell);
        for (auto &leaf : service.leafs)
            leaf.id = leafId(service.name, leaf.name);
        configuration.services.push_back(std::move(service));
    }
    return configuration;
}

// A cell whose members hold all shares. With several cells, it is the first one of them.
auto makeWorld(std::size_t members, const Configuration &configuration)
        -> controltest::ControlSimulation
{
    auto cell = controltest::ControlSimulation();
    cell.random.seed(1);
    cell.checkEnabled = false;
    cell.settings.cell = "cell";
    for (std::size_t index = 0; index < members; ++index)
        controltest::addNode(cell, "i" + std::to_string(index), domainNames[index % 5]);
    controltest::putConfiguration(cell, configuration);
    for (std::size_t index = 0; index < members; ++index)
        controltest::startNode(cell, index);
    controltest::runFor(cell, std::chrono::seconds(30));
    return cell;
}

// The member that writes assignments and watches, which does the most.
auto busiest(const controltest::ControlSimulation &cell) -> std::size_t
{
    auto lowest = std::size_t{0};
    for (std::size_t index = 1; index < cell.nodes.size(); ++index) {
        if (cell.nodes[index].member.id < cell.nodes[lowest].member.id)
            lowest = index;
    }
    return lowest;
}

auto runRound(controltest::ControlSimulation &cell, std::size_t observed, Load &load) -> void
{
    cell.handler = [&](std::size_t index, ControlState &state, const ControlEvent &event,
                       TimePoint now, ControlActions &actions) {
        if (index != observed) {
            handle(state, event, now, actions);
            return;
        }
        const auto before = processorTime();
        handle(state, event, now, actions);
        load.nanoseconds += processorTime() - before;
        countEvent(event, load);
        for (const auto &action : actions)
            countAction(action, load);
    };
    controltest::runFor(cell, roundLength / 2);
    controltest::putConfiguration(cell, *cell.store.configuration);
    controltest::runFor(cell, roundLength / 2);
}

// Heap of one instance with its own copies of the configuration and the assignment.
auto memoryOfInstance(const controltest::ControlSimulation &cell) -> std::size_t
{
    const auto before = mallinfo2().uordblks;
    auto settings = cell.settings;
    settings.self = cell.nodes.front().member;
    const auto state = makeControlState(settings);
    auto actions = ControlActions();
    const auto now = TimePoint(std::chrono::seconds(1));
    handle(*state,
           FetchedState{{},
                        std::make_shared<const Configuration>(*cell.store.configuration),
                        std::make_shared<const Assignment>(*cell.store.assignment)},
           now, actions);
    for (const auto &member : cell.store.assignment->members) {
        auto heartbeat = Heartbeat();
        heartbeat.from = member;
        heartbeat.epoch = cell.store.assignment->epoch;
        handle(*state, heartbeat, now, actions);
    }
    handle(*state, Tick{}, now + std::chrono::seconds(10), actions);
    actions = ControlActions();
    return mallinfo2().uordblks - before;
}

auto report(benchmark::State &state, const Load &load, std::size_t memory) -> void
{
    const auto seconds = static_cast<double>(state.iterations())
                         * std::chrono::duration<double>(roundLength).count();
    const auto rate = [&](auto count) { return static_cast<double>(count) / seconds; };
    state.counters["core_percent"] = rate(load.nanoseconds) / 1e7;
    state.counters["events_per_s"] = rate(load.events);
    state.counters["messages_per_s"] = rate(load.messages);
    state.counters["bytes_per_s"] = rate(load.bytes);
    state.counters["store_calls_per_s"] = rate(load.storeCalls);
    state.counters["views_per_s"] = rate(load.views);
    state.counters["memory_kB"] = static_cast<double>(memory) / 1000;
}

auto oneInstance(benchmark::State &state) -> void
{
    const auto members = static_cast<std::size_t>(state.range(0));
    const auto leafs = static_cast<std::size_t>(state.range(1));
    auto cell = makeWorld(members, makeCells(1, leafs));
    auto load = Load();
    for (auto _ : state) {
        const auto before = load.nanoseconds;
        runRound(cell, busiest(cell), load);
        state.SetIterationTime(static_cast<double>(load.nanoseconds - before) / 1e9);
    }
    report(state, load, memoryOfInstance(cell));
}

// Nodes in cells of nine, 61 leafs a cell. Cells have no control traffic with each other in the
// core, so that one cell stands for all; what grows is the configuration that each node holds.
auto nodesAsCells(benchmark::State &state) -> void
{
    const auto nodes = static_cast<std::size_t>(state.range(0));
    const auto cells = (nodes + membersPerCell - 1) / membersPerCell;
    auto cell = makeWorld(std::min(nodes, membersPerCell), makeCells(cells, leafsPerCell));
    auto load = Load();
    for (auto _ : state) {
        const auto before = load.nanoseconds;
        runRound(cell, busiest(cell), load);
        state.SetIterationTime(static_cast<double>(load.nanoseconds - before) / 1e9);
    }
    state.counters["cells"] = static_cast<double>(cells);
    report(state, load, memoryOfInstance(cell));
}

// A new placement after a member was removed.
auto placeShares(benchmark::State &state) -> void
{
    const auto cell = makeWorld(static_cast<std::size_t>(state.range(0)),
                                makeCells(1, static_cast<std::size_t>(state.range(1))));
    const auto &former = *cell.store.assignment;
    const auto members = std::span(former.members).subspan(1);
    for (auto _ : state)
        benchmark::DoNotOptimize(assignShares(former, members, *cell.store.configuration));
}

BENCHMARK(oneInstance)
        ->ArgNames({"members", "leafs"})
        ->ArgsProduct({{3, 7, 9, 12}, {50, 500, 4900}})
        ->UseManualTime()
        ->Iterations(3)
        ->Unit(benchmark::kMillisecond);
BENCHMARK(nodesAsCells)
        ->ArgName("nodes")
        ->Arg(10)
        ->Arg(100)
        ->Arg(720)
        ->UseManualTime()
        ->Iterations(10)
        ->Unit(benchmark::kMillisecond);
BENCHMARK(placeShares)
        ->ArgNames({"members", "leafs"})
        ->ArgsProduct({{3, 9, 12}, {61, 500, 4900}})
        ->Unit(benchmark::kMicrosecond);

} // namespace

} // namespace crocusreach

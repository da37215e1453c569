#include "forwardrun.h"

#include "core/records.h"

#include <string>

namespace crocusreach::bench {

using namespace forward;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t replicas = 3;

auto makeTable(std::size_t shards) -> RouteTablePtr
{
    auto route = Route();
    route.name = "all";
    route.host = "a.example";
    route.pathPrefix = "/all/";
    route.idempotent = true;
    route.timeout = 800ms;
    route.targetLatency = 62ms;
    route.maxAttempts = 2;
    route.topRecords = 10;
    route.minShardRatio = 0.95;
    auto table = std::make_shared<RouteTable>();
    table->version = 1;
    for (std::size_t shard = 0; shard < shards; ++shard) {
        route.shards.push_back("catalogue~" + std::to_string(shard));
        table->services.push_back({route.shards.back(), 74, 0});
    }
    table->routes = {std::move(route)};
    indexRoutes(*table);
    return table;
}

} // namespace

auto makeLeafs(std::size_t count) -> std::vector<LeafRecord>
{
    auto leafs = std::vector<LeafRecord>();
    for (std::size_t number = 0; number < count; ++number) {
        auto leaf = LeafRecord();
        leaf.id = "i-" + std::to_string(number);
        leaf.service = "catalogue~" + std::to_string(number / replicas);
        leaf.address = "10.1." + std::to_string(number / 256) + "." + std::to_string(number % 256)
                       + ":8080";
        leaf.domain = "domain-" + std::to_string(number % replicas);
        leaf.slots = 4;
        leaf.revision = number + 1;
        leafs.push_back(std::move(leaf));
    }
    return leafs;
}

ForwardRun::ForwardRun(std::size_t shards, std::size_t leafs)
{
    auto settings = ForwarderSettings();
    settings.domain = "domain-0";
    settings.retryLimits = {0.2, 200, 10s};
    configure(this->forwarder, settings);
    this->give(InstancesCounted{1});
    this->give(LeafsRegistered{makeLeafs(leafs)});
    this->give(RoutesChanged{makeTable(shards)});
    this->give(StateRead());
    this->actions.clear();
}

auto ForwardRun::give(const ForwardEvent &event) -> void
{
    handle(this->forwarder, event, this->now, this->actions);
}

auto ForwardRun::arrive() -> void
{
    auto request = std::make_shared<ForwardRequest>();
    request->id = "r-" + std::to_string(++this->queries);
    request->method = "GET";
    request->host = "a.example";
    request->target = "/all/x";
    request->timeLeft = 800ms;
    this->give(RequestArrived{CallId(this->queries), std::move(request)});
}

auto makeAnswer(SendId send, LeafAnswerKind kind) -> LeafAnswered
{
    auto answer = LeafAnswer();
    answer.kind = kind;
    answer.status = kind == LeafAnswerKind::Success ? 200 : 503;
    answer.receipt = "receipt";
    answer.body = std::string(recordBytes, 'a');
    return {send, std::move(answer), true, 10s};
}

} // namespace crocusreach::bench

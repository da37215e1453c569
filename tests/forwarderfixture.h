#pragma once

#include "core/forwarder.h"
#include "core/records.h"

#include <algorithm>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace crocusreach::tests {

using namespace forward;
using namespace std::chrono_literals;

// A forwarder whose leafs and clock are controlled by the test.
struct ForwarderFixture
{
    ForwarderFixture()
    {
        auto settings = ForwarderSettings();
        settings.domain = "muar-a";
        settings.retryLimits = {0.2, 100, 10s};
        settings.drainTimeout = 3s;
        configure(this->forwarder, settings);
        this->deliver(InstancesCounted{1});
    }

    auto deliver(const ForwardEvent &event) -> void
    {
        handle(this->forwarder, event, this->now, this->actions);
    }

    auto advanceTime(Duration time) -> void
    {
        const auto end = this->now + time;
        for (auto wake = nextTickAt(this->forwarder); wake && *wake <= end;
             wake = nextTickAt(this->forwarder)) {
            this->now = std::max(this->now, *wake);
            this->deliver(ForwarderTick());
        }
        this->now = end;
    }

    auto addLeaf(const std::string &service, const std::string &id,
                 const std::string &domain = "muar-a") -> void
    {
        this->deliver(LeafsRegistered{{record(service, id, domain)}});
    }

    // Its entry says that it drains, so that it gets nothing from now on.
    auto removeLeaf(const std::string &id) -> void
    {
        const auto index = this->forwarder.leafs.byId.at(id);
        auto entry = leafAt(this->forwarder.leafs, index).record;
        entry.draining = true;
        entry.revision += 1000;
        this->deliver(LeafsRegistered{{entry}});
    }

    auto record(const std::string &service, const std::string &id,
                const std::string &domain = "muar-a") -> LeafRecord
    {
        auto leaf = LeafRecord();
        leaf.id = id;
        leaf.service = service;
        leaf.address = "10.0.0.1:" + std::to_string(1000 + ++this->revision);
        leaf.domain = domain;
        leaf.slots = 3;
        leaf.revision = this->revision;
        return leaf;
    }

    auto setRoute(const Route &route, const std::vector<ServiceSpec> &services = {}) -> void
    {
        auto table = std::make_shared<RouteTable>();
        table->version = ++this->version;
        table->routes = {route};
        table->services = services;
        indexRoutes(*table);
        this->deliver(RoutesChanged{table});
        this->deliver(StateRead());
    }

    auto receiveRequest(Duration timeLeft = 800ms) -> CallId
    {
        const auto call = CallId(++this->lastCall);
        auto request = std::make_shared<ForwardRequest>();
        request->id = "request-" + std::to_string(this->lastCall);
        request->method = "GET";
        request->host = "a.example";
        request->target = "/all/1";
        request->timeLeft = timeLeft;
        this->deliver(RequestArrived{call, request});
        return call;
    }

    // Removes and returns the actions of one type.
    template <typename Action>
    auto takeActions() -> std::vector<Action>
    {
        auto taken = std::vector<Action>();
        std::erase_if(this->actions, [&](const ForwardAction &action) {
            const auto *const content = std::get_if<Action>(&action);
            if (content != nullptr)
                taken.push_back(*content);
            return content != nullptr;
        });
        return taken;
    }

    auto takeSends() -> std::vector<SendToLeaf> { return this->takeActions<SendToLeaf>(); }
    auto takeOpens() -> std::vector<OpenConnection> { return this->takeActions<OpenConnection>(); }

    static auto answerContent(const SendToLeaf &send, LeafAnswerKind kind, std::uint32_t status)
            -> LeafAnswer
    {
        auto content = LeafAnswer();
        content.kind = kind;
        content.status = status;
        content.receipt = "receipt of " + send.leafId;
        content.body = std::string(recordBytes, send.leafId.back());
        return content;
    }

    auto answer(const SendToLeaf &send, LeafAnswerKind kind = LeafAnswerKind::Success,
                std::uint32_t status = 200) -> void
    {
        this->deliver(LeafAnswered{send.send, answerContent(send, kind, status), true, {}});
    }

    // Answers the sends that takeSends() has not returned yet.
    auto answerAll() -> void
    {
        for (const auto &send : this->takeSends())
            this->answer(send);
    }

    auto answerOf(CallId call) const -> const CallAnswer *
    {
        for (const auto &action : this->actions) {
            const auto *answered = std::get_if<AnswerCaller>(&action);
            if (answered != nullptr && answered->call == call)
                return &answered->answer;
        }
        return nullptr;
    }

    template <typename Answer>
    auto answerAs(CallId call) const -> const Answer *
    {
        const auto *answer = this->answerOf(call);
        return answer == nullptr ? nullptr : std::get_if<Answer>(answer);
    }

    auto closedConnections() const -> std::size_t
    {
        return static_cast<std::size_t>(
                std::count_if(this->actions.begin(), this->actions.end(), [](const auto &action) {
                    return std::holds_alternative<CloseConnection>(action);
                }));
    }

    Forwarder forwarder;
    TimePoint now = TimePoint(1h);
    std::vector<ForwardAction> actions;
    std::uint64_t revision = 0;
    std::uint64_t version = 0;
    std::uint64_t lastCall = 0;
};

inline auto gatherRoute(std::size_t shards, double ratio) -> Route
{
    auto route = Route();
    route.name = "all";
    route.host = "a.example";
    route.pathPrefix = "/all/";
    route.idempotent = true;
    route.timeout = 800ms;
    route.targetLatency = 120ms;
    route.maxAttempts = 2;
    for (std::size_t shard = 0; shard < shards; ++shard)
        route.shards.push_back("shard-" + std::to_string(shard));
    route.topRecords = 3;
    route.minShardRatio = ratio;
    return route;
}

inline auto singleRoute(bool idempotent) -> Route
{
    auto route = gatherRoute(0, 1);
    route.split = {{"ledger", 1}};
    route.idempotent = idempotent;
    return route;
}

} // namespace crocusreach::tests

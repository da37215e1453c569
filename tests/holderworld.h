#pragma once

#include "core/dispatch.h"
#include "core/dispatchstate.h"
#include "core/invariants.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

// One holder of shares under virtual time, for tests of the dispatch core.

namespace crocusreach::test {

using namespace std::chrono_literals;

struct HolderWorld
{
    Configuration configuration;
    Assignment assignment;
    ClusterView view;
    DispatchStatePtr state;
    TimePoint now = TimePoint(1000s);
    DispatchActions actions; // not yet taken
    std::uint64_t attempts = 0;
};

inline auto makeDomain(std::string name) -> FailureDomain
{
    const auto id = domainId(name);
    return {id, std::move(name), "johor", {}};
}

inline auto makeLeaf(std::string name, std::string_view domain) -> Leaf
{
    const auto id = leafId("catalogue", name);
    return {id, std::move(name), "127.0.0.1:81", domainId(domain), 4, 2, 10, {ShardNumber(0)}};
}

inline auto instanceMember(std::string name, std::string_view domain) -> Member
{
    const auto id = instanceId(name);
    return {id, Incarnation(1), std::move(name), "127.0.0.1:70", domainId(domain)};
}

// Publishes the world's configuration, assignment and view to the holder.
inline auto publish(HolderWorld &world) -> void
{
    world.view.configuration = std::make_shared<const Configuration>(world.configuration);
    world.view.leafIndex
            = std::make_shared<const LeafIndex>(buildLeafIndex(*world.view.configuration));
    world.view.assignment = std::make_shared<const Assignment>(world.assignment);
    handle(*world.state, ViewChanged{std::make_shared<const ClusterView>(world.view)}, world.now,
           world.actions);
}

// A holder of one share of each of the leafs. The share has the given size.
inline auto makeWorld(const std::vector<Leaf> &leafs, ShareSize size,
                      const DispatchSettings &settings = {}) -> HolderWorld
{
    auto world = HolderWorld();
    world.configuration.domains = {makeDomain("muar-a"), makeDomain("muar-b")};
    world.configuration.services.push_back(
            {serviceId("catalogue"), "catalogue", "johor-1", LayoutVersion(1), 1, leafs, {}});
    world.assignment.epoch = Epoch(1);
    world.assignment.members = {instanceMember("one", "muar-b"), instanceMember("two", "muar-a")};
    for (const auto &leaf : leafs) {
        world.assignment.shares.push_back(
                {leaf.id, 0, size, instanceId("one"), Incarnation(1), Epoch(1), {}, {}});
        world.view.heldShares.push_back({leaf.id, 0, size});
    }
    std::ranges::sort(world.assignment.shares, {}, &Share::leaf);
    world.view.self = instanceId("one");
    world.view.selfDomain = domainId("muar-b");
    world.view.leaseValidUntil = world.now + 1h;
    world.state = makeDispatchState(settings);
    publish(world);
    // The first health check is answered without news of the target.
    for (const auto &leaf : leafs)
        handle(*world.state, ProbeReply{leaf.id, true, "", TargetState::Unknown, 0}, world.now,
               world.actions);
    world.actions.clear();
    return world;
}

inline auto makeRequest(HolderWorld &world, const Leaf &leaf, Duration time) -> LeafRequest
{
    auto request = LeafRequest();
    request.attempt = static_cast<AttemptId>(++world.attempts);
    request.origin = instanceId("two");
    request.service = serviceId("catalogue");
    request.leaf = leaf.id;
    request.version = IndexVersion(7);
    request.layout = LayoutVersion(1);
    request.deadline = world.now + time;
    request.requestId = "r-" + std::to_string(world.attempts);
    request.body = std::make_shared<const std::string>("teak");
    return request;
}

inline auto give(HolderWorld &world, const DispatchEvent &event) -> void
{
    handle(*world.state, event, world.now, world.actions);
}

// Lets time pass, with a Tick at each time that the holder asked for.
inline auto pass(HolderWorld &world, Duration time) -> void
{
    const auto end = world.now + time;
    for (auto wake = nextWake(*world.state); wake && *wake <= end; wake = nextWake(*world.state)) {
        world.now = std::max(world.now, *wake);
        give(world, Tick());
    }
    world.now = end;
    give(world, Tick());
}

// Removes the actions of one type and returns them in order.
template <typename T>
auto take(HolderWorld &world) -> std::vector<T>
{
    auto taken = std::vector<T>();
    auto kept = DispatchActions();
    for (auto &action : world.actions) {
        if (auto *wanted = std::get_if<T>(&action))
            taken.push_back(std::move(*wanted));
        else
            kept.push_back(std::move(action));
    }
    world.actions = std::move(kept);
    return taken;
}

inline auto takeReplies(HolderWorld &world) -> std::vector<LeafReply>
{
    auto replies = std::vector<LeafReply>();
    for (auto &action : take<LeafReplyTo>(world))
        replies.push_back(std::move(action.reply));
    return replies;
}

inline auto makeReply(const TargetSend &send, std::string startId) -> TargetReply
{
    auto reply = TargetReply();
    reply.send = send.send;
    reply.leaf = send.leaf;
    reply.outcome = Outcome::Done;
    reply.startId = std::move(startId);
    reply.state = TargetState::Warm;
    reply.connectionOpen = true;
    reply.version = send.version;
    reply.layout = send.layout;
    reply.elapsed = 2ms;
    return reply;
}

inline auto makeFailure(const TargetSend &send, Outcome outcome, Reason reason) -> TargetReply
{
    auto reply = TargetReply();
    reply.send = send.send;
    reply.leaf = send.leaf;
    reply.outcome = outcome;
    reply.reason = reason;
    return reply;
}

// Sends one request and lets the target answer it at once.
inline auto serveOne(HolderWorld &world, const Leaf &leaf, const std::string &startId,
                     Duration elapsed = 2ms) -> void
{
    give(world, makeRequest(world, leaf, 10s));
    for (const auto &send : take<TargetSend>(world)) {
        auto reply = makeReply(send, startId);
        reply.elapsed = elapsed;
        give(world, reply);
    }
}

// Serves requests until the ramp allows all slots, on verified connections.
inline auto warm(HolderWorld &world, const Leaf &leaf, const std::string &startId) -> void
{
    const auto allowedAll = [&] {
        const auto rows = leafStatus(*world.state);
        const auto row = std::ranges::find(rows, leaf.id, &LeafStatus::leaf);
        return row->allowed == row->slots && !row->cold;
    };
    for (auto round = 0; round < 100 && !allowedAll(); ++round) {
        for (auto count = 0; count < 4; ++count)
            give(world, makeRequest(world, leaf, 10s));
        for (auto sends = take<TargetSend>(world); !sends.empty();
             sends = take<TargetSend>(world)) {
            for (const auto &send : sends)
                give(world, makeReply(send, startId));
        }
        world.now += 300ms;
    }
    // Opens and verifies one connection per slot.
    for (auto round = 0; round < 4; ++round) {
        for (auto count = 0; count < 4; ++count)
            give(world, makeRequest(world, leaf, 10s));
        for (auto sends = take<TargetSend>(world); !sends.empty();
             sends = take<TargetSend>(world)) {
            for (const auto &send : sends)
                give(world, makeReply(send, startId));
        }
    }
    world.actions.clear();
}

inline auto statusOf(const HolderWorld &world, const Leaf &leaf) -> LeafStatus
{
    const auto rows = leafStatus(*world.state);
    const auto row = std::ranges::find(rows, leaf.id, &LeafStatus::leaf);
    return row == rows.end() ? LeafStatus() : *row;
}

} // namespace crocusreach::test

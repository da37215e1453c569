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

struct HolderFixture
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

inline auto makeMember(std::string name, std::string_view domain) -> Member
{
    const auto id = instanceId(name);
    return {id, Incarnation(1), std::move(name), "127.0.0.1:70", domainId(domain)};
}

// Gives the holder a view with the fixture's configuration and assignment.
inline auto publishView(HolderFixture &fixture) -> void
{
    fixture.view.configuration = std::make_shared<const Configuration>(fixture.configuration);
    fixture.view.leafIndex
            = std::make_shared<const LeafIndex>(buildLeafIndex(*fixture.view.configuration));
    fixture.view.assignment = std::make_shared<const Assignment>(fixture.assignment);
    handle(*fixture.state, ViewChanged{std::make_shared<const ClusterView>(fixture.view)},
           fixture.now, fixture.actions);
}

// A holder of one share of the given size of each of the leafs.
inline auto makeFixture(const std::vector<Leaf> &leafs, ShareSize size,
                        const DispatchSettings &settings = {}) -> HolderFixture
{
    auto fixture = HolderFixture();
    fixture.configuration.domains = {makeDomain("muar-a"), makeDomain("muar-b")};
    fixture.configuration.services.push_back(
            {serviceId("catalogue"), "catalogue", "johor-1", LayoutVersion(1), 1, leafs, {}});
    fixture.assignment.epoch = Epoch(1);
    fixture.assignment.members = {makeMember("one", "muar-b"), makeMember("two", "muar-a")};
    for (const auto &leaf : leafs) {
        fixture.assignment.shares.push_back(
                {leaf.id, 0, size, instanceId("one"), Incarnation(1), Epoch(1), {}, {}});
        fixture.view.heldShares.push_back({leaf.id, 0, size});
    }
    std::ranges::sort(fixture.assignment.shares, {}, &Share::leaf);
    fixture.view.self = instanceId("one");
    fixture.view.selfDomain = domainId("muar-b");
    fixture.view.leaseValidUntil = fixture.now + 1h;
    fixture.state = makeDispatchState(settings);
    publishView(fixture);
    // The first health check is answered without an identity or a state of the target.
    for (const auto &leaf : leafs)
        handle(*fixture.state, ProbeReply{leaf.id, true, "", TargetState::Unknown, 0}, fixture.now,
               fixture.actions);
    fixture.actions.clear();
    return fixture;
}

inline auto makeRequest(HolderFixture &fixture, const Leaf &leaf, Duration time) -> LeafRequest
{
    auto request = LeafRequest();
    request.attempt = static_cast<AttemptId>(++fixture.attempts);
    request.origin = instanceId("two");
    request.service = serviceId("catalogue");
    request.leaf = leaf.id;
    request.version = IndexVersion(7);
    request.layout = LayoutVersion(1);
    request.deadline = fixture.now + time;
    request.requestId = "r-" + std::to_string(fixture.attempts);
    request.body = std::make_shared<const std::string>("teak");
    return request;
}

inline auto deliver(HolderFixture &fixture, const DispatchEvent &event) -> void
{
    handle(*fixture.state, event, fixture.now, fixture.actions);
}

// Advances the time, with a Tick at each time that the holder asked for.
inline auto advanceTime(HolderFixture &fixture, Duration time) -> void
{
    const auto end = fixture.now + time;
    for (auto wake = nextTickAt(*fixture.state); wake && *wake <= end;
         wake = nextTickAt(*fixture.state)) {
        fixture.now = std::max(fixture.now, *wake);
        deliver(fixture, Tick());
    }
    fixture.now = end;
    deliver(fixture, Tick());
}

// Removes the actions of one type and returns them in order.
template <typename T>
auto takeActions(HolderFixture &fixture) -> std::vector<T>
{
    auto taken = std::vector<T>();
    auto kept = DispatchActions();
    for (auto &action : fixture.actions) {
        if (auto *wanted = std::get_if<T>(&action))
            taken.push_back(std::move(*wanted));
        else
            kept.push_back(std::move(action));
    }
    fixture.actions = std::move(kept);
    return taken;
}

inline auto takeReplies(HolderFixture &fixture) -> std::vector<LeafReply>
{
    auto replies = std::vector<LeafReply>();
    for (auto &action : takeActions<SendLeafReply>(fixture))
        replies.push_back(std::move(action.reply));
    return replies;
}

inline auto makeReply(const SendTargetRequest &send, std::string startId) -> TargetReply
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

inline auto makeFailure(const SendTargetRequest &send, Outcome outcome, Reason reason)
        -> TargetReply
{
    auto reply = TargetReply();
    reply.send = send.send;
    reply.leaf = send.leaf;
    reply.outcome = outcome;
    reply.reason = reason;
    return reply;
}

// Sends one request and lets the target answer it at once.
inline auto serveRequest(HolderFixture &fixture, const Leaf &leaf, const std::string &startId,
                         Duration elapsed = 2ms) -> void
{
    deliver(fixture, makeRequest(fixture, leaf, 10s));
    for (const auto &send : takeActions<SendTargetRequest>(fixture)) {
        auto reply = makeReply(send, startId);
        reply.elapsed = elapsed;
        deliver(fixture, reply);
    }
}

// Serves requests until the ramp allows all slots, on verified connections.
inline auto warmUp(HolderFixture &fixture, const Leaf &leaf, const std::string &startId) -> void
{
    const auto allowsAllSlots = [&] {
        const auto rows = leafStatus(*fixture.state);
        const auto row = std::ranges::find(rows, leaf.id, &LeafStatus::leaf);
        return row->concurrencyLimit == row->slots && !row->cold;
    };
    for (auto round = 0; round < 100 && !allowsAllSlots(); ++round) {
        for (auto count = 0; count < 4; ++count)
            deliver(fixture, makeRequest(fixture, leaf, 10s));
        for (auto sends = takeActions<SendTargetRequest>(fixture); !sends.empty();
             sends = takeActions<SendTargetRequest>(fixture)) {
            for (const auto &send : sends)
                deliver(fixture, makeReply(send, startId));
        }
        fixture.now += 300ms;
    }
    // Opens and verifies one connection per slot.
    for (auto round = 0; round < 4; ++round) {
        for (auto count = 0; count < 4; ++count)
            deliver(fixture, makeRequest(fixture, leaf, 10s));
        for (auto sends = takeActions<SendTargetRequest>(fixture); !sends.empty();
             sends = takeActions<SendTargetRequest>(fixture)) {
            for (const auto &send : sends)
                deliver(fixture, makeReply(send, startId));
        }
    }
    fixture.actions.clear();
}

inline auto statusOf(const HolderFixture &fixture, const Leaf &leaf) -> LeafStatus
{
    const auto rows = leafStatus(*fixture.state);
    const auto row = std::ranges::find(rows, leaf.id, &LeafStatus::leaf);
    return row == rows.end() ? LeafStatus() : *row;
}

} // namespace crocusreach::test

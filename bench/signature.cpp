#include "core/dispatch.h"
#include "core/query.h"
#include "fixture.h"
#include "forwardrun.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <queue>
#include <span>

// Runs a fixed load through the query core, the dispatch core, the placement and the forwarder
// under virtual time, and prints a signature of every decision. A change of speed alone leaves the
// signature as it is.

namespace crocusreach::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t queryCount = 2000;
constexpr std::uint32_t leafCount = 60;

struct Signature
{
    std::uint64_t value = 0;
    std::map<std::string, std::uint64_t> counts;
};

auto note(Signature &signature, const char *kind, std::uint64_t content) -> void
{
    signature.value = hashPair(signature.value, hashPair(hashName(kind), content));
    ++signature.counts[kind];
}

struct Event
{
    TimePoint at;
    std::uint64_t order = 0; // of making, so that equal times keep their order
    std::variant<QueryEvent, DispatchEvent> content;

    auto operator>(const Event &other) const -> bool
    {
        return std::pair(this->at, this->order) > std::pair(other.at, other.order);
    }
};

// One instance that holds all shares, with targets whose behaviour follows from a hash of the send.
struct Run
{
    QueryStatePtr query = makeQueryState({}, 1);
    DispatchStatePtr dispatch = makeDispatchState({});
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t made = 0;
    TimePoint now = TimePoint(1h);
    Signature signature;
};

auto schedule(Run &run, Duration delay, std::variant<QueryEvent, DispatchEvent> content) -> void
{
    run.events.push({run.now + delay, ++run.made, std::move(content)});
}

// A view in which this instance holds every share until the end of the run.
auto ownView() -> ClusterViewPtr
{
    auto view = std::make_shared<ClusterView>(*makeView({1, leafCount, 2, 1}));
    auto assignment = std::make_shared<Assignment>(*view->assignment);
    view->self = InstanceId{0};
    view->peers.clear();
    for (const auto &share : assignment->shares)
        view->heldShares.push_back({share.leaf, share.ordinal, share.size});
    view->assignment = assignment;
    view->leaseValidUntil = TimePoint(100h);
    return view;
}

// The target's answer: mostly quick, at times slow, shed, or lost with its connection.
auto answer(Run &run, const SendTargetRequest &send) -> void
{
    const auto draw = hashPair(toUnderlying(send.send), toUnderlying(send.leaf));
    auto reply = TargetReply();
    reply.send = send.send;
    reply.leaf = send.leaf;
    reply.outcome = Outcome::Done;
    reply.startId = "start";
    reply.state = TargetState::Warm;
    reply.openedConnection = send.allowConnect;
    reply.connectionOpen = true;
    reply.version = IndexVersion{3};
    reply.layout = send.layout;
    reply.servedVersions = {IndexVersion{3}};
    reply.rows = {{"key-" + std::to_string(toUnderlying(send.shard)),
                   static_cast<double>(draw % 1000), "row"}};
    reply.elapsed = std::chrono::milliseconds(draw % 50 == 0 ? 60 : 2 + draw % 5);
    if (draw % 97 == 0) {
        reply.outcome = Outcome::NotRun;
        reply.reason = Reason::TargetShed;
        reply.rows.clear();
    } else if (draw % 89 == 0) {
        reply.outcome = Outcome::Unknown;
        reply.reason = Reason::ConnectionLost;
        reply.connectionOpen = false;
        reply.startId.clear();
        reply.rows.clear();
    }
    const auto elapsed = reply.elapsed;
    schedule(run, elapsed, DispatchEvent(std::move(reply)));
}

auto perform(Run &run, const QueryAction &action) -> void
{
    std::visit(Overloaded{[&](const SendLeafRequest &send) {
                              note(run.signature, send.request.hedge ? "hedge" : "leaf request",
                                   hashPair(toUnderlying(send.request.leaf),
                                            toUnderlying(send.request.attempt)));
                              schedule(run, 100us, DispatchEvent(send.request));
                          },
                          [&](const SendCancel &cancel) {
                              note(run.signature, "cancel", toUnderlying(cancel.cancel.attempt));
                              schedule(run, 100us, DispatchEvent(cancel.cancel));
                          },
                          [&](const ClaimRequest &) {},
                          [&](const QueryAnswer &answer) {
                              note(run.signature,
                                   answer.status == AnswerStatus::Complete ? "complete" : "partial",
                                   hashPair(answer.answered,
                                            static_cast<std::uint64_t>(answer.elapsed.count())));
                          }},
               action);
}

auto perform(Run &run, const DispatchAction &action) -> void
{
    std::visit(
            Overloaded{[&](const SendTargetRequest &send) {
                           note(run.signature, "target send",
                                hashPair(toUnderlying(send.leaf), toUnderlying(send.connection)));
                           answer(run, send);
                       },
                       [&](const SendLeafReply &reply) {
                           note(run.signature, "leaf reply",
                                hashPair(toUnderlying(reply.reply.attempt),
                                         static_cast<std::uint64_t>(reply.reply.reason)));
                           schedule(run, 100us, QueryEvent(reply.reply));
                       },
                       [&](const CancelTargetRequest &cancel) {
                           note(run.signature, "target cancel", toUnderlying(cancel.send));
                       },
                       [](const auto &) {}},
            action);
}

auto feed(Run &run, QueryEvent event) -> void
{
    auto actions = QueryActions();
    handle(*run.query, std::move(event), run.now, actions);
    for (const auto &action : actions)
        perform(run, action);
}

auto feed(Run &run, const DispatchEvent &event) -> void
{
    auto actions = DispatchActions();
    handle(*run.dispatch, event, run.now, actions);
    for (const auto &action : actions)
        perform(run, action);
}

auto nextTime(const Run &run) -> std::optional<TimePoint>
{
    auto next = run.events.empty() ? std::optional<TimePoint>() : run.events.top().at;
    for (const auto wake : {nextTickAt(*run.query), nextTickAt(*run.dispatch)}) {
        if (wake && (!next || *wake < *next))
            next = wake;
    }
    return next;
}

auto runLoad(Run &run) -> void
{
    const auto view = ownView();
    feed(run, QueryEvent(ViewChanged{view}));
    feed(run, DispatchEvent(ViewChanged{view}));
    for (std::uint64_t index = 1; index <= queryCount; ++index) {
        auto request = QueryArrived();
        request.query = QueryId{index};
        request.service = serviceName(0);
        request.deadline = 100ms;
        request.body = std::make_shared<const std::string>("teak");
        schedule(run, 10ms * static_cast<int>(index), QueryEvent(std::move(request)));
    }
    while (!run.events.empty()) {
        const auto next = nextTime(run);
        run.now = std::max(run.now, *next);
        feed(run, QueryEvent(Tick{}));
        feed(run, DispatchEvent(Tick{}));
        while (!run.events.empty() && run.events.top().at <= run.now) {
            auto event = run.events.top();
            run.events.pop();
            std::visit([&](auto &content) { feed(run, std::move(content)); }, event.content);
        }
    }
}

// Placement of the shares as members join and leave.
auto runPlacement(Signature &signature) -> void
{
    const auto view = makeView({3, leafCount, 1, 1});
    auto assignment = Assignment();
    assignment.cell = "cell";
    for (std::uint32_t count : {1, 4, 7, 6, 9}) {
        auto members = std::vector<Member>();
        for (std::uint32_t index = 0; index < count; ++index)
            members.push_back({InstanceId{index}, Incarnation{1}, "i", "127.0.0.1:1",
                               domainId("domain-" + std::to_string(index % 4))});
        assignment = assignShares(assignment, members, *view->configuration);
        for (const auto &share : assignment.shares)
            note(signature, "placement",
                 hashPair(hashPair(toUnderlying(share.leaf), share.ordinal),
                          toUnderlying(share.holder)));
    }
}

// How a leaf ends a send of the forwarder.
enum class LeafReaction : std::uint8_t { Answers, Refuses, LosesConnection, IsSilent };

struct LeafEvent
{
    TimePoint at;
    SendId send = {};
    LeafReaction reaction = LeafReaction::Answers;

    auto operator>(const LeafEvent &other) const -> bool
    {
        return std::pair(this->at, this->send) > std::pair(other.at, other.send);
    }
};

using LeafEvents = std::priority_queue<LeafEvent, std::vector<LeafEvent>, std::greater<>>;

// Most answers take 1 to 12 ms; one in sixteen takes 60 ms more, and as many fail in each way.
auto react(const forward::SendToLeaf &send, TimePoint now) -> LeafEvent
{
    const auto hash = hashPair(toUnderlying(send.send), hashName(send.leafId));
    auto event = LeafEvent{now + 1ms + std::chrono::microseconds(hash % 11000), send.send};
    switch (hash / 11000 % 16) {
    case 0:
        event.at += 60ms;
        break;
    case 1:
        event.reaction = LeafReaction::Refuses;
        break;
    case 2:
        event.reaction = LeafReaction::LosesConnection;
        break;
    case 3:
        event.reaction = LeafReaction::IsSilent;
        break;
    default:
        break;
    }
    return event;
}

auto noteActions(ForwardRun &run, LeafEvents &events, Signature &signature) -> void
{
    for (const auto &action : run.actions) {
        if (const auto *const send = std::get_if<forward::SendToLeaf>(&action)) {
            note(signature, "forward send",
                 hashPair(toUnderlying(send->send), hashName(send->leafId + send->address)));
            events.push(react(*send, run.now));
        } else if (const auto *const ended = std::get_if<forward::CallEnded>(&action)) {
            note(signature, "forward end",
                 hashPair(static_cast<std::uint64_t>(ended->summary.end), ended->summary.missing));
        } else if (const auto *const repeated = std::get_if<forward::SendRepeated>(&action)) {
            note(signature, "forward repeat", static_cast<std::uint64_t>(repeated->reason));
        } else if (const auto *const close = std::get_if<forward::CloseConnection>(&action)) {
            note(signature, "forward close", static_cast<std::uint64_t>(close->connection));
        }
    }
    run.actions.clear();
}

auto giveReaction(ForwardRun &run, const LeafEvent &event) -> void
{
    switch (event.reaction) {
    case LeafReaction::Answers:
        return run.give(makeAnswer(event.send, forward::LeafAnswerKind::Success));
    case LeafReaction::Refuses:
        return run.give(makeAnswer(event.send, forward::LeafAnswerKind::NotRun));
    case LeafReaction::LosesConnection:
        return run.give(forward::SendFailed{event.send, forward::SendFailure::Lost});
    case LeafReaction::IsSilent:
        return;
    }
}

// Queries of one front over 15 shards, one each 10 ms.
auto runForward(Signature &signature) -> void
{
    auto run = ForwardRun(15, leafCount);
    auto events = LeafEvents();
    const auto end = run.now + 10ms * static_cast<int>(queryCount);
    auto nextArrival = run.now + 10ms;
    while (run.now < end) {
        auto next = nextArrival;
        if (!events.empty())
            next = std::min(next, events.top().at);
        if (const auto wake = nextTickAt(run.forwarder))
            next = std::min(next, std::max(run.now, *wake));
        run.now = next;
        run.give(forward::ForwarderTick());
        noteActions(run, events, signature);
        while (!events.empty() && events.top().at <= run.now) {
            const auto event = events.top();
            events.pop();
            giveReaction(run, event);
            noteActions(run, events, signature);
        }
        if (run.now >= nextArrival) {
            run.arrive();
            noteActions(run, events, signature);
            nextArrival += 10ms;
        }
    }
}

auto print(const Signature &signature) -> void
{
    for (const auto &[kind, count] : signature.counts)
        std::printf("%-16s %10llu\n", kind.c_str(), static_cast<unsigned long long>(count));
    std::printf("signature        %016llx\n", static_cast<unsigned long long>(signature.value));
}

} // namespace

} // namespace crocusreach::bench

auto main() -> int
{
    auto run = crocusreach::bench::Run();
    crocusreach::bench::runLoad(run);
    crocusreach::bench::runPlacement(run.signature);
    crocusreach::bench::runForward(run.signature);
    crocusreach::bench::print(run.signature);
    return 0;
}

#include <catch2/catch.hpp>

#include "core/query.h"

#include <cstdlib>
#include <ctime>
#include <iostream>
#include <map>
#include <queue>
#include <random>
#include <set>

// Randomised run of several query cores under virtual time, with fakes for holders and for the
// store. CROCUSREACH_SEED sets the seed, and CROCUSREACH_SECONDS a length in real time.

using namespace crocusreach;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t coreCount = 3;
constexpr std::uint32_t shardCount = 6;
constexpr std::uint32_t leafCount = 4;

auto makeView(LayoutVersion layout, bool domainOut, std::size_t self) -> ClusterViewPtr
{
    auto configuration = std::make_shared<Configuration>();
    for (const auto *name : {"east", "west"})
        configuration->domains.push_back({domainId(name), name, "here", {}});
    configuration->domains[1].decision.state = domainOut ? DesiredState::Out : DesiredState::In;
    auto service = Service{serviceId("search"), "search", "cell", layout, shardCount, {}, {}};
    auto assignment = std::make_shared<Assignment>();
    auto view = std::make_shared<ClusterView>();
    for (std::uint32_t index = 0; index < leafCount; ++index) {
        const auto name = "leaf-" + std::to_string(index);
        auto leaf = Leaf{leafId("search", name),
                         name,
                         "127.0.0.1:9",
                         domainId(index % 2 == 0 ? "east" : "west"),
                         4,
                         2,
                         30,
                         {}};
        for (std::uint32_t shard = 0; shard < shardCount; ++shard) {
            if ((shard + index + toUnderlying(layout)) % 2 == 0)
                leaf.shards.push_back(ShardNumber{shard});
        }
        for (std::uint8_t ordinal = 0; ordinal < 2; ++ordinal)
            assignment->shares.push_back({leaf.id,
                                          ordinal,
                                          {2, 1, 15},
                                          InstanceId{(index + ordinal) % coreCount},
                                          {},
                                          {},
                                          {},
                                          {}});
        service.leafs.push_back(std::move(leaf));
    }
    std::ranges::sort(assignment->shares, {},
                      [](const Share &share) { return std::pair(share.leaf, share.ordinal); });
    configuration->services.push_back(std::move(service));
    for (std::size_t peer = 0; peer < coreCount; ++peer) {
        if (peer != self)
            view->peers.push_back(
                    {InstanceId{peer}, {}, "peer", "127.0.0.1:1", {}, true, false, {}, {}, 1ms});
    }
    view->self = InstanceId{self};
    view->configuration = configuration;
    view->leafIndex = std::make_shared<LeafIndex>(buildLeafIndex(*configuration));
    view->assignment = assignment;
    return view;
}

struct Delivery
{
    TimePoint at;
    std::size_t core;
    QueryEvent event;

    auto operator>(const Delivery &other) const -> bool { return this->at > other.at; }
};

struct ArrivedQuery
{
    QueryArrived request;
    TimePoint deadline;
    std::size_t answers = 0;
    bool callerLeft = false;
    bool ran = false;
};

struct StoredClaim
{
    ClaimRecord record;
    std::uint64_t version = 0;
};

// Simulates the environment of the cores: holders that answer, fail, and lose or duplicate replies,
// and a store that loses requests and replies.
struct QuerySimulation
{
    std::mt19937_64 random;
    TimePoint now = TimePoint(1h);
    std::vector<QueryStatePtr> cores;
    std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>> deliveries;
    std::vector<std::map<std::uint64_t, ArrivedQuery>> queries{coreCount};
    std::map<std::string, StoredClaim> claims;
    std::map<std::string, std::uint32_t> runs; // of each non-idempotent id
    std::uint64_t version = 2; // newest index version
    LayoutVersion layout{1};
    std::uint64_t lastVersion = 0; // of stored objects
    std::map<std::string, std::uint64_t> eventCounts; // what has happened so far, by kind

    explicit QuerySimulation(std::uint64_t seed)
        : random(seed)
    {
        for (std::size_t core = 0; core < coreCount; ++core) {
            this->cores.push_back(makeQueryState({}, seed + core));
            this->deliver(core, ViewChanged{makeView(this->layout, false, core)});
        }
    }

    auto drawChance(double probability) -> bool
    {
        return std::uniform_real_distribution<>()(this->random) < probability;
    }
    auto randomDuration(Duration low, Duration high) -> Duration
    {
        return Duration(std::uniform_int_distribution<std::int64_t>(low.count(),
                                                                    high.count())(this->random));
    }

    auto deliver(std::size_t core, const QueryEvent &event) -> void
    {
        auto actions = QueryActions();
        handle(*this->cores[core], event, this->now, actions);
        for (const auto &action : actions) {
            std::visit(
                    Overloaded{[&](const SendLeafRequest &send) {
                                   this->simulateHolder(core, send.request);
                               },
                               [](const SendCancel &) {},
                               [&](const ClaimRequest &request) {
                                   this->simulateStore(core, request);
                               },
                               [&](const QueryAnswer &answer) { this->checkAnswer(core, answer); }},
                    action);
        }
    }

    // Replies as a holder and its target do, with random failures.
    auto simulateHolder(std::size_t core, const LeafRequest &request) -> void
    {
        auto reply = LeafReply();
        reply.attempt = request.attempt;
        reply.leaf = request.leaf;
        reply.shard = request.shard;
        reply.layout = request.layout;
        reply.peer = "target";
        const auto refusals
                = {Reason::NoLease,         Reason::NotHolder,     Reason::TargetShed,
                   Reason::QueueFull,       Reason::TargetLeaving, Reason::ConnectFailed,
                   Reason::VersionNotServed};
        auto reachedTarget = false;
        if (this->drawChance(0.1)) {
            reply.outcome = Outcome::NotRun;
            reply.reason = *(refusals.begin()
                             + static_cast<std::ptrdiff_t>(this->random() % refusals.size()));
        } else if (request.layout != this->layout) {
            reply.outcome = Outcome::NotRun;
            reply.reason = Reason::LayoutNotServed;
        } else {
            reachedTarget = true;
            this->simulateTarget(core, request, reply);
        }
        ++this->eventCounts[std::string(toString(reply.reason))];
        const auto slow = this->drawChance(0.05);
        const auto delay = this->randomDuration(1ms, slow ? 400ms : 10ms);
        if (reachedTarget && this->drawChance(0.02)) {
            ++this->eventCounts["lost reply"];
            return;
        }
        this->deliveries.push({this->now + delay, core, reply});
        if (this->drawChance(0.03)) {
            ++this->eventCounts["duplicate reply"];
            this->deliveries.push(
                    {this->now + delay + this->randomDuration(0ms, 50ms), core, reply});
        }
    }

    auto simulateTarget(std::size_t core, const LeafRequest &request, LeafReply &reply) -> void
    {
        // During a version change leafs serve the old version, the new one, or both.
        const auto mode = toUnderlying(request.leaf) % 3;
        const auto newest = mode == 0 ? this->version - 1 : this->version;
        reply.servedVersions = {IndexVersion{newest}};
        if (mode == 2)
            reply.servedVersions = {IndexVersion{this->version - 1}, IndexVersion{this->version}};
        reply.version = toUnderlying(request.version) == 0 ? IndexVersion{newest} : request.version;
        if (std::ranges::find(reply.servedVersions, reply.version) == reply.servedVersions.end()
            && request.idempotent) {
            reply.outcome = Outcome::NotRun;
            reply.reason = Reason::VersionNotServed;
            return;
        }
        for (auto &[id, query] : this->queries[core])
            query.ran = query.ran || query.request.body == request.body;
        if (!request.idempotent)
            ++this->runs[request.requestId];
        if (this->drawChance(0.02)) {
            reply.reason = Reason::ConnectionLost;
            return;
        }
        reply.outcome = Outcome::Done;
        const auto text = *request.body + "/" + std::to_string(toUnderlying(request.shard)) + "/"
                          + std::to_string(toUnderlying(reply.version));
        reply.rows = {{text, std::uniform_real_distribution<>()(this->random), text}};
    }

    auto simulateStore(std::size_t core, const ClaimRequest &request) -> void
    {
        auto reply = ClaimReply{request.query, request.operation, ClaimStatus::Ok, {}, 0};
        const auto requestLost = this->drawChance(0.05);
        const auto found = this->claims.find(request.key);
        const auto exists = found != this->claims.end();
        if (!requestLost) {
            const auto matches = exists && found->second.version == request.version;
            switch (request.operation) {
            case ClaimOperation::Create:
                if (exists)
                    reply.status = ClaimStatus::Conflict;
                else
                    this->claims[request.key] = {request.record, ++this->lastVersion};
                reply.version = this->lastVersion;
                break;
            case ClaimOperation::Read:
                reply.status = exists ? ClaimStatus::Ok : ClaimStatus::NotFound;
                if (exists) {
                    reply.record = found->second.record;
                    reply.version = found->second.version;
                }
                break;
            case ClaimOperation::Update:
                reply.status = matches ? ClaimStatus::Ok : ClaimStatus::Conflict;
                if (matches)
                    found->second = {request.record, ++this->lastVersion};
                break;
            case ClaimOperation::Remove:
                reply.status = matches ? ClaimStatus::Ok : ClaimStatus::Conflict;
                if (matches)
                    this->claims.erase(found);
                break;
            }
        }
        if (requestLost || this->drawChance(0.05)) {
            ++this->eventCounts["lost store reply"];
            reply = ClaimReply{request.query, request.operation, ClaimStatus::Unknown, {}, 0};
            this->deliveries.push({this->now + request.timeout, core, reply});
            return;
        }
        this->deliveries.push({this->now + this->randomDuration(1ms, 8ms), core, reply});
    }

    // Checks what a caller can see of its answer.
    auto checkAnswer(std::size_t core, const QueryAnswer &answer) -> void
    {
        auto &query = this->queries[core].at(toUnderlying(answer.query));
        REQUIRE(++query.answers == 1);
        REQUIRE(this->now <= query.deadline);
        REQUIRE(answer.answered + answer.missing.size() == answer.asked);
        if (!answer.replayed) {
            for (const auto &row : answer.rows) {
                const auto expected = *query.request.body + "/"
                                      + std::to_string(toUnderlying(row.shard)) + "/"
                                      + std::to_string(toUnderlying(answer.version));
                REQUIRE(row.row.key == expected);
            }
            REQUIRE(answer.rows.size() == answer.answered);
        }
        if (answer.status == AnswerStatus::Refused && answer.outcome == Outcome::NotRun)
            REQUIRE_FALSE(query.ran);
        ++this->eventCounts["answers " + std::string(toString(answer.status))];
        this->eventCounts["replayed"] += answer.replayed ? 1 : 0;
        if (!query.request.idempotent && answer.outcome == Outcome::Unknown
            && this->drawChance(0.8))
            this->sendNonIdempotent(this->random() % coreCount, query.request.requestId);
    }

    auto sendQuery(std::size_t core, QueryArrived &&request) -> void
    {
        static auto lastQuery = std::uint64_t{0};
        request.query = QueryId{++lastQuery};
        request.service = "search";
        request.limit = shardCount;
        request.deadline = this->randomDuration(5ms, 300ms);
        request.body = std::make_shared<const std::string>("q" + std::to_string(lastQuery));
        this->queries[core][lastQuery] = {request, this->now + *request.deadline, 0, false, false};
        // Delivered later, so that a retry from checkAnswer() doesn't enter a core that is handling
        // an event.
        this->deliveries.push({this->now, core, request});
    }

    auto sendNonIdempotent(std::size_t core, const std::string &requestId) -> void
    {
        auto request = QueryArrived();
        request.idempotent = false;
        request.requestId = requestId;
        request.shardKey = requestId;
        this->sendQuery(core, std::move(request));
    }

    auto changeView() -> void
    {
        if (this->drawChance(0.3)) {
            this->layout = LayoutVersion{toUnderlying(this->layout) + 1};
            ++this->eventCounts["repartition"];
        }
        const auto out = this->drawChance(0.3);
        for (std::size_t core = 0; core < coreCount; ++core)
            this->deliveries.push({this->now + this->randomDuration(0ms, 200ms), core,
                                   ViewChanged{makeView(this->layout, out, core)}});
    }

    auto step() -> void
    {
        const auto core = this->random() % coreCount;
        this->sendQuery(core, QueryArrived());
        if (this->drawChance(0.2))
            this->sendNonIdempotent(core, "id-" + std::to_string(this->random() % 1000000));
        if (this->drawChance(0.01))
            this->version += 1;
        if (this->drawChance(0.005))
            this->changeView();
        if (this->drawChance(0.01))
            this->deliveries.push({this->now + this->randomDuration(1ms, 20ms), core,
                                   HolderDisconnected{InstanceId{this->random() % coreCount}}});
        if (this->drawChance(0.02) && !this->queries[core].empty()) {
            auto &last = *this->queries[core].rbegin();
            last.second.callerLeft = true;
            this->deliveries.push({this->now + 2ms, core, CallerLeft{QueryId{last.first}}});
        }
        this->runUntil(this->now + this->randomDuration(0ms, 10ms));
    }

    auto nextEvent() -> TimePoint
    {
        auto next = this->deliveries.empty() ? TimePoint::max() : this->deliveries.top().at;
        for (const auto &core : this->cores)
            next = std::min(next, nextTickAt(*core).value_or(TimePoint::max()));
        return next;
    }

    auto runUntil(TimePoint end) -> void
    {
        for (auto next = this->nextEvent(); next <= end; next = this->nextEvent()) {
            this->now = std::max(this->now, next);
            for (std::size_t core = 0; core < coreCount; ++core) {
                if (nextTickAt(*this->cores[core]).value_or(TimePoint::max()) <= this->now)
                    this->deliver(core, Tick{});
            }
            while (!this->deliveries.empty() && this->deliveries.top().at <= this->now) {
                const auto delivery = this->deliveries.top();
                this->deliveries.pop();
                this->deliver(delivery.core, delivery.event);
            }
        }
        this->now = end;
    }

    auto finish() -> void
    {
        this->runUntil(this->now + 5s);
        for (std::size_t core = 0; core < coreCount; ++core) {
            REQUIRE(queriesInFlight(*this->cores[core]) == 0);
            for (const auto &[id, query] : this->queries[core])
                REQUIRE((query.answers == 1 || query.callerLeft));
            this->queries[core].clear();
        }
        for (const auto &[id, count] : this->runs)
            REQUIRE(count <= 1);
        this->runs.clear();
    }
};

auto environmentNumber(const char *name, std::uint64_t fallback) -> std::uint64_t
{
    const auto *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace

SCENARIO("query cores keep their guarantees under random faults")
{
    const auto seed = environmentNumber("CROCUSREACH_SEED", 1);
    const auto seconds = environmentNumber("CROCUSREACH_SECONDS", 0);
    GIVEN("three cores, holders with random failures and a store that loses replies")
    {
        auto simulation = QuerySimulation(seed);
        const auto start = std::time(nullptr);
        // Without CROCUSREACH_SECONDS the number of rounds is fixed, so that the run is repeatable.
        for (std::uint64_t round = 0;
             seconds == 0 ? round < 20
                          : std::time(nullptr) - start < static_cast<std::time_t>(seconds);
             ++round) {
            for (auto step = 0; step < 200; ++step)
                simulation.step();
            simulation.finish();
        }
        // The checks prove nothing about events that didn't occur, so each kind must have occurred.
        for (const auto *kind :
             {"none", "no_lease", "target_shed", "version_not_served", "layout_not_served",
              "connection_lost", "lost reply", "duplicate reply", "lost store reply", "repartition",
              "replayed", "answers complete", "answers partial", "answers refused"}) {
            INFO(kind);
            CHECK(simulation.eventCounts[kind] > 0);
        }
        auto totals = QueryCounters();
        for (const auto &core : simulation.cores) {
            const auto &counted = counters(*core);
            totals.firstAttempts += counted.firstAttempts;
            totals.hedges += counted.hedges;
            totals.retries += counted.retries;
            totals.restarts += counted.restarts;
            CHECK(static_cast<double>(counted.hedges)
                  <= 0.05 * static_cast<double>(counted.firstAttempts) + 10);
        }
        std::cout << "seed " << seed << ": first attempts " << totals.firstAttempts << ", hedges "
                  << totals.hedges << ", retries " << totals.retries << ", restarts "
                  << totals.restarts;
        for (const auto &[kind, count] : simulation.eventCounts)
            std::cout << ", " << kind << " " << count;
        std::cout << std::endl;
    }
}

#include <catch2/catch.hpp>

#include "core/leaftable.h"
#include "core/lifecycle.h"
#include "core/objectcache.h"
#include "core/placement.h"
#include "core/records.h"
#include "core/retrybudget.h"
#include "core/routetable.h"

#include <array>
#include <random>

using namespace crocusreach;
using namespace crocusreach::forward;
using namespace std::chrono_literals;

SCENARIO("a request finds its route")
{
    auto table = RouteTable();
    const auto add = [&table](const char *name, const char *host, const char *prefix) {
        auto route = Route();
        route.name = name;
        route.host = host;
        route.pathPrefix = prefix;
        table.routes.push_back(route);
    };
    add("root", "a.example", "/");
    add("books", "a.example", "/books/");
    add("old", "a.example", "/books/old/");
    add("other", "b.example", "/books/");
    indexRoutes(table);
    THEN("the longest prefix of its host counts")
    {
        CHECK(findRoute(table, "a.example", "/books/old/1")->name == "old");
        CHECK(findRoute(table, "a.example", "/books/1?x=/books/old/")->name == "books");
        CHECK(findRoute(table, "a.example", "/bookshop")->name == "root");
        CHECK(findRoute(table, "b.example", "/books/1")->name == "other");
    }
    THEN("case and port of the host don't matter")
    {
        CHECK(findRoute(table, "A.Example:8080", "/x")->name == "root");
    }
    THEN("without a match there is none")
    {
        CHECK(findRoute(table, "b.example", "/") == nullptr);
        CHECK(findRoute(table, "c.example", "/") == nullptr);
    }
}

SCENARIO("parts are merged to their greatest records")
{
    const auto record = [](char first) {
        auto made = std::string(recordBytes, '-');
        made[0] = first;
        return made;
    };
    const auto left = record('a') + record('z') + record('m') + "short";
    const auto right = record('z') + record('\xff');
    const auto parts = std::array<std::string_view, 2>{left, right};
    THEN("bytes are compared as unsigned, equal records all count, remainders don't")
    {
        CHECK(mergeTopRecords(parts, 3) == record('\xff') + record('z') + record('z'));
    }
    THEN("fewer records than asked for are all returned")
    {
        CHECK(mergeTopRecords(parts, 50).size() == 5 * recordBytes);
    }
}

SCENARIO("repeats keep to their budget")
{
    const auto limits = RetryLimits{0.2, 20, 10s};
    GIVEN("a hundred requests in one second")
    {
        auto budget = RetryBudget();
        auto now = TimePoint(1h);
        for (auto number = 0; number < 100; ++number) {
            now += 10ms;
            recordRequest(budget, limits, now);
        }
        const auto used = [&](RetryKind kind) {
            auto count = 0;
            while (tryConsume(budget, limits, kind, 1, now))
                ++count;
            return count;
        };
        THEN("hedges leave a part for retries")
        {
            const auto hedges = used(RetryKind::Hedge);
            const auto retries = used(RetryKind::Retry);
            CHECK(hedges > 20);
            CHECK(retries > 0);
            CHECK(hedges + retries <= 40);
        }
        THEN("after the window, they no longer justify repeats")
        {
            now += 11s;
            CHECK(used(RetryKind::Retry) <= 20);
        }
        THEN("the slack is shared by all instances")
        {
            auto other = RetryBudget();
            CHECK_FALSE(tryConsume(other, limits, RetryKind::Retry, 20, now));
        }
    }
}

SCENARIO("the table of leafs follows the registry")
{
    auto table = LeafTable();
    auto now = TimePoint(1h);
    auto record = LeafRecord();
    record.id = "i-1";
    record.service = "ledger";
    record.address = "10.0.0.1:80";
    record.domain = "muar-a";
    record.revision = 5;
    record.startedAt = 1000;
    putLeaf(table, record, now);
    auto &leaf = leafAt(table, table.byId.at("i-1"));
    REQUIRE(isUsable(table, leaf));
    WHEN("an older entry comes late")
    {
        auto older = record;
        older.revision = 4;
        older.draining = true;
        putLeaf(table, older, now);
        THEN("it changes nothing")
        {
            CHECK(isUsable(table, leaf));
        }
    }
    WHEN("it starts again under its id")
    {
        recordFailure(leaf, now);
        leaf.misdirected = true;
        auto restarted = record;
        restarted.revision = 6;
        restarted.startedAt = 2000;
        restarted.coldTimeLeft = 3s;
        putLeaf(table, restarted, now);
        THEN("what was seen of the former process is forgotten, and it is cold")
        {
            CHECK(isUsable(table, leaf));
            CHECK(failureRateOf(leaf, now) == 0);
            CHECK(leaf.coldUntil == now + 3s);
        }
    }
    WHEN("a newer entry of another leaf has its address")
    {
        auto other = record;
        other.id = "i-2";
        other.service = "archive";
        other.revision = 6;
        putLeaf(table, other, now);
        THEN("it is gone, though its own entry is still there")
        {
            CHECK_FALSE(isUsable(table, leaf));
            CHECK(isUsable(table, leafAt(table, table.byId.at("i-2"))));
        }
    }
    WHEN("an older entry of another leaf with its address is read after its own")
    {
        // Lists come in the order of names, so that the older entry may be the later one.
        auto other = record;
        other.id = "i-2";
        other.revision = 4;
        putLeaf(table, other, now);
        THEN("the other one is gone")
        {
            CHECK(isUsable(table, leaf));
            CHECK_FALSE(isUsable(table, leafAt(table, table.byId.at("i-2"))));
        }
    }
    WHEN("it leaves, and others come and go for hours")
    {
        // Guards against memory that grows with every leaf that was ever registered.
        removeLeaf(table, "i-1", now, now);
        applyRemovals(table, now);
        for (auto number = 0; number < 500; ++number) {
            now += 1min;
            auto other = record;
            other.id = "other-" + std::to_string(number);
            other.address = "10.0.1.1:" + std::to_string(number);
            other.revision = 10 + static_cast<std::uint64_t>(number);
            putLeaf(table, other, now);
            removeLeaf(table, other.id, now, now);
            applyRemovals(table, now);
        }
        THEN("the table holds those of the last minutes only")
        {
            CHECK(table.leafs.size() < 20);
            CHECK(table.byId.size() < 20);
            CHECK(table.byAddress.size() < 20);
            CHECK(table.unlisted.size() < 20);
            CHECK(table.byService.empty());
        }
        AND_WHEN("it comes back")
        {
            record.revision = 1000;
            putLeaf(table, record, now);
            THEN("it is used")
            {
                CHECK(isUsable(table, leafAt(table, table.byId.at("i-1"))));
            }
        }
    }
    WHEN("it leaves while a request is still at it")
    {
        leaf.outstanding.push_back({SendId(7), now, now + 1s});
        removeLeaf(table, "i-1", now, now);
        applyRemovals(table, now);
        now += 1h;
        auto other = record;
        other.id = "i-2";
        other.address = "10.0.0.2:80";
        putLeaf(table, other, now);
        THEN("its place isn't given to another leaf, since the request's answer is still due")
        {
            CHECK(table.byId.at("i-1") != table.byId.at("i-2"));
            CHECK(leaf.outstanding.size() == 1);
        }
    }
    WHEN("it moves to another service")
    {
        auto moved = record;
        moved.revision = 6;
        moved.service = "archive";
        putLeaf(table, moved, now);
        THEN("the former service has no leaf left")
        {
            CHECK_FALSE(table.byService.contains("ledger"));
            CHECK(table.byService.at("archive").size() == 1);
        }
    }
    WHEN("it fails and then nothing is heard of it")
    {
        recordFailure(leaf, now);
        const auto rate = failureRateOf(leaf, now);
        THEN("the failure fades, so that it is tried again")
        {
            CHECK(rate > 0);
            CHECK(failureRateOf(leaf, now + 20s) < rate / 10);
        }
    }
}

SCENARIO("a send is placed where it is likely to be answered first")
{
    auto table = LeafTable();
    auto random = RandomState();
    auto now = TimePoint(1h);
    auto revision = std::uint64_t(0);
    const auto add = [&](const std::string &id, const std::string &domain) -> LeafState & {
        auto record = LeafRecord();
        record.id = id;
        record.service = "ledger";
        record.address = id;
        record.domain = domain;
        record.slots = 3;
        record.revision = ++revision;
        putLeaf(table, record, now);
        return leafAt(table, table.byId.at(id));
    };
    auto &near = add("near", "muar-a");
    auto &far = add("far", "muar-b");
    auto spec = ServiceSpec{"ledger", 30, 0};
    auto share = InstanceShare{1, 0, 1.5};
    auto query = PlacementQuery{"ledger", &spec, "muar-a", 15ms, {}};
    const auto chosen = [&]() -> std::string {
        const auto placement = placeSend(table, query, share, random, now);
        return placement ? leafAt(table, placement->leaf).record.id : std::string("none");
    };
    THEN("the own failure domain is preferred")
    {
        CHECK(chosen() == "near");
    }
    THEN("a leaf with an overdue answer is passed over")
    {
        near.outstanding.push_back({SendId(1), now - 60ms, now - 20ms});
        CHECK(chosen() == "far");
    }
    THEN("a slow leaf is passed over until that is forgotten")
    {
        recordAnswer(near, 4.0, now);
        recordAnswer(near, 4.0, now);
        CHECK(chosen() == "far");
        now += 60s;
        CHECK(chosen() == "near");
    }
    THEN("a full leaf is passed over while its report is fresh")
    {
        near.load = {3, 9, 3};
        near.loadAt = now;
        CHECK(chosen() == "far");
        // Guards against requests that keep away from a leaf long after it was full.
        now += 60ms;
        CHECK(chosen() == "near");
    }
    THEN("a leaf whose connections are all in use up to the limit is passed over")
    {
        share.instances = 14;
        near.connections.push_back({ConnectionId(1)});
        CHECK(connectionLimit(&spec, share) == 1);
        CHECK(chosen() == "far");
        far.connections.push_back({ConnectionId(2)});
        CHECK(chosen() == "none");
    }
    THEN("a connection that its leaf may be closing is not used")
    {
        near.connections.push_back({ConnectionId(1), ConnectionState::Idle, now - 2s, 2s});
        CHECK_FALSE(placeSend(table, query, share, random, now)->idleConnection);
        near.connections.back().idleSince = now - 1s;
        CHECK(placeSend(table, query, share, random, now)->idleConnection == ConnectionId(1));
    }
    GIVEN("more instances than a leaf accepts connections")
    {
        const auto &third = add("third", "muar-c");
        spec.maxConnections = 70;
        share.instances = 91;
        THEN("the instances spread over the leafs with less than half of each leaf's connections")
        {
            // Guards against a loss of power after which leafs refuse new connections, since they
            // still count those of before.
            constexpr auto domains
                    = std::to_array<std::string_view>({"muar-a", "muar-b", "muar-c", "muar-d"});
            auto perLeaf = std::array<int, 3>();
            for (auto instance = 0; instance < 91; ++instance) {
                share.instanceHash = hashName("front-" + std::to_string(instance));
                query.ownDomain = domains.at(static_cast<std::size_t>(instance) % domains.size());
                chosen();
                perLeaf[0] += near.preferred ? 1 : 0;
                perLeaf[1] += far.preferred ? 1 : 0;
                perLeaf[2] += third.preferred ? 1 : 0;
            }
            for (const auto connections : perLeaf)
                CHECK(connections <= 35);
            CHECK(perLeaf[0] + perLeaf[1] + perLeaf[2] == 91);
        }
        THEN("with far more instances, connections are closed the sooner")
        {
            // Guards against leafs that are full of idle connections where each instance has one.
            share.instances = 910;
            chosen();
            const auto connection
                    = LeafConnection{ConnectionId(1), ConnectionState::Idle, now, 10s};
            const auto &kept = near.preferred ? near : far.preferred ? far : third;
            CHECK(idleTimeout(kept, connection) < 1s);
        }
        THEN("a connection to another leaf is closed soon after use")
        {
            share.instanceHash = 1;
            chosen();
            auto connection = LeafConnection{ConnectionId(1), ConnectionState::Idle, now, 10s};
            CHECK(idleTimeout(near, connection) == 7s);
            CHECK(idleTimeout(far, connection) <= 1s);
        }
    }
    GIVEN("a cold leaf that tolerates ten requests a second, shared by two instances")
    {
        far.record.draining = true;
        spec.coldRate = 10;
        share.instances = 2;
        near.coldUntil = now + 3s;
        THEN("this instance sends it less than its half of what is borne")
        {
            auto sent = 0;
            for (auto step = 0; step < 1000; ++step) {
                sent += chosen() == "near" ? 1 : 0;
                now += 1ms;
            }
            CHECK(sent >= 2);
            CHECK(sent <= 7);
        }
    }
}

SCENARIO("a way that is cut is told from leafs that stand still")
{
    auto reachability = Reachability();
    auto now = TimePoint(1h);
    recordDomainSend(reachability, "muar-a", now);
    recordDomainSend(reachability, "muar-b", now);
    const auto overdue = std::to_array<OverdueSend>({{"muar-b", 1}, {"muar-b", 2}, {"muar-b", 2}});
    now += 300ms;
    recordDomainAnswer(reachability, "muar-a", now);
    WHEN("several leafs of one domain owe answers and none has answered for a while")
    {
        updateReachability(reachability, overdue, now);
        THEN("that domain is suspect, and this instance isn't cut off")
        {
            CHECK(isSuspect(reachability, "muar-b", now));
            CHECK_FALSE(isSuspect(reachability, "muar-a", now));
            CHECK_FALSE(isCutOff(reachability, now));
        }
        THEN("an answer clears it, and so does time")
        {
            CHECK_FALSE(isSuspect(reachability, "muar-b", now + 2s));
            recordDomainAnswer(reachability, "muar-b", now);
            CHECK_FALSE(isSuspect(reachability, "muar-b", now));
        }
    }
    WHEN("one leaf alone owes answers")
    {
        const auto single
                = std::to_array<OverdueSend>({{"muar-b", 1}, {"muar-b", 1}, {"muar-b", 1}});
        updateReachability(reachability, single, now);
        CHECK_FALSE(isSuspect(reachability, "muar-b", now));
    }
    WHEN("a leaf of the domain has just answered")
    {
        recordDomainAnswer(reachability, "muar-b", now - 100ms);
        updateReachability(reachability, overdue, now);
        CHECK_FALSE(isSuspect(reachability, "muar-b", now));
    }
    WHEN("all domains are silent")
    {
        now += 300ms;
        const auto all = std::to_array<OverdueSend>({{"muar-a", 3},
                                                     {"muar-a", 4},
                                                     {"muar-a", 4},
                                                     {"muar-b", 1},
                                                     {"muar-b", 2},
                                                     {"muar-b", 2}});
        updateReachability(reachability, all, now);
        THEN("this instance is cut off, and tries the way now and then")
        {
            CHECK(isCutOff(reachability, now));
            CHECK(tryStartTrial(reachability, now));
            CHECK_FALSE(tryStartTrial(reachability, now + 100ms));
            CHECK(tryStartTrial(reachability, now + 160ms));
        }
    }
}

SCENARIO("an instance that reaches no failure domain but its own")
{
    auto reachability = Reachability();
    reachability.ownDomain = "muar-a";
    auto now = TimePoint(1h);
    for (const auto *domain : {"muar-a", "muar-b", "muar-c"})
        recordDomainSend(reachability, domain, now);
    now += 300ms;
    recordDomainAnswer(reachability, "muar-a", now);
    const auto overdueOf = [](std::string_view domain) {
        return std::to_array<OverdueSend>({{domain, 1}, {domain, 2}, {domain, 2}});
    };
    updateReachability(reachability, overdueOf("muar-b"), now);
    THEN("it isn't isolated while another one isn't suspect")
    {
        CHECK_FALSE(isIsolated(reachability, now));
        CHECK_FALSE(isSuspect(reachability, "muar-b", now + 1s));
    }
    WHEN("the last other one is silent too")
    {
        updateReachability(reachability, overdueOf("muar-c"), now);
        THEN("it is isolated until a probe is answered, or requests try again")
        {
            // Guards against an instance with few requests that is ready again before the
            // balancer has asked twice.
            CHECK(isIsolated(reachability, now + 14s));
            CHECK_FALSE(isIsolated(reachability, now + 15s));
            CHECK_FALSE(isCutOff(reachability, now));
        }
        THEN("an answer from any other one ends it")
        {
            recordDomainAnswer(reachability, "muar-c", now);
            CHECK_FALSE(isIsolated(reachability, now));
            CHECK_FALSE(isSuspect(reachability, "muar-b", now));
        }
    }
    WHEN("there is only one other one")
    {
        reachability.domains.erase("muar-c");
        updateReachability(reachability, overdueOf("muar-b"), now);
        THEN("it isn't isolated, since that one may be lost itself")
        {
            CHECK_FALSE(isIsolated(reachability, now));
        }
    }
}

SCENARIO("objects from sources of different age are merged by revision")
{
    auto cache = KindCache();
    const auto object = [](const char *name, std::uint64_t revision, bool deleted = false) {
        auto made = StoredObject();
        made.name = name;
        made.revision = revision;
        made.deleted = deleted;
        return made;
    };
    cache.listedNames = {"a", "b"};
    CHECK(updateObject(cache, object("a", 3), 10));
    CHECK(updateObject(cache, object("b", 4), 10));
    CHECK(finishList(cache, 10).empty());
    WHEN("an object is deleted and an older source still has it")
    {
        CHECK(updateObject(cache, object("a", 3, true), 12));
        THEN("it stays deleted")
        {
            // Guards against a leaf that comes back because another instance is behind.
            CHECK_FALSE(updateObject(cache, object("a", 3), 9));
            CHECK(liveObjects(cache).size() == 1);
        }
        THEN("made again, it is news")
        {
            CHECK(updateObject(cache, object("a", 13), 14));
            CHECK(liveObjects(cache).size() == 2);
        }
        THEN("whoever knows less is told of the deletion")
        {
            const auto changes = changesAfter(cache, 10);
            REQUIRE(changes.size() == 1);
            CHECK(changes[0]->deleted);
        }
    }
    WHEN("a later list lacks an object")
    {
        cache.listedNames = {"b"};
        THEN("it is gone")
        {
            CHECK(finishList(cache, 20) == std::vector<std::string>{"a"});
        }
    }
    WHEN("an older list lacks an object that is newer")
    {
        CHECK(updateObject(cache, object("c", 30), 30));
        cache.listedNames = {"a", "b"};
        THEN("it stays")
        {
            CHECK(finishList(cache, 20).empty());
        }
    }
    WHEN("an older change comes late")
    {
        CHECK(updateObject(cache, object("a", 15), 15));
        THEN("it is ignored")
        {
            CHECK_FALSE(updateObject(cache, object("a", 14), 14));
        }
    }
}

SCENARIO("an instance stops without cutting off a request")
{
    auto lifecycle = Lifecycle();
    lifecycle.settings.gracePeriod = 6s;
    auto now = TimePoint(1h);
    THEN("it is ready once it can serve, and stays so")
    {
        CHECK(servingStateOf(lifecycle, false, true) == ServingState::StateUnknown);
        CHECK(servingStateOf(lifecycle, true, true) == ServingState::Serving);
        CHECK(servingStateOf(lifecycle, false, true) == ServingState::Serving);
    }
    THEN("it is unready while it reaches no leaf")
    {
        CHECK(servingStateOf(lifecycle, true, true) == ServingState::Serving);
        CHECK(servingStateOf(lifecycle, true, false) == ServingState::LeafsUnreachable);
        CHECK(servingStateOf(lifecycle, true, true) == ServingState::Serving);
    }
    WHEN("a stop is requested")
    {
        REQUIRE(servingStateOf(lifecycle, true, true) == ServingState::Serving);
        requestStop(lifecycle, now);
        THEN("it is unready at once and serves on until the balancer has noticed")
        {
            CHECK(servingStateOf(lifecycle, true, true) == ServingState::Stopping);
            CHECK(shouldAnnounceClose(lifecycle));
            CHECK_FALSE(shouldCloseIdle(lifecycle, now + 3s));
            CHECK_FALSE(canExit(lifecycle, 0, now + 3s));
        }
        THEN("later it ends as soon as no request is open")
        {
            CHECK(canExit(lifecycle, 0, now + 3500ms));
            CHECK_FALSE(canExit(lifecycle, 1, now + 3500ms));
            CHECK(shouldRefuseNew(lifecycle, now + 3600ms));
        }
        THEN("it ends before it is killed")
        {
            CHECK(canExit(lifecycle, 1, now + 5900ms));
        }
        THEN("the next look at the time lies ahead")
        {
            // Guards against a stop that is never looked at again.
            CHECK(*nextTickAt(lifecycle, now) > now);
            CHECK(*nextTickAt(lifecycle, now) <= now + 4s);
        }
    }
}

#include <catch2/catch.hpp>

#include "core/assignment.h"
#include "numbered.h"

#include <algorithm>
#include <map>

using namespace crocusreach;

namespace {

constexpr std::size_t leafCount = 300;

auto makeMember(const std::string &name, const std::string &domain, std::uint64_t incarnation = 1)
        -> Member
{
    return {instanceId(name), Incarnation{incarnation}, name, name + ":1", domainId(domain)};
}

auto makeMembers(std::size_t count) -> std::vector<Member>
{
    const auto domains = std::vector<std::string>{"a", "b", "c"};
    auto members = std::vector<Member>();
    for (std::size_t index = 0; index < count; ++index)
        members.push_back(makeMember(tests::numbered("i", index), domains[index % 3]));
    return members;
}

auto makeLeaf(const std::string &name, std::uint16_t slots, std::uint16_t coldSlots) -> Leaf
{
    return {leafId("s", name), name, "10.0.0.1:1",    domainId("a"), slots,
            coldSlots,         30,   {ShardNumber{0}}};
}

auto makeConfiguration(std::size_t leafs = leafCount) -> Configuration
{
    auto configuration = Configuration();
    for (const auto *name : {"a", "b", "c"})
        configuration.domains.push_back({domainId(name), name, "region", {}});
    auto service = Service{serviceId("s"), "s", "cell", LayoutVersion{1}, 1, {}, {}};
    for (std::size_t index = 0; index < leafs; ++index)
        service.leafs.push_back(makeLeaf("leaf-" + std::to_string(index), 5, 3));
    configuration.services.push_back(service);
    auto otherService = service;
    otherService.cell = "other";
    for (auto &leaf : otherService.leafs)
        leaf.id = leafId("elsewhere", leaf.name);
    configuration.services.push_back(otherService);
    return configuration;
}

auto emptyAssignment() -> Assignment
{
    auto assignment = Assignment();
    assignment.cell = "cell";
    return assignment;
}

auto movedShares(const Assignment &before, const Assignment &after) -> std::size_t
{
    auto moved = std::size_t{0};
    for (std::size_t index = 0; index < after.shares.size(); ++index)
        moved += before.shares[index].holder != after.shares[index].holder ? 1 : 0;
    return moved;
}

auto sharesPerHolder(const Assignment &assignment) -> std::map<InstanceId, std::size_t>
{
    auto counts = std::map<InstanceId, std::size_t>();
    for (const auto &share : assignment.shares)
        ++counts[share.holder];
    return counts;
}

auto domainOf(const Assignment &assignment, const Share &share) -> DomainId
{
    return findMember(assignment, share.holder)->domain;
}

} // namespace

SCENARIO("a leaf is split into one or two shares")
{
    // Guards against shares that exceed a leaf's limits, and against two holders that each send a
    // first request to a target with one cold slot.
    GIVEN("a leaf with 5 slots, 3 cold slots and 30 connections")
    {
        const auto sizes = splitLeaf(makeLeaf("leaf", 5, 3));
        THEN("the first of two shares gets the larger half")
        {
            CHECK(sizes == std::vector<ShareSize>{{3, 2, 15}, {2, 1, 15}});
        }
    }
    GIVEN("a leaf with one cold slot")
    {
        CHECK(splitLeaf(makeLeaf("leaf", 6, 1)) == std::vector<ShareSize>{{6, 1, 30}});
    }
    GIVEN("a leaf with one slot")
    {
        CHECK(splitLeaf(makeLeaf("leaf", 1, 1)) == std::vector<ShareSize>{{1, 1, 30}});
    }
}

SCENARIO("shares are assigned to the members of a cell")
{
    GIVEN("seven members in three failure domains")
    {
        const auto configuration = makeConfiguration();
        const auto members = makeMembers(7);
        const auto first = assignShares(emptyAssignment(), members, configuration);
        THEN("the assignment is valid and covers the cell's leafs only")
        {
            CHECK(validate(first, configuration).empty());
            CHECK(first.epoch == Epoch{1});
            CHECK(first.shares.size() == 2 * leafCount);
            CHECK(sharesOf(first, leafId("elsewhere", "leaf-0")).empty());
        }
        THEN("the two shares of a leaf are in different failure domains")
        {
            for (const auto &leaf : configuration.services.front().leafs) {
                const auto shares = sharesOf(first, leaf.id);
                REQUIRE(shares.size() == 2);
                CHECK(domainOf(first, shares[0]) != domainOf(first, shares[1]));
            }
        }
        THEN("no member holds more than twice the mean number of shares")
        {
            for (const auto &[holder, count] : sharesPerHolder(first))
                CHECK(count < 2 * first.shares.size() / members.size());
        }
        THEN("a second assignment changes nothing but the epoch")
        {
            const auto again = assignShares(first, members, configuration);
            CHECK(again.shares == first.shares);
            CHECK(again.epoch == Epoch{2});
        }
        AND_WHEN("a member is removed")
        {
            const auto rest = std::span(members).first(6);
            const auto second = assignShares(first, rest, configuration);
            THEN("only its shares move, and name it as the former holder")
            {
                CHECK(movedShares(first, second) == sharesPerHolder(first)[members[6].id]);
                for (std::size_t index = 0; index < second.shares.size(); ++index) {
                    const auto &share = second.shares[index];
                    const auto moved = first.shares[index].holder != share.holder;
                    CHECK(share.since == (moved ? Epoch{2} : Epoch{1}));
                    if (moved)
                        CHECK(share.formerHolder == members[6].id);
                }
            }
            THEN("it is retired, so that takeovers still count it as a voter")
            {
                REQUIRE(second.retired.size() == 1);
                CHECK(second.retired.front() == members[6]);
            }
            AND_WHEN("it joins again")
            {
                const auto third = assignShares(second, members, configuration);
                THEN("it isn't retired any more and gets shares back")
                {
                    CHECK(third.retired.empty());
                    CHECK(sharesPerHolder(third)[members[6].id] > 0);
                    CHECK(validate(third, configuration).empty());
                }
            }
        }
        AND_WHEN("an eighth member joins")
        {
            auto more = members;
            more.push_back(makeMember("i7", "b"));
            const auto second = assignShares(first, more, configuration);
            THEN("about one share in eight moves, and all of these move to it")
            {
                const auto moved = movedShares(first, second);
                CHECK(moved == sharesPerHolder(second)[more.back().id]);
                CHECK(moved > first.shares.size() / 16);
                CHECK(moved < first.shares.size() / 4);
            }
        }
        AND_WHEN("a member is replaced by its next incarnation")
        {
            auto restarted = members;
            restarted[3].incarnation = Incarnation{2};
            const auto second = assignShares(first, restarted, configuration);
            THEN("no share stays with the former incarnation")
            {
                CHECK(validate(second, configuration).empty());
                for (const auto &share : second.shares) {
                    if (share.holder == members[3].id)
                        CHECK(share.since == Epoch{2});
                }
                REQUIRE(second.retired.size() == 1);
                CHECK(second.retired.front().incarnation == Incarnation{1});
            }
        }
        AND_WHEN("operators take a failure domain out")
        {
            auto out = configuration;
            out.domains[1].decision.state = DesiredState::Out;
            const auto second = assignShares(first, members, out);
            THEN("its members hold no shares but stay members, which renew the others' leases")
            {
                CHECK(second.members.size() == 7);
                for (const auto &share : second.shares)
                    CHECK(domainOf(second, share) != domainId("b"));
            }
            AND_WHEN("they put it back")
            {
                const auto third = assignShares(second, members, configuration);
                THEN("its members hold shares again")
                {
                    CHECK(sharesPerHolder(third)[members[1].id] > 0);
                    CHECK(sharesPerHolder(third)[members[4].id] > 0);
                }
            }
        }
    }
    GIVEN("members in one failure domain only")
    {
        const auto configuration = makeConfiguration(20);
        const auto members = std::vector<Member>{makeMember("i0", "a"), makeMember("i1", "a")};
        const auto first = assignShares(emptyAssignment(), members, configuration);
        THEN("the shares of a leaf still go to different members")
        {
            for (const auto &leaf : configuration.services.front().leafs) {
                const auto shares = sharesOf(first, leaf.id);
                CHECK(shares[0].holder != shares[1].holder);
            }
        }
        AND_WHEN("a member in another failure domain joins")
        {
            auto more = members;
            more.push_back(makeMember("i2", "b"));
            const auto second = assignShares(first, more, configuration);
            THEN("every leaf gets a holder in each failure domain")
            {
                for (const auto &leaf : configuration.services.front().leafs) {
                    const auto shares = sharesOf(second, leaf.id);
                    CHECK(domainOf(second, shares[0]) != domainOf(second, shares[1]));
                }
            }
        }
    }
}

SCENARIO("a leaf's limits change")
{
    // Guards against a holder that uses the new size of a share while another one still uses the
    // old size.
    GIVEN("a leaf whose two shares have different holders")
    {
        auto configuration = makeConfiguration(1);
        const auto members = makeMembers(3);
        const auto first = assignShares(emptyAssignment(), members, configuration);
        auto &leaf = configuration.services.front().leafs.front();
        const auto shareOf = [&](const Assignment &assignment, std::size_t ordinal) {
            return sharesOf(assignment, leaf.id)[ordinal];
        };
        WHEN("the slots are lowered")
        {
            leaf.slots = 3;
            const auto second = assignShares(first, members, configuration);
            THEN("both shares count as moved, and each waits for the other holder's release")
            {
                CHECK(shareOf(second, 0).since == Epoch{2});
                CHECK(shareOf(second, 1).since == Epoch{2});
                CHECK(shareOf(second, 0).holder == shareOf(first, 0).holder);
                CHECK(shareOf(second, 0).formerHolder == shareOf(first, 1).holder);
                CHECK(shareOf(second, 1).formerHolder == shareOf(first, 0).holder);
            }
        }
        WHEN("only one cold slot is left")
        {
            leaf.coldSlots = 1;
            const auto second = assignShares(first, members, configuration);
            THEN("one share remains, and it waits for the holder of the removed share")
            {
                REQUIRE(sharesOf(second, leaf.id).size() == 1);
                CHECK(shareOf(second, 0).formerHolder == shareOf(first, 1).holder);
            }
        }
        WHEN("a holder is removed in the same epoch")
        {
            leaf.slots = 3;
            const auto gone = shareOf(first, 0).holder;
            auto rest = members;
            std::erase_if(rest, [&](const Member &member) { return member.id == gone; });
            const auto second = assignShares(first, rest, configuration);
            THEN("its successor can't rely on one release, since two holders used the leaf")
            {
                CHECK(shareOf(second, 0).since == Epoch{2});
                CHECK(shareOf(second, 0).formerHolder == InstanceId{});
            }
        }
    }
}

SCENARIO("an assignment is checked")
{
    const auto configuration = makeConfiguration(2);
    const auto members = makeMembers(3);
    auto assignment = assignShares(emptyAssignment(), members, configuration);
    REQUIRE(validate(assignment, configuration).empty());
    const auto firstError = [&] { return validate(assignment, configuration).at(0).text; };

    SECTION("shares that exceed the leaf's slots")
    {
        assignment.shares[0].size.slots = 6;
        CHECK(firstError() == "the shares exceed the leaf's limits");
    }
    SECTION("shares that exceed the leaf's cold slots")
    {
        assignment.shares[0].size.coldSlots = 3;
        CHECK(firstError() == "the shares exceed the leaf's limits");
    }
    SECTION("shares that exceed the leaf's connections")
    {
        assignment.shares[0].size.connections = 16;
        CHECK(firstError() == "the shares exceed the leaf's limits");
    }
    SECTION("a holder that isn't a member")
    {
        assignment.shares[0].holder = instanceId("stranger");
        CHECK(firstError() == "the holder isn't a member");
    }
    SECTION("a holder of an earlier incarnation")
    {
        assignment.shares[0].holderIncarnation = Incarnation{0};
        CHECK(firstError() == "the holder isn't a member");
    }
    SECTION("a share that is assigned twice")
    {
        assignment.shares[1].ordinal = assignment.shares[0].ordinal;
        CHECK(firstError() == "is assigned twice");
    }
    SECTION("a leaf of no service of the cell")
    {
        assignment.shares[0].leaf = leafId("elsewhere", "leaf-0");
        CHECK(firstError() == "the leaf isn't one of the cell");
    }
    SECTION("members out of order")
    {
        std::ranges::reverse(assignment.members);
        CHECK(firstError() == "aren't ordered by id");
    }
}

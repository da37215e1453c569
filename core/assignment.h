#pragma once

#include "configuration.h"
#include "types.h"

#include <span>
#include <string>
#include <vector>

// Which instance of a cell may use which part of each leaf's limits.

namespace crocusreach {

// A fixed part of a leaf's limits. The shares of a leaf sum to no more than the leaf's limits.
struct ShareSize
{
    std::uint16_t slots = 0;
    std::uint16_t coldSlots = 0;
    std::uint16_t connections = 0;

    auto operator==(const ShareSize &) const -> bool = default;
};

// With more than two, the shares of a leaf with 3 to 6 slots would be too small to queue requests
// on.
constexpr std::size_t maxSharesPerLeaf = 2;

// Splits a leaf's limits into one share, or into two if it has at least two slots and two cold
// slots. The first share gets the larger half.
auto splitLeaf(const Leaf &leaf) -> std::vector<ShareSize>;

struct Member
{
    InstanceId id = {};
    Incarnation incarnation = {};
    std::string name;
    std::string address; // IP:port of the peer listener
    DomainId domain = {};

    auto operator==(const Member &) const -> bool = default;
};

struct Share
{
    LeafId leaf = {};
    std::uint8_t ordinal = 0; // 0 or 1 within the leaf
    ShareSize size;
    InstanceId holder = {};
    Incarnation holderIncarnation = {};
    // The epoch in which this holder got the share. The former holder is named so that the new one
    // can use the share as soon as the former one reports that it has drained.
    Epoch since = {};
    InstanceId formerHolder = {};
    Incarnation formerIncarnation = {};

    auto operator==(const Share &) const -> bool = default;
};

// The cell's object in the store.
struct Assignment
{
    std::string cell;
    Epoch epoch = {};
    std::vector<Member> members; // ordered by id
    // Removed members that may still run without knowing of their removal. They may renew leases of
    // older epochs, so a takeover counts them as voters until they have terminated.
    std::vector<Member> retired;
    std::vector<Share> shares; // ordered by leaf, then ordinal

    auto operator==(const Assignment &) const -> bool = default;
};

// Assigns the shares of the cell's leafs to the members by rendezvous hashing. The two shares of a
// leaf go to members in different failure domains where the cell has more than one. A share whose
// holder stays a member and whose size is unchanged keeps its holder, unless the hash moves it to a
// member that is new in this assignment. The result has the epoch after the former one's.
auto assignShares(const Assignment &former, std::span<const Member> members,
                  const Configuration &configuration) -> Assignment;

// Checks that the shares of each leaf fit its limits and that each share has one holder that is a
// member. Returns every error found.
auto validate(const Assignment &assignment, const Configuration &configuration)
        -> std::vector<Error>;

auto findMember(const Assignment &assignment, InstanceId id) -> const Member *;

// The shares of one leaf, in order of ordinal.
auto sharesOf(const Assignment &assignment, LeafId leaf) -> std::span<const Share>;

} // namespace crocusreach

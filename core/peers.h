#pragma once

#include "forwardmessages.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The other instances that take messages, and which of them is responsible for a subject. All
// instances with the same list choose the same ones, without asking each other.

namespace crocusreach::forward {

struct Peer
{
    std::string name;
    std::string address; // IP:port
    std::uint64_t nameHash = 0;
};

struct PeerList
{
    std::vector<Peer> peers; // with this instance, if its entry is known
    std::uint64_t generation = 0; // rises with each change
    TimePoint changedAt = {};
};

// Takes over a list. Returns whether it differs from the known one.
auto setPeers(PeerList &list, const std::vector<PeerInstance> &instances, TimePoint now) -> bool;

// Positions in the list of the two instances with the highest rendezvous hash for a subject.
struct Responsible
{
    std::optional<std::size_t> owner;
    std::optional<std::size_t> deputy;
};

auto responsibleFor(const PeerList &list, std::uint64_t subjectHash) -> Responsible;

} // namespace crocusreach::forward

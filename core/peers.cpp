#include "peers.h"

#include <algorithm>

namespace crocusreach::forward {

auto setPeers(PeerList &list, const std::vector<PeerInstance> &instances, TimePoint now) -> bool
{
    const auto isSame
            = std::equal(list.peers.begin(), list.peers.end(), instances.begin(), instances.end(),
                         [](const Peer &left, const PeerInstance &right) {
                             return left.name == right.name && left.address == right.address;
                         });
    if (isSame)
        return false;
    list.peers.clear();
    for (const auto &instance : instances)
        list.peers.push_back({instance.name, instance.address, hashName(instance.name)});
    ++list.generation;
    list.changedAt = now;
    return true;
}

auto responsibleFor(const PeerList &list, std::uint64_t subjectHash) -> Responsible
{
    auto found = Responsible();
    auto ownerHash = std::uint64_t(0);
    auto deputyHash = std::uint64_t(0);
    for (std::size_t index = 0; index < list.peers.size(); ++index) {
        const auto hash = hashPair(list.peers[index].nameHash, subjectHash);
        if (!found.owner || hash > ownerHash) {
            found.deputy = found.owner;
            deputyHash = ownerHash;
            found.owner = index;
            ownerHash = hash;
        } else if (!found.deputy || hash > deputyHash) {
            found.deputy = index;
            deputyHash = hash;
        }
    }
    return found;
}

} // namespace crocusreach::forward

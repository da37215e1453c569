#include "clusterview.h"

#include <algorithm>

namespace crocusreach {

auto findPeer(const ClusterView &view, InstanceId id) -> const PeerView *
{
    const auto found = std::ranges::find(view.peers, id, &PeerView::id);
    return found == view.peers.end() ? nullptr : &*found;
}

auto isSelfOut(const ClusterView &view) -> bool
{
    const auto *declared = findInstance(*view.configuration, view.self);
    if (declared != nullptr && declared->decision.state == DesiredState::Out)
        return true;
    const auto *domain = findDomain(*view.configuration, view.selfDomain);
    return domain != nullptr && domain->decision.state == DesiredState::Out;
}

} // namespace crocusreach

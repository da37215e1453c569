#include "controlview.h"

#include "controlstate.h"
#include "invariants.h"

#include <algorithm>
#include <utility>

namespace crocusreach {

namespace {

auto peerViews(const ControlState &state, TimePoint now) -> std::vector<PeerView>
{
    auto views = std::vector<PeerView>();
    for (const auto &peer : state.membership.peers) {
        const auto reachable = isReachable(state.membership, peer, now);
        if (!isMember(*state.propagation.assignment, peer.member.id, peer.member.incarnation)
            && (!reachable || isSuperseded(state.membership, peer)))
            continue;
        views.push_back({peer.member.id, peer.member.incarnation, peer.member.name,
                         peer.member.address, peer.member.domain, reachable,
                         peer.leaving || peer.listedLeaving, peer.revision, peer.epoch,
                         peer.roundTrip});
    }
    std::ranges::sort(views, {}, &PeerView::id);
    return views;
}

// Ignores the round trip: a change of it alone doesn't make a new view.
auto isSamePeer(const PeerView &left, const PeerView &right) -> bool
{
    return left.id == right.id && left.incarnation == right.incarnation
           && left.address == right.address && left.reachable == right.reachable
           && left.leaving == right.leaving && left.revision == right.revision
           && left.epoch == right.epoch;
}

auto isSameView(const ClusterView &left, const ClusterView &right) -> bool
{
    return left.configuration == right.configuration && left.assignment == right.assignment
           && left.leaseValidUntil == right.leaseValidUntil
           && left.storeReachable == right.storeReachable && left.stopping == right.stopping
           && std::ranges::equal(left.peers, right.peers, isSamePeer);
}

auto checkHeldShares(const ControlState &state, const ClusterView &view, TimePoint now) -> void
{
    const auto isSameShare = [](const HeldShare &left, const HeldShare &right) {
        return left.leaf == right.leaf && left.ordinal == right.ordinal;
    };
    check(std::ranges::adjacent_find(view.heldShares, isSameShare) == view.heldShares.end(),
          Invariant::OneHolderPerShare, "a share is held twice");
    check(view.heldShares.empty() || isSelfMember(state), Invariant::NoDispatchWithoutLease,
          "shares are held by an instance that isn't a member");
    check(view.leaseValidUntil <= now + state.settings.leaseTime, Invariant::NoDispatchWithoutLease,
          "the lease ends later than a lease time from now");
}

} // namespace

auto makeView(const ControlState &state, TimePoint now) -> ClusterView
{
    auto view = ClusterView();
    view.self = selfId(state);
    view.selfDomain = state.settings.self.domain;
    view.configuration = state.propagation.configuration;
    view.leafIndex = state.propagation.leafIndex;
    view.assignment = state.propagation.assignment;
    view.leaseValidUntil = leaseValidUntil(state.lease, state.settings);
    view.peers = peerViews(state, now);
    view.storeReachable = state.propagation.storeReachable;
    view.stopping = state.stopping;
    return view;
}

auto publishView(ControlState &state, TimePoint now, ControlActions &actions) -> void
{
    auto view = makeView(state, now);
    if (!state.heldSharesChanged && !state.leafListingsChanged && isSameView(view, *state.view))
        return;
    if (state.heldSharesChanged)
        state.heldShares = heldShares(state.lease);
    state.heldSharesChanged = false;
    state.leafListingsChanged = false;
    view.heldShares = state.heldShares;
    view.leafListings = state.leafListings;
    checkHeldShares(state, view, now);
    state.view = std::make_shared<const ClusterView>(std::move(view));
    actions.emplace_back(PublishView{state.view});
}

} // namespace crocusreach

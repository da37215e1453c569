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
        const auto heard = isHeard(state.membership, peer, now);
        if (!isMember(*state.propagation.assignment, peer.member.id, peer.member.incarnation)
            && (!heard || isSuperseded(state.membership, peer)))
            continue;
        views.push_back({peer.member.id, peer.member.incarnation, peer.member.name,
                         peer.member.address, peer.member.domain, heard,
                         peer.leaving || peer.listedLeaving, peer.revision, peer.epoch,
                         peer.roundTrip});
    }
    std::ranges::sort(views, {}, &PeerView::id);
    return views;
}

// Compares all but the round trip, which alone doesn't make a new view.
auto samePeer(const PeerView &left, const PeerView &right) -> bool
{
    return left.id == right.id && left.incarnation == right.incarnation
           && left.address == right.address && left.reachable == right.reachable
           && left.leaving == right.leaving && left.revision == right.revision
           && left.epoch == right.epoch;
}

auto sameView(const ClusterView &left, const ClusterView &right) -> bool
{
    return left.configuration == right.configuration && left.assignment == right.assignment
           && left.leaseEnd == right.leaseEnd && left.storeReachable == right.storeReachable
           && left.stopping == right.stopping
           && std::ranges::equal(left.peers, right.peers, samePeer);
}

auto checkHeld(const ControlState &state, const ClusterView &view, TimePoint now) -> void
{
    const auto sameSlot = [](const HeldShare &left, const HeldShare &right) {
        return left.leaf == right.leaf && left.ordinal == right.ordinal;
    };
    check(std::ranges::adjacent_find(view.held, sameSlot) == view.held.end(),
          Invariant::OneHolderPerShare, "a share is held twice");
    check(view.held.empty() || isSelfMember(state), Invariant::NoDispatchWithoutLease,
          "shares are held by an instance that isn't a member");
    check(view.leaseEnd <= now + state.settings.leaseTime, Invariant::NoDispatchWithoutLease,
          "the lease ends later than its evidence allows");
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
    view.leaseEnd = leaseEnd(state.lease, state.settings);
    view.peers = peerViews(state, now);
    view.storeReachable = state.propagation.storeReachable;
    view.stopping = state.stopping;
    return view;
}

auto publish(ControlState &state, TimePoint now, ControlActions &actions) -> void
{
    auto view = makeView(state, now);
    if (!state.heldChanged && !state.listingChanged && sameView(view, *state.view))
        return;
    if (state.heldChanged)
        state.held = heldShares(state.lease);
    state.heldChanged = false;
    state.listingChanged = false;
    view.held = state.held;
    view.listing = state.listing;
    checkHeld(state, view, now);
    state.view = std::make_shared<const ClusterView>(std::move(view));
    actions.emplace_back(PublishView{state.view});
}

} // namespace crocusreach

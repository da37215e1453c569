#include "forwardprobe.h"

#include "forwardlinks.h"

#include <algorithm>

namespace crocusreach::forward {

namespace {

// Far above the time that a connection takes. Each one costs the leaf and this instance little.
constexpr Duration probeInterval = std::chrono::milliseconds(400);

auto endProbe(Forwarder &forwarder, std::vector<ForwardAction> &actions) -> void
{
    if (forwarder.probe.link)
        actions.emplace_back(CloseLink{*forwarder.probe.link});
    forwarder.probe = PathProbe();
}

// A leaf in another domain to which this instance has no connection, so that the probe keeps within
// the limit of connections; any one if it has connections to all.
auto chooseLeaf(Forwarder &forwarder) -> std::optional<LeafIndexNumber>
{
    auto unlinked = std::vector<LeafIndexNumber>();
    auto linked = std::vector<LeafIndexNumber>();
    for (const auto &[service, list] : forwarder.leafs.byService) {
        for (const auto index : list) {
            const auto &leaf = leafAt(forwarder.leafs, index);
            if (isUsable(forwarder.leafs, leaf) && leaf.record.domain != forwarder.settings.domain)
                (leaf.links.empty() ? unlinked : linked).push_back(index);
        }
    }
    auto &choice = unlinked.empty() ? linked : unlinked;
    if (choice.empty())
        return {};
    // The order within the table depends on its hashing.
    std::sort(choice.begin(), choice.end());
    return choice[nextRandom(forwarder.random) % choice.size()];
}

// Makes room for the probe's connection.
auto closeIdleLink(Forwarder &forwarder, LeafIndexNumber index, std::vector<ForwardAction> &actions)
        -> void
{
    const auto &links = leafAt(forwarder.leafs, index).links;
    const auto idle = std::find_if(links.begin(), links.end(),
                                   [](const Link &link) { return link.state == LinkState::Idle; });
    if (idle != links.end())
        closeLink(forwarder, idle->id, actions);
}

} // namespace

auto probePath(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions) -> void
{
    auto &probe = forwarder.probe;
    if (!isIsolated(forwarder.reachability, now)) {
        if (probe.nextAt)
            endProbe(forwarder, actions);
        return;
    }
    if (probe.nextAt && now < *probe.nextAt)
        return;
    endProbe(forwarder, actions);
    probe.nextAt = now + probeInterval;
    const auto index = chooseLeaf(forwarder);
    if (!index)
        return;
    closeIdleLink(forwarder, *index, actions);
    probe.leaf = *index;
    probe.link = LinkId(++forwarder.lastLink);
    ++forwarder.counters.opens;
    actions.emplace_back(OpenLink{*probe.link, leafAt(forwarder.leafs, *index).record.address});
}

auto takeProbe(Forwarder &forwarder, LinkId link, TimePoint now,
               std::vector<ForwardAction> &actions) -> void
{
    auto &probe = forwarder.probe;
    if (probe.link != link) {
        actions.emplace_back(CloseLink{link});
        return;
    }
    auto &leaf = leafAt(forwarder.leafs, probe.leaf);
    noteDomainAnswer(forwarder.reachability, leaf.record.domain, now);
    leaf.links.push_back({link});
    forwarder.links.emplace(link, probe.leaf);
    freeLink(forwarder, leaf, {}, link, now);
    probe = PathProbe();
}

auto dropProbe(Forwarder &forwarder, LinkId link) -> void
{
    if (forwarder.probe.link == link)
        forwarder.probe.link.reset();
}

} // namespace crocusreach::forward

#include "forwardlinks.h"

#include <algorithm>

namespace crocusreach::forward {

namespace {

constexpr Duration linkCheckInterval = std::chrono::milliseconds(500);

} // namespace

auto freeLink(Forwarder &forwarder, LeafState &leaf, const LeafAnswered &event, LinkId id,
              TimePoint now) -> void
{
    const auto link = std::find_if(leaf.links.begin(), leaf.links.end(),
                                   [id](const Link &item) { return item.id == id; });
    link->state = LinkState::Idle;
    link->idleSince = now;
    if (!forwarder.nextLinkCheck)
        forwarder.nextLinkCheck = now + linkCheckInterval;
    if (event.idleLimit > Duration())
        link->idleLimit = event.idleLimit;
}

auto dropLink(Forwarder &forwarder, LinkId id) -> void
{
    const auto found = forwarder.links.find(id);
    if (found == forwarder.links.end())
        return;
    auto &leaf = leafAt(forwarder.leafs, found->second);
    std::erase_if(leaf.links, [id](const Link &link) { return link.id == id; });
    forwarder.links.erase(found);
}

auto closeLink(Forwarder &forwarder, LinkId id, std::vector<ForwardAction> &actions) -> void
{
    dropLink(forwarder, id);
    actions.emplace_back(CloseLink{id});
}

auto closeUnusedLinks(Forwarder &forwarder, std::vector<ForwardAction> &actions) -> void
{
    for (auto &leaf : forwarder.leafs.leafs) {
        if (leaf.links.empty() || (leaf.listed && !leaf.record.draining && !leaf.misdirected))
            continue;
        const auto links = leaf.links;
        for (const auto &link : links) {
            if (link.state == LinkState::Idle)
                closeLink(forwarder, link.id, actions);
        }
    }
}

auto closeStaleLinks(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions)
        -> void
{
    if (!forwarder.nextLinkCheck || now < *forwarder.nextLinkCheck)
        return;
    auto stale = std::vector<LinkId>();
    for (const auto &leaf : forwarder.leafs.leafs) {
        for (const auto &link : leaf.links) {
            if (link.state == LinkState::Idle && now - link.idleSince > idleTime(leaf, link))
                stale.push_back(link.id);
        }
    }
    for (const auto id : stale)
        closeLink(forwarder, id, actions);
    forwarder.nextLinkCheck.reset();
    if (!forwarder.links.empty())
        forwarder.nextLinkCheck = now + linkCheckInterval;
}

} // namespace crocusreach::forward

#include "forwardprobe.h"

#include "forwardconnections.h"

#include <algorithm>

namespace crocusreach::forward {

namespace {

// Far longer than opening a connection takes. A probe costs the leaf and this instance little.
constexpr Duration probeInterval = std::chrono::milliseconds(400);

auto endProbe(Forwarder &forwarder, std::vector<ForwardAction> &actions) -> void
{
    if (forwarder.probe.connection)
        actions.emplace_back(CloseConnection{*forwarder.probe.connection});
    forwarder.probe = PathProbe();
}

// Chooses a leaf in another domain to which this instance has no connection, so that the probe
// keeps within the connection limit; any leaf there if it has connections to all.
auto chooseProbeLeaf(Forwarder &forwarder, TimePoint now) -> std::optional<LeafNumber>
{
    auto unconnected = std::vector<LeafNumber>();
    auto connected = std::vector<LeafNumber>();
    for (const auto &[service, list] : forwarder.leafs.byService) {
        for (const auto index : list) {
            const auto &leaf = leafAt(forwarder.leafs, index);
            if (isUsable(forwarder.leafs, leaf, now)
                && leaf.record.domain != forwarder.settings.domain)
                (leaf.connections.empty() ? unconnected : connected).push_back(index);
        }
    }
    auto &choice = unconnected.empty() ? connected : unconnected;
    if (choice.empty())
        return {};
    // The iteration order of the hash table isn't defined; sorted, the choice is reproducible.
    std::sort(choice.begin(), choice.end());
    return choice[nextRandom(forwarder.random) % choice.size()];
}

// Closes an idle connection to the leaf, if any, to make room for the probe's within the limit.
auto closeIdleConnection(Forwarder &forwarder, LeafNumber index,
                         std::vector<ForwardAction> &actions) -> void
{
    const auto &connections = leafAt(forwarder.leafs, index).connections;
    const auto idle = std::find_if(connections.begin(), connections.end(),
                                   [](const LeafConnection &connection) {
                                       return connection.state == ConnectionState::Idle;
                                   });
    if (idle != connections.end())
        closeConnection(forwarder, idle->id, actions);
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
    const auto index = chooseProbeLeaf(forwarder, now);
    if (!index)
        return;
    closeIdleConnection(forwarder, *index, actions);
    probe.leaf = *index;
    probe.connection = ConnectionId(++forwarder.lastConnectionId);
    ++forwarder.counters.connectionsOpened;
    actions.emplace_back(
            OpenConnection{*probe.connection, leafAt(forwarder.leafs, *index).record.address});
}

auto onProbeOpened(Forwarder &forwarder, ConnectionId connection, TimePoint now,
                   std::vector<ForwardAction> &actions) -> void
{
    auto &probe = forwarder.probe;
    if (probe.connection != connection) {
        actions.emplace_back(CloseConnection{connection});
        return;
    }
    auto &leaf = leafAt(forwarder.leafs, probe.leaf);
    recordDomainAnswer(forwarder.reachability, leaf.record.domain, now);
    leaf.connections.push_back({connection});
    forwarder.connections.emplace(connection, probe.leaf);
    releaseConnection(forwarder, leaf, {}, connection, now);
    probe = PathProbe();
}

auto onProbeClosed(Forwarder &forwarder, ConnectionId connection) -> void
{
    if (forwarder.probe.connection == connection)
        forwarder.probe.connection.reset();
}

} // namespace crocusreach::forward

#include "forwardconnections.h"

#include <algorithm>

namespace crocusreach::forward {

namespace {

constexpr Duration connectionCheckInterval = std::chrono::milliseconds(500);

} // namespace

auto releaseConnection(Forwarder &forwarder, LeafState &leaf, const LeafAnswered &event,
                       ConnectionId id, TimePoint now) -> void
{
    const auto connection
            = std::find_if(leaf.connections.begin(), leaf.connections.end(),
                           [id](const LeafConnection &item) { return item.id == id; });
    connection->state = ConnectionState::Idle;
    connection->idleSince = now;
    if (!forwarder.nextConnectionCheckAt)
        forwarder.nextConnectionCheckAt = now + connectionCheckInterval;
    if (event.keepAliveTimeout > Duration())
        connection->keepAliveTimeout = event.keepAliveTimeout;
}

auto removeConnection(Forwarder &forwarder, ConnectionId id) -> void
{
    const auto found = forwarder.connections.find(id);
    if (found == forwarder.connections.end())
        return;
    auto &leaf = leafAt(forwarder.leafs, found->second);
    std::erase_if(leaf.connections,
                  [id](const LeafConnection &connection) { return connection.id == id; });
    forwarder.connections.erase(found);
}

auto closeConnection(Forwarder &forwarder, ConnectionId id, std::vector<ForwardAction> &actions)
        -> void
{
    removeConnection(forwarder, id);
    actions.emplace_back(CloseConnection{id});
}

auto closeUnusedConnections(Forwarder &forwarder, std::vector<ForwardAction> &actions) -> void
{
    for (auto &leaf : forwarder.leafs.leafs) {
        if (leaf.connections.empty()
            || (leaf.listed && !leaf.record.draining && !leaf.misdirected && !leaf.displaced))
            continue;
        const auto connections = leaf.connections;
        for (const auto &connection : connections) {
            if (connection.state == ConnectionState::Idle)
                closeConnection(forwarder, connection.id, actions);
        }
    }
}

auto closeStaleConnections(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions)
        -> void
{
    if (!forwarder.nextConnectionCheckAt || now < *forwarder.nextConnectionCheckAt)
        return;
    auto staleConnections = std::vector<ConnectionId>();
    for (const auto &leaf : forwarder.leafs.leafs) {
        for (const auto &connection : leaf.connections) {
            if (connection.state == ConnectionState::Idle
                && now - connection.idleSince > idleTimeout(leaf, connection))
                staleConnections.push_back(connection.id);
        }
    }
    for (const auto id : staleConnections)
        closeConnection(forwarder, id, actions);
    forwarder.nextConnectionCheckAt.reset();
    if (!forwarder.connections.empty())
        forwarder.nextConnectionCheckAt = now + connectionCheckInterval;
}

} // namespace crocusreach::forward

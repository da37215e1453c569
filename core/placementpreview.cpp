#include "placementpreview.h"

#include "placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusreach::forward {

namespace {

// The leafs of one service, in a table of their own.
auto copyLeafs(const LeafTable &table, const std::string &service) -> LeafTable
{
    auto copy = LeafTable();
    copy.evacuatedDomains = table.evacuatedDomains;
    const auto list = table.byService.find(service);
    if (list == table.byService.end())
        return copy;
    for (const auto index : list->second) {
        copy.byService[service].push_back(LeafNumber(copy.leafs.size()));
        copy.leafs.push_back(table.leafs[static_cast<std::size_t>(index)]);
    }
    return copy;
}

auto reasonsAgainst(const Forwarder &forwarder, const LeafState &leaf, TimePoint now)
        -> std::vector<std::string_view>
{
    auto reasons = std::vector<std::string_view>();
    const auto add = [&reasons](bool holds, std::string_view reason) {
        if (holds)
            reasons.push_back(reason);
    };
    add(leaf.record.draining, "drains");
    add(leaf.misdirected, "another leaf answered at its address");
    add(leaf.displaced, "another entry has the better claim to its address");
    add(forwarder.leafs.evacuatedDomains.contains(leaf.record.domain), "its domain is evacuated");
    add(leaf.versionUse == VersionUse::Canary, "its version is on trial");
    add(leaf.versionUse == VersionUse::Barred, "its version is not in use");
    add(isLeaving(leaf.statements), "says it leaves");
    add(now < leaf.statements.pausedUntil, "asked for a pause");
    add(leaf.statements.rateLimit.has_value(), "states a rate limit");
    add(isStalled(leaf, now), "has not answered in time");
    add(now < leaf.avoidUntil, "failed lately");
    add(isSuspect(forwarder.reachability, leaf.record.domain, now), "its domain may be cut off");
    add(now < leaf.coldUntil, "is cold");
    add(leaf.record.domain != forwarder.settings.domain, "is in another domain");
    add(!leaf.preferred, "no connections are kept to it");
    return reasons;
}

auto previewLeaf(const Forwarder &forwarder, const LeafState &leaf, TimePoint now) -> LeafPreview
{
    auto preview = LeafPreview();
    preview.id = leaf.record.id;
    preview.domain = leaf.record.domain;
    preview.reasons = reasonsAgainst(forwarder, leaf, now);
    const auto at = nextSendAt(leaf.statements, now);
    if (at > now)
        preview.usableIn = at - now;
    preview.openSends = leaf.outstanding.size();
    preview.connections = leaf.connections.size();
    const auto isIdle = [](const LeafConnection &connection) {
        return connection.state == ConnectionState::Idle;
    };
    preview.idleConnections = static_cast<std::size_t>(
            std::count_if(leaf.connections.begin(), leaf.connections.end(), isIdle));
    return preview;
}

auto typicalLatencyOf(const Forwarder &forwarder, const Route &route) -> Duration
{
    const auto known = forwarder.routeStats.find(route.name);
    return typicalLatency(known == forwarder.routeStats.end() ? RouteStats() : *known->second,
                          route);
}

auto previewService(const Forwarder &forwarder, const Route &route, const std::string &service,
                    TimePoint now) -> ServicePreview
{
    auto preview = ServicePreview();
    preview.service = service;
    auto table = copyLeafs(forwarder.leafs, service);
    for (const auto &leaf : table.leafs)
        preview.leafs.push_back(previewLeaf(forwarder, leaf, now));
    auto random = forwarder.random;
    auto crossing = CrossingState();
    if (const auto known = forwarder.crossing.services.find(service);
        known != forwarder.crossing.services.end())
        crossing = known->second;
    auto tried = std::vector<LeafNumber>();
    while (tried.size() < table.leafs.size()) {
        auto query = PlacementQuery();
        query.service = service;
        query.spec = findServiceSpec(*forwarder.table, service);
        query.ownDomain = forwarder.settings.domain;
        query.typicalLatency = typicalLatencyOf(forwarder, route);
        query.triedLeafs = tried;
        query.reachability = &forwarder.reachability;
        query.waitingCalls = forwarder.waiting.calls.size();
        query.crossing = forwarder.settings.crossing.isEnabled ? &crossing : nullptr;
        query.crossingLimits = &forwarder.settings.crossing;
        const auto placement = placeSend(table, query, forwarder.share, random, now);
        if (!placement)
            break;
        tried.push_back(placement->leaf);
        preview.leafs[static_cast<std::size_t>(placement->leaf)].rank
                = static_cast<std::uint32_t>(tried.size());
    }
    std::stable_sort(preview.leafs.begin(), preview.leafs.end(),
                     [](const LeafPreview &left, const LeafPreview &right) {
                         return left.rank != 0 && (right.rank == 0 || left.rank < right.rank);
                     });
    return preview;
}

// Why too few services could be sent to, if so.
auto refusalOf(const Forwarder &forwarder, const RequestPreview &preview, TimePoint now)
        -> std::optional<CallEnd>
{
    auto usable = std::size_t(0);
    auto responsive = std::size_t(0);
    for (const auto &part : preview.services) {
        auto table = copyLeafs(forwarder.leafs, part.service);
        usable += hasUsableLeaf(table, part.service, now) ? 1 : 0;
        responsive += hasResponsiveLeaf(table, part.service, forwarder.reachability, now) ? 1 : 0;
    }
    if (usable < preview.requiredServices)
        return CallEnd::NoLeaf;
    return responsive < preview.requiredServices ? std::optional(CallEnd::SilentLeafs)
                                                 : std::nullopt;
}

auto canSendNow(const ServicePreview &service) -> bool
{
    return !service.leafs.empty() && service.leafs.front().rank != 0;
}

} // namespace

auto previewRequest(const Forwarder &forwarder, std::string_view host, std::string_view target,
                    TimePoint now) -> RequestPreview
{
    auto preview = RequestPreview();
    if (forwarder.table == nullptr) {
        preview.refusal = CallEnd::NoRoutes;
        return preview;
    }
    preview.version = forwarder.table->version;
    const auto *const route = findRoute(*forwarder.table, host, target);
    if (route == nullptr) {
        preview.refusal = CallEnd::NoRoute;
        return preview;
    }
    preview.route = route->name;
    preview.needsKey = forwarder.table->tenants.isEnforced && !route->anonymous;
    for (const auto &shard : route->shards)
        preview.services.push_back(previewService(forwarder, *route, shard, now));
    for (const auto &part : route->split) {
        preview.services.push_back(previewService(forwarder, *route, part.service, now));
        preview.services.back().weight = part.weight;
    }
    preview.requiredServices = requiredShards(*route);
    if (forwarder.refusesNewRequests)
        preview.refusal = CallEnd::Stopping;
    else if (isCutOff(forwarder.reachability, now))
        preview.refusal = CallEnd::CutOff;
    else
        preview.refusal = refusalOf(forwarder, preview, now);
    const auto ready = std::count_if(preview.services.begin(), preview.services.end(), canSendNow);
    preview.waits = !preview.refusal && static_cast<std::size_t>(ready) < preview.requiredServices;
    return preview;
}

} // namespace crocusreach::forward

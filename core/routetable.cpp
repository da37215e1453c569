#include "routetable.h"

#include <algorithm>
#include <cmath>

namespace crocusreach::forward {

namespace {

auto lowerCase(std::string_view text) -> std::string
{
    auto lowered = std::string(text);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(), [](char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character + ('a' - 'A'))
                                                    : character;
    });
    return lowered;
}

auto withoutPort(std::string_view host) -> std::string_view
{
    return host.substr(0, host.find(':'));
}

} // namespace

auto indexRoutes(RouteTable &table) -> void
{
    table.byHost.clear();
    table.byService.clear();
    for (std::size_t index = 0; index < table.routes.size(); ++index)
        table.byHost[lowerCase(table.routes[index].host)].push_back(index);
    for (std::size_t index = 0; index < table.services.size(); ++index)
        table.byService.emplace(table.services[index].name, index);
}

auto findRoute(const RouteTable &table, std::string_view host, std::string_view path)
        -> const Route *
{
    const auto found = table.byHost.find(lowerCase(withoutPort(host)));
    if (found == table.byHost.end())
        return nullptr;
    const auto plainPath = path.substr(0, path.find('?'));
    const Route *best = nullptr;
    for (const auto index : found->second) {
        const auto &route = table.routes[index];
        if (plainPath.starts_with(route.pathPrefix)
            && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size()))
            best = &route;
    }
    return best;
}

auto requiredShards(const Route &route) -> std::size_t
{
    // The ratio has few digits, so a product just above a whole number is a rounding error.
    constexpr double tolerance = 1e-9;
    const auto least = route.minShardRatio * static_cast<double>(route.shards.size());
    return std::max(std::size_t(1), static_cast<std::size_t>(std::ceil(least - tolerance)));
}

auto findServiceSpec(const RouteTable &table, std::string_view service) -> const ServiceSpec *
{
    const auto found = table.byService.find(std::string(service));
    return found == table.byService.end() ? nullptr : &table.services[found->second];
}

} // namespace crocusreach::forward

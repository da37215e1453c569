#include "adminroutes.h"

#include <array>
#include <optional>
#include <vector>

namespace crocusreach {

namespace {

struct FixedRoute
{
    std::string_view method;
    std::string_view path;
    AdminCall call;
};

constexpr std::array<FixedRoute, 11> fixedRoutes = {{
        {"GET", "/health", AdminCall::Health},
        {"GET", "/metrics", AdminCall::Metrics},
        {"GET", "/admin/v1/status", AdminCall::Status},
        {"GET", "/admin/v1/explain", AdminCall::Explain},
        {"GET", "/admin/v1/configuration", AdminCall::GetConfiguration},
        {"PUT", "/admin/v1/configuration", AdminCall::PutConfiguration},
        {"POST", "/admin/v1/configuration/diff", AdminCall::DiffConfiguration},
        {"GET", "/admin/v1/history", AdminCall::History},
        {"POST", "/admin/v1/sheet/check", AdminCall::CheckSheet},
        {"POST", "/admin/v1/sheet/diff", AdminCall::DiffSheet},
        {"POST", "/admin/v1/sheet/apply", AdminCall::ApplySheet},
}};

constexpr std::string_view prefix = "/admin/v1/";

auto split(std::string_view path) -> std::vector<std::string_view>
{
    auto parts = std::vector<std::string_view>();
    while (true) {
        const auto slash = path.find('/');
        parts.push_back(path.substr(0, slash));
        if (slash == std::string_view::npos)
            return parts;
        path.remove_prefix(slash + 1);
    }
}

auto parseKind(std::string_view text) -> std::optional<ItemKind>
{
    for (const auto kind : {ItemKind::Domain, ItemKind::Service, ItemKind::Instance}) {
        if (text == toString(kind))
            return kind;
    }
    return std::nullopt;
}

// KIND, or KIND/NAME/STATE.
auto findItemRoute(std::string_view method, std::string_view path)
        -> std::variant<AdminRoute, RouteFailure>
{
    const auto parts = split(path);
    const auto kind = parseKind(parts.front());
    if (!kind)
        return RouteFailure::NotFound;
    if (parts.size() == 1) {
        if (method != "GET")
            return RouteFailure::MethodNotAllowed;
        return AdminRoute{AdminCall::ListItems, *kind, "", DesiredState::In};
    }
    if (parts.size() != 3 || parts[1].empty() || (parts[2] != "in" && parts[2] != "out"))
        return RouteFailure::NotFound;
    if (method != "POST")
        return RouteFailure::MethodNotAllowed;
    const auto state = parts[2] == "in" ? DesiredState::In : DesiredState::Out;
    return AdminRoute{AdminCall::SetState, *kind, std::string(parts[1]), state};
}

} // namespace

auto findRoute(std::string_view method, std::string_view path)
        -> std::variant<AdminRoute, RouteFailure>
{
    auto pathKnown = false;
    for (const auto &route : fixedRoutes) {
        if (route.path != path)
            continue;
        pathKnown = true;
        if (route.method == method)
            return AdminRoute{route.call, ItemKind::Domain, "", DesiredState::In};
    }
    if (pathKnown)
        return RouteFailure::MethodNotAllowed;
    if (!path.starts_with(prefix))
        return RouteFailure::NotFound;
    return findItemRoute(method, path.substr(prefix.size()));
}

auto needsToken(AdminCall call) -> bool
{
    return call != AdminCall::Health && call != AdminCall::Metrics;
}

} // namespace crocusreach

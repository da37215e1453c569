#pragma once

#include "core/configuration.h"

#include <string>
#include <string_view>
#include <variant>

// Which call of the administration API a method and a path name.

namespace crocusreach {

enum class AdminCall : std::uint8_t {
    Health,
    Metrics,
    Status,
    Explain,
    GetConfiguration,
    DiffConfiguration,
    PutConfiguration,
    History,
    CheckSheet,
    DiffSheet,
    ApplySheet,
    SetState,
    ListItems,
};

struct AdminRoute
{
    AdminCall call = AdminCall::Health;
    ItemKind kind = ItemKind::Domain; // of SetState and ListItems
    std::string name; // of SetState
    DesiredState state = DesiredState::In; // of SetState
};

enum class RouteFailure : std::uint8_t { NotFound, MethodNotAllowed };

auto findRoute(std::string_view method, std::string_view path)
        -> std::variant<AdminRoute, RouteFailure>;

// Metrics and health are open to the platform.
auto needsToken(AdminCall call) -> bool;

} // namespace crocusreach

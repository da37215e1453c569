#pragma once

#include "core/placementpreview.h"

#include <optional>
#include <string>
#include <string_view>

// The preview of a request at the administration address: GET /explain?host=HOST&target=PATH.

namespace crocusreach {

// The reply for the request target of the call; absent if the target names no host or no path.
auto explainTarget(const forward::Forwarder &forwarder, std::string_view callTarget, TimePoint now)
        -> std::optional<std::string>;

} // namespace crocusreach

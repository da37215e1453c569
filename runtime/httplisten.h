#pragma once

#include "core/types.h"

#include <libsoup/soup.h>

#include <string>
#include <string_view>

// Listeners for HTTP servers.

namespace crocusreach {

// Listens on IP:port in the thread-default main context. Port 0 lets the kernel choose. Returns the
// address that the listener really has; fails with the step given.
auto listenHttp(SoupServer *server, std::string_view address, Step step) -> Result<std::string>;

} // namespace crocusreach

#pragma once

#include "core/types.h"

#include <libsoup/soup.h>

#include <cstddef>
#include <functional>
#include <string_view>

// Reading of replies from servers that may send without end.

namespace crocusreach {

// Bytes of the replies that are being read at present, of all requests that share the budget.
struct ReplyBudget
{
    std::size_t held = 0;
};

// The whole body, or the error that ended the reply. The body is empty after an error.
using ReplyRead = std::function<auto(std::string_view body, const GError *error)->void>;

// Sends a request and reads its reply into memory, in the thread's main context. Fails with
// G_IO_ERROR_NO_SPACE if the reply gets too long, on its own or together with the others of the
// budget, or brings too many interim replies, and with G_IO_ERROR_CANCELLED if it takes longer than
// the timeout or the cancellable is cancelled. A connection whose reply has failed is closed.
auto sendAndRead(SoupSession *session, SoupMessage *message, GCancellable *cancellable,
                 ReplyBudget &budget, Duration timeout, ReplyRead done) -> void;

} // namespace crocusreach

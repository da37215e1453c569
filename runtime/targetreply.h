#pragma once

#include "core/dispatch.h"

#include <libsoup/soup.h>

#include <string_view>

// Reading of what a target answers, apart from the connection that it came over.

namespace crocusreach {

// Fills the reply's fields from the headers that targets send with each reply.
auto readTargetHeaders(SoupMessageHeaders *headers, TargetReply &reply) -> void;

// Sets outcome and reason from the HTTP status, and the rows from the body of a 200. The headers
// must have been read.
auto readTargetResult(unsigned status, SoupMessageHeaders *headers, std::string_view body,
                      TargetReply &reply) -> void;

} // namespace crocusreach

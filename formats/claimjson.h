#pragma once

#include "core/claims.h"
#include "core/types.h"

#include <string>
#include <string_view>

// A claim as JSON, as the store holds it.

namespace crocusreach {

// Fails with Step::Claim and the key as peer.
auto parseClaim(std::string_view text, std::string_view key) -> Result<ClaimRecord>;
auto writeClaim(const ClaimRecord &record) -> std::string;

} // namespace crocusreach

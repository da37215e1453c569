#pragma once

#include "core/tenants.h"

#include <optional>
#include <string_view>

namespace crocusreach {

// Longer keys are never valid, so that a caller can't make an instance hash long texts.
constexpr std::size_t maxKeyBytes = 512;

// HMAC with SHA-256 under a secret that the process draws once. Absent if the key is empty or too
// long.
auto digestOf(std::string_view key) -> std::optional<forward::KeyDigest>;

} // namespace crocusreach

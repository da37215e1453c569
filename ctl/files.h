#pragma once

#include "core/types.h"

#include <string>

namespace crocusreach::ctl {

// The content of a file; "-" is standard input. On failure the error has the path as peer.
auto readFile(const std::string &path) -> Result<std::string>;

} // namespace crocusreach::ctl

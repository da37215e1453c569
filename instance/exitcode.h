#pragma once

#include <cstdint>

namespace crocusreach {

// docs/exit-codes.md describes them.
enum ExitCode : std::uint8_t { Success = 0, Failure = 1, BadUsage = 2, StoppedEarly = 3 };

} // namespace crocusreach

#pragma once

#include <cstdint>

// Exit codes of the command line, as docs/exit-codes.md lists them.

namespace crocusreach::ctl {

enum class ExitCode : std::uint8_t {
    Success = 0,
    Failure = 1,
    BadUsage = 2,
    Conflict = 4,
    ConfirmationNeeded = 5,
    Unreachable = 6,
};

} // namespace crocusreach::ctl

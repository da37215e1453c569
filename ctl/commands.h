#pragma once

#include "exitcode.h"
#include "options.h"

// The subcommands. Each prints its result to standard output and failures to standard error.

namespace crocusreach::ctl {

auto runCommand(const Options &options) -> ExitCode;

} // namespace crocusreach::ctl

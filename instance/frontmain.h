#pragma once

// The binary's run as a front on the users' platform.

namespace crocusreach {

// Runs until SIGTERM. Returns the exit code of the process.
auto runFront() -> int;

} // namespace crocusreach

#pragma once

#include <string>

// The binary's run as an instance of a cell, with settings of its own.

namespace crocusreach {

// Runs until SIGTERM, or only checks the settings file. Returns the exit code of the process.
auto runCell(const std::string &settingsPath, bool checkOnly) -> int;

} // namespace crocusreach

#include "cellmain.h"
#include "exitcode.h"

#include <iostream>

// Stands for cellmain.cpp in the platform's build. The libraries of a cell take longer to load than
// a front takes to start.

namespace crocusreach {

auto runCell(const std::string & /*settingsPath*/, bool /*checkOnly*/) -> int
{
    std::cerr << "this build of crocusreach only runs with --platform\n";
    return BadUsage;
}

} // namespace crocusreach

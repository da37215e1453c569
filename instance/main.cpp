#include "cellmain.h"
#include "exitcode.h"
#include "frontmain.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <span>
#include <string_view>

// The binary crocusreach: one instance until SIGTERM.

// gflags fixes the form of flag definitions.
// NOLINTBEGIN
DEFINE_string(settings, "", "settings file of the instance (JSON with comments)");
DEFINE_bool(platform, false, "run as a front of the users' platform, with its settings file");
DEFINE_bool(check_settings, false, "check the settings file and exit");
// NOLINTEND

using namespace crocusreach;

namespace {

constexpr auto helpText = R"(crocusreach - one instance of a query tier over many shards

Usage: crocusreach --settings FILE [--check_settings]
       crocusreach --platform

  --settings FILE    settings of the instance, JSON with comments; examples/settings.json shows
                     every key with its default
  --platform         run as a front of the users' platform; its settings file is named by the
                     environment, and its log goes to standard output
  --check_settings   check the settings file, print each fault on a line of its own, and exit
  --help, --version

The log goes to standard error, one numbered event a line (docs/log-events.md). The line
listener_opened names the real address of each listener, since port 0 lets the kernel choose.
SIGTERM starts a graceful stop; a second one ends the process at once.

Exit codes: 0 success, 1 failure, 2 bad usage or settings, 3 stopped before all work ended.
)";

// gflags' own help lists the flags of all linked libraries.
auto wantsHelp(std::span<char *const> arguments) -> bool
{
    const auto isHelp = [](std::string_view argument) {
        return argument == "--help" || argument == "-help" || argument == "-h";
    };
    return std::any_of(arguments.begin(), arguments.end(), isHelp);
}

} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::SetVersionString(CROCUSREACH_VERSION);
    if (wantsHelp({argv, static_cast<std::size_t>(argc)})) {
        std::cout << helpText;
        return Success;
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_platform && argc == 1)
        return runFront();
    if (FLAGS_settings.empty() || argc > 1) {
        std::cerr << "usage: crocusreach --settings FILE [--check-settings]\n";
        return BadUsage;
    }
    return runCell(FLAGS_settings, FLAGS_check_settings);
}

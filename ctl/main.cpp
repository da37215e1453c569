#include "commands.h"
#include "options.h"

#include <iostream>

// The binary crocusreachctl: one command of an operator.

using namespace crocusreach;
using namespace crocusreach::ctl;

auto main(int argc, char **argv) -> int
{
    const auto arguments = std::vector<std::string>(argv + 1, argv + argc);
    const auto parsed = parseOptions(arguments);
    if (isError(parsed)) {
        const auto &error = std::get<Error>(parsed);
        std::cerr << "usage: " << error.peer << ": " << error.text << "\n";
        return static_cast<int>(ExitCode::BadUsage);
    }
    const auto &options = std::get<Options>(parsed);
    if (options.mode == Mode::Help) {
        std::cout << helpText();
        return static_cast<int>(ExitCode::Success);
    }
    if (options.mode == Mode::Version) {
        std::cout << "crocusreachctl " CROCUSREACH_VERSION "\n";
        return static_cast<int>(ExitCode::Success);
    }
    return static_cast<int>(runCommand(options));
}

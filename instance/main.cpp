#include "core/invariants.h"
#include "exitcode.h"
#include "formats/settings.h"
#include "frontmain.h"
#include "runtime/instance.h"
#include "runtime/log.h"

#include <gflags/gflags.h>
#include <glib-unix.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <span>
#include <sstream>
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

auto readSettings(const std::string &path) -> Result<Settings>
{
    auto file = std::ifstream(path, std::ios::binary);
    auto text = std::ostringstream();
    text << file.rdbuf();
    if (!file)
        return Error{Step::Settings, path, "the file can't be read"};
    return parseSettings(text.str(), path);
}

auto logViolation(Invariant invariant, std::string_view detail) -> void
{
    logEvent(LogEvent::InvariantViolated,
             {{"invariant", std::string(toString(invariant))}, {"detail", std::string(detail)}});
}

// What the signal handlers act on. It belongs to the main thread.
struct Running
{
    GMainLoop *loop = nullptr;
    Instance *instance = nullptr;
    bool stopping = false;
    int exitCode = Success;
};

auto onTerminate(gpointer data) -> gboolean
{
    auto &running = *static_cast<Running *>(data);
    const auto end = [&running](int exitCode) {
        running.exitCode = exitCode;
        g_main_loop_quit(running.loop);
    };
    if (std::exchange(running.stopping, true)) {
        end(StoppedEarly);
        return G_SOURCE_CONTINUE;
    }
    running.instance->beginStop([end](StopResult result) {
        end(result == StopResult::Completed ? Success : StoppedEarly);
    });
    return G_SOURCE_CONTINUE;
}

auto run(const Settings &settings) -> int
{
    startLog(severityFromString(settings.logLevel), std::clog);
    setViolationHandler(&logViolation);
    auto started = Instance::start(settings, CROCUSREACH_VERSION);
    if (failed(started)) {
        const auto text = describe(std::get<Error>(started));
        logEvent(LogEvent::StartFailed, {{"error", text}});
        stopLog();
        std::cerr << text << '\n';
        return std::get<Error>(started).step == Step::Settings ? BadUsage : Failure;
    }
    auto instance = std::get<std::unique_ptr<Instance>>(std::move(started));
    auto running = Running{g_main_loop_new(nullptr, FALSE), instance.get()};
    const auto terminate = g_unix_signal_add(SIGTERM, &onTerminate, &running);
    const auto interrupt = g_unix_signal_add(SIGINT, &onTerminate, &running);
    g_main_loop_run(running.loop);
    g_source_remove(terminate);
    g_source_remove(interrupt);
    g_main_loop_unref(running.loop);
    instance.reset();
    stopLog();
    return running.exitCode;
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
    const auto settings = readSettings(FLAGS_settings);
    if (failed(settings)) {
        std::cerr << describe(std::get<Error>(settings)) << '\n';
        return BadUsage;
    }
    if (FLAGS_check_settings)
        return Success;
    return run(std::get<Settings>(settings));
}

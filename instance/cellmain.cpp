#include "cellmain.h"

#include "base/log.h"
#include "core/invariants.h"
#include "exitcode.h"
#include "formats/settings.h"
#include "runtime/instance.h"

#include <glib-unix.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace crocusreach {

namespace {

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
    if (isError(started)) {
        const auto text = describe(std::get<Error>(started));
        logEvent(LogEvent::StartFailed, {{"error", text}});
        std::cerr << text << '\n';
        return exitAfterLog(std::get<Error>(started).step == Step::Settings ? BadUsage : Failure);
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
    return exitAfterLog(running.exitCode);
}

} // namespace

auto runCell(const std::string &settingsPath, bool checkOnly) -> int
{
    const auto settings = readSettings(settingsPath);
    if (isError(settings)) {
        std::cerr << describe(std::get<Error>(settings)) << '\n';
        return BadUsage;
    }
    if (checkOnly)
        return Success;
    return run(std::get<Settings>(settings));
}

} // namespace crocusreach

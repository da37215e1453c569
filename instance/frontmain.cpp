#include "frontmain.h"

#include "base/log.h"
#include "exitcode.h"
#include "front/front.h"
#include "platform/codec.h"
#include "platform/settings.h"

#include <glib-unix.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace crocusreach {

namespace {

// The settings file may change without a signal; it is looked at this often.
constexpr guint settingsCheckSeconds = 2;

// What the signal handlers and the timer act on. It belongs to the main thread.
struct RunningFront
{
    GMainLoop *loop = nullptr;
    Front *front = nullptr;
    std::string settingsPath;
    std::string settingsText;
    bool stopping = false;
    int exitCode = Success;
};

auto readText(const std::string &path) -> std::string
{
    auto file = std::ifstream(path, std::ios::binary);
    auto text = std::ostringstream();
    text << file.rdbuf();
    return text.str();
}

auto reloadChanged(RunningFront &running) -> void
{
    auto text = readText(running.settingsPath);
    // An empty file is one that is being written.
    if (text.empty() || text == running.settingsText)
        return;
    running.settingsText = std::move(text);
    const auto settings = platform::parseSettings(running.settingsText, running.settingsPath);
    if (isError(settings))
        return logEvent(LogEvent::SettingsInvalid,
                        {{"error", describe(std::get<Error>(settings))}});
    running.front->reload(std::get<FrontSettings>(settings));
}

auto onReload(gpointer data) -> gboolean
{
    reloadChanged(*static_cast<RunningFront *>(data));
    return G_SOURCE_CONTINUE;
}

auto onTerminate(gpointer data) -> gboolean
{
    auto &running = *static_cast<RunningFront *>(data);
    if (std::exchange(running.stopping, true))
        return G_SOURCE_CONTINUE;
    running.front->beginStop([&running](bool allEnded) {
        running.exitCode = allEnded ? Success : StoppedEarly;
        g_main_loop_quit(running.loop);
    });
    return G_SOURCE_CONTINUE;
}

auto fail(const Error &error) -> int
{
    logEvent(LogEvent::StartFailed, {{"error", describe(error)}});
    std::cerr << describe(error) << '\n';
    return exitAfterLog(error.step == Step::Settings ? BadUsage : Failure);
}

} // namespace

auto runFront() -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    auto running = RunningFront();
    // Signals that come during the start are kept until the loop runs.
    g_unix_signal_add(SIGTERM, &onTerminate, &running);
    g_unix_signal_add(SIGINT, &onTerminate, &running);
    g_unix_signal_add(SIGHUP, &onReload, &running);
    running.settingsPath = platform::settingsPath();
    running.settingsText = readText(running.settingsPath);
    startLog(Severity::Info, std::cout);
    const auto settings = platform::parseSettings(running.settingsText, running.settingsPath);
    if (isError(settings))
        return fail(std::get<Error>(settings));
    auto started = Front::start(std::get<FrontSettings>(settings), platform::makeCodec(),
                                g_main_context_default());
    if (isError(started))
        return fail(std::get<Error>(started));
    auto front = std::get<std::unique_ptr<Front>>(std::move(started));
    running.front = front.get();
    running.loop = g_main_loop_new(nullptr, FALSE);
    g_timeout_add_seconds(settingsCheckSeconds, &onReload, &running);
    g_main_loop_run(running.loop);
    g_main_loop_unref(running.loop);
    front.reset();
    return exitAfterLog(running.exitCode);
}

} // namespace crocusreach

#include "fleet.h"

#include "standins/platformobjects.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstring>
#include <fstream>
#include <thread>

namespace crocusreach::soak {

namespace {

constexpr std::size_t seedCount = 3;

constexpr auto exitSuccess = 0;
constexpr auto exitStoppedEarly = 3;
// Its libraries load within some ten milliseconds, longer beside other load.
constexpr auto loadTime = std::chrono::milliseconds(100);
// Of the settings; a process that was told to stop is gone by then.
constexpr auto grace = std::chrono::seconds(4);

auto withPort(const Fleet &fleet, const FrontProcess &front, int offset) -> std::string
{
    return front.ip + ":" + std::to_string(fleet.basePort + offset);
}

auto describeStatus(int status) -> std::string
{
    if (WIFSIGNALED(status))
        return "ended by signal " + std::to_string(WTERMSIG(status));
    return "ended with code " + std::to_string(WEXITSTATUS(status));
}

} // namespace

auto callerAddress(const Fleet &fleet, const FrontProcess &front) -> std::string
{
    return withPort(fleet, front, 0);
}

auto readyAddress(const Fleet &fleet, const FrontProcess &front) -> std::string
{
    return withPort(fleet, front, 1);
}

auto addFronts(Fleet &fleet, std::size_t count) -> void
{
    for (std::size_t number = 0; number < count; ++number) {
        auto front = FrontProcess();
        front.name = "front-" + std::to_string(number);
        front.domain = "zone-" + std::to_string(number % 3);
        front.ip = "127.0.7." + std::to_string(number + 10);
        front.settingsPath = fleet.folder + "/" + front.name + ".conf";
        front.logPath = fleet.folder + "/" + front.name + ".log";
        fleet.fronts.push_back(std::move(front));
    }
}

auto seedsOf(Fleet &fleet) -> std::span<FrontProcess>
{
    return std::span(fleet.fronts).first(std::min(seedCount, fleet.fronts.size()));
}

auto writeSettings(const Fleet &fleet, const FrontProcess &front, std::uint32_t change) -> void
{
    auto seeds = std::string();
    for (std::size_t number = 0; number < std::min(seedCount, fleet.fronts.size()); ++number)
        seeds += (seeds.empty() ? "" : ",") + withPort(fleet, fleet.fronts[number], 2);
    const auto next = front.settingsPath + ".new";
    {
        auto file = std::ofstream(next);
        file << standins::settingsText({front.name, front.domain, front.ip,
                                        callerAddress(fleet, front), readyAddress(fleet, front),
                                        withPort(fleet, front, 2), seeds, fleet.storeAddress,
                                        grace.count(), change});
    }
    std::rename(next.c_str(), front.settingsPath.c_str());
}

auto startFront(Fleet &fleet, FrontProcess &front) -> void
{
    front.startedAt = std::chrono::steady_clock::now();
    const auto variable = std::string(standins::settingsVariable) + "=" + front.settingsPath;
    const auto log = ::open(front.logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    front.pid = ::fork();
    if (front.pid == 0) {
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        auto arguments = std::to_array<std::string>({fleet.binary, "--platform"});
        auto pointers = std::array<char *, 3>{arguments[0].data(), arguments[1].data(), nullptr};
        auto setting = variable;
        auto environment = std::array<char *, 2>{setting.data(), nullptr};
        ::execve(fleet.binary.c_str(), pointers.data(), environment.data());
        ::_exit(127);
    }
    ::close(log);
    front.paused = false;
    front.ending = false;
}

auto signalFront(FrontProcess &front, int signal) -> void
{
    // kill() with 0 would reach all processes of the group.
    if (front.pid <= 0)
        return;
    if (signal == SIGTERM)
        front.stoppedAt = std::chrono::steady_clock::now();
    if (signal == SIGSTOP)
        front.paused = true;
    if (signal == SIGCONT)
        front.paused = false;
    ::kill(front.pid, signal);
}

auto awaitEnd(Fleet &fleet, FrontProcess &front, bool killed) -> void
{
    if (front.pid <= 0)
        return;
    const auto deadline = std::chrono::steady_clock::now() + grace + std::chrono::seconds(2);
    auto status = 0;
    while (::waitpid(front.pid, &status, WNOHANG) == 0) {
        if (std::chrono::steady_clock::now() > deadline) {
            fleet.findings.push_back(front.name + " did not end within its grace time");
            ::kill(front.pid, SIGKILL);
            ::waitpid(front.pid, &status, 0);
            front.pid = 0;
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    front.pid = 0;
    // Until the program has loaded, SIGTERM ends it at once; it has taken no request by then.
    const auto loading = WIFSIGNALED(status) && WTERMSIG(status) == SIGTERM
                         && front.stoppedAt - front.startedAt < loadTime;
    if (loading)
        return;
    const auto code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    if (!killed && code != exitSuccess && code != exitStoppedEarly)
        fleet.findings.push_back(front.name + " " + describeStatus(status));
}

auto findEnded(Fleet &fleet) -> void
{
    for (auto &front : fleet.fronts) {
        auto status = 0;
        if (front.pid == 0 || front.ending || ::waitpid(front.pid, &status, WNOHANG) != front.pid)
            continue;
        front.pid = 0;
        fleet.findings.push_back(front.name + " " + describeStatus(status) + " by itself");
    }
}

} // namespace crocusreach::soak

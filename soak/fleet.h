#pragma once

#include <sys/types.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

// The fronts of a soak: real processes of the program, each with a loopback address of its own.

namespace crocusreach::soak {

struct FrontProcess
{
    std::string name;
    std::string domain;
    std::string ip;
    std::string settingsPath;
    std::string logPath;
    pid_t pid = 0; // 0: not running
    bool paused = false;
    bool ending = false; // was killed or told to stop, and isn't started again yet
    std::chrono::steady_clock::time_point startedAt = {};
    std::chrono::steady_clock::time_point stoppedAt = {}; // when it was told to end
};

struct Fleet
{
    std::string binary;
    std::string folder; // of settings and logs
    std::string storeAddress;
    std::uint16_t basePort = 0;
    std::vector<FrontProcess> fronts;
    std::vector<std::string> findings; // processes that ended in a way they must not
};

auto callerAddress(const Fleet &fleet, const FrontProcess &front) -> std::string;
auto readyAddress(const Fleet &fleet, const FrontProcess &front) -> std::string;

// The fronts that the settings name as seeds: those that others read the store through.
auto seedsOf(Fleet &fleet) -> std::span<FrontProcess>;

// Adds fronts in three failure domains. Doesn't start them.
auto addFronts(Fleet &fleet, std::size_t count) -> void;

// Writes the settings file, with a comment that makes it differ from the last one.
auto writeSettings(const Fleet &fleet, const FrontProcess &front, std::uint32_t change) -> void;

auto startFront(Fleet &fleet, FrontProcess &front) -> void;
auto signalFront(FrontProcess &front, int signal) -> void;

// Waits for the end of a process that was told to end. Exit codes other than those allowed are
// findings.
auto awaitEnd(Fleet &fleet, FrontProcess &front, bool killed) -> void;

// Notes processes that have ended by themselves.
auto findEnded(Fleet &fleet) -> void;

} // namespace crocusreach::soak

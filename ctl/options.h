#pragma once

#include "core/types.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// The command line: flags and the words of the command.

namespace crocusreach::ctl {

enum class Mode : std::uint8_t { Run, Help, Version };

struct Options
{
    Mode mode = Mode::Run;
    std::vector<std::string> words; // for example "domain", "out", "muar-a"
    std::vector<std::string> addresses; // IP:port of administration listeners
    std::string token; // empty: none
    std::string service; // of explain
    std::string request; // of explain: a request's id
    std::string host; // of explain: of a request that isn't sent
    std::string target; // likewise, its path
    std::string reason;
    std::string confirm; // token of a sheet's plan
    std::string changeId; // empty: a new one
    std::optional<std::uint64_t> revision; // that a configuration is based on
    std::chrono::milliseconds timeout = std::chrono::seconds(10);
    bool json = false;
    bool wait = false;
};

// Flags may come before, between and after the words. On failure the error has the flag as peer.
auto parseOptions(std::span<const std::string> arguments) -> Result<Options>;

auto helpText() -> std::string_view;

} // namespace crocusreach::ctl

#pragma once

#include "base/log.h"
#include "core/requestdiagnosis.h"
#include "core/types.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Reads what the log of one instance says of one request. The lines are those that base/log and
// front/frontlog write.

namespace crocusreach {

struct LogLine
{
    std::optional<WallTime> time;
    LogEvent event = {};
    std::vector<std::pair<std::string, std::string>> fields; // without those of all events
};

// What stands before the time, as log collectors put it there, is left out. Nothing if the text
// isn't a line of a known event.
auto parseLogLine(std::string_view text) -> std::optional<LogLine>;

// The value of a field; empty if the line doesn't have it.
auto fieldOf(const LogLine &line, std::string_view key) -> std::string_view;

struct RequestLog
{
    std::string requestId;
    forward::RequestHistory history;
    std::vector<std::string> lines; // those of the request, as they were read
    std::set<std::string, std::less<>> unreachableChannels; // as of the latest line
    std::set<std::string, std::less<>> evacuated;
    std::optional<WallTime> routesChangedAt;
    std::optional<WallTime> leafRemovedAt;
};

// Takes the next line of the log.
auto takeLine(RequestLog &log, std::string_view text) -> void;

} // namespace crocusreach

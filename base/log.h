#pragma once

#include "core/types.h"

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>

// Numbered log events, one line each as key=value. docs/log-events.md is their catalogue.

namespace crocusreach {

enum class Severity : std::uint8_t { Debug, Info, Warning, Error };

// The numbers are part of the interface to operators: they are never reused.
enum class LogEvent : std::uint16_t {
    InstanceStarted = 100,
    ListenerOpened = 101,
    StopRequested = 102,
    QueriesRefused = 103,
    StopCompleted = 104,
    StopDeadlinePassed = 105,
    StartFailed = 106,
    ReadinessChanged = 107,
    SettingsReloaded = 108,
    SettingsInvalid = 109,
    ListenerFailed = 110,
    PauseNoticed = 111,
    AnswerCut = 112,
    ConfigurationInForce = 200,
    AssignmentInForce = 201,
    SharesChanged = 202,
    StoreUnreachable = 203,
    StoreReachable = 204,
    LeaseWithoutEvidence = 205,
    RoutesInForce = 206,
    StoreObjectRejected = 207,
    LeafRegistered = 208,
    LeafRemoved = 209,
    EvacuationsChanged = 210,
    InstancesCounted = 211,
    SourceChanged = 212,
    ChangeAccepted = 213,
    ChangeRefused = 214,
    LeafLeaving = 215,
    LeafLimitChanged = 216,
    CopyOutdated = 217,
    CopyConfirmed = 218,
    LeafPaused = 219,
    RolloutPhaseChanged = 220,
    RolloutFoundBad = 221,
    RolloutStatusWritten = 222,
    StoreEraChanged = 223,
    CrossingChanged = 224,
    StoreKindUnknown = 225,
    TenantLimited = 230,
    TenantUnlimited = 231,
    PeerLinkOpened = 300,
    PeerLinkLost = 301,
    PeerLinkSilent = 302,
    PeerMessageInvalid = 303,
    RequestEnded = 400,
    RequestDegraded = 401,
    RequestRejected = 402,
    SendRepeated = 403,
    SendFailed = 404,
    CallersRefused = 410,
    InvariantViolated = 900,
};

struct LogEventInfo
{
    LogEvent event = {};
    std::string_view name;
    Severity severity = Severity::Info;
    std::string_view text;
};

// All events in the order of their numbers.
auto logEvents() -> std::span<const LogEventInfo>;

auto toString(Severity severity) -> std::string_view;
// The severity of a name as in the settings; Info if there is none of that name.
auto severityFromString(std::string_view name) -> Severity;

struct LogField
{
    std::string_view key;
    std::string value;
};

// "event=100 name=instance_started severity=info text="..." key=value ...". Values with characters
// other than letters, digits and "-_.:/,+" are quoted; control characters are escaped.
auto formatLogLine(LogEvent event, std::span<const LogField> fields) -> std::string;

// Starts a thread that writes lines to the stream, which must outlive the log. A full queue drops
// lines instead of holding up the tasks. To be called once.
auto startLog(Severity least, std::ostream &stream) -> void;
// Writes what is queued and ends the thread. False if the stream took it for longer than the given
// time; the thread then goes on, and the stream must stay.
auto stopLog(std::chrono::milliseconds patience = std::chrono::seconds(1)) -> bool;
// The same before the process returns this exit code. Ends the process at once if the reader of the
// log takes nothing, since it would keep a process that was told to stop.
auto exitAfterLog(int code) -> int;

// Lines of one event that are written in one second. Further ones are left out and counted; the
// next line that is written tells their number. The first of a second always is.
constexpr std::uint32_t linesPerSecond = 40;

auto logEvent(LogEvent event, std::span<const LogField> fields) -> void;
auto logEvent(LogEvent event, std::initializer_list<LogField> fields = {}) -> void;

} // namespace crocusreach

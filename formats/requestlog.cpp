#include "requestlog.h"

#include "core/text.h"
#include "timetext.h"

#include <algorithm>
#include <charconv>

namespace crocusreach {

using namespace forward;

namespace {

constexpr std::string_view timeKey = "time=";
constexpr std::string_view eventKey = "event=";

auto hexValue(std::string_view digits) -> std::optional<char>
{
    auto code = 0;
    const auto end = digits.data() + digits.size();
    const auto result = std::from_chars(digits.data(), end, code, 16);
    if (digits.size() != 2 || result.ptr != end)
        return {};
    return static_cast<char>(code);
}

// Takes a quoted value off the text, without its quotes and escapes.
auto takeQuoted(std::string_view &text) -> std::optional<std::string>
{
    auto value = std::string();
    for (std::size_t at = 1; at < text.size(); ++at) {
        if (text[at] == '"') {
            text.remove_prefix(at + 1);
            return value;
        }
        if (text[at] != '\\') {
            value += text[at];
            continue;
        }
        if (++at == text.size())
            return {};
        if (text[at] != 'x') {
            value += text[at];
            continue;
        }
        const auto character = hexValue(text.substr(at + 1, 2));
        if (!character)
            return {};
        value += *character;
        at += 2;
    }
    return {};
}

auto takeValue(std::string_view &text) -> std::optional<std::string>
{
    if (text.starts_with('"'))
        return takeQuoted(text);
    const auto end = std::min(text.find(' '), text.size());
    auto value = std::string(text.substr(0, end));
    text.remove_prefix(end);
    return value;
}

auto toNumber(std::string_view text) -> std::uint64_t
{
    auto value = std::uint64_t(0);
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

auto knownEvent(std::string_view text) -> std::optional<LogEvent>
{
    const auto number = toNumber(text);
    const auto events = logEvents();
    const auto found = std::find_if(events.begin(), events.end(), [&](const LogEventInfo &info) {
        return static_cast<std::uint64_t>(info.event) == number;
    });
    if (found == events.end())
        return {};
    return found->event;
}

auto millisecondsOf(const LogLine &line, std::string_view key) -> Duration
{
    return std::chrono::milliseconds(toNumber(fieldOf(line, key)));
}

// Milliseconds; absent if the line has no number there.
auto ageOf(const LogLine &line, std::string_view key) -> std::optional<Duration>
{
    const auto age = parseNumber<std::int64_t>(fieldOf(line, key));
    return age ? std::optional<Duration>(std::chrono::milliseconds(*age)) : std::nullopt;
}

auto textOf(const LogLine &line, std::string_view key) -> std::string
{
    return std::string(fieldOf(line, key));
}

auto isYes(const LogLine &line, std::string_view key) -> bool
{
    return fieldOf(line, key) == "yes";
}

auto readSummary(const LogLine &line) -> std::optional<CallSummary>
{
    const auto end = callEndFromString(fieldOf(line, "end"));
    if (!end)
        return {};
    auto summary = CallSummary();
    summary.requestId = fieldOf(line, "request");
    summary.end = *end;
    summary.route = fieldOf(line, "route");
    summary.version = toNumber(fieldOf(line, "version"));
    summary.stateAge = ageOf(line, "version_age_ms");
    summary.elapsed = millisecondsOf(line, "spent_ms");
    summary.timeLeftAtArrival = millisecondsOf(line, "time_left_ms");
    summary.timeAllowed = millisecondsOf(line, "allowed_ms");
    summary.late = isYes(line, "late");
    summary.parts = toNumber(fieldOf(line, "parts"));
    summary.missing = toNumber(fieldOf(line, "missing"));
    summary.sends = static_cast<std::uint32_t>(toNumber(fieldOf(line, "sends")));
    summary.hedges = static_cast<std::uint32_t>(toNumber(fieldOf(line, "hedges")));
    summary.retries = static_cast<std::uint32_t>(toNumber(fieldOf(line, "retries")));
    summary.typicalLatency = millisecondsOf(line, "usual_ms");
    summary.lastLeaf = fieldOf(line, "waited_for");
    summary.leafLatency = millisecondsOf(line, "leaf_took_ms");
    summary.timeSinceLeafAnswer = ageOf(line, "leaf_age_ms");
    summary.leafCold = isYes(line, "leaf_cold");
    summary.closeDelimited = toNumber(fieldOf(line, "close_delimited"));
    return summary;
}

auto readFailedSend(const LogLine &line) -> std::optional<SendFailureReport>
{
    const auto reason = retryReasonFromString(fieldOf(line, "reason"));
    if (!reason)
        return {};
    auto failed = SendFailureReport();
    failed.requestId = fieldOf(line, "request");
    failed.service = fieldOf(line, "service");
    failed.leaf = fieldOf(line, "leaf");
    failed.domain = fieldOf(line, "domain");
    failed.reason = *reason;
    failed.waited = millisecondsOf(line, "waited_ms");
    failed.timeSinceLeafAnswer = ageOf(line, "leaf_silence_ms");
    failed.leafCold = isYes(line, "leaf_cold");
    failed.connection.end = connectionEndFromString(fieldOf(line, "connection_end"))
                                    .value_or(ConnectionEnd::Open);
    failed.connection.answerBytes = toNumber(fieldOf(line, "answer_bytes"));
    return failed;
}

auto splitNames(std::string_view list) -> std::set<std::string, std::less<>>
{
    auto names = std::set<std::string, std::less<>>();
    for (const auto name : splitList(list))
        names.emplace(name);
    return names;
}

auto timeBetween(const std::optional<WallTime> &from, const std::optional<WallTime> &to)
        -> std::optional<Duration>
{
    if (!from || !to)
        return {};
    return *to - *from;
}

// What a line says of the platform, whatever the request.
auto takeContext(RequestLog &log, const LogLine &line) -> void
{
    switch (line.event) {
    case LogEvent::InstanceStarted: // a new start knows nothing of what was before
        log.unreachableChannels.clear();
        log.evacuated.clear();
        break;
    case LogEvent::StoreUnreachable:
        log.unreachableChannels.insert(textOf(line, "channel"));
        break;
    case LogEvent::StoreReachable:
        log.unreachableChannels.erase(textOf(line, "channel"));
        break;
    case LogEvent::RoutesInForce:
        log.routesChangedAt = line.time;
        break;
    case LogEvent::LeafRemoved:
        log.leafRemovedAt = line.time;
        break;
    case LogEvent::EvacuationsChanged:
        log.evacuated = splitNames(fieldOf(line, "domains"));
        break;
    default:
        break;
    }
}

auto takeRequestLine(RequestLog &log, const LogLine &line) -> void
{
    if (line.event == LogEvent::SendFailed) {
        if (auto failed = readFailedSend(line))
            log.history.failedSends.push_back(std::move(*failed));
        return;
    }
    if (line.event != LogEvent::RequestEnded && line.event != LogEvent::RequestDegraded)
        return;
    log.history.summary = readSummary(line);
    log.history.unreachableChannels = log.unreachableChannels;
    log.history.evacuated = log.evacuated;
    log.history.sinceRoutesChanged = timeBetween(log.routesChangedAt, line.time);
    log.history.sinceLeafRemoved = timeBetween(log.leafRemovedAt, line.time);
}

} // namespace

auto parseLogLine(std::string_view text) -> std::optional<LogLine>
{
    const auto start = std::min(text.find(timeKey), text.find(eventKey));
    if (start == std::string_view::npos)
        return {};
    text.remove_prefix(start);
    while (text.ends_with('\n') || text.ends_with('\r'))
        text.remove_suffix(1);
    auto line = LogLine();
    auto event = std::optional<LogEvent>();
    while (!text.empty()) {
        const auto equals = text.find('=');
        if (equals == std::string_view::npos)
            return {};
        const auto key = text.substr(0, equals);
        text.remove_prefix(equals + 1);
        auto value = takeValue(text);
        if (!value)
            return {};
        text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
        if (key == "time")
            line.time = parseTime(*value);
        else if (key == "event")
            event = knownEvent(*value);
        else if (key != "name" && key != "severity" && key != "text")
            line.fields.emplace_back(key, std::move(*value));
    }
    if (!event)
        return {};
    line.event = *event;
    return line;
}

auto fieldOf(const LogLine &line, std::string_view key) -> std::string_view
{
    const auto found = std::find_if(line.fields.begin(), line.fields.end(),
                                    [key](const auto &field) { return field.first == key; });
    return found == line.fields.end() ? std::string_view() : std::string_view(found->second);
}

auto takeLine(RequestLog &log, std::string_view text) -> void
{
    const auto line = parseLogLine(text);
    if (!line)
        return;
    takeContext(log, *line);
    if (log.requestId.empty() || fieldOf(*line, "request") != log.requestId)
        return;
    log.lines.emplace_back(text);
    takeRequestLine(log, *line);
}

} // namespace crocusreach

#include "log.h"

#include "clock.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <mutex>
#include <optional>
#include <ostream>
#include <thread>
#include <utility>

namespace crocusreach {

namespace {

namespace sinks = boost::log::sinks;

constexpr std::size_t queuedLines = 4096;
// Lines of this time are written together, since a wake-up and a write cost many times what a line
// does. A process that is killed loses no more than these. Errors are written at once.
constexpr auto gatherTime = std::chrono::milliseconds(50);
using Sink
        = sinks::asynchronous_sink<sinks::text_ostream_backend,
                                   sinks::bounded_fifo_queue<queuedLines, sinks::drop_on_overflow>>;

constexpr auto events = std::to_array<LogEventInfo>({
        {LogEvent::InstanceStarted, "instance_started", Severity::Info, "the instance runs"},
        {LogEvent::ListenerOpened, "listener_opened", Severity::Info,
         "a listener accepts connections"},
        {LogEvent::StopRequested, "stop_requested", Severity::Info,
         "the instance reports itself leaving and begins to stop"},
        {LogEvent::QueriesRefused, "queries_refused", Severity::Info,
         "the balancer's grace time is over; new queries are refused as not run"},
        {LogEvent::StopCompleted, "stop_completed", Severity::Info, "all work has ended"},
        {LogEvent::StopDeadlinePassed, "stop_deadline_passed", Severity::Error,
         "the instance ends before all work has ended"},
        {LogEvent::StartFailed, "start_failed", Severity::Error, "the instance could not start"},
        {LogEvent::ReadinessChanged, "readiness_changed", Severity::Info,
         "what the balancer is told has changed"},
        {LogEvent::SettingsReloaded, "settings_reloaded", Severity::Info,
         "changed settings are in force"},
        {LogEvent::SettingsInvalid, "settings_invalid", Severity::Error,
         "changed settings can't be used; the former ones stay in force"},
        {LogEvent::ListenerFailed, "listener_failed", Severity::Error,
         "a listener that requests don't need could not be opened"},
        {LogEvent::PauseNoticed, "pause_noticed", Severity::Warning,
         "the process was paused or held up; what is known is confirmed before it is used"},
        {LogEvent::AnswerCut, "answer_cut", Severity::Error,
         "the instance ends while a caller takes its answer"},
        {LogEvent::ConfigurationInForce, "configuration_in_force", Severity::Info,
         "a newer configuration is in force"},
        {LogEvent::AssignmentInForce, "assignment_in_force", Severity::Info,
         "a newer assignment is in force"},
        {LogEvent::SharesChanged, "shares_changed", Severity::Info,
         "the number of shares held has changed"},
        {LogEvent::StoreUnreachable, "store_unreachable", Severity::Warning,
         "the platform's store doesn't answer"},
        {LogEvent::StoreReachable, "store_reachable", Severity::Info,
         "the platform's store answers again"},
        {LogEvent::LeaseWithoutEvidence, "lease_without_evidence", Severity::Warning,
         "the share lease has ended; no share is used until it is renewed"},
        {LogEvent::RoutesInForce, "routes_in_force", Severity::Info,
         "a newer desired state of routes is in force"},
        {LogEvent::StoreObjectRejected, "store_object_rejected", Severity::Warning,
         "an object of the store can't be used and counts as absent"},
        {LogEvent::LeafRegistered, "leaf_registered", Severity::Info,
         "a leaf's entry is new or has changed"},
        {LogEvent::LeafRemoved, "leaf_removed", Severity::Info,
         "a leaf's entry has left the store; the leaf gets nothing after the drain time"},
        {LogEvent::EvacuationsChanged, "evacuations_changed", Severity::Info,
         "the failure domains that get nothing, in full"},
        {LogEvent::InstancesCounted, "instances_counted", Severity::Info,
         "the number of instances that share the limits"},
        {LogEvent::SourceChanged, "source_changed", Severity::Info,
         "the store's objects are read from another source"},
        {LogEvent::ChangeAccepted, "change_accepted", Severity::Info,
         "an operator's change is stored"},
        {LogEvent::ChangeRefused, "change_refused", Severity::Warning,
         "an operator's change was not accepted, or its result is not known"},
        {LogEvent::LeafLeaving, "leaf_leaving", Severity::Info,
         "a leaf states in its answers that it is about to exit"},
        {LogEvent::LeafLimitChanged, "leaf_limit_changed", Severity::Info,
         "a leaf states another limit on its requests a second, or no longer any"},
        {LogEvent::CopyOutdated, "copy_outdated", Severity::Warning,
         "what is known of a kind of object was not confirmed in time and may be old"},
        {LogEvent::CopyConfirmed, "copy_confirmed", Severity::Info,
         "what is known of a kind of object is the newest again"},
        {LogEvent::LeafPaused, "leaf_paused", Severity::Info,
         "a leaf refused a request and wants no others of this instance for a time"},
        {LogEvent::RolloutPhaseChanged, "rollout_phase_changed", Severity::Info,
         "a roll-out is in another phase at this instance"},
        {LogEvent::RolloutFoundBad, "rollout_found_bad", Severity::Warning,
         "the counts of all instances show that a new version is bad"},
        {LogEvent::RolloutStatusWritten, "rollout_status_written", Severity::Info,
         "the store has answered the write of a roll-out's status"},
        {LogEvent::StoreEraChanged, "store_era_changed", Severity::Warning,
         "the store was restored from an older copy; all objects are read again"},
        {LogEvent::CrossingChanged, "crossing_changed", Severity::Info,
         "requests of a service begin to leave the failure domain for lack of room, or stay again"},
        {LogEvent::StoreKindUnknown, "store_kind_unknown", Severity::Warning,
         "the store doesn't know a kind of object, which counts as empty"},
        {LogEvent::TenantLimited, "tenant_limited", Severity::Info,
         "requests of a tenant are refused, since its quota is used up"},
        {LogEvent::TenantUnlimited, "tenant_unlimited", Severity::Info,
         "no request of a tenant was refused for its quota for some seconds"},
        {LogEvent::PeerLinkOpened, "peer_link_opened", Severity::Info,
         "the stream to a peer is open"},
        {LogEvent::PeerLinkLost, "peer_link_lost", Severity::Warning,
         "the stream to a peer has ended"},
        {LogEvent::PeerLinkSilent, "peer_link_silent", Severity::Warning,
         "heartbeats on a stream went unanswered; it is closed and opened again"},
        {LogEvent::PeerMessageInvalid, "peer_message_invalid", Severity::Error,
         "a message of a peer can't be read and was dropped"},
        {LogEvent::RequestEnded, "request_ended", Severity::Info,
         "a caller's request got its whole answer in time"},
        {LogEvent::RequestDegraded, "request_degraded", Severity::Warning,
         "a caller's request was answered late, in part or with a failure, or its caller has left"},
        {LogEvent::RequestRejected, "request_rejected", Severity::Warning,
         "a caller's request can't be read or forwarded"},
        {LogEvent::SendRepeated, "send_repeated", Severity::Info,
         "a request is sent to a further leaf"},
        {LogEvent::SendFailed, "send_failed", Severity::Info,
         "a leaf's answer to a request doesn't count, or comes too late for it"},
        {LogEvent::CallersRefused, "callers_refused", Severity::Warning,
         "callers were refused, or their connections closed or made to wait"},
        {LogEvent::InvariantViolated, "invariant_violated", Severity::Error,
         "a guaranteed property was violated"},
});

auto infoOf(LogEvent event) -> const LogEventInfo &
{
    const auto *const found
            = std::find_if(events.begin(), events.end(),
                           [&](const LogEventInfo &info) { return info.event == event; });
    return found == events.end() ? events.back() : *found;
}

auto isPlain(char character) -> bool
{
    const auto letter = (character >= 'a' && character <= 'z')
                        || (character >= 'A' && character <= 'Z')
                        || (character >= '0' && character <= '9');
    return letter || std::string_view("-_.:/,+").find(character) != std::string_view::npos;
}

auto appendEscaped(std::string &line, char character) -> void
{
    static constexpr auto digits = std::string_view("0123456789abcdef");
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
        line += '\\';
        line += character;
    } else if (code < 0x20 || code == 0x7f) {
        line += "\\x";
        line += digits[code >> 4U];
        line += digits[code & 15U];
    } else {
        line += character;
    }
}

auto appendValue(std::string &line, std::string_view value) -> void
{
    if (!value.empty() && std::all_of(value.begin(), value.end(), isPlain)) {
        line += value;
        return;
    }
    line += '"';
    for (const auto character : value)
        appendEscaped(line, character);
    line += '"';
}

auto timeText() -> std::string
{
    const auto now = wallNow().time_since_epoch().count();
    const auto seconds = static_cast<std::time_t>(now / 1000);
    auto parts = std::tm();
    gmtime_r(&seconds, &parts);
    auto text = std::array<char, 32>();
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const auto fraction = std::to_string(1000 + now % 1000);
    return std::string(text.data()) + "." + fraction.substr(1) + "Z";
}

// Lines of one event in the current second.
struct LineCount
{
    std::int64_t second = 0;
    std::uint32_t written = 0;
    std::uint32_t leftOut = 0; // since the last line that was written
};

std::mutex countMutex;
std::array<LineCount, events.size()> lineCounts; // guarded by countMutex

// Counts a line. Returns how many were left out before it, or nothing if it is to be left out too.
auto admitLine(LogEvent event) -> std::optional<std::uint32_t>
{
    const auto index = static_cast<std::size_t>(&infoOf(event) - events.data());
    const auto second
            = std::chrono::duration_cast<std::chrono::seconds>(wallNow().time_since_epoch())
                      .count();
    const auto lock = std::lock_guard(countMutex);
    auto &count = lineCounts.at(index);
    if (second != count.second)
        count = {second, 0, count.leftOut};
    if (count.written >= linesPerSecond) {
        ++count.leftOut;
        return {};
    }
    ++count.written;
    return std::exchange(count.leftOut, 0);
}

std::atomic<Severity> leastSeverity = Severity::Info;
boost::shared_ptr<Sink> activeSink;

// The thread that writes what is queued. It sleeps while there is nothing.
class LogWriter
{
public:
    explicit LogWriter(boost::shared_ptr<Sink> sink)
        : sink(std::move(sink))
        , thread([this] { this->run(); })
    { }

    LogWriter(const LogWriter &) = delete;
    auto operator=(const LogWriter &) -> LogWriter & = delete;

    ~LogWriter()
    {
        if (this->thread.joinable())
            this->thread.join();
    }

    // Writes what is queued and ends the thread. False if that takes longer than the given time:
    // the thread then goes on, and this object must stay.
    auto end(std::chrono::milliseconds patience) -> bool
    {
        auto lock = std::unique_lock(this->mutex);
        this->ending = true;
        this->changed.notify_all();
        const auto hasEnded
                = this->changed.wait_for(lock, patience, [this] { return this->ended; });
        lock.unlock();
        if (hasEnded)
            this->thread.join();
        else
            this->thread.detach();
        return hasEnded;
    }

    // To be called after a line was queued.
    auto wake(bool atOnce) -> void
    {
        // Only the first line of a batch wakes the thread.
        if (this->queued && !atOnce)
            return;
        const auto lock = std::lock_guard(this->mutex);
        this->queued = true;
        this->urgent = this->urgent || atOnce;
        this->changed.notify_all();
    }

private:
    auto run() -> void
    {
        auto lock = std::unique_lock(this->mutex);
        for (auto last = false; !last;) {
            this->changed.wait(lock, [this] { return this->queued || this->ending; });
            this->changed.wait_for(lock, gatherTime,
                                   [this] { return this->urgent || this->ending; });
            this->queued = this->urgent = false;
            last = this->ending;
            lock.unlock();
            this->sink->feed_records();
            this->sink->locked_backend()->flush();
            lock.lock();
        }
        this->ended = true;
        this->changed.notify_all();
    }

    boost::shared_ptr<Sink> sink;
    std::mutex mutex;
    std::condition_variable changed;
    std::atomic<bool> queued = false; // set with the mutex held
    bool urgent = false; // guarded by mutex
    bool ending = false; // guarded by mutex
    bool ended = false; // guarded by mutex
    std::thread thread; // last, since it uses the others
};

std::unique_ptr<LogWriter> writer;

} // namespace

auto logEvents() -> std::span<const LogEventInfo>
{
    return events;
}

auto toString(Severity severity) -> std::string_view
{
    static constexpr auto names
            = std::to_array<std::string_view>({"debug", "info", "warning", "error"});
    return names.at(static_cast<std::size_t>(severity));
}

auto severityFromString(std::string_view name) -> Severity
{
    // The settings also know the outermost levels of other programs.
    if (name == "trace")
        return Severity::Debug;
    if (name == "fatal")
        return Severity::Error;
    for (const auto severity :
         {Severity::Debug, Severity::Info, Severity::Warning, Severity::Error}) {
        if (toString(severity) == name)
            return severity;
    }
    return Severity::Info;
}

auto formatLogLine(LogEvent event, std::span<const LogField> fields) -> std::string
{
    const auto &info = infoOf(event);
    auto line = "event=" + std::to_string(static_cast<unsigned>(event));
    line.append(" name=").append(info.name);
    line.append(" severity=").append(toString(info.severity));
    line.append(" text=");
    appendValue(line, info.text);
    for (const auto &field : fields) {
        line.append(" ").append(field.key).append("=");
        appendValue(line, field.value);
    }
    return line;
}

auto startLog(Severity least, std::ostream &stream) -> void
{
    leastSeverity = least;
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&stream, boost::null_deleter()));
    activeSink = boost::make_shared<Sink>(backend, boost::log::keywords::start_thread = false);
    boost::log::core::get()->add_sink(activeSink);
    writer = std::make_unique<LogWriter>(activeSink);
}

auto stopLog(std::chrono::milliseconds patience) -> bool
{
    if (activeSink == nullptr)
        return true;
    boost::log::core::get()->remove_sink(activeSink);
    activeSink.reset();
    const auto hasEnded = writer->end(patience);
    // Its thread still uses it.
    if (!hasEnded)
        static_cast<void>(writer.release());
    writer.reset();
    return hasEnded;
}

auto exitAfterLog(int code) -> int
{
    // An ordinary exit flushes the streams, which a reader that takes nothing would hold up.
    if (!stopLog())
        std::_Exit(code);
    return code;
}

auto logEvent(LogEvent event, std::initializer_list<LogField> fields) -> void
{
    logEvent(event, std::span(fields.begin(), fields.size()));
}

auto logEvent(LogEvent event, std::span<const LogField> fields) -> void
{
    const auto severity = infoOf(event).severity;
    if (activeSink == nullptr || severity < leastSeverity.load())
        return;
    const auto leftOut = admitLine(event);
    if (!leftOut)
        return;
    auto logger = boost::log::sources::logger();
    auto line = "time=" + timeText() + " " + formatLogLine(event, fields);
    if (*leftOut != 0)
        line.append(" left_out=").append(std::to_string(*leftOut));
    BOOST_LOG(logger) << line;
    writer->wake(severity == Severity::Error);
}

} // namespace crocusreach

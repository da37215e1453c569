#pragma once

#include "base/mailbox.h"
#include "core/types.h"

#include <glib.h>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

// One main loop for several tasks: their sockets, their wake times and their messages. A message
// between tasks of one loop is an entry in a queue, so that it costs no wake-up of a thread.

namespace crocusreach {

// Owns a file descriptor.
class FileHandle
{
public:
    FileHandle() = default;
    explicit FileHandle(int descriptor)
        : descriptor(descriptor)
    { }
    FileHandle(FileHandle &&other) noexcept
        : descriptor(std::exchange(other.descriptor, -1))
    { }
    auto operator=(FileHandle &&other) noexcept -> FileHandle &
    {
        std::swap(this->descriptor, other.descriptor);
        return *this;
    }
    FileHandle(const FileHandle &) = delete;
    auto operator=(const FileHandle &) -> FileHandle & = delete;
    ~FileHandle();

    auto get() const -> int { return this->descriptor; }
    auto isOpen() const -> bool { return this->descriptor >= 0; }

private:
    int descriptor = -1;
};

// What a socket waits for or has met.
struct Readiness
{
    bool readable = false;
    bool writable = false;
    bool broken = false; // reported whether waited for or not
};

class Reactor;

// A wake time that a task has registered. Ends with the handle, which the reactor must outlive.
class TimerHandle
{
public:
    TimerHandle(Reactor &reactor, std::uint64_t id)
        : reactor(&reactor)
        , id(id)
    { }
    TimerHandle(TimerHandle &&other) noexcept
        : reactor(other.reactor)
        , id(std::exchange(other.id, 0))
    { }
    auto operator=(TimerHandle &&other) noexcept -> TimerHandle &
    {
        std::swap(this->reactor, other.reactor);
        std::swap(this->id, other.id);
        return *this;
    }
    TimerHandle(const TimerHandle &) = delete;
    auto operator=(const TimerHandle &) -> TimerHandle & = delete;
    ~TimerHandle();

private:
    Reactor *reactor;
    std::uint64_t id; // 0: none
};

// Tasks register with a reactor and run in its thread only.
class Reactor
{
public:
    using SocketHandler = std::function<auto(Readiness)->void>;
    // Returns the time of the next call, if any.
    using WakeTime = std::function<auto()->std::optional<TimePoint>>;

    // Runs in the given context.
    explicit Reactor(GMainContext *context);
    Reactor(const Reactor &) = delete;
    auto operator=(const Reactor &) -> Reactor & = delete;
    ~Reactor();

    // Watches a socket until forget() is called. The descriptor must stay open until then.
    auto watch(int descriptor, Readiness wanted, SocketHandler handler) -> void;
    auto change(int descriptor, Readiness wanted) -> void;
    auto forget(int descriptor) -> void;

    // Runs a function in a later turn of the loop's queue, in order.
    auto post(std::function<auto()->void> message) -> void;

    // Runs a function in the next turn, after the sockets that are ready by then. A task that has
    // more work than one message's gives way to others this way.
    auto postToNextTurn(std::function<auto()->void> message) -> void;

    // Calls the function before anything else is done after the process was paused or held up for
    // more than a second.
    auto onResume(std::function<auto()->void> handler) -> void
    {
        this->resumeHandler = std::move(handler);
    }
    // What is read now may have waited unread for this long; not zero only shortly after a pause.
    auto inputAge() const -> Duration;

    // Calls onWake whenever the wake time has come, as long as the handle is there. The time is
    // asked for before each wait.
    [[nodiscard]] auto addTimer(WakeTime wakeTime, std::function<auto()->void> onWake)
            -> TimerHandle;

private:
    friend TimerHandle;

    struct Watch
    {
        int descriptor = -1;
        Readiness wanted;
        SocketHandler handler;
        bool forgotten = false;
    };
    struct Timer
    {
        std::uint64_t id = 0; // 0: removed
        WakeTime wakeTime;
        std::function<auto()->void> onWake;
    };
    struct Source; // GSource with a pointer to the reactor

    auto removeTimer(std::uint64_t id) -> void;
    auto waitTime() const -> gint;
    auto nextWake() const -> TimePoint;
    auto dispatch() -> void;
    auto noticePause() -> void;
    auto dispatchSockets() -> void;
    auto dispatchTimers() -> void;
    auto drain() -> void;

    static auto prepare(GSource *source, gint *timeout) -> gboolean;
    static auto check(GSource *source) -> gboolean;
    static auto dispatchSource(GSource *source, GSourceFunc callback, gpointer data) -> gboolean;

    FileHandle epoll;
    std::unordered_map<int, std::unique_ptr<Watch>> watches;
    std::vector<std::unique_ptr<Watch>> forgotten; // freed once no event can refer to them
    std::list<Timer> timers; // one that is removed stays until the end of the turn
    std::uint64_t lastTimer = 0;
    std::vector<std::function<auto()->void>> queue;
    std::vector<std::function<auto()->void>> nextTurn;
    std::function<auto()->void> resumeHandler;
    TimePoint lastTurnAt; // the latest turn began then
    TimePoint expectedBy = TimePoint::max(); // the next one should begin by then
    TimePoint pausedSince = {}; // of the latest pause: the turn before it
    TimePoint resumedAt = {};
    SourceHandle source;
};

} // namespace crocusreach

#pragma once

#include <glib.h>

#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

// Threads with a main context of their own, and the mailboxes through which tasks talk.

namespace crocusreach {

struct MainContextUnref
{
    auto operator()(GMainContext *context) const -> void { g_main_context_unref(context); }
};

using MainContextPtr = std::unique_ptr<GMainContext, MainContextUnref>;

// A source that is removed from its main context when the handle goes.
class SourceHandle
{
public:
    SourceHandle() = default;
    explicit SourceHandle(GSource *source)
        : source(source)
    { }
    SourceHandle(SourceHandle &&other) noexcept
        : source(std::exchange(other.source, nullptr))
    { }
    auto operator=(SourceHandle &&other) noexcept -> SourceHandle &
    {
        std::swap(this->source, other.source);
        return *this;
    }
    SourceHandle(const SourceHandle &) = delete;
    auto operator=(const SourceHandle &) -> SourceHandle & = delete;
    ~SourceHandle() { this->reset(); }

    auto get() const -> GSource * { return this->source; }
    auto reset() -> void;

private:
    GSource *source = nullptr; // owned
};

// A source that calls its function once whenever its ready time has come; at first none is set. The
// caller owns the reference.
auto makeReadySource() -> GSource *;
// Makes one with a function and attaches it.
auto attachReadySource(GMainContext *context, GSourceFunc function, gpointer data) -> GSource *;

// Queue of messages to one task. Any thread may post; the handler runs in the main context that the
// mailbox is attached to, once for each message, in order of posting.
template <typename Message>
class Mailbox
{
public:
    using Handler = std::function<auto(Message &&)->void>;

    Mailbox() = default;
    Mailbox(const Mailbox &) = delete;
    auto operator=(const Mailbox &) -> Mailbox & = delete;

    // Starts delivery. To be called once, in the thread that runs the context.
    auto attach(GMainContext *context, Handler messageHandler) -> void;
    // Stops delivery and drops what is queued. To be called in the thread that runs the context.
    auto detach() -> void;

    auto post(Message message) -> void;

private:
    static auto dispatchQueued(gpointer data) -> gboolean;
    auto takeAll() -> std::vector<Message>;

    std::mutex mutex;
    std::vector<Message> queue; // guarded by mutex
    GSource *wakeSource = nullptr; // guarded by mutex; borrowed from the handle
    SourceHandle source;
    Handler handler;
};

// A thread that runs a main context until it is told to quit. The context is the thread's default,
// so that libsoup and GIO objects made in it deliver there.
class MainThread
{
public:
    explicit MainThread(const char *name);
    MainThread(const MainThread &) = delete;
    auto operator=(const MainThread &) -> MainThread & = delete;
    ~MainThread() { this->stop(); }

    auto context() const -> GMainContext * { return this->mainContext.get(); }
    // Runs a function in the thread and waits for its end. What it throws is thrown here. May be
    // called in the thread itself.
    auto run(const std::function<auto()->void> &function) -> void;
    // Ends the loop and joins the thread. Further calls do nothing.
    auto stop() -> void;

private:
    MainContextPtr mainContext;
    GMainLoop *loop; // owned
    std::thread thread;
};

// A timer that calls a function in a main context at a time of the decision clock. Setting it
// again replaces the former time.
class WakeTimer
{
public:
    // The function is called in the context's thread, which must be the one that uses the timer.
    WakeTimer(GMainContext *context, std::function<auto()->void> function);
    WakeTimer(const WakeTimer &) = delete;
    auto operator=(const WakeTimer &) -> WakeTimer & = delete;

    // Microseconds from now; a delay of zero or less fires at the next turn of the loop.
    auto setDelay(gint64 delay) -> void;
    auto clear() -> void;

private:
    static auto fire(gpointer data) -> gboolean;

    std::function<auto()->void> function;
    SourceHandle source;
};

template <typename Message>
auto Mailbox<Message>::attach(GMainContext *context, Handler messageHandler) -> void
{
    this->handler = std::move(messageHandler);
    auto *created = attachReadySource(context, &Mailbox::dispatchQueued, this);
    this->source = SourceHandle(created);
    const auto lock = std::lock_guard(this->mutex);
    this->wakeSource = created;
    if (!this->queue.empty())
        g_source_set_ready_time(created, 0);
}

template <typename Message>
auto Mailbox<Message>::detach() -> void
{
    {
        const auto lock = std::lock_guard(this->mutex);
        this->wakeSource = nullptr;
        this->queue.clear();
    }
    this->source.reset();
}

template <typename Message>
auto Mailbox<Message>::post(Message message) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    this->queue.push_back(std::move(message));
    // The first message of a batch wakes the owner; the rest ride along.
    if (this->wakeSource != nullptr && this->queue.size() == 1)
        g_source_set_ready_time(this->wakeSource, 0);
}

template <typename Message>
auto Mailbox<Message>::takeAll() -> std::vector<Message>
{
    auto taken = std::vector<Message>();
    const auto lock = std::lock_guard(this->mutex);
    taken.swap(this->queue);
    return taken;
}

template <typename Message>
auto Mailbox<Message>::dispatchQueued(gpointer data) -> gboolean
{
    auto &self = *static_cast<Mailbox *>(data);
    for (auto &message : self.takeAll())
        self.handler(std::move(message));
    return G_SOURCE_CONTINUE;
}

} // namespace crocusreach

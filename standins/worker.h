#pragma once

#include <glib-object.h>
#include <glib.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <thread>
#include <utility>

// Threads with a main context of their own, timers, and owners of GLib objects.

namespace crocusreach::standins {

struct ObjectUnref
{
    auto operator()(gpointer object) const -> void { g_object_unref(object); }
};

template <typename T>
using ObjectPtr = std::unique_ptr<T, ObjectUnref>;

// A source that is removed from its main context when the handle goes. The function and what it
// captured live until it returns, also if it drops the handle.
class Source
{
public:
    Source() = default;
    // Takes the reference and attaches the source to the thread's default main context.
    Source(GSource *created, std::function<auto()->void> function);
    Source(Source &&other) noexcept
        : source(std::exchange(other.source, nullptr))
    { }
    auto operator=(Source &&other) noexcept -> Source &
    {
        std::swap(this->source, other.source);
        return *this;
    }
    Source(const Source &) = delete;
    auto operator=(const Source &) -> Source & = delete;
    ~Source();

private:
    GSource *source = nullptr; // owned
};

// Calls a function once, after a delay in microseconds.
auto callAfter(std::int64_t delay, std::function<auto()->void> function) -> Source;

// A thread that runs a main context, which is its default, until the object goes.
class Worker
{
public:
    Worker();
    Worker(const Worker &) = delete;
    auto operator=(const Worker &) -> Worker & = delete;
    ~Worker();

    // Runs a function in the thread and waits for its end. May be called in the thread itself.
    auto run(const std::function<auto()->void> &function) -> void;

private:
    GMainContext *context; // owned
    GMainLoop *loop; // owned
    std::thread thread;
};

} // namespace crocusreach::standins

#pragma once

#include <glib-object.h>
#include <glib.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

// Timers, and owners of GLib objects.

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

} // namespace crocusreach::standins

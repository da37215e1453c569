#pragma once

#include "base/gobject.h"
#include "base/mailbox.h"

#include <glib.h>

#include <cstdint>
#include <functional>

// Sources of a main context that call functions.

namespace crocusreach::standins {

// A source that is removed from its main context when the handle goes. The function and what it
// captured live until it returns, also if it drops the handle.
class Source
{
public:
    Source() = default;
    // Takes the reference and attaches the source to the thread's default main context.
    Source(GSource *created, std::function<auto()->void> function);

private:
    SourceHandle handle;
};

// Calls a function once, after a delay in microseconds.
auto callAfter(std::int64_t delay, std::function<auto()->void> function) -> Source;

} // namespace crocusreach::standins

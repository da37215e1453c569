#include "sources.h"

namespace crocusreach::standins {

Source::Source(GSource *created, std::function<auto()->void> function)
    : handle(created)
{
    using Function = std::function<auto()->void>;
    g_source_set_callback(
            created,
            [](gpointer data) -> gboolean {
                (*static_cast<Function *>(data))();
                return G_SOURCE_CONTINUE;
            },
            new Function(std::move(function)),
            [](gpointer data) { delete static_cast<Function *>(data); });
    g_source_attach(created, g_main_context_get_thread_default());
}

auto callAfter(std::int64_t delay, std::function<auto()->void> function) -> Source
{
    auto *timer = makeReadySource();
    g_source_set_ready_time(timer, g_get_monotonic_time() + delay);
    return {timer, std::move(function)};
}

} // namespace crocusreach::standins

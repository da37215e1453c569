#include "worker.h"

#include <future>

namespace crocusreach::standins {

Source::Source(GSource *created, std::function<auto()->void> function)
    : source(created)
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

Source::~Source()
{
    if (this->source == nullptr)
        return;
    g_source_destroy(this->source);
    g_source_unref(this->source);
}

auto callAfter(std::int64_t delay, std::function<auto()->void> function) -> Source
{
    static auto functions
            = GSourceFuncs{nullptr,
                           nullptr,
                           [](GSource *source, GSourceFunc callback, gpointer data) -> gboolean {
                               g_source_set_ready_time(source, -1);
                               return callback(data);
                           },
                           nullptr,
                           nullptr,
                           nullptr};
    auto *timer = g_source_new(&functions, sizeof(GSource));
    g_source_set_ready_time(timer, g_get_monotonic_time() + delay);
    return {timer, std::move(function)};
}

Worker::Worker()
    : context(g_main_context_new())
    , loop(g_main_loop_new(this->context, FALSE))
    , thread([this] {
        g_main_context_push_thread_default(this->context);
        g_main_loop_run(this->loop);
        g_main_context_pop_thread_default(this->context);
    })
{ }

Worker::~Worker()
{
    this->run([this] { g_main_loop_quit(this->loop); });
    this->thread.join();
    g_main_loop_unref(this->loop);
    g_main_context_unref(this->context);
}

auto Worker::run(const std::function<auto()->void> &function) -> void
{
    if (std::this_thread::get_id() == this->thread.get_id()) {
        function();
        return;
    }
    auto task = std::packaged_task<void()>(function);
    g_main_context_invoke(
            this->context,
            [](gpointer data) -> gboolean {
                (*static_cast<std::packaged_task<void()> *>(data))();
                return G_SOURCE_REMOVE;
            },
            &task);
    task.get_future().get();
}

} // namespace crocusreach::standins

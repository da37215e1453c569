#include "mailbox.h"

#include <future>

namespace crocusreach {

auto SourceHandle::reset() -> void
{
    if (this->source == nullptr)
        return;
    g_source_destroy(this->source);
    g_source_unref(this->source);
    this->source = nullptr;
}

MainThread::MainThread(const char *name)
    : mainContext(g_main_context_new())
    , loop(g_main_loop_new(this->mainContext.get(), FALSE))
{
    this->thread = std::thread([this, name = std::string(name)] {
        pthread_setname_np(pthread_self(), name.substr(0, 15).c_str());
        g_main_context_push_thread_default(this->mainContext.get());
        g_main_loop_run(this->loop);
        g_main_context_pop_thread_default(this->mainContext.get());
    });
}

auto MainThread::run(const std::function<auto()->void> &function) -> void
{
    if (std::this_thread::get_id() == this->thread.get_id())
        return function();
    // Not g_main_context_invoke(), which runs the function here if the loop has not started yet.
    auto task = std::packaged_task<void()>(function);
    auto *source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    const auto invoke = [](gpointer data) -> gboolean {
        (*static_cast<std::packaged_task<void()> *>(data))();
        return G_SOURCE_REMOVE;
    };
    g_source_set_callback(source, invoke, &task, nullptr);
    g_source_attach(source, this->mainContext.get());
    g_source_unref(source);
    task.get_future().get();
}

auto MainThread::stop() -> void
{
    if (!this->thread.joinable())
        return;
    // Quitting from inside the loop also works if the loop has not started yet.
    auto *source = g_idle_source_new();
    const auto quit = [](gpointer data) -> gboolean {
        g_main_loop_quit(static_cast<GMainLoop *>(data));
        return G_SOURCE_REMOVE;
    };
    g_source_set_callback(source, quit, this->loop, nullptr);
    g_source_attach(source, this->mainContext.get());
    g_source_unref(source);
    this->thread.join();
    g_main_loop_unref(this->loop);
}

auto makeReadySource() -> GSource *
{
    static GSourceFuncs functions = {nullptr,
                                     nullptr,
                                     [](GSource *source, GSourceFunc callback, gpointer content) {
                                         g_source_set_ready_time(source, -1);
                                         return callback(content);
                                     },
                                     nullptr,
                                     nullptr,
                                     nullptr};
    return g_source_new(&functions, sizeof(GSource));
}

auto attachReadySource(GMainContext *context, GSourceFunc function, gpointer data) -> GSource *
{
    auto *created = makeReadySource();
    g_source_set_callback(created, function, data, nullptr);
    g_source_attach(created, context);
    return created;
}

WakeTimer::WakeTimer(GMainContext *context, std::function<auto()->void> function)
    : function(std::move(function))
{
    this->source = SourceHandle(attachReadySource(context, &WakeTimer::fire, this));
}

auto WakeTimer::setDelay(gint64 delay) -> void
{
    const auto ready = delay <= 0 ? 0 : g_get_monotonic_time() + delay;
    g_source_set_ready_time(this->source.get(), ready);
}

auto WakeTimer::clear() -> void
{
    g_source_set_ready_time(this->source.get(), -1);
}

auto WakeTimer::fire(gpointer data) -> gboolean
{
    static_cast<WakeTimer *>(data)->function();
    return G_SOURCE_CONTINUE;
}

} // namespace crocusreach

#include "boundedread.h"

#include "base/gobject.h"
#include "base/mailbox.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace crocusreach {

namespace {

constexpr auto maxReplyBytes = std::size_t(8) * 1024 * 1024;
constexpr auto maxHeldBytes = std::size_t(48) * 1024 * 1024;
constexpr auto maxInterimReplies = 16;
constexpr auto partBytes = gsize(64) * 1024;

struct Reading
{
    ObjectPtr<SoupSession> session;
    ObjectPtr<SoupMessage> message;
    ObjectPtr<GCancellable> cancellable;
    ReplyBudget *budget = nullptr;
    ReplyRead done;
    ObjectPtr<GInputStream> stream;
    std::string body;
    int interimReplies = 0;
    bool tooLong = false;
    SourceHandle timer;
};

auto finish(std::unique_ptr<Reading> reading, const GError *error) -> void
{
    g_signal_handlers_disconnect_by_data(reading->message.get(), reading.get());
    reading->timer.reset();
    reading->budget->held -= reading->body.size();
    if (error == nullptr)
        return reading->done(reading->body, nullptr);
    // Without this, libsoup reads the rest of the reply when the stream is closed.
    g_cancellable_cancel(reading->cancellable.get());
    const auto tooLong = ErrorPtr(g_error_new_literal(G_IO_ERROR, G_IO_ERROR_NO_SPACE,
                                                      "the reply is longer than allowed"));
    reading->done({}, reading->tooLong ? tooLong.get() : error);
}

auto onRead(GObject *source, GAsyncResult *result, gpointer data) -> void;

auto readPart(std::unique_ptr<Reading> reading) -> void
{
    auto *const running = reading.release();
    g_input_stream_read_bytes_async(running->stream.get(), partBytes, G_PRIORITY_DEFAULT,
                                    running->cancellable.get(), &onRead, running);
}

auto onRead(GObject *source, GAsyncResult *result, gpointer data) -> void
{
    auto reading = std::unique_ptr<Reading>(static_cast<Reading *>(data));
    GError *raised = nullptr;
    const auto part
            = BytesPtr(g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, &raised));
    const auto error = ErrorPtr(raised);
    if (error != nullptr)
        return finish(std::move(reading), error.get());
    const auto bytes = viewOf(part.get());
    if (bytes.empty())
        return finish(std::move(reading), nullptr);
    reading->body += bytes;
    reading->budget->held += bytes.size();
    if (reading->body.size() > maxReplyBytes || reading->budget->held > maxHeldBytes) {
        reading->tooLong = true;
        g_cancellable_cancel(reading->cancellable.get());
    }
    readPart(std::move(reading));
}

auto onSent(GObject *source, GAsyncResult *result, gpointer data) -> void
{
    auto reading = std::unique_ptr<Reading>(static_cast<Reading *>(data));
    GError *raised = nullptr;
    reading->stream.reset(soup_session_send_finish(SOUP_SESSION(source), result, &raised));
    const auto error = ErrorPtr(raised);
    if (error != nullptr)
        return finish(std::move(reading), error.get());
    readPart(std::move(reading));
}

auto onInterimReply(SoupMessage * /*message*/, gpointer data) -> void
{
    auto &reading = *static_cast<Reading *>(data);
    if (++reading.interimReplies <= maxInterimReplies)
        return;
    reading.tooLong = true;
    g_cancellable_cancel(reading.cancellable.get());
}

auto onTimeout(gpointer data) -> gboolean
{
    g_cancellable_cancel(static_cast<Reading *>(data)->cancellable.get());
    return G_SOURCE_REMOVE;
}

} // namespace

auto sendAndRead(SoupSession *session, SoupMessage *message, GCancellable *cancellable,
                 ReplyBudget &budget, Duration timeout, ReplyRead done) -> void
{
    auto owned = std::make_unique<Reading>();
    auto *const reading = owned.get();
    reading->session = shareObject(session);
    reading->message = shareObject(message);
    reading->cancellable = shareObject(cancellable);
    reading->budget = &budget;
    reading->done = std::move(done);
    const auto time = std::chrono::ceil<std::chrono::milliseconds>(std::max(Duration(), timeout));
    auto *const timer = g_timeout_source_new(static_cast<guint>(time.count()));
    g_source_set_callback(timer, &onTimeout, reading, nullptr);
    g_source_attach(timer, g_main_context_get_thread_default());
    reading->timer = SourceHandle(timer);
    g_signal_connect(message, "got-informational", G_CALLBACK(&onInterimReply), reading);
    soup_session_send_async(session, message, G_PRIORITY_DEFAULT, cancellable, &onSent,
                            owned.release());
}

} // namespace crocusreach

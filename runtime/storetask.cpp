#include "storetask.h"

#include "base/clock.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace crocusreach {

namespace {

// Two watches, reads and writes of control, claims of queries.
constexpr auto mostConnections = 32;
constexpr auto listTimeout = Duration(std::chrono::seconds(1));
// A watch ends on the platform's side before the call's own timeout.
constexpr auto watchMargin = Duration(std::chrono::seconds(1));

auto methodOf(ObjectOperation operation) -> const char *
{
    switch (operation) {
    case ObjectOperation::Get:
    case ObjectOperation::Watch:
        return SOUP_METHOD_GET;
    case ObjectOperation::Put:
        return SOUP_METHOD_PUT;
    case ObjectOperation::Remove:
        break;
    }
    return SOUP_METHOD_DELETE;
}

auto milliseconds(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

auto objectUri(std::string_view address, const ObjectCall &call) -> std::string
{
    const auto escaped = CharactersPtr(g_uri_escape_string(call.key.c_str(), "/", FALSE));
    auto uri = std::string("http://").append(address).append("/v1/objects/").append(escaped.get());
    if (call.operation == ObjectOperation::Watch) {
        uri += "?newer_than=" + std::to_string(call.version);
        uri += "&wait_ms=" + std::to_string(milliseconds(call.timeout));
    } else if (call.operation == ObjectOperation::Get && call.version > 0) {
        uri += "?newer_than=" + std::to_string(call.version);
    }
    return uri;
}

auto isWrite(const ObjectCall &call) -> bool
{
    return call.operation == ObjectOperation::Put || call.operation == ObjectOperation::Remove;
}

auto objectStatus(unsigned status) -> ObjectStatus
{
    switch (status) {
    case SOUP_STATUS_OK:
        return ObjectStatus::Ok;
    case SOUP_STATUS_NOT_MODIFIED:
        return ObjectStatus::NotModified;
    case SOUP_STATUS_NOT_FOUND:
        return ObjectStatus::NotFound;
    case SOUP_STATUS_PRECONDITION_FAILED:
        return ObjectStatus::Conflict;
    default:
        return ObjectStatus::Unknown;
    }
}

auto readVersion(SoupMessage *message) -> std::uint64_t
{
    const auto text = viewOf(soup_message_headers_get_one(
            soup_message_get_response_headers(message), "X-Object-Version"));
    auto version = std::uint64_t(0);
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

auto readObject(SoupMessage *message, std::string_view body) -> ObjectReply
{
    auto reply = ObjectReply();
    const auto status = soup_message_get_status(message);
    reply.status = objectStatus(status);
    reply.version = readVersion(message);
    reply.value = body;
    if (reply.status == ObjectStatus::Unknown)
        reply.error = "HTTP status " + std::to_string(status);
    return reply;
}

auto readInstance(const nlohmann::json &entry) -> ListedInstance
{
    auto instance = ListedInstance();
    instance.name = entry.value("name", "");
    instance.address = entry.at("address").get<std::string>();
    instance.incarnation = Incarnation(entry.value("incarnation", std::uint64_t(0)));
    instance.leaving = entry.value("state", "live") == "leaving";
    return instance;
}

auto readInstanceList(unsigned status, std::string_view body) -> InstanceListReply
{
    auto reply = InstanceListReply();
    if (status != SOUP_STATUS_OK)
        return reply;
    try {
        const auto document = nlohmann::json::parse(body);
        const auto &instances = document.at("instances");
        // GCC takes the iterators of the JSON library for a null dereference.
        // NOLINTNEXTLINE(modernize-loop-convert)
        for (std::size_t index = 0; index < instances.size(); ++index)
            reply.instances.push_back(readInstance(instances.at(index)));
        reply.answered = true;
    } catch (const nlohmann::json::exception &) {
        // A list that can't be read must not look like one without instances.
        reply.instances.clear();
    }
    return reply;
}

} // namespace

auto assignmentKey(std::string_view cell) -> std::string
{
    return std::string("cells/").append(cell).append("/assignment");
}

StoreTask::StoreTask(StoreAddresses addresses, const EmbeddedObjects &objects)
    : addresses(std::move(addresses))
    , embedded(makeEmbeddedStore(objects))
    , thread("store")
{
    this->thread.run([this] {
        this->session.reset(soup_session_new_with_options("max-conns", mostConnections,
                                                          "max-conns-per-host", mostConnections,
                                                          "proxy-resolver", nullptr, nullptr));
        this->embeddedTimer = std::make_unique<WakeTimer>(this->thread.context(),
                                                          [this] { this->runEmbeddedTimer(); });
        this->mailbox.attach(this->thread.context(), [this](StoreMessage &&message) {
            std::visit([this](auto &content) { this->handle(std::move(content)); }, message);
        });
    });
}

auto StoreTask::stop() -> void
{
    if (std::exchange(this->stopping, true))
        return;
    this->thread.run([this] {
        this->mailbox.detach();
        this->embeddedTimer.reset();
        for (auto *request : this->running)
            g_cancellable_cancel(request->cancellable.get());
        while (!this->running.empty())
            g_main_context_iteration(this->thread.context(), TRUE);
        this->session.reset();
    });
    this->thread.stop();
}

auto StoreTask::handle(ObjectCall &&call) -> void
{
    if (this->addresses.objects.empty()) {
        crocusreach::call(this->embedded, std::move(call), decisionNow());
        return this->armEmbeddedTimer();
    }
    auto request = std::make_unique<Request>();
    const auto uri = objectUri(this->addresses.objects, call);
    request->message.reset(soup_message_new(methodOf(call.operation), uri.c_str()));
    if (request->message == nullptr)
        return call.reply(ObjectReply{ObjectStatus::Unknown, 0, {}, "invalid address"});
    auto *message = request->message.get();
    if (isWrite(call)) {
        const auto version = std::to_string(call.version);
        soup_message_headers_replace(soup_message_get_request_headers(message),
                                     "X-Expected-Version", version.c_str());
        g_signal_connect(message, "restarted", G_CALLBACK(&StoreTask::onRestarted), request.get());
    }
    if (call.operation == ObjectOperation::Put) {
        const auto body = BytesPtr(g_bytes_new(call.value.data(), call.value.size()));
        soup_message_set_request_body_from_bytes(message, "application/json", body.get());
    }
    const auto watching = call.operation == ObjectOperation::Watch;
    const auto timeout = call.timeout + (watching ? watchMargin : Duration(0));
    request->call = std::move(call);
    this->send(std::move(request), timeout);
}

auto StoreTask::handle(InstanceListCall &&call) -> void
{
    if (this->addresses.instanceList.empty())
        return call.reply(InstanceListReply());
    auto request = std::make_unique<Request>();
    const auto uri = "http://" + this->addresses.instanceList + "/v1/instances";
    request->message.reset(soup_message_new(SOUP_METHOD_GET, uri.c_str()));
    if (request->message == nullptr)
        return call.reply(InstanceListReply());
    request->call = std::move(call);
    this->send(std::move(request), listTimeout);
}

auto StoreTask::send(std::unique_ptr<Request> request, Duration timeout) -> void
{
    request->task = this;
    request->cancellable.reset(g_cancellable_new());
    auto *timer = g_timeout_source_new(
            static_cast<guint>(std::max<std::int64_t>(milliseconds(timeout), 1)));
    auto *sent = request.release();
    g_source_set_callback(timer, &StoreTask::onTimeout, sent, nullptr);
    g_source_attach(timer, this->thread.context());
    sent->timer = SourceHandle(timer);
    this->running.insert(sent);
    soup_session_send_and_read_async(this->session.get(), sent->message.get(), G_PRIORITY_DEFAULT,
                                     sent->cancellable.get(), &StoreTask::onEnded, sent);
}

auto StoreTask::onRestarted(SoupMessage * /*message*/, gpointer data) -> void
{
    auto &request = *static_cast<Request *>(data);
    request.cancelReason = "connection closed before the reply";
    g_cancellable_cancel(request.cancellable.get());
}

auto StoreTask::onTimeout(gpointer data) -> gboolean
{
    auto &request = *static_cast<Request *>(data);
    request.cancelReason = "no reply in time";
    g_cancellable_cancel(request.cancellable.get());
    return G_SOURCE_REMOVE;
}

auto StoreTask::onEnded(GObject *session, GAsyncResult *result, gpointer data) -> void
{
    const auto request = std::unique_ptr<Request>(static_cast<Request *>(data));
    GError *raised = nullptr;
    const auto body
            = BytesPtr(soup_session_send_and_read_finish(SOUP_SESSION(session), result, &raised));
    const auto error = ErrorPtr(raised);
    g_signal_handlers_disconnect_by_data(request->message.get(), request.get());
    request->task->running.erase(request.get());
    if (request->task->stopping)
        return;
    auto *message = request->message.get();
    if (const auto *list = std::get_if<InstanceListCall>(&request->call)) {
        const auto status = error == nullptr ? soup_message_get_status(message) : 0;
        return list->reply(readInstanceList(status, viewOf(body.get())));
    }
    const auto &call = std::get<ObjectCall>(request->call);
    if (error == nullptr)
        return call.reply(readObject(message, viewOf(body.get())));
    const auto *text = request->cancelReason != nullptr ? request->cancelReason : error->message;
    call.reply(ObjectReply{ObjectStatus::Unknown, 0, {}, text});
}

auto StoreTask::runEmbeddedTimer() -> void
{
    expireWatches(this->embedded, decisionNow());
    this->armEmbeddedTimer();
}

auto StoreTask::armEmbeddedTimer() -> void
{
    const auto next = nextExpiry(this->embedded);
    if (next)
        this->embeddedTimer->setDelay((*next - decisionNow()).count());
    else
        this->embeddedTimer->clear();
}

} // namespace crocusreach

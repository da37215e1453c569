#include "fronttask.h"

#include "formats/querymessages.h"
#include "httplisten.h"

#include <sys/socket.h>

namespace crocusreach {

namespace {

constexpr auto servicePrefix = std::string_view("/v1/services/");
constexpr auto querySuffix = std::string_view("/query");
constexpr goffset bodyLimit = 1 << 20; // bytes

auto respond(SoupServerMessage *message, unsigned status, std::string_view body) -> void
{
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(),
                                     body.size());
}

auto refusal(Reason reason, std::string_view text) -> QueryAnswer
{
    auto answer = QueryAnswer();
    answer.reason = reason;
    answer.text = text;
    return answer;
}

auto respond(SoupServerMessage *message, const QueryAnswer &answer) -> void
{
    respond(message, httpStatus(answer), writeAnswer(answer));
}

// Ends the connection after the reply, since the rest of the body isn't worth reading.
auto respondTooLarge(SoupServerMessage *message) -> void
{
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
    soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection",
                                 "close");
    respond(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
            writeAnswer(refusal(Reason::BadRequest, "the body is larger than 1 MiB")));
}

// The NAME of /v1/services/NAME/query; empty if the path is another one.
auto serviceOf(std::string_view path) -> std::string_view
{
    if (!path.starts_with(servicePrefix) || !path.ends_with(querySuffix)
        || path.size() <= servicePrefix.size() + querySuffix.size())
        return {};
    path.remove_prefix(servicePrefix.size());
    path.remove_suffix(querySuffix.size());
    return path.find('/') == std::string_view::npos ? path : std::string_view();
}

auto bodyOf(SoupServerMessage *message) -> BytesPtr
{
    return BytesPtr(soup_message_body_flatten(soup_server_message_get_request_body(message)));
}

} // namespace

FrontTask::FrontTask(FrontOutlets outlets)
    : outlets(std::move(outlets))
    , thread("front")
{
    this->thread.run([this] {
        this->mailbox.attach(this->thread.context(), [this](FrontMessage &&message) {
            std::visit([this](const auto &content) { this->handle(content); }, message);
        });
    });
}

auto FrontTask::listen(std::string_view address) -> Result<std::string>
{
    auto result = Result<std::string>();
    this->thread.run([&] {
        this->server.reset(soup_server_new("server-header", nullptr, nullptr));
        auto *created = this->server.get();
        soup_server_add_early_handler(created, "/v1/services", &FrontTask::onEarly, this, nullptr);
        soup_server_add_handler(created, "/v1/services", &FrontTask::onQuery, this, nullptr);
        soup_server_add_handler(created, "/v1/health", &FrontTask::onHealth, this, nullptr);
        result = listenHttp(created, address, Step::Accept);
    });
    return result;
}

auto FrontTask::stop() -> void
{
    if (std::exchange(this->stopped, true))
        return;
    this->thread.run([this] {
        this->mailbox.detach();
        this->waiting.clear();
        if (this->server != nullptr)
            soup_server_disconnect(this->server.get());
        this->server.reset();
    });
    this->thread.stop();
}

auto FrontTask::handle(const QueryAnswer &answer) -> void
{
    const auto found = this->waiting.find(answer.query);
    if (found == this->waiting.end())
        return;
    const auto caller = std::move(found->second);
    this->waiting.erase(found);
    respond(caller->message.get(), answer);
    soup_server_message_unpause(caller->message.get());
}

auto FrontTask::takeQuery(SoupServerMessage *message, std::string_view service) -> void
{
    if (!this->serving.accepting)
        return respond(message, refusal(Reason::Stopping, "the instance is stopping"));
    const auto body = bodyOf(message);
    auto parsed = parseQuery(viewOf(body.get()), service);
    if (isError(parsed))
        return respond(message, refusal(Reason::BadRequest, describe(std::get<Error>(parsed))));
    this->wait(message, std::get<QueryArrived>(std::move(parsed)));
}

auto FrontTask::wait(SoupServerMessage *message, QueryArrived &&arrived) -> void
{
    arrived.query = QueryId(++this->lastQuery);
    auto caller = std::make_unique<Waiting>();
    caller->task = this;
    caller->query = arrived.query;
    caller->message = shareObject(message);
    soup_server_message_pause(message);
    this->watchDisconnect(*caller);
    this->waiting.emplace(arrived.query, std::move(caller));
    this->outlets.query(std::move(arrived));
}

// libsoup doesn't look at the socket of a paused message, so that the end of the caller's
// connection has to be watched here.
auto FrontTask::watchDisconnect(Waiting &waiting) -> void
{
    auto *socket = soup_server_message_get_socket(waiting.message.get());
    auto *source = g_socket_create_source(socket, G_IO_IN, nullptr);
    // GLib calls the callback of a socket source with the socket and the condition.
    const auto callback = reinterpret_cast<GSourceFunc>( // NOLINT(bugprone-casting-through-void)
            reinterpret_cast<void (*)()>(&FrontTask::onReadable));
    g_source_set_callback(source, callback, &waiting, nullptr);
    g_source_attach(source, this->thread.context());
    waiting.disconnectWatch = SourceHandle(source);
}

auto FrontTask::onReadable(GSocket *socket, GIOCondition /*condition*/, gpointer data) -> gboolean
{
    auto byte = char();
    const auto read = recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // A further request on the connection waits until the present one is answered.
    if (read > 0)
        return G_SOURCE_REMOVE;
    if (read < 0 && (errno == EAGAIN || errno == EINTR))
        return G_SOURCE_CONTINUE;
    auto &caller = *static_cast<Waiting *>(data);
    caller.task->dropCaller(caller.query);
    return G_SOURCE_REMOVE;
}

auto FrontTask::dropCaller(QueryId query) -> void
{
    const auto found = this->waiting.find(query);
    const auto caller = std::move(found->second);
    this->waiting.erase(found);
    this->outlets.query(CallerLeft{query});
    // Nobody reads it; libsoup needs a status to end the message.
    soup_server_message_set_status(caller->message.get(), SOUP_STATUS_SERVICE_UNAVAILABLE, nullptr);
    soup_server_message_unpause(caller->message.get());
}

auto FrontTask::onEarly(SoupServer * /*server*/, SoupServerMessage *message, const char * /*path*/,
                        GHashTable * /*query*/, gpointer /*data*/) -> void
{
    auto *headers = soup_server_message_get_request_headers(message);
    if (soup_message_headers_get_content_length(headers) > bodyLimit)
        return respondTooLarge(message);
    // A body sent in chunks doesn't tell its length.
    if (soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CHUNKED)
        g_signal_connect(message, "got-chunk", G_CALLBACK(&FrontTask::onChunk), nullptr);
}

auto FrontTask::onChunk(SoupServerMessage *message, GBytes * /*chunk*/, gpointer /*data*/) -> void
{
    const auto *body = soup_server_message_get_request_body(message);
    if (soup_server_message_get_status(message) == 0 && body->length > bodyLimit)
        respondTooLarge(message);
}

auto FrontTask::onQuery(SoupServer * /*server*/, SoupServerMessage *message, const char *path,
                        GHashTable * /*query*/, gpointer data) -> void
{
    auto &task = *static_cast<FrontTask *>(data);
    const auto service = serviceOf(path);
    if (service.empty())
        return respond(message, SOUP_STATUS_NOT_FOUND,
                       writeAnswer(refusal(Reason::UnknownService, "no such path")));
    if (viewOf(soup_server_message_get_method(message)) != "POST")
        return respond(message, SOUP_STATUS_METHOD_NOT_ALLOWED,
                       writeAnswer(refusal(Reason::BadRequest, "only POST is supported")));
    task.takeQuery(message, service);
}

auto FrontTask::onHealth(SoupServer * /*server*/, SoupServerMessage *message, const char * /*path*/,
                         GHashTable * /*query*/, gpointer data) -> void
{
    const auto healthy = static_cast<FrontTask *>(data)->serving.healthy;
    if (healthy)
        respond(message, SOUP_STATUS_OK, "{\"state\":\"serving\"}");
    else
        respond(message, SOUP_STATUS_SERVICE_UNAVAILABLE, "{\"state\":\"not serving\"}");
}

} // namespace crocusreach

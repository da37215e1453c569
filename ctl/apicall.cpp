#include "apicall.h"

#include "base/gobject.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <thread>

namespace crocusreach::ctl {

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto retryPause = std::chrono::milliseconds(300);

auto setHeader(SoupMessage *message, const char *name, const std::string &value) -> void
{
    if (!value.empty())
        soup_message_headers_replace(soup_message_get_request_headers(message), name,
                                     value.c_str());
}

auto setBody(SoupMessage *message, const ApiCall &call) -> void
{
    if (call.method == "GET")
        return;
    const auto bytes = BytesPtr(g_bytes_new(call.body.data(), call.body.size()));
    soup_message_set_request_body_from_bytes(message, call.contentType.c_str(), bytes.get());
}

// Whether the request provably didn't reach an instance.
auto isRefused(const GError *error) -> bool
{
    return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) != FALSE
           || g_error_matches(error, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE) != FALSE
           || g_error_matches(error, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE) != FALSE;
}

auto errorCode(const ApiReply &reply) -> std::string
{
    if (!reply.body.is_object() || !reply.body.contains("error"))
        return {};
    return reply.body["error"].value("code", "");
}

auto readReply(unsigned status, std::string_view text) -> ApiReply
{
    auto reply = ApiReply();
    reply.status = status;
    reply.body = Json::parse(text, nullptr, false);
    if (reply.body.is_discarded()) {
        reply.body = Json();
        reply.failure = "status " + std::to_string(status) + " without a JSON body";
    }
    return reply;
}

} // namespace

auto callOne(const Options &options, const ApiCall &call, const std::string &address) -> ApiReply
{
    auto reply = ApiReply();
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(options.timeout).count();
    const auto session = ObjectPtr<SoupSession>(
            soup_session_new_with_options("timeout", static_cast<unsigned>(seconds), nullptr));
    const auto message = ObjectPtr<SoupMessage>(
            soup_message_new(call.method.c_str(), ("http://" + address + call.path).c_str()));
    if (message == nullptr) {
        reply.failure = address + ": not an address of the form IP:port";
        return reply;
    }
    setHeader(message.get(), "Authorization",
              options.token.empty() ? "" : "Bearer " + options.token);
    setHeader(message.get(), "X-Change-Id", call.changeId);
    setHeader(message.get(), "If-Match", call.expectedRevision);
    setBody(message.get(), call);
    GError *raised = nullptr;
    const auto bytes
            = BytesPtr(soup_session_send_and_read(session.get(), message.get(), nullptr, &raised));
    const auto error = ErrorPtr(raised);
    if (bytes == nullptr) {
        reply.failure = address + ": " + error->message;
        reply.outcomeUnknown = !call.changeId.empty() && !isRefused(error.get());
        return reply;
    }
    reply = readReply(soup_message_get_status(message.get()), viewOf(bytes.get()));
    reply.outcomeUnknown = errorCode(reply) == "outcome_unknown";
    return reply;
}

auto callAny(const Options &options, const ApiCall &call) -> ApiReply
{
    const auto deadline = Clock::now() + options.timeout;
    auto last = ApiReply();
    auto unknown = false;
    while (true) {
        auto failures = std::string();
        for (const auto &address : options.addresses) {
            last = callOne(options, call, address);
            failures += (failures.empty() ? "" : "; ") + last.failure;
            unknown = unknown || last.outcomeUnknown;
            if (last.status != 0 && last.status != SOUP_STATUS_SERVICE_UNAVAILABLE) {
                last.outcomeUnknown = false;
                return last;
            }
        }
        last.failure = failures;
        last.outcomeUnknown = unknown;
        if (!unknown || Clock::now() + retryPause >= deadline)
            return last;
        std::this_thread::sleep_for(retryPause);
    }
}

} // namespace crocusreach::ctl

#include "httplisten.h"

#include "base/gobject.h"
#include "core/text.h"

namespace crocusreach {

namespace {

auto parseAddress(std::string_view address) -> ObjectPtr<GSocketAddress>
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return {};
    const auto port = parseNumber<std::uint16_t>(address.substr(colon + 1));
    if (!port)
        return {};
    auto host = address.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    return ObjectPtr<GSocketAddress>(
            g_inet_socket_address_new_from_string(std::string(host).c_str(), *port));
}

// The address of the server's only listener.
auto realAddress(SoupServer *server, std::string_view address) -> std::string
{
    auto *uris = soup_server_get_uris(server);
    auto port = 0;
    if (uris != nullptr)
        port = g_uri_get_port(static_cast<GUri *>(uris->data));
    g_slist_free_full(uris, [](gpointer uri) { g_uri_unref(static_cast<GUri *>(uri)); });
    return std::string(address.substr(0, address.rfind(':') + 1)) + std::to_string(port);
}

} // namespace

auto listenHttp(SoupServer *server, std::string_view address, Step step) -> Result<std::string>
{
    const auto parsed = parseAddress(address);
    if (parsed == nullptr)
        return Error{step, std::string(address), "not an address of the form IP:port"};
    GError *raised = nullptr;
    const auto listening
            = soup_server_listen(server, parsed.get(), SoupServerListenOptions(0), &raised);
    const auto error = ErrorPtr(raised);
    if (listening == FALSE)
        return Error{step, std::string(address), error->message};
    return realAddress(server, address);
}

} // namespace crocusreach

#include "previewtext.h"

#include <glib.h>
#include <nlohmann/json.hpp>

#include <memory>

namespace crocusreach {

using namespace forward;
using Json = nlohmann::json;

namespace {

struct FreeTable
{
    auto operator()(GHashTable *table) const -> void { g_hash_table_unref(table); }
};

auto milliseconds(Duration time) -> double
{
    return std::chrono::duration<double, std::milli>(time).count();
}

auto toJson(const LeafPreview &leaf) -> Json
{
    auto json = Json{{"leaf", leaf.id},
                     {"domain", leaf.domain},
                     {"rank", leaf.rank},
                     {"reasons", leaf.reasons},
                     {"open_sends", leaf.openSends},
                     {"connections", leaf.connections},
                     {"idle_connections", leaf.idleConnections}};
    if (leaf.usableIn)
        json["usable_in_ms"] = milliseconds(*leaf.usableIn);
    return json;
}

auto toJson(const ServicePreview &service) -> Json
{
    auto json = Json{{"service", service.service}, {"leafs", Json::array()}};
    if (service.weight)
        json["weight"] = *service.weight;
    for (const auto &leaf : service.leafs)
        json["leafs"].push_back(toJson(leaf));
    return json;
}

auto toJson(const RequestPreview &preview) -> Json
{
    auto json = Json{{"route", preview.route},
                     {"version", preview.version},
                     {"needs_key", preview.needsKey},
                     {"required_services", preview.requiredServices},
                     {"services", Json::array()}};
    json["outcome"] = preview.refusal ? toString(*preview.refusal)
                      : preview.waits ? std::string_view("waits")
                                      : std::string_view("sent");
    for (const auto &service : preview.services)
        json["services"].push_back(toJson(service));
    return json;
}

} // namespace

auto explainTarget(const Forwarder &forwarder, std::string_view callTarget, TimePoint now)
        -> std::optional<std::string>
{
    const auto question = callTarget.find('?');
    if (question == std::string_view::npos)
        return {};
    const auto parameters = callTarget.substr(question + 1);
    const auto table = std::unique_ptr<GHashTable, FreeTable>(
            g_uri_parse_params(parameters.data(), static_cast<gssize>(parameters.size()), "&",
                               G_URI_PARAMS_NONE, nullptr));
    if (table == nullptr)
        return {};
    const auto valueOf = [&table](const char *name) {
        const auto *const value = static_cast<const char *>(g_hash_table_lookup(table.get(), name));
        return std::string_view(value == nullptr ? "" : value);
    };
    const auto host = valueOf("host");
    const auto target = valueOf("target");
    if (host.empty() || !target.starts_with('/'))
        return {};
    const auto json = toJson(previewRequest(forwarder, host, target, now));
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace crocusreach

#include "keydigest.h"

#include <glib.h>

#include <memory>
#include <random>

namespace crocusreach {

namespace {

using Secret = std::array<std::uint8_t, 32>;

auto processSecret() -> const Secret &
{
    static const auto drawn = [] {
        auto secret = Secret();
        auto device = std::random_device();
        for (auto &byte : secret)
            byte = static_cast<std::uint8_t>(device());
        return secret;
    }();
    return drawn;
}

} // namespace

auto digestOf(std::string_view key) -> std::optional<forward::KeyDigest>
{
    if (key.empty() || key.size() > maxKeyBytes)
        return {};
    const auto &secret = processSecret();
    const auto hmac = std::unique_ptr<GHmac, decltype(&g_hmac_unref)>(
            g_hmac_new(G_CHECKSUM_SHA256, secret.data(), secret.size()), &g_hmac_unref);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): GLib takes bytes as guchar.
    g_hmac_update(hmac.get(), reinterpret_cast<const guchar *>(key.data()),
                  static_cast<gssize>(key.size()));
    auto digest = forward::KeyDigest();
    auto size = gsize(digest.bytes.size());
    g_hmac_get_digest(hmac.get(), digest.bytes.data(), &size);
    return digest;
}

} // namespace crocusreach

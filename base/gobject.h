#pragma once

#include <gio/gio.h>

#include <memory>
#include <string_view>

// Handles that own references to objects of GLib and its relatives.

namespace crocusreach {

struct ObjectUnref
{
    auto operator()(gpointer object) const -> void { g_object_unref(object); }
};

template <typename Object>
using ObjectPtr = std::unique_ptr<Object, ObjectUnref>;

// Takes a further reference to an object that somebody else owns.
template <typename Object>
auto shareObject(Object *object) -> ObjectPtr<Object>
{
    g_object_ref(object);
    return ObjectPtr<Object>(object);
}

struct BytesUnref
{
    auto operator()(GBytes *bytes) const -> void { g_bytes_unref(bytes); }
};

using BytesPtr = std::unique_ptr<GBytes, BytesUnref>;

struct ErrorFree
{
    auto operator()(GError *error) const -> void { g_error_free(error); }
};

using ErrorPtr = std::unique_ptr<GError, ErrorFree>;

struct CharactersFree
{
    auto operator()(char *text) const -> void { g_free(text); }
};

using CharactersPtr = std::unique_ptr<char, CharactersFree>;

// The bytes as text; empty for a null pointer.
inline auto viewOf(GBytes *bytes) -> std::string_view
{
    if (bytes == nullptr)
        return {};
    auto size = gsize(0);
    const auto *data = static_cast<const char *>(g_bytes_get_data(bytes, &size));
    return {data, size};
}

// The characters as text; empty for a null pointer.
inline auto viewOf(const char *text) -> std::string_view
{
    return text == nullptr ? std::string_view() : std::string_view(text);
}

} // namespace crocusreach

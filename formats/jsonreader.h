#pragma once

#include "core/types.h"

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// Reading of JSON objects with every fault collected: unknown and duplicate keys, missing keys,
// wrong types and values out of range.

namespace crocusreach {

using Json = nlohmann::ordered_json;

// Deeper input is refused, since writing a value recurses once per level.
constexpr std::size_t deepestNesting = 64;

// A list longer than this tells an operator nothing more.
constexpr std::size_t reportedFaults = 100;

// Faults found in one document. Each is one line that starts with the field or the line.
struct JsonFaults
{
    std::vector<std::string> lines;
    std::size_t omitted = 0; // beyond reportedFaults
};

auto addFault(JsonFaults &faults, std::string_view place, std::string_view text) -> void;
auto hasFaults(const JsonFaults &faults) -> bool;
// One error of all faults, with the source as peer.
auto toError(const JsonFaults &faults, Step step, std::string_view source) -> Error;

enum class JsonComments : std::uint8_t { Refused, Allowed };

// Parses a document. Syntax errors name the line; duplicate keys and too deep nesting are faults.
// Null if the document has any of these.
auto parseJson(std::string_view text, JsonComments comments, JsonFaults &faults)
        -> std::optional<Json>;

// Text that is valid UTF-8 whatever the strings hold: invalid bytes become U+FFFD.
auto writeJson(const Json &json, int indent = -1) -> std::string;

// Position in a document while its fields are read. Each key asked for counts as known.
struct JsonObject
{
    const Json *json = nullptr; // an object; null if the value was of another type
    std::string path; // empty at the top
    JsonFaults *faults = nullptr;
    std::set<std::string, std::less<>> known;
};

auto openObject(const Json &json, std::string path, JsonFaults &faults) -> JsonObject;
// Reports the keys that nobody asked for.
auto closeObject(const JsonObject &object) -> void;

auto fieldPath(const JsonObject &object, std::string_view key) -> std::string;
// Reports a fault of one field.
auto addFieldFault(const JsonObject &object, std::string_view key, std::string_view text) -> void;

// The value of a key, or null if it is absent; counts the key as known.
auto findField(JsonObject &object, std::string_view key) -> const Json *;
// The same, and an absent key is a fault.
auto requireField(JsonObject &object, std::string_view key) -> const Json *;

// Each reads an optional field into the target, which keeps its value if the field is absent or
// faulty. Returns whether the field was there and good.
auto readString(JsonObject &object, std::string_view key, std::string &target) -> bool;
auto readBool(JsonObject &object, std::string_view key, bool &target) -> bool;
auto readUnsigned(JsonObject &object, std::string_view key, std::uint64_t least, std::uint64_t most,
                  std::uint64_t &target) -> bool;
auto readNumber(JsonObject &object, std::string_view key, double least, double most, double &target)
        -> bool;
// Whole milliseconds.
auto readMilliseconds(JsonObject &object, std::string_view key, std::uint64_t least,
                      std::uint64_t most, Duration &target) -> bool;
auto readStrings(JsonObject &object, std::string_view key, std::vector<std::string> &target)
        -> bool;
auto requireString(JsonObject &object, std::string_view key, std::string &target) -> bool;

// An optional array of objects; calls read(JsonObject &) for each, and closes it.
template <typename Read>
auto readObjects(JsonObject &object, std::string_view key, Read read) -> void
{
    const auto *list = findField(object, key);
    if (list == nullptr)
        return;
    if (!list->is_array())
        return addFieldFault(object, key, "must be a list");
    for (std::size_t index = 0; index < list->size(); ++index) {
        auto path = fieldPath(object, key) + "[" + std::to_string(index) + "]";
        auto item = openObject((*list)[index], std::move(path), *object.faults);
        if (item.json == nullptr)
            continue;
        read(item);
        closeObject(item);
    }
}

// An unsigned integer of a narrower type or a strong id.
template <typename Integer>
auto readInteger(JsonObject &object, std::string_view key, std::uint64_t least, std::uint64_t most,
                 Integer &target) -> bool
{
    auto value = std::uint64_t();
    if (!readUnsigned(object, key, least, most, value))
        return false;
    target = static_cast<Integer>(value);
    return true;
}

} // namespace crocusreach

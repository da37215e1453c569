#include "jsonreader.h"

#include <cmath>

namespace crocusreach {

namespace {

// Faults that the JSON library doesn't report by itself while it builds a document.
struct StructureCheck
{
    JsonFaults &faults;
    std::vector<std::set<std::string>> keys; // of the objects that are open

    auto operator()(int depth, Json::parse_event_t event, Json &parsed) -> bool
    {
        using Event = Json::parse_event_t;
        if (event == Event::object_start || event == Event::array_start) {
            if (static_cast<std::size_t>(depth) >= deepestNesting)
                throw std::length_error("nested deeper than " + std::to_string(deepestNesting));
        }
        if (event == Event::object_start)
            this->keys.emplace_back();
        if (event == Event::object_end)
            this->keys.pop_back();
        if (event == Event::key) {
            const auto &name = parsed.get_ref<const std::string &>();
            if (!this->keys.back().insert(name).second)
                addFault(this->faults, name, "duplicate key");
        }
        return true;
    }
};

// The line, and what the library says without its own prefix.
auto describeSyntaxError(const std::string &message) -> std::pair<std::string, std::string>
{
    auto place = std::string("document");
    const auto line = message.find("at line ");
    const auto colon = message.find(": ", line == std::string::npos ? 0 : line);
    if (line == std::string::npos || colon == std::string::npos)
        return {place, message};
    const auto comma = message.find(',', line);
    place = "line " + message.substr(line + 8, comma - line - 8);
    auto text = message.substr(colon + 2);
    return {place, text};
}

auto typeFault(const JsonObject &object, std::string_view key, std::string_view expected) -> bool
{
    addFieldFault(object, key, "must be " + std::string(expected));
    return false;
}

auto rangeText(std::uint64_t least, std::uint64_t most) -> std::string
{
    if (most == std::numeric_limits<std::uint64_t>::max())
        return "a whole number of at least " + std::to_string(least);
    return "a whole number from " + std::to_string(least) + " to " + std::to_string(most);
}

// Keeps what a foreign document puts into a fault on one line of printable text.
auto singleLine(std::string_view text) -> std::string
{
    auto line = std::string();
    for (const auto c : text)
        line += (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) ? '?' : c;
    return line;
}

} // namespace

auto addFault(JsonFaults &faults, std::string_view place, std::string_view text) -> void
{
    if (faults.lines.size() >= reportedFaults) {
        ++faults.omitted;
        return;
    }
    faults.lines.push_back(singleLine(std::string(place) + ": " + std::string(text)));
}

auto hasFaults(const JsonFaults &faults) -> bool
{
    return !faults.lines.empty();
}

auto toError(const JsonFaults &faults, Step step, std::string_view source) -> Error
{
    auto text = std::string();
    for (const auto &line : faults.lines)
        text += (text.empty() ? "" : "\n") + line;
    if (faults.omitted > 0)
        text += "\nand " + std::to_string(faults.omitted) + " more";
    // A single fault has its place in the peer, so that one line of log says all.
    if (faults.lines.size() == 1) {
        const auto colon = text.find(": ");
        return {step, std::string(source) + ": " + text.substr(0, colon), text.substr(colon + 2)};
    }
    return {step, std::string(source), std::move(text)};
}

auto parseJson(std::string_view text, JsonComments comments, JsonFaults &faults)
        -> std::optional<Json>
{
    try {
        auto check = StructureCheck{faults, {}};
        auto json = Json::parse(text, std::ref(check), true, comments == JsonComments::Allowed);
        if (hasFaults(faults))
            return std::nullopt;
        return json;
    } catch (const Json::exception &error) {
        const auto [place, message] = describeSyntaxError(error.what());
        addFault(faults, place, message);
    } catch (const std::length_error &error) {
        addFault(faults, "document", error.what());
    }
    return std::nullopt;
}

auto writeJson(const Json &json, int indent) -> std::string
{
    return json.dump(indent, ' ', false, Json::error_handler_t::replace);
}

auto openObject(const Json &json, std::string path, JsonFaults &faults) -> JsonObject
{
    if (!json.is_object()) {
        addFault(faults, path.empty() ? "document" : path, "must be an object");
        return {nullptr, std::move(path), &faults, {}};
    }
    return {&json, std::move(path), &faults, {}};
}

auto closeObject(const JsonObject &object) -> void
{
    if (object.json == nullptr)
        return;
    for (const auto &[key, value] : object.json->items()) {
        if (!object.known.contains(key))
            addFieldFault(object, key, "unknown key");
    }
}

auto fieldPath(const JsonObject &object, std::string_view key) -> std::string
{
    return object.path.empty() ? std::string(key) : object.path + "." + std::string(key);
}

auto addFieldFault(const JsonObject &object, std::string_view key, std::string_view text) -> void
{
    addFault(*object.faults, fieldPath(object, key), text);
}

auto findField(JsonObject &object, std::string_view key) -> const Json *
{
    object.known.emplace(key);
    if (object.json == nullptr)
        return nullptr;
    const auto found = object.json->find(key);
    return found == object.json->end() ? nullptr : &*found;
}

auto requireField(JsonObject &object, std::string_view key) -> const Json *
{
    const auto *field = findField(object, key);
    if (field == nullptr && object.json != nullptr)
        addFieldFault(object, key, "is required");
    return field;
}

auto readString(JsonObject &object, std::string_view key, std::string &target) -> bool
{
    const auto *field = findField(object, key);
    if (field == nullptr)
        return false;
    if (!field->is_string())
        return typeFault(object, key, "a string");
    target = field->get_ref<const std::string &>();
    return true;
}

auto readBool(JsonObject &object, std::string_view key, bool &target) -> bool
{
    const auto *field = findField(object, key);
    if (field == nullptr)
        return false;
    if (!field->is_boolean())
        return typeFault(object, key, "true or false");
    target = field->get<bool>();
    return true;
}

auto readUnsigned(JsonObject &object, std::string_view key, std::uint64_t least, std::uint64_t most,
                  std::uint64_t &target) -> bool
{
    const auto *field = findField(object, key);
    if (field == nullptr)
        return false;
    if (!field->is_number_unsigned())
        return typeFault(object, key, rangeText(least, most));
    const auto value = field->get<std::uint64_t>();
    if (value < least || value > most)
        return typeFault(object, key, rangeText(least, most));
    target = value;
    return true;
}

auto readNumber(JsonObject &object, std::string_view key, double least, double most, double &target)
        -> bool
{
    const auto *field = findField(object, key);
    if (field == nullptr)
        return false;
    const auto value = field->is_number() ? field->get<double>() : std::nan("");
    if (!(value >= least && value <= most)) {
        const auto range = "a number from " + Json(least).dump() + " to " + Json(most).dump();
        return typeFault(object, key, range);
    }
    target = value;
    return true;
}

auto readMilliseconds(JsonObject &object, std::string_view key, std::uint64_t least,
                      std::uint64_t most, Duration &target) -> bool
{
    auto value = std::uint64_t();
    if (!readUnsigned(object, key, least, most, value))
        return false;
    target = std::chrono::milliseconds(value);
    return true;
}

auto readStrings(JsonObject &object, std::string_view key, std::vector<std::string> &target) -> bool
{
    const auto *field = findField(object, key);
    if (field == nullptr)
        return false;
    if (!field->is_array())
        return typeFault(object, key, "a list of strings");
    auto values = std::vector<std::string>();
    for (const auto &item : *field) {
        if (!item.is_string())
            return typeFault(object, key, "a list of strings");
        values.push_back(item.get_ref<const std::string &>());
    }
    target = std::move(values);
    return true;
}

auto requireString(JsonObject &object, std::string_view key, std::string &target) -> bool
{
    return requireField(object, key) != nullptr && readString(object, key, target);
}

} // namespace crocusreach

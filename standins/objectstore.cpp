#include "objectstore.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace crocusreach::standins {

namespace {

constexpr auto objectsPath = std::string_view("/v1/objects/");
constexpr auto defaultListLimit = std::size_t(1000);

auto toNumber(const std::string &text) -> std::uint64_t
{
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

auto versionHeader(std::uint64_t version) -> Headers
{
    return {{"X-Object-Version", std::to_string(version)}};
}

} // namespace

auto toString(StoreCallKind kind) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, 5>{"get", "watch", "put", "remove", "list"};
    return names.at(static_cast<std::size_t>(kind));
}

ObjectStore::ObjectStore(std::string_view address, std::uint64_t seed)
    : random(seed)
    , server(address, [this](const ExchangePtr &exchange) { this->handle(exchange); })
{ }

auto ObjectStore::counters() const -> StoreCounters
{
    auto counters = this->counted;
    counters.pendingWatches = this->watches.size();
    return counters;
}

auto ObjectStore::find(const std::string &key) const -> StoredObject
{
    const auto found = this->objects.find(key);
    return found != this->objects.end() ? found->second : StoredObject();
}

auto ObjectStore::write(const std::string &key, std::string value) -> std::uint64_t
{
    auto &object = this->objects[key];
    object = {object.version + 1, true, std::move(value)};
    this->notify(key);
    return object.version;
}

auto ObjectStore::count(StoreCallKind kind) -> void
{
    ++this->counted.calls.at(static_cast<std::size_t>(kind));
}

auto ObjectStore::handle(const ExchangePtr &exchange) -> void
{
    if (this->faults.slowMs <= 0) {
        this->serve(exchange);
        return;
    }
    this->delayed[exchange.get()]
            = callAfter(static_cast<std::int64_t>(this->faults.slowMs * 1000), [this, exchange] {
                  this->delayed.erase(exchange.get());
                  this->serve(exchange);
              });
}

auto ObjectStore::serve(const ExchangePtr &exchange) -> void
{
    if (this->faults.availability == StoreAvailability::Unavailable) {
        exchange->reply(SOUP_STATUS_SERVICE_UNAVAILABLE, {}, {});
        return;
    }
    if (this->faults.availability == StoreAvailability::Silent) {
        // A watch that is never notified: it is kept until the caller gives up.
        this->watches.push_back({{}, 0, exchange, {}});
        exchange->onDisconnect([this, key = exchange.get()] {
            this->watches.remove_if(
                    [key](const auto &entry) { return entry.exchange.get() == key; });
        });
        return;
    }
    const auto method = exchange->method();
    if (exchange->path() == "/v1/list" && method == "GET") {
        this->listKeys(exchange);
        return;
    }
    if (!exchange->path().starts_with(objectsPath)) {
        exchange->reply(SOUP_STATUS_NOT_FOUND, {}, {});
        return;
    }
    const auto key = std::string(exchange->path().substr(objectsPath.size()));
    if (method == "GET" && !exchange->parameter("wait_ms").empty())
        this->watch(exchange, key);
    else if (method == "GET")
        this->get(exchange, key);
    else if (method == "PUT" || method == "DELETE")
        this->change(exchange, key, method == "DELETE");
    else
        exchange->reply(SOUP_STATUS_METHOD_NOT_ALLOWED, {}, {});
}

auto ObjectStore::get(const ExchangePtr &exchange, const std::string &key) -> void
{
    this->count(StoreCallKind::Get);
    const auto object = this->find(key);
    const auto newerThan = toNumber(exchange->parameter("newer_than"));
    if (!object.present)
        exchange->reply(SOUP_STATUS_NOT_FOUND, {}, {});
    else if (newerThan > 0 && object.version <= newerThan)
        exchange->reply(SOUP_STATUS_NOT_MODIFIED, {}, {});
    else
        exchange->reply(SOUP_STATUS_OK, versionHeader(object.version), object.value);
}

auto ObjectStore::watch(const ExchangePtr &exchange, const std::string &key) -> void
{
    this->count(StoreCallKind::Watch);
    const auto newerThan = toNumber(exchange->parameter("newer_than"));
    const auto object = this->find(key);
    if (object.present && object.version > newerThan && !this->faults.silentWatches) {
        exchange->reply(SOUP_STATUS_OK, versionHeader(object.version), object.value);
        return;
    }
    const auto drop = [this, pointer = exchange.get()] {
        this->watches.remove_if(
                [pointer](const auto &entry) { return entry.exchange.get() == pointer; });
    };
    exchange->onDisconnect(drop);
    auto timeout = callAfter(
            static_cast<std::int64_t>(toNumber(exchange->parameter("wait_ms")) * 1000),
            [this, exchange, drop, newerThan, key] {
                const auto isAbsent = newerThan == 0 && !this->find(key).present;
                if (this->faults.silentWatches)
                    return;
                exchange->reply(isAbsent ? SOUP_STATUS_NOT_FOUND : SOUP_STATUS_NOT_MODIFIED, {},
                                {});
                drop();
            });
    this->watches.push_back({key, newerThan, exchange, std::move(timeout)});
}

auto ObjectStore::notify(const std::string &key) -> void
{
    const auto &object = this->objects[key];
    if (!object.present || this->faults.silentWatches)
        return;
    for (auto watch = this->watches.begin(); watch != this->watches.end();) {
        const auto fires = watch->key == key && object.version > watch->newerThan;
        if (fires)
            watch->exchange->reply(SOUP_STATUS_OK, versionHeader(object.version), object.value);
        watch = fires ? this->watches.erase(watch) : std::next(watch);
    }
}

auto ObjectStore::change(const ExchangePtr &exchange, const std::string &key, bool remove) -> void
{
    this->count(remove ? StoreCallKind::Remove : StoreCallKind::Put);
    auto lottery = std::uniform_real_distribution<double>(0, 1);
    const auto drawn = lottery(this->random);
    if (drawn < this->faults.loseBefore) {
        ++this->counted.lost;
        exchange->closeConnection();
        return;
    }
    auto &object = this->objects[key];
    const auto current = object.present ? object.version : 0;
    if (remove && !object.present) {
        exchange->reply(SOUP_STATUS_NOT_FOUND, {}, {});
        return;
    }
    if (toNumber(exchange->header("X-Expected-Version")) != current) {
        ++this->counted.conflicts;
        exchange->reply(SOUP_STATUS_PRECONDITION_FAILED, versionHeader(current), {});
        return;
    }
    object = {object.version + 1, !remove, remove ? "" : std::string(exchange->body())};
    if (drawn < this->faults.loseBefore + this->faults.loseAfter) {
        ++this->counted.lost;
        exchange->closeConnection();
    } else {
        exchange->reply(SOUP_STATUS_OK, versionHeader(object.version), {});
    }
    this->notify(key);
}

auto ObjectStore::listKeys(const ExchangePtr &exchange) -> void
{
    this->count(StoreCallKind::List);
    const auto prefix = exchange->parameter("prefix");
    const auto after = exchange->parameter("after");
    const auto asked = toNumber(exchange->parameter("limit"));
    const auto limit = asked == 0 ? defaultListLimit : asked;
    auto keys = nlohmann::json::array();
    auto more = false;
    for (auto entry = this->objects.upper_bound(after); entry != this->objects.end() && !more;
         ++entry) {
        if (!entry->first.starts_with(prefix) || !entry->second.present)
            continue;
        more = keys.size() == limit;
        if (!more)
            keys.push_back({{"key", entry->first}, {"version", entry->second.version}});
    }
    exchange->reply(SOUP_STATUS_OK, {}, nlohmann::json{{"keys", keys}, {"more", more}}.dump());
}

} // namespace crocusreach::standins

#include "platformstore.h"

#include <algorithm>
#include <tuple>

namespace crocusreach::standins {

namespace {

constexpr auto objectsPath = std::string_view("/api/objects/");
constexpr auto statusPath = std::string_view("/status");
// Objects of one page. Small, so that tests meet lists of several pages.
constexpr auto pageSize = std::size_t(40);

auto toNumber(const std::string &text) -> std::uint64_t
{
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

PlatformStore::PlatformStore(std::string_view address)
    : server(address, [this](const ExchangePtr &exchange) { this->handle(exchange); })
{ }

auto PlatformStore::setAvailability(PlatformAvailability changed) -> void
{
    this->availability = changed;
    if (changed == PlatformAvailability::Silent)
        this->server.silenceConnections();
    else
        this->server.closeConnections();
}

auto PlatformStore::forgetHistory() -> void
{
    this->historySince = this->revision;
    std::erase_if(this->objects, [](const auto &item) { return item.second.deleted; });
    for (auto &waiting : this->watches)
        waiting.exchange->closeConnection();
    this->watches.clear();
}

auto PlatformStore::restoreCopy() -> void
{
    std::tie(this->objects, this->revision) = this->copy;
    ++this->era;
    this->forgetHistory();
}

auto PlatformStore::reply(Exchange &exchange, unsigned status, std::string_view body) const -> void
{
    exchange.reply(status, {{"Store-Era", std::to_string(this->era)}}, body);
}

auto PlatformStore::put(const std::string &kind, const std::string &name, Json spec)
        -> std::uint64_t
{
    this->objects[{kind, name}] = {std::move(spec), ++this->revision, false};
    this->notify(kind);
    return this->revision;
}

auto PlatformStore::remove(const std::string &kind, const std::string &name) -> void
{
    auto &object = this->objects[{kind, name}];
    object.revision = ++this->revision;
    object.deleted = true;
    this->notify(kind);
}

auto PlatformStore::count(const std::string &kind) const -> std::size_t
{
    return static_cast<std::size_t>(
            std::count_if(this->objects.begin(), this->objects.end(), [&](const auto &item) {
                return item.first.first == kind && !item.second.deleted;
            }));
}

auto PlatformStore::status(const std::string &kind, const std::string &name) const -> Json
{
    const auto found = this->objects.find({kind, name});
    return found == this->objects.end() ? Json() : found->second.status;
}

auto PlatformStore::toJson(const Key &key, const Object &object) const -> Json
{
    return {{"meta",
             {{"name", key.second},
              {"revision", object.revision},
              {"create_revision", object.revision},
              {"finalizers", Json::array()},
              {"deleting", false}}},
            {"spec", object.spec},
            {"status", object.status}};
}

auto PlatformStore::handle(const ExchangePtr &exchange) -> void
{
    ++this->callCount;
    if (this->availability == PlatformAvailability::Busy) {
        this->reply(*exchange, SOUP_STATUS_SERVICE_UNAVAILABLE);
        return;
    }
    if (this->availability == PlatformAvailability::Silent) {
        this->watches.push_back({{}, 0, exchange, {}});
        return;
    }
    if (!exchange->path().starts_with(objectsPath)) {
        this->reply(*exchange, SOUP_STATUS_NOT_FOUND);
        return;
    }
    const auto kind = std::string(exchange->path().substr(objectsPath.size()));
    if (exchange->method() == "PUT" && kind.ends_with(statusPath)) {
        const auto slash = kind.find('/');
        const auto name = kind.substr(slash + 1, kind.size() - statusPath.size() - slash - 1);
        return this->writeStatus(exchange, {kind.substr(0, slash), name});
    }
    if (exchange->method() == "POST")
        this->create(exchange, kind);
    else if (!exchange->parameter("watch").empty())
        this->watch(exchange, kind);
    else
        this->list(exchange, kind);
}

auto PlatformStore::list(const ExchangePtr &exchange, const std::string &kind) -> void
{
    auto items = Json::array();
    auto more = false;
    const auto after = Key(kind, exchange->parameter("after"));
    for (auto entry = this->objects.upper_bound(after);
         entry != this->objects.end() && entry->first.first == kind && !more; ++entry) {
        if (entry->second.deleted)
            continue;
        more = items.size() == pageSize;
        if (!more)
            items.push_back(this->toJson(entry->first, entry->second));
    }
    this->reply(*exchange, SOUP_STATUS_OK,
                Json{{"items", items}, {"more", more}, {"current_rev", this->revision}}.dump());
}

auto PlatformStore::changes(const std::string &kind, std::uint64_t since) const -> Json
{
    auto events = Json::array();
    for (const auto &[key, object] : this->objects) {
        if (key.first == kind && object.revision > since)
            events.push_back({{"deleted", object.deleted}, {"object", this->toJson(key, object)}});
    }
    return events;
}

auto PlatformStore::answerChanges(Exchange &exchange, const std::string &kind, std::uint64_t since)
        -> void
{
    this->reply(
            exchange, SOUP_STATUS_OK,
            Json{{"events", this->changes(kind, since)}, {"current_rev", this->revision}}.dump());
}

auto PlatformStore::watch(const ExchangePtr &exchange, const std::string &kind) -> void
{
    const auto since = toNumber(exchange->parameter("watch"));
    if (since < this->historySince || since > this->revision) {
        this->reply(*exchange, SOUP_STATUS_GONE);
        return;
    }
    if (!this->changes(kind, since).empty()) {
        this->answerChanges(*exchange, kind, since);
        return;
    }
    const auto drop = [this, pointer = exchange.get()] {
        this->watches.remove_if(
                [pointer](const auto &entry) { return entry.exchange.get() == pointer; });
    };
    exchange->onDisconnect(drop);
    const auto wait = static_cast<std::int64_t>(toNumber(exchange->parameter("wait_ms")) * 1000);
    auto timeout = callAfter(wait, [this, exchange, kind, since, drop] {
        this->answerChanges(*exchange, kind, since);
        drop();
    });
    this->watches.push_back({kind, since, exchange, std::move(timeout)});
}

auto PlatformStore::create(const ExchangePtr &exchange, const std::string &kind) -> void
{
    const auto json = Json::parse(exchange->body(), nullptr, false);
    const auto name = json.is_object() ? json["meta"].value("name", std::string()) : std::string();
    const auto found = this->objects.find({kind, name});
    if (name.empty()) {
        this->reply(*exchange, SOUP_STATUS_BAD_REQUEST);
        return;
    }
    const auto exists = found != this->objects.end() && !found->second.deleted;
    if (!exists)
        this->put(kind, name, json.value("spec", Json()));
    this->reply(*exchange, exists ? SOUP_STATUS_CONFLICT : SOUP_STATUS_OK,
                this->toJson({kind, name}, this->objects.at({kind, name})).dump());
}

auto PlatformStore::writeStatus(const ExchangePtr &exchange, const Key &key) -> void
{
    const auto json = Json::parse(exchange->body(), nullptr, false);
    const auto found = this->objects.find(key);
    if (found == this->objects.end() || found->second.deleted || !json.is_object()) {
        this->reply(*exchange, SOUP_STATUS_NOT_FOUND);
        return;
    }
    auto &object = found->second;
    const auto meta = json.value("meta", Json::object());
    const auto fits = meta.value("revision", std::uint64_t(0)) == object.revision;
    if (fits) {
        object.status = json.value("status", Json());
        object.revision = ++this->revision;
        this->notify(key.first);
    }
    this->reply(*exchange, fits ? SOUP_STATUS_OK : SOUP_STATUS_CONFLICT,
                this->toJson(key, object).dump());
}

auto PlatformStore::notify(const std::string &kind) -> void
{
    for (auto entry = this->watches.begin(); entry != this->watches.end();) {
        const auto fires = entry->kind == kind && this->availability == PlatformAvailability::Up;
        if (fires)
            this->answerChanges(*entry->exchange, kind, entry->revision);
        entry = fires ? this->watches.erase(entry) : std::next(entry);
    }
}

} // namespace crocusreach::standins

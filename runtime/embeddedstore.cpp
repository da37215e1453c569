#include "embeddedstore.h"

#include <algorithm>

namespace crocusreach {

namespace {

auto currentVersion(const EmbeddedStore &store, std::string_view key) -> std::uint64_t
{
    const auto found = store.objects.find(key);
    return found == store.objects.end() ? 0 : found->second.version;
}

auto currentValue(const EmbeddedStore &store, std::string_view key) -> ObjectReply
{
    const auto found = store.objects.find(key);
    if (found == store.objects.end())
        return ObjectReply{ObjectStatus::NotFound, 0, {}, {}};
    return ObjectReply{ObjectStatus::Ok, found->second.version, found->second.value, {}};
}

// Takes the watches out that a condition holds for, in their order.
template <typename Condition>
auto takeWatches(EmbeddedStore &store, Condition condition) -> std::vector<EmbeddedWatch>
{
    auto taken = std::vector<EmbeddedWatch>();
    auto kept = std::vector<EmbeddedWatch>();
    for (auto &watch : store.watches)
        (condition(watch) ? taken : kept).push_back(std::move(watch));
    store.watches = std::move(kept);
    return taken;
}

auto answerWatches(EmbeddedStore &store, std::string_view key) -> void
{
    const auto version = currentVersion(store, key);
    const auto changed = [&](const EmbeddedWatch &watch) {
        return watch.call.key == key && version > watch.call.version;
    };
    for (const auto &watch : takeWatches(store, changed))
        watch.call.reply(currentValue(store, key));
}

auto put(EmbeddedStore &store, const ObjectCall &request) -> ObjectReply
{
    const auto version = currentVersion(store, request.key);
    if (version != request.version)
        return ObjectReply{ObjectStatus::Conflict, version, {}, {}};
    auto &object = store.objects[request.key];
    const auto former = store.removed.find(request.key);
    object.version = std::max(version, former == store.removed.end() ? 0 : former->second) + 1;
    object.value = request.value;
    return ObjectReply{ObjectStatus::Ok, object.version, {}, {}};
}

auto remove(EmbeddedStore &store, const ObjectCall &request) -> ObjectReply
{
    const auto version = currentVersion(store, request.key);
    if (version == 0)
        return ObjectReply{ObjectStatus::NotFound, 0, {}, {}};
    if (version != request.version)
        return ObjectReply{ObjectStatus::Conflict, version, {}, {}};
    store.removed.insert_or_assign(request.key, version);
    store.objects.erase(request.key);
    return ObjectReply{ObjectStatus::Ok, version, {}, {}};
}

} // namespace

auto makeEmbeddedStore(const EmbeddedObjects &objects) -> EmbeddedStore
{
    auto store = EmbeddedStore();
    for (const auto &[key, value] : objects)
        store.objects.insert_or_assign(key, EmbeddedObject{value, 1});
    return store;
}

auto call(EmbeddedStore &store, ObjectCall &&request, TimePoint now) -> void
{
    switch (request.operation) {
    case ObjectOperation::Get:
        if (request.version > 0 && currentVersion(store, request.key) == request.version)
            return request.reply(ObjectReply{ObjectStatus::NotModified, request.version, {}, {}});
        return request.reply(currentValue(store, request.key));
    case ObjectOperation::Watch:
        if (currentVersion(store, request.key) > request.version)
            return request.reply(currentValue(store, request.key));
        store.watches.emplace_back();
        store.watches.back().until = now + request.timeout;
        store.watches.back().call = std::move(request);
        return;
    case ObjectOperation::Put: {
        request.reply(put(store, request));
        return answerWatches(store, request.key);
    }
    case ObjectOperation::Remove:
        return request.reply(remove(store, request));
    }
}

auto expireWatches(EmbeddedStore &store, TimePoint now) -> void
{
    const auto expired = [&](const EmbeddedWatch &watch) { return watch.until <= now; };
    for (const auto &watch : takeWatches(store, expired)) {
        const auto absent = watch.call.version == 0 && !store.objects.contains(watch.call.key);
        const auto status = absent ? ObjectStatus::NotFound : ObjectStatus::NotModified;
        watch.call.reply(ObjectReply{status, watch.call.version, {}, {}});
    }
}

auto nextExpiry(const EmbeddedStore &store) -> std::optional<TimePoint>
{
    auto next = std::optional<TimePoint>();
    for (const auto &watch : store.watches)
        next = std::min(next.value_or(watch.until), watch.until);
    return next;
}

} // namespace crocusreach

#include "objectcache.h"

#include <algorithm>
#include <utility>

namespace crocusreach::forward {

namespace {

// Deleted objects are kept, so that other instances learn of the deletion. Beyond this number, all
// of them are discarded.
constexpr std::size_t deletedObjectLimit = 2000;

auto markDeleted(KindCache &cache, CachedObject &cached, std::uint64_t revision) -> void
{
    cached.object.deleted = true;
    cached.object.content = ObjectContent();
    cached.changeRevision = std::max(cached.changeRevision, revision);
    ++cache.deletedObjects;
}

auto discardDeleted(KindCache &cache) -> void
{
    if (cache.deletedObjects <= deletedObjectLimit)
        return;
    std::erase_if(cache.objects, [](const auto &item) { return item.second.object.deleted; });
    cache.deletedObjects = 0;
    cache.deletionsKeptSince = cache.revision;
}

// True for a leaf's entry that lets requests go to it.
auto isReadyLeaf(const StoredObject &object) -> bool
{
    const auto *const leaf = std::get_if<LeafRecord>(&object.content);
    return !object.deleted && leaf != nullptr && !leaf->draining;
}

} // namespace

auto toString(ObjectKind kind) -> std::string_view
{
    static constexpr auto names = std::to_array<std::string_view>(
            {"routes", "evacuations", "leafs", "instances", "rollouts"});
    return names.at(static_cast<std::size_t>(kind));
}

auto startEra(KindCache &cache) -> void
{
    cache.isOfFormerEra = cache.complete;
    for (auto &[name, cached] : cache.objects) {
        cached.isOfFormerEra = true;
        cached.isLeftOut = false;
    }
}

auto isDoubtful(const KindCache &cache, const StoredObject &listed) -> bool
{
    const auto found = cache.objects.find(listed.name);
    return found != cache.objects.end() && found->second.isOfFormerEra
           && listed.revision < found->second.object.revision && isReadyLeaf(listed)
           && !isReadyLeaf(found->second.object);
}

auto dropFormerEra(KindCache &cache) -> FormerEra
{
    auto former = FormerEra();
    for (auto item = cache.objects.begin(); item != cache.objects.end();) {
        auto &cached = item->second;
        if (!std::exchange(cached.isOfFormerEra, false)) {
            ++item;
            continue;
        }
        const auto wasDeleted = cached.object.deleted;
        if (!wasDeleted)
            former.removed.push_back(item->first);
        former.hadLeftOut = former.hadLeftOut || cached.isLeftOut;
        if (wasDeleted || cached.isLeftOut) {
            cache.deletedObjects -= wasDeleted ? 1 : 0;
            item = cache.objects.erase(item);
            continue;
        }
        cached.object.revision = cache.revision;
        cached.changeRevision = cache.revision;
        markDeleted(cache, cached, cache.revision);
        ++item;
    }
    return former;
}

auto updateObject(KindCache &cache, const StoredObject &object, std::uint64_t revision) -> bool
{
    const auto [found, isNew] = cache.objects.try_emplace(object.name);
    auto &cached = found->second;
    const auto wasLive = !isNew && !cached.object.deleted;
    if (isNew && object.deleted) {
        cache.objects.erase(found);
        return false;
    }
    if (object.deleted) {
        if (!wasLive || (!cached.isOfFormerEra && object.revision < cached.object.revision))
            return false;
        cached.isOfFormerEra = false;
        cached.changeRevision = object.revision;
        cached.object.revision = object.revision;
        cached.object.text = object.text;
        markDeleted(cache, cached, revision);
        discardDeleted(cache);
        return true;
    }
    if (!isNew && !cached.isOfFormerEra && object.revision <= cached.object.revision)
        return false;
    const auto isUnchanged = cached.isOfFormerEra && wasLive
                             && object.revision == cached.object.revision
                             && object.text == cached.object.text;
    cached.isOfFormerEra = false;
    if (isUnchanged) {
        cached.changeRevision = object.revision;
        return false;
    }
    if (!isNew && !wasLive)
        --cache.deletedObjects;
    cached.object = object;
    cached.changeRevision = std::max(revision, object.revision);
    return true;
}

auto keepDeletion(KindCache &cache, const StoredObject &object) -> void
{
    const auto [found, isNew] = cache.objects.try_emplace(object.name);
    auto &cached = found->second;
    if (!isNew) {
        if (cached.object.deleted) {
            cached.object.revision = std::max(cached.object.revision, object.revision);
            cached.changeRevision = std::max(cached.changeRevision, object.revision);
        }
        return;
    }
    cached.object.name = object.name;
    cached.object.revision = object.revision;
    markDeleted(cache, cached, object.revision);
}

auto finishList(KindCache &cache, std::uint64_t revision) -> std::vector<std::string>
{
    auto removed = std::vector<std::string>();
    for (auto &[name, cached] : cache.objects) {
        if (cached.object.deleted || cached.isOfFormerEra || cached.object.revision > revision
            || cache.listedNames.contains(name))
            continue;
        // A follower that knows a later revision than this instance did would ignore the deletion.
        cached.object.revision = revision;
        markDeleted(cache, cached, revision);
        removed.push_back(name);
    }
    cache.listedNames.clear();
    const auto isFirst = !std::exchange(cache.complete, true);
    const auto startsEra = std::exchange(cache.isOfFormerEra, false);
    if (isFirst || startsEra)
        cache.deletionsKeptSince = revision;
    // No reader was told of a revision by this cache before. Each one that knows the changes up to
    // an object's own revision has the object.
    for (auto &[name, cached] : cache.objects) {
        if (isFirst && !startsEra && !cached.object.deleted)
            cached.changeRevision = cached.object.revision;
    }
    cache.revision = startsEra ? revision : std::max(cache.revision, revision);
    return removed;
}

auto changesAfter(const KindCache &cache, std::uint64_t revision)
        -> std::vector<const StoredObject *>
{
    auto changes = std::vector<const StoredObject *>();
    for (const auto &[name, cached] : cache.objects) {
        if (!cached.isOfFormerEra && cached.changeRevision > revision)
            changes.push_back(&cached.object);
    }
    return changes;
}

auto liveObjects(const KindCache &cache) -> std::vector<const StoredObject *>
{
    auto live = std::vector<const StoredObject *>();
    for (const auto &[name, cached] : cache.objects) {
        if (!cached.object.deleted)
            live.push_back(&cached.object);
    }
    return live;
}

auto storedObjects(const KindCache &cache) -> std::vector<const StoredObject *>
{
    auto stored = std::vector<const StoredObject *>();
    for (const auto &[name, cached] : cache.objects) {
        if (!cached.object.deleted && !cached.isOfFormerEra)
            stored.push_back(&cached.object);
    }
    return stored;
}

} // namespace crocusreach::forward

#pragma once

#include "forwardmessages.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// The objects of the platform's store as this instance knows them, with the store's revisions.
// Objects may come from the store or from other instances that are ahead or behind, so that only
// a higher revision of an object replaces what is known of it.

namespace crocusreach::forward {

enum class ObjectKind : std::uint8_t { Routes, Evacuations, Leafs, Instances, Count };

constexpr auto objectKindCount = static_cast<std::size_t>(ObjectKind::Count);

auto toString(ObjectKind kind) -> std::string_view;

struct EvacuatedDomain
{
    std::string domain;
};

// Another instance, or this one.
struct RegisteredInstance
{
    std::string name;
};

// An object that can't be used. It counts as absent.
struct UnusableObject
{
    Error error;
};

using ObjectContent = std::variant<RouteTablePtr, EvacuatedDomain, LeafRecord, RegisteredInstance,
                                   UnusableObject>;

struct StoredObject
{
    std::string name;
    std::uint64_t revision = 0; // of its last change
    bool deleted = false; // the content then means nothing
    ObjectContent content;
    std::string text; // as the store encodes it, for other instances
};

struct CachedObject
{
    StoredObject object;
    std::uint64_t changeRevision = 0; // revision of the reply that brought it; not below its own
};

struct KindCache
{
    std::map<std::string, CachedObject, std::less<>> objects; // deleted ones too
    std::uint64_t revision = 0; // changes up to this one are known
    std::uint64_t deletionsKeptSince = 0; // deletions after this revision are kept
    bool complete = false; // a whole list was taken in
    std::set<std::string, std::less<>> listedNames; // names in a list in progress
    std::size_t deletedObjects = 0;
};

struct ObjectCache
{
    std::array<KindCache, objectKindCount> kinds;
};

// Takes in one object that a reply of this revision brought. Returns whether it was news.
auto updateObject(KindCache &cache, const StoredObject &object, std::uint64_t revision) -> bool;

// Ends a list as of a revision. Returns the names of the objects that are gone since.
auto finishList(KindCache &cache, std::uint64_t revision) -> std::vector<std::string>;

// Objects that have changed after a revision, the deleted ones included. In order of their names.
auto changesAfter(const KindCache &cache, std::uint64_t revision)
        -> std::vector<const StoredObject *>;

auto liveObjects(const KindCache &cache) -> std::vector<const StoredObject *>;

} // namespace crocusreach::forward

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

// Cache of the objects in the platform's store, with the store's revisions. Objects may come from
// the store or from relays that are ahead of this instance or behind it, so that an object is
// replaced only by a higher revision of it.
//
// A store that is restored from an older copy begins a new era, in which it issues revisions again.
// The order is by era and revision. What is known from a former era stays in force for a short time
// if the new era's list doesn't confirm it (storeera.h).

namespace crocusreach::forward {

enum class ObjectKind : std::uint8_t { Routes, Evacuations, Leafs, Instances, Rollouts, Count };

constexpr auto objectKindCount = static_cast<std::size_t>(ObjectKind::Count);

auto toString(ObjectKind kind) -> std::string_view;

struct EvacuatedDomain
{
    std::string domain;
};

// An instance's entry in the store, possibly this instance's own.
struct RegisteredInstance
{
    std::string name;
    std::string address; // IP:port for messages of other instances; empty: it takes none
};

// An object whose content is invalid. It counts as absent.
struct UnusableObject
{
    Error error;
};

using ObjectContent = std::variant<RouteTablePtr, EvacuatedDomain, LeafRecord, RegisteredInstance,
                                   RolloutOrder, UnusableObject>;

struct StoredObject
{
    std::string name;
    std::uint64_t revision = 0; // of its last change
    bool deleted = false;
    ObjectContent content; // without meaning if deleted
    std::string text; // as the store encodes the object, for other instances
};

struct CachedObject
{
    StoredObject object;
    std::uint64_t changeRevision = 0; // of the reply that brought it; not below the object's own
    bool isOfFormerEra = false; // and not confirmed by a reply of the present one
    bool isLeftOut = false; // in the present era's list, which is not trusted yet
};

struct KindCache
{
    std::map<std::string, CachedObject, std::less<>> objects; // by name, with the deleted ones
    std::uint64_t revision = 0; // all changes up to this one are known
    std::uint64_t deletionsKeptSince = 0; // all deletions after this revision are kept
    bool complete = false; // a whole list has been read
    std::set<std::string, std::less<>> listedNames; // in a list in progress
    std::size_t deletedObjects = 0;
    bool isOfFormerEra = false; // no whole list has been read in the present era
};

struct ObjectCache
{
    std::array<KindCache, objectKindCount> kinds;
};

// Begins a new era: its list decides what is known.
auto startEra(KindCache &cache) -> void;

// True if an object of the present era's list is older than what is known of it from the former
// era, and would put a leaf back into use that was draining or gone.
auto isDoubtful(const KindCache &cache, const StoredObject &listed) -> bool;

struct FormerEra
{
    std::vector<std::string> removed; // names of objects that the present era doesn't have
    bool hadLeftOut = false; // the list has to be read again for them
};

// Marks the objects of the former era as deleted.
auto dropFormerEra(KindCache &cache) -> FormerEra;

// Adds, replaces or deletes an object according to a reply of this revision. Returns whether the
// cache has changed.
auto updateObject(KindCache &cache, const StoredObject &object, std::uint64_t revision) -> bool;

// Keeps the deletion of an object that the first list no longer had.
auto keepDeletion(KindCache &cache, const StoredObject &object) -> void;

// Ends a list as of a revision: marks older objects that weren't listed as deleted, and returns
// their names.
auto finishList(KindCache &cache, std::uint64_t revision) -> std::vector<std::string>;

// The objects changed after a revision, including the deleted ones, in order of their names.
auto changesAfter(const KindCache &cache, std::uint64_t revision)
        -> std::vector<const StoredObject *>;

// With those of the former era that are still in force.
auto liveObjects(const KindCache &cache) -> std::vector<const StoredObject *>;

// Those that the store has in its present era.
auto storedObjects(const KindCache &cache) -> std::vector<const StoredObject *>;

} // namespace crocusreach::forward

#pragma once

#include "objectapi.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// An object store inside the process, for one instance without a platform. Free functions over the
// state; the owner supplies the time.

namespace crocusreach {

// Keys and values that the store starts with.
using EmbeddedObjects = std::vector<std::pair<std::string, std::string>>;

struct EmbeddedObject
{
    std::string value;
    std::uint64_t version = 0;
};

struct EmbeddedWatch
{
    ObjectCall call;
    TimePoint until = {};
};

struct EmbeddedStore
{
    std::map<std::string, EmbeddedObject, std::less<>> objects;
    // Versions of removed objects, so that an object made again gets a greater one.
    std::map<std::string, std::uint64_t, std::less<>> removed;
    std::vector<EmbeddedWatch> watches;
};

auto makeEmbeddedStore(const EmbeddedObjects &objects) -> EmbeddedStore;

// Answers a call, at once or, for a watch, when the object changes or the timeout has passed.
auto call(EmbeddedStore &store, ObjectCall &&request, TimePoint now) -> void;

// Answers the watches whose timeout has passed.
auto expireWatches(EmbeddedStore &store, TimePoint now) -> void;

// When the next watch expires, if any.
auto nextExpiry(const EmbeddedStore &store) -> std::optional<TimePoint>;

} // namespace crocusreach

#pragma once

#include "core/types.h"

#include <cstdint>
#include <functional>
#include <string>

// Calls to the platform's object API, independent of who answers them (HTTP or the embedded store).

namespace crocusreach {

enum class ObjectOperation : std::uint8_t {
    Get, // with a version above 0: NotModified if the object isn't newer
    Watch, // answers when the version is greater than the given one, or NotModified at the timeout
    Put, // expects the given version; 0 means absent
    Remove, // expects the given version
};

enum class ObjectStatus : std::uint8_t {
    Ok,
    NotModified,
    NotFound,
    Conflict, // the expected version doesn't match; nothing was written
    Unknown, // no reply; a write may or may not have taken effect
};

struct ObjectReply
{
    ObjectStatus status = ObjectStatus::Unknown;
    std::uint64_t version = 0;
    std::string value;
    std::string error; // for Unknown
};

struct ObjectCall
{
    ObjectOperation operation = ObjectOperation::Get;
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    Duration timeout = {};
    // Called once, in the store task's thread; it posts to the caller's mailbox.
    std::function<auto(ObjectReply &&)->void> reply;
};

} // namespace crocusreach

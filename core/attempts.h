#pragma once

#include "dispatch.h"
#include "messages.h"
#include "timers.h"
#include "types.h"

#include "coldstart.h"

#include <cstdint>
#include <optional>
#include <vector>

// The leaf requests that wait or run at this holder, and a filter for duplicates of recent ones.

namespace crocusreach {

enum class AttemptPhase : std::uint8_t {
    Free,
    Waiting,
    Running,
    // Answered, but the target may still run it, so its slot still counts as used.
    Abandoned,
};

struct Attempt
{
    AttemptPhase phase = AttemptPhase::Free;
    LeafRequest request;
    std::uint32_t leaf = 0; // index
    TimePoint arrivedAt = {};
    // The fields below are valid once sent.
    SendId send = {};
    TimePoint sentAt = {};
    TimePoint sentDeadline = {};
    ConnectionIndex connection = {};
    bool opensConnection = false; // the connection wasn't open when the request was sent
    std::uint32_t identityGeneration = 0; // of the leaf's identity, when the request was sent
    bool cancelled = false;
    bool targetReplied = false; // the runtime has reported the end of the latest send
    // The first send provably didn't reach the target, so the request was sent again.
    bool resent = false;
};

// Attempts in slots that are reused, so that their strings keep their allocated memory.
struct AttemptTable
{
    std::vector<Attempt> attempts;
    std::vector<std::uint32_t> freeSlots;
    std::uint64_t sendCount = 0;
};

auto allocateAttempt(AttemptTable &table) -> std::uint32_t;
auto releaseAttempt(AttemptTable &table, std::uint32_t index) -> void;

// A new id for a send of the attempt. It contains the attempt's index, for findAttempt().
auto nextSendId(AttemptTable &table, std::uint32_t index) -> SendId;

// The attempt whose latest send this is, if it is still known.
auto findAttempt(const AttemptTable &table, SendId send) -> std::optional<std::uint32_t>;

struct AttemptKey
{
    InstanceId origin = {};
    AttemptId attempt = {};

    auto operator==(const AttemptKey &) const -> bool = default;
};

struct SeenAttempt
{
    AttemptKey key;
    std::uint32_t index = 0; // into the attempt table
    std::uint32_t generation = 0; // the entry is empty if this isn't the set's generation
};

// An insert-only hash table with linear probing. Starting a new generation empties it in constant
// time.
struct SeenAttemptSet
{
    std::vector<SeenAttempt> entries; // size is a power of two
    std::size_t count = 0;
    std::uint32_t generation = 1;
};

// The attempts that arrived lately, so that a duplicate never runs. At 24,400 requests per second a
// node-based map spent a third of the time of a decision in cache misses. These tables cost one
// cache miss per set.
struct DuplicateFilter
{
    SeenAttemptSet recent;
    SeenAttemptSet older;
    TimePoint rotatedAt = {};
};

// Longer than the maximum deadline of a query (3 s) plus a delay on the way between instances.
constexpr auto duplicateWindow = std::chrono::seconds(5);

// Records an arrival and returns where the caller is to store the attempt's index; the pointer is
// valid until the next call. Returns null if the attempt has arrived within the duplicate window.
auto insertAttempt(DuplicateFilter &filter, const AttemptKey &key) -> std::uint32_t *;

// Once per duplicate window, drops the older set and starts a new recent one. Returns true if it
// did: attempts that haven't ended must then be inserted again.
auto rotateIfDue(DuplicateFilter &filter, TimePoint now) -> bool;

// The attempt with this key, unless it has ended.
auto findAttempt(const AttemptTable &table, const DuplicateFilter &filter, const AttemptKey &key)
        -> std::optional<std::uint32_t>;

} // namespace crocusreach

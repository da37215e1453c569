#pragma once

#include "dispatch.h"
#include "messages.h"
#include "timers.h"
#include "types.h"

#include "coldstart.h"

#include <cstdint>
#include <optional>
#include <vector>

// The leaf requests that wait or run at this holder, and the memory of those that ended.

namespace crocusreach {

enum class AttemptPhase : std::uint8_t {
    Free,
    Waiting,
    Running,
    // Answered, but the target may still run it, so that its slot stays counted.
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
    // A first send provably didn't reach the target, so that a second one was allowed.
    bool resent = false;
};

// Attempts in slots that are reused, so that their strings keep their memory.
struct AttemptTable
{
    std::vector<Attempt> attempts;
    std::vector<std::uint32_t> freeSlots;
    std::uint64_t sendCount = 0;
};

auto allocateAttempt(AttemptTable &table) -> std::uint32_t;
auto releaseAttempt(AttemptTable &table, std::uint32_t index) -> void;

// A new id that leads back to the attempt.
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

// An insert-only hash table with linear probing. A new generation empties it at once.
struct SeenAttemptSet
{
    std::vector<SeenAttempt> entries; // a power of two
    std::size_t count = 0;
    std::uint32_t generation = 1;
};

// Every attempt that arrived lately, so that a duplicate of it never runs. At 24,400 requests a
// second a node-based map took a third of the time of a decision in cache misses; this takes one
// for each of the two sets.
struct DuplicateFilter
{
    SeenAttemptSet recent;
    SeenAttemptSet older;
    TimePoint rotatedAt = {};
};

// Longer than the longest deadline of a query (3 s) and a delay on the way between instances.
constexpr auto duplicateWindow = std::chrono::seconds(5);

// Records an arrival and returns the place for its index, valid until the next call. Returns null
// if the attempt arrived within the memory time.
auto insertAttempt(DuplicateFilter &filter, const AttemptKey &key) -> std::uint32_t *;

// Forgets arrivals once they are older than the memory time. Returns true if it did: attempts that
// haven't ended must then be remembered again.
auto rotateIfDue(DuplicateFilter &filter, TimePoint now) -> bool;

// The attempt with this key, unless it has ended.
auto findAttempt(const AttemptTable &table, const DuplicateFilter &filter, const AttemptKey &key)
        -> std::optional<std::uint32_t>;

} // namespace crocusreach

#pragma once

#include "dispatch.h"
#include "messages.h"
#include "timers.h"
#include "types.h"

#include "coldstart.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
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
    TimePoint arrived = {};
    // The fields below are valid once sent.
    SendId send = {};
    TimePoint sentAt = {};
    TimePoint sentDeadline = {};
    ConnectionIndex connection = {};
    bool opensConnection = false; // the connection wasn't open when the request was sent
    std::uint32_t doubts = 0; // of the leaf's identity, when the request was sent
    bool cancelled = false;
    bool targetReplied = false; // the runtime has reported the end of the latest send
    // A first send provably didn't reach the target, so that a second one was allowed.
    bool resent = false;
};

// Attempts in slots that are reused, so that their strings keep their memory.
struct AttemptTable
{
    std::vector<Attempt> attempts;
    std::vector<std::uint32_t> unused;
    std::uint64_t sends = 0;
};

auto takeAttempt(AttemptTable &table) -> std::uint32_t;
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

struct AttemptKeyHash
{
    auto operator()(const AttemptKey &key) const -> std::size_t;
};

constexpr std::uint32_t endedAttempt = 0xffffffff;

struct RememberedKey
{
    AttemptKey key;
    TimePoint until = {};
};

// Every attempt that arrived lately, so that a duplicate of it never runs.
struct AttemptMemory
{
    using Map = std::unordered_map<AttemptKey, std::uint32_t, AttemptKeyHash>;

    Map indexes; // endedAttempt once answered and released
    std::vector<Map::node_type> spareNodes; // reused, so that steady state allocates nothing
    std::vector<RememberedKey> ring; // in order of arrival
    std::size_t first = 0; // position of the oldest in the ring
    std::size_t count = 0;
};

// Longer than the longest deadline of a query (3 s) and a delay on the way between instances.
constexpr auto attemptMemoryTime = std::chrono::seconds(5);

// Records an arrival; false if the attempt arrived before. Forgets old ones.
auto remember(AttemptMemory &memory, const AttemptKey &key, TimePoint now) -> bool;

// Sets the index under which the attempt is found, or endedAttempt.
auto setIndex(AttemptMemory &memory, const AttemptKey &key, std::uint32_t index) -> void;

// The index of an attempt that hasn't ended.
auto findIndex(const AttemptMemory &memory, const AttemptKey &key) -> std::optional<std::uint32_t>;

} // namespace crocusreach

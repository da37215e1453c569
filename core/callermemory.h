#pragma once

#include "types.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

// What callers' connections hold of the machine's memory and descriptors, in one total for all
// listeners of a process, and which of them are given up under pressure. Two load conditions are
// handled: callers that together hold more memory than their share, mostly requests that don't end
// and answers that nobody reads, and more connections than the process has descriptors for.

namespace crocusreach::forward {

enum class ListenerKind : std::uint8_t { Callers, Ready, Relay, Administration };
constexpr std::size_t listenerKindCount = 4;

auto toString(ListenerKind kind) -> std::string_view;

// What memory is used for.
enum class CallerUse : std::uint8_t { Connection, Input, Head, Body, Request, Output };
constexpr std::size_t callerUseCount = 6;

auto toString(CallerUse use) -> std::string_view;

// Idle: no request. Sending: the request isn't whole. Waiting: for the answer. Taking: the caller
// takes the answer. Closing: the last answer was taken.
enum class CallerStage : std::uint8_t { Idle, Sending, Waiting, Taking, Closing };

// A connection of a listener.
struct CallerKey
{
    ListenerKind listener = {};
    std::uint64_t connection = 0;

    auto operator==(const CallerKey &) const -> bool = default;
    auto operator<(const CallerKey &other) const -> bool
    {
        return std::tie(this->listener, this->connection)
               < std::tie(other.listener, other.connection);
    }
};

struct CallerKeyHash
{
    auto operator()(const CallerKey &key) const noexcept -> std::size_t
    {
        return std::hash<std::uint64_t>()(key.connection * listenerKindCount
                                          + static_cast<std::uint64_t>(key.listener));
    }
};

struct CallerHolding
{
    CallerStage stage = CallerStage::Idle;
    std::uint32_t address = 0; // of the caller's machine
    std::array<std::size_t, callerUseCount> bytes = {};
    std::uint64_t moved = 0; // bytes sent or taken since then
    TimePoint since = {}; // start of the message, or of the idle time
};

auto heldBytes(const CallerHolding &holding) -> std::size_t;

struct CallerLimits
{
    // The machine's memory; the default is that of most machines.
    std::size_t machineBytes = std::size_t(160) * 1000 * 1000;
    std::size_t maxDescriptors = 4100; // of the process
};

// A quarter of the memory is for callers and one for leafs' answers. The rest is for the program,
// the store's objects and the relays.
auto callerShare(const CallerLimits &limits) -> std::size_t;
auto leafAnswerShare(const CallerLimits &limits) -> std::size_t;

// Connections that a listener may have, and all listeners together. What they leave is for leafs,
// the store and files.
auto maxConnections(const CallerLimits &limits, ListenerKind kind) -> std::size_t;
auto maxConnections(const CallerLimits &limits) -> std::size_t;

struct CallerMemory
{
    CallerLimits limits;
    std::unordered_map<CallerKey, CallerHolding, CallerKeyHash> holdings;
    std::array<std::size_t, callerUseCount> used = {};
    std::size_t total = 0; // sum of the former
    std::array<std::size_t, listenerKindCount> connections = {};
    std::unordered_map<std::uint32_t, std::size_t> connectionsOf; // by the caller's address
};

// Enters a connection or replaces what it holds.
auto setHolding(CallerMemory &memory, CallerKey key, const CallerHolding &holding) -> void;
auto dropHolding(CallerMemory &memory, CallerKey key) -> void;

auto isOverShare(const CallerMemory &memory) -> bool;

// In the order in which connections are given up.
enum class ReliefRank : std::uint8_t {
    Unfinished, // the request isn't whole, or the answer was taken, or nobody takes it
    Idle,
    Taking, // the caller takes its answer
    Waiting, // the request may have run
};
constexpr std::size_t reliefRankCount = 4;

auto reliefRankOf(const CallerHolding &holding, TimePoint now) -> ReliefRank;

// Connections to be given up so that the total falls well below the share; none if it isn't
// exceeded. A rank is touched only if giving up all of the former ones doesn't suffice, and the
// later ones only as far as the share asks. Of those of a rank that hold at least its average, the
// one goes first that has moved the fewest bytes a second since its message began, for what it
// holds.
auto chooseRelief(const CallerMemory &memory, TimePoint now) -> std::vector<CallerKey>;

// Whether a further connection would exceed a bound, that of its listener or that of all.
enum class ConnectionBound : std::uint8_t { None, Listener, Process };
auto reachedBound(const CallerMemory &memory, ListenerKind kind) -> ConnectionBound;

// A caller that has done nothing wrong ends a short request within this time.
constexpr Duration leastStall = std::chrono::milliseconds(100);

// The connection without a request that has been idle longest, in whole seconds; of equal ones, one
// of the address that has most connections. Of all listeners if none is given. Connections that
// have been idle for less than the given time aren't chosen.
auto chooseIdle(const CallerMemory &memory, std::optional<ListenerKind> kind, TimePoint now,
                Duration leastIdle = {}) -> std::optional<CallerKey>;

// The connection to be given up when all places are taken by callers that neither end a request nor
// take an answer: one whose last answer was taken, otherwise the one with the least progress. Never
// one that waits for an answer. Of all listeners if none is given.
auto chooseStalled(const CallerMemory &memory, std::optional<ListenerKind> kind, TimePoint now)
        -> std::optional<CallerKey>;

} // namespace crocusreach::forward

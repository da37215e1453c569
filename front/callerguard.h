#pragma once

#include "core/callermemory.h"
#include "reactor.h"

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>

// Keeps the account of what callers hold, for all listeners of a process, and tells the listeners
// which connections to give up.

namespace crocusreach {

// Why a caller was refused or its connection was closed or made to wait.
enum class CallerRefusal : std::uint8_t {
    Memory, // callers hold more than their share of the memory
    Descriptors, // an idle connection was closed for a new one
    AcceptPaused, // no descriptor was left for a new connection
    HeadTooLarge,
    BodyTooLarge,
    Malformed,
    TooSlow, // the request wasn't whole in time
    Silent, // nothing was sent or taken for the idle time
};
constexpr std::size_t callerRefusalCount = 8;

auto toString(CallerRefusal reason) -> std::string_view;

class CallerGuard
{
public:
    // What a listener does at the guard's word, each with the number of a connection.
    struct Member
    {
        // Refuses the request that is being read, or closes the connection.
        std::function<auto(std::uint64_t)->void> relieve;
        // Closes the connection unless a request has come meanwhile. Returns whether it did.
        std::function<auto(std::uint64_t)->bool> closeIdle;
    };

    CallerGuard(Reactor &reactor, const forward::CallerLimits &limits);

    auto setLimits(const forward::CallerLimits &limits) -> void;
    auto join(forward::ListenerKind kind, Member member) -> void;
    // The listener's connections have ended.
    auto leave(forward::ListenerKind kind) -> void;

    // Connections that hold too much are given up in a later message of the loop's queue.
    auto update(forward::CallerKey key, const forward::CallerHolding &holding) -> void;
    auto drop(forward::CallerKey key) -> void;
    // Gives up connections at once if callers hold too much.
    auto relieve() -> void;

    // Whether a further connection of a listener would exceed a bound.
    auto isFull(forward::ListenerKind kind) const -> bool
    {
        return reachedBound(this->account, kind) != forward::ConnectionBound::None;
    }
    // Frees the place of a connection that is idle or makes no progress if a bound is reached.
    // False if there is none.
    auto makeRoom(forward::ListenerKind kind) -> bool;
    // Frees the descriptor of such a connection of any listener.
    auto freeDescriptor() -> bool;

    // Counts a refusal. One line a second is written for each reason, with the number since the
    // former one.
    auto note(CallerRefusal reason, forward::ListenerKind kind) -> void;

    auto memory() const -> const forward::CallerMemory & { return this->account; }
    auto refusals(CallerRefusal reason) const -> std::uint64_t
    {
        return this->noted.at(static_cast<std::size_t>(reason)).total;
    }

private:
    struct Noted
    {
        std::uint64_t total = 0;
        std::uint64_t reported = 0;
        TimePoint reportedAt = {};
    };

    // Each frees the place of one connection, of all listeners if none is given. False if there is
    // none to give up.
    auto closeOneStalled(std::optional<forward::ListenerKind> kind) -> bool;
    auto closeOneIdle(std::optional<forward::ListenerKind> kind, Duration leastIdle) -> bool;
    auto closeOne(std::optional<forward::ListenerKind> kind) -> bool;

    Reactor &reactor;
    forward::CallerMemory account;
    std::array<Member, forward::listenerKindCount> members;
    std::array<Noted, callerRefusalCount> noted = {};
    bool reliefPosted = false;
};

} // namespace crocusreach

#pragma once

#include "messages.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

// The start identity of a target's process, and the ramp that limits its load after a start.

namespace crocusreach {

struct RampSettings
{
    Duration stepDuration = std::chrono::seconds(2);
    std::uint32_t stepReplies = 8; // minimum replies in a step, none of them a shed
};

struct RampLimits
{
    std::uint32_t slots = 0;
    std::uint32_t coldSlots = 0;
};

// Number of a start identity in the order in which they became known; zero if none is known.
enum class StartNumber : std::uint32_t {};

struct ColdStart
{
    std::string identity; // of the current process; empty if unknown
    StartNumber startNumber = {};
    // False if the target may have restarted since a reply last showed the identity.
    bool confirmed = false;
    // Incremented whenever the identity becomes unconfirmed. A reply confirms it only if its
    // request was sent after that.
    std::uint32_t identityGeneration = 0;
    // Kept because a late reply of an ended process must not be taken for a restart.
    std::array<std::string, 4> formerIdentities;
    std::size_t nextFormerIndex = 0;
    std::uint32_t concurrencyLimit = 0; // zero until the ramp starts
    TimePoint stepStartedAt = {};
    std::uint32_t repliesInStep = 0;
};

enum class IdentityChange : std::uint8_t {
    None, // the current identity, or none given
    First, // nothing was known before
    Restarted,
    Stale, // an identity that was replaced earlier
};

// Updates the identity from a reply or a health page.
auto recordIdentity(ColdStart &cold, std::string_view startId) -> IdentityChange;

// Marks the identity as unconfirmed, since the target may have restarted: a connection was lost.
auto markIdentityUnconfirmed(ColdStart &cold) -> void;

auto restartRamp(ColdStart &cold, const RampLimits &limits, TimePoint now) -> void;

// What one reply shows about the load that the current process can take.
struct RampObservation
{
    TargetState state = TargetState::Unknown;
    bool shed = false;
    bool slow = false; // slower than twice the leaf's p99
};

auto advanceRamp(ColdStart &cold, const RampLimits &limits, const RampSettings &settings,
                 const RampObservation &reply, TimePoint now) -> void;

// The number of concurrent requests that the current process may get.
auto rampConcurrencyLimit(const ColdStart &cold, const RampLimits &limits) -> std::uint32_t;

} // namespace crocusreach

#pragma once

#include "messages.h"
#include "types.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

// What is known of a target's start identity, and how much load it may get since its start.

namespace crocusreach {

struct RampSettings
{
    Duration stepDuration = std::chrono::seconds(2);
    std::uint32_t stepReplies = 8; // without a shed before a step ends
};

struct RampLimits
{
    std::uint32_t slots = 0;
    std::uint32_t coldSlots = 0;
};

// Number of a start identity in the order in which they were learned; zero if none is known.
enum class StartNumber : std::uint32_t {};

struct ColdStart
{
    std::string identity; // of the current process; empty if unknown
    StartNumber startNumber = {};
    // False if the target may have restarted since the identity was last shown.
    bool confirmed = false;
    // Increases whenever the identity becomes doubtful. A reply confirms it only if its request
    // was sent after that.
    std::uint32_t identityGeneration = 0;
    // A late reply of an ended process must not be taken for a restart.
    std::array<std::string, 4> formerIdentities;
    std::size_t nextFormerIndex = 0;
    std::uint32_t concurrencyLimit = 0; // concurrency; zero until the ramp starts
    TimePoint stepStartedAt = {};
    std::uint32_t repliesInStep = 0;
};

enum class IdentityChange : std::uint8_t {
    None, // the current identity, or none given
    First, // nothing was known before
    Restarted,
    Stale, // an identity that was replaced earlier
};

// Takes in the identity that a reply or a health page shows.
auto recordIdentity(ColdStart &cold, std::string_view startId) -> IdentityChange;

// Marks the identity as doubtful: a connection was lost.
auto markIdentityUnconfirmed(ColdStart &cold) -> void;

auto restartRamp(ColdStart &cold, const RampLimits &limits, TimePoint now) -> void;

// What one reply of the current process tells about the load that it can take.
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

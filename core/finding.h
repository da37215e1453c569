#pragma once

#include <cstdint>
#include <string>
#include <string_view>

// A possible place of a fault, as diagnoses name it.

namespace crocusreach {

enum class FaultLocation : std::uint8_t {
    NoFault,
    NotEnoughEvidence,
    FailureDomainOut,
    IndexChange,
    ColdTarget,
    CapReached,
    SilentConnection,
    SlowTarget,
    StalledTarget, // it answers nobody, for as long as the request waited
    FailingTarget,
    SlowLink,
    HolderUnreachable,
    OwnInstanceOverloaded,
    OwnInstanceStopping,
    ShortDeadline,
    StoreUnavailable,
    DesiredStateChange, // operators changed routes, or leafs came and went
    Caller, // it asked for what isn't there, or left
};

auto toString(FaultLocation location) -> std::string_view;

// One possible place with its evidence.
struct Finding
{
    FaultLocation location = FaultLocation::NoFault;
    std::string component; // target, failure domain or instance; empty if the service as a whole
    // Of a service: the part of shards asked that the place explains as missing, plus the part of
    // the attempts' time that it explains; 0 to 2. Of one request: 0.
    double weight = 0;
    std::string description; // plain sentence with the figures
};

} // namespace crocusreach

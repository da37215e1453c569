#pragma once

#include <cstdint>
#include <string>
#include <string_view>

// A possible location of a fault: the result of a diagnosis.

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
    StalledTarget, // it answered no request while this one waited
    FailingTarget,
    SlowLink,
    HolderUnreachable,
    OwnInstanceOverloaded,
    OwnInstanceStopping,
    ShortDeadline,
    StoreUnavailable,
    DesiredStateChange, // operators changed routes, or leafs came and went
    Caller, // no route matched its request, or it disconnected
};

auto toString(FaultLocation location) -> std::string_view;

// One possible location with its evidence.
struct Finding
{
    FaultLocation location = FaultLocation::NoFault;
    std::string component; // target, failure domain or instance; empty if the service as a whole
    // For a service: the fraction of the requested shards whose absence the location explains, plus
    // the fraction of the attempts' time that it explains; 0 to 2. For a single request: 0.
    double weight = 0;
    std::string description; // a sentence with the figures, for operators
};

} // namespace crocusreach

#include "finding.h"

namespace crocusreach {

auto toString(FaultLocation location) -> std::string_view
{
    switch (location) {
    case FaultLocation::NoFault:
        return "no_fault";
    case FaultLocation::NotEnoughEvidence:
        return "not_enough_evidence";
    case FaultLocation::FailureDomainOut:
        return "failure_domain_out";
    case FaultLocation::IndexChange:
        return "index_change";
    case FaultLocation::ColdTarget:
        return "cold_target";
    case FaultLocation::CapReached:
        return "cap_reached";
    case FaultLocation::SilentConnection:
        return "silent_connection";
    case FaultLocation::SlowTarget:
        return "slow_target";
    case FaultLocation::StalledTarget:
        return "stalled_target";
    case FaultLocation::FailingTarget:
        return "failing_target";
    case FaultLocation::SlowLink:
        return "slow_link";
    case FaultLocation::HolderUnreachable:
        return "holder_unreachable";
    case FaultLocation::OwnInstanceOverloaded:
        return "own_instance_overloaded";
    case FaultLocation::OwnInstanceStopping:
        return "own_instance_stopping";
    case FaultLocation::ShortDeadline:
        return "short_deadline";
    case FaultLocation::StoreUnavailable:
        return "store_unavailable";
    case FaultLocation::DesiredStateChange:
        return "desired_state_change";
    case FaultLocation::Caller:
        return "caller";
    }
    return "invalid";
}

} // namespace crocusreach

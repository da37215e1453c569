#include "finding.h"

namespace crocusreach {

auto toString(FaultPlace place) -> std::string_view
{
    switch (place) {
    case FaultPlace::NoFault:
        return "no_fault";
    case FaultPlace::NotEnoughEvidence:
        return "not_enough_evidence";
    case FaultPlace::FailureDomainOut:
        return "failure_domain_out";
    case FaultPlace::IndexChange:
        return "index_change";
    case FaultPlace::ColdTarget:
        return "cold_target";
    case FaultPlace::CapReached:
        return "cap_reached";
    case FaultPlace::SilentConnection:
        return "silent_connection";
    case FaultPlace::SlowTarget:
        return "slow_target";
    case FaultPlace::StalledTarget:
        return "stalled_target";
    case FaultPlace::FailingTarget:
        return "failing_target";
    case FaultPlace::SlowLink:
        return "slow_link";
    case FaultPlace::HolderUnreachable:
        return "holder_unreachable";
    case FaultPlace::OwnInstanceOverloaded:
        return "own_instance_overloaded";
    case FaultPlace::OwnInstanceStopping:
        return "own_instance_stopping";
    case FaultPlace::ShortDeadline:
        return "short_deadline";
    case FaultPlace::StoreUnavailable:
        return "store_unavailable";
    case FaultPlace::DesiredStateChange:
        return "desired_state_change";
    case FaultPlace::Caller:
        return "caller";
    }
    return "invalid";
}

} // namespace crocusreach

#pragma once

#include "account.h"
#include "clusterview.h"
#include "types.h"

#include <string>
#include <vector>

// The most likely place of a fault of one service, from the rolling accounts of one instance.

namespace crocusreach {

enum class FaultPlace : std::uint8_t {
    NoFault,
    NotEnoughEvidence,
    FailureDomainOut,
    IndexChange,
    ColdTarget,
    CapReached,
    SilentConnection,
    SlowTarget,
    FailingTarget,
    SlowLink,
    HolderUnreachable,
    OwnInstanceOverloaded,
    ShortDeadline,
    StoreUnavailable,
};

auto toString(FaultPlace place) -> std::string_view;

// One possible place with its evidence. The weight is the part of shards asked that it explains as
// missing, plus the part of the attempts' time that it explains; 0 to 2.
struct Finding
{
    FaultPlace place = FaultPlace::NoFault;
    std::string where; // target, failure domain or instance; empty if the service as a whole
    double weight = 0;
    std::string sentence; // plain sentence with the figures
};

struct Diagnosis
{
    std::string service;
    std::uint64_t queries = 0; // that the evidence rests on
    std::vector<Finding> findings; // heaviest first; never empty
};

// Queries that the evidence must rest on at least.
constexpr std::uint64_t leastQueries = 10;

auto diagnose(const RollingAccounts &accounts, const ClusterView &view, const Service &service)
        -> Diagnosis;

// The first finding, or two if the second weighs more than half as much, as text for operators.
auto explainText(const Diagnosis &diagnosis) -> std::string;

} // namespace crocusreach

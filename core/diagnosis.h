#pragma once

#include "clusterview.h"
#include "finding.h"
#include "statistics.h"
#include "types.h"

#include <string>
#include <vector>

// Finds the most likely location of a service's fault from the rolling statistics of one instance.

namespace crocusreach {

struct Diagnosis
{
    std::string service;
    std::uint64_t queries = 0; // in the statistics
    std::vector<Finding> findings; // highest weight first; never empty
};

// With fewer queries there is not enough evidence.
constexpr std::uint64_t minQueries = 10;

auto diagnose(const RollingStatistics &statistics, const ClusterView &view, const Service &service)
        -> Diagnosis;

// The first finding as text for operators, with the second one if its weight is more than half of
// the first one's.
auto explainText(const Diagnosis &diagnosis) -> std::string;

} // namespace crocusreach

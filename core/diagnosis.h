#pragma once

#include "clusterview.h"
#include "finding.h"
#include "statistics.h"
#include "types.h"

#include <string>
#include <vector>

// The most likely place of a fault of one service, from the rolling accounts of one instance.

namespace crocusreach {

struct Diagnosis
{
    std::string service;
    std::uint64_t queries = 0; // that the evidence rests on
    std::vector<Finding> findings; // heaviest first; never empty
};

// Queries that the evidence must rest on at least.
constexpr std::uint64_t minQueries = 10;

auto diagnose(const RollingStatistics &statistics, const ClusterView &view, const Service &service)
        -> Diagnosis;

// The first finding, or two if the second weighs more than half as much, as text for operators.
auto explainText(const Diagnosis &diagnosis) -> std::string;

} // namespace crocusreach

#pragma once

#include "cell.h"

#include <catch2/catch.hpp>

namespace crocusreach::tests {

// The promises that hold whatever happens.
inline auto checkPromises(Cell &cell, const Callers &callers) -> void
{
    const auto seen = callers.seen();
    const auto violations = cell.violations();
    CAPTURE(seen.complete, seen.partial, seen.refused, seen.reasons, seen.faults, violations);
    CHECK(seen.faults.empty());
    CHECK(violations.empty());
}

} // namespace crocusreach::tests

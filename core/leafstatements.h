#pragma once

#include "types.h"

#include <optional>

// What a leaf states about itself in its answers. A statement is that of one process of the leaf:
// its successor under the same id starts without any.

namespace crocusreach::forward {

struct LeafStatements
{
    std::optional<TimePoint> leavesAt; // it is about to exit, and gets no requests from then on
    std::optional<double> rateLimit; // requests a second that it takes from all instances together
};

// True if the leaf has stated that it is about to exit. It still serves for the drain timeout.
auto isLeaving(const LeafStatements &statements) -> bool;

// True once the drain timeout of a leaving leaf is over.
auto hasLeft(const LeafStatements &statements, TimePoint now) -> bool;

} // namespace crocusreach::forward

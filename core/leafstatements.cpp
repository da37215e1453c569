#include "leafstatements.h"

namespace crocusreach::forward {

auto isLeaving(const LeafStatements &statements) -> bool
{
    return statements.leavesAt.has_value();
}

auto hasLeft(const LeafStatements &statements, TimePoint now) -> bool
{
    return statements.leavesAt && *statements.leavesAt <= now;
}

} // namespace crocusreach::forward

#pragma once

#include "core/forwarder.h"

#include <vector>

// One front's decisions with leafs under virtual time, for benchmarks and the signature.

namespace crocusreach::bench {

// Three leafs a service, "catalogue~0" and so on, one in each of three failure domains.
auto makeLeafs(std::size_t count) -> std::vector<forward::LeafRecord>;

struct ForwardRun
{
    // A route over the number of shards, in a deployment with the number of leafs.
    ForwardRun(std::size_t shards, std::size_t leafs);

    auto give(const forward::ForwardEvent &event) -> void;
    // A query arrives; its sends are among the actions.
    auto arrive() -> void;

    forward::Forwarder forwarder;
    TimePoint now = TimePoint(std::chrono::hours(1));
    std::vector<forward::ForwardAction> actions;
    std::uint64_t queries = 0;
};

// A leaf's answer of the kind, with one record.
auto makeAnswer(SendId send, forward::LeafAnswerKind kind) -> forward::LeafAnswered;

} // namespace crocusreach::bench

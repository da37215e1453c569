#pragma once

#include "core/forwarder.h"
#include "reactor.h"

#include <functional>
#include <vector>

// The task round the forwarder's decisions.

namespace crocusreach {

class ForwardTask
{
public:
    using Perform = std::function<auto(forward::ForwardAction &&)->void>;

    ForwardTask(Reactor &reactor, const forward::ForwarderSettings &settings, Perform perform);

    auto post(forward::ForwardEvent &&event) -> void;
    // For the balancer's question and the metrics, which are answered in the same loop.
    auto state() const -> const forward::Forwarder & { return this->forwarder; }

private:
    auto take(const forward::ForwardEvent &event) -> void;

    Reactor &reactor;
    Perform perform;
    forward::Forwarder forwarder;
    std::vector<forward::ForwardAction> actions;
    TimerHandle timer;
};

} // namespace crocusreach

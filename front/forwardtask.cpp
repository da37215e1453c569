#include "forwardtask.h"

#include "base/clock.h"

namespace crocusreach {

using namespace forward;

ForwardTask::ForwardTask(Reactor &reactor, const ForwarderSettings &settings, Perform perform)
    : reactor(reactor)
    , perform(std::move(perform))
    , timer(reactor.addTimer([this] { return nextTickAt(this->forwarder); },
                             [this] { this->take(ForwarderTick()); }))
{
    configure(this->forwarder, settings);
}

auto ForwardTask::post(ForwardEvent &&event) -> void
{
    this->reactor.post([this, event = std::move(event)] { this->take(event); });
}

auto ForwardTask::take(const ForwardEvent &event) -> void
{
    handle(this->forwarder, event, decisionNow(), this->actions);
    for (auto &action : this->actions)
        this->perform(std::move(action));
    this->actions.clear();
}

} // namespace crocusreach

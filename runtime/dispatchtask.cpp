#include "dispatchtask.h"

namespace crocusreach {

auto performDispatchActions(DispatchOutlets outlets) -> DispatchTask::Perform
{
    return [outlets = std::move(outlets)](DispatchAction &&action) {
        const auto handlers
                = Overloaded{[&](SendTargetRequest &&send) { outlets.target(std::move(send)); },
                             [&](ProbeTarget &&probe) { outlets.target(std::move(probe)); },
                             [&](CancelTargetRequest &&cancel) { outlets.target(cancel); },
                             [&](CloseTargetConnections &&close) { outlets.target(close); },
                             [&](SendLeafReply &&to) {
                                 if (to.origin == outlets.self)
                                     outlets.query(std::move(to.reply));
                                 else
                                     outlets.peer(std::move(to));
                             },
                             [&](SharesDrained &&drained) { outlets.control(drained); }};
        std::visit(handlers, std::move(action));
    };
}

} // namespace crocusreach

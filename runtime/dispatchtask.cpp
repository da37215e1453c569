#include "dispatchtask.h"

namespace crocusreach {

auto performDispatchActions(DispatchOutlets outlets) -> DispatchTask::Perform
{
    return [outlets = std::move(outlets)](DispatchAction &&action) {
        const auto handlers
                = Overloaded{[&](TargetSend &&send) { outlets.target(std::move(send)); },
                             [&](TargetProbe &&probe) { outlets.target(std::move(probe)); },
                             [&](TargetCancel &&cancel) { outlets.target(cancel); },
                             [&](TargetClose &&close) { outlets.target(close); },
                             [&](LeafReplyTo &&to) {
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

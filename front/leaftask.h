#pragma once

#include "frontcodec.h"
#include "httplinks.h"
#include "reactor.h"

#include <functional>
#include <unordered_map>

// The task that owns the connections to leafs.

namespace crocusreach {

class LeafTask
{
public:
    using Outlet = std::function<auto(forward::ForwardEvent &&)->void>;

    LeafTask(Reactor &reactor, const FrontCodec &codec, Outlet outlet);

    auto setMaxAnswerBytes(std::size_t size) -> void { this->links.setMaxHeldBytes(size); }

    auto post(forward::SendToLeaf &&send) -> void;
    auto post(forward::OpenConnection &&open) -> void;
    auto post(const forward::CloseConnection &close) -> void;

private:
    auto onAnswered(std::uint64_t link, HttpMessage &&response, bool usable) -> void;
    auto onFailed(std::uint64_t link, const LinkLoss &loss) -> void;
    auto takeSend(std::uint64_t link) -> SendId;

    Reactor &reactor;
    const FrontCodec &codec;
    Outlet outlet;
    std::unordered_map<std::uint64_t, SendId> sends; // by link
    HttpLinks links;
};

} // namespace crocusreach

#pragma once

#include "frontcodec.h"
#include "httplistener.h"
#include "reactor.h"

#include <functional>
#include <string>
#include <string_view>

// The task that owns the callers' connections: it turns their requests into the forwarder's events
// and the forwarder's answers into responses.

namespace crocusreach {

class CallerTask
{
public:
    using Outlet = std::function<auto(forward::ForwardEvent &&)->void>;

    CallerTask(Reactor &reactor, const FrontCodec &codec, Outlet outlet);

    auto open(std::string_view address) -> Result<std::string>;
    auto post(forward::AnswerCaller &&answer) -> void;
    // What the operators allow a caller to send.
    auto post(const forward::RequestLimits &limits) -> void;
    auto announceClose() -> void { this->listener.announceClose(); }
    auto closeIdle() -> void { this->listener.closeIdle(); }
    auto openRequests() const -> std::size_t { return this->listener.openRequests(); }

private:
    auto onRequest(CallerId caller, HttpMessage &&message) -> void;

    Reactor &reactor;
    const FrontCodec &codec;
    Outlet outlet;
    HttpListener listener;
};

} // namespace crocusreach

#pragma once

#include "frontcodec.h"
#include "httplistener.h"
#include "reactor.h"

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// The task that owns the callers' connections: it turns their requests into the forwarder's events
// and the forwarder's answers into responses.

namespace crocusreach {

class CallerTask
{
public:
    using Outlet = std::function<auto(forward::ForwardEvent &&)->void>;

    CallerTask(Reactor &reactor, const FrontCodec &codec, Outlet outlet,
               CallerGuard *guard = nullptr);

    auto open(std::string_view address) -> Result<std::string>;
    auto post(forward::AnswerCaller &&answer) -> void;
    // What the operators allow a caller to send, and whether the desired state names tenants.
    auto post(const forward::RequestLimits &limits, bool tenantsAreNamed) -> void;
    // Keys are kept from leafs also while no desired state is known.
    auto expectTenants(bool value) -> void
    {
        this->expectsTenants = value;
        this->hasTenants = this->hasTenants || value;
    }
    auto setClosing(bool value) -> void { this->listener.setClosing(value); }
    auto closeIdle() -> void { this->listener.closeIdle(); }
    auto openRequests() const -> std::size_t { return this->listener.openRequests(); }
    auto unfinishedAnswers() const -> std::vector<UnfinishedAnswer>
    {
        return this->listener.unfinishedAnswers();
    }

private:
    auto onRequest(CallerId caller, HttpMessage &&message) -> void;
    auto onLeft(CallerId caller) -> void;

    Reactor &reactor;
    const FrontCodec &codec;
    Outlet outlet;
    // A connection carries one request after the other; each is a call with a number of its own,
    // since sends of an answered call may still run when the next request arrives.
    std::unordered_map<CallerId, forward::CallId> calls;
    std::unordered_map<forward::CallId, CallerId> callers;
    std::uint64_t lastCall = 0;
    bool expectsTenants = false; // by the settings
    bool hasTenants = false;
    HttpListener listener;
};

} // namespace crocusreach

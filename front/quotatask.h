#pragma once

#include "core/forwardmessages.h"
#include "peertask.h"
#include "reactor.h"

#include <functional>
#include <unordered_map>

// The task between the forwarder's questions about quotas and the messages to other instances.

namespace crocusreach {

class QuotaTask
{
public:
    using Outlet = std::function<auto(forward::ForwardEvent &&)->void>;

    QuotaTask(Reactor &reactor, PeerTask &peers, Outlet outlet);

    auto post(forward::AskForTokens &&question) -> void;
    auto post(const forward::GrantTokens &answer) -> void;

private:
    auto onQuestion(std::string_view body, PeerTask::Reply &&reply) -> void;

    Reactor &reactor;
    PeerTask &peers;
    Outlet outlet;
    std::unordered_map<std::uint64_t, PeerTask::Reply> openQuestions; // of other instances
    std::uint64_t lastQuestion = 0;
};

} // namespace crocusreach

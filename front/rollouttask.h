#pragma once

#include "core/forwardmessages.h"
#include "peertask.h"
#include "reactor.h"

#include <functional>
#include <unordered_map>

// The task between the forwarder's decisions on roll-outs and the messages to other instances and
// the store.

namespace crocusreach {

class RolloutTask
{
public:
    using Outlet = std::function<auto(forward::ForwardEvent &&)->void>;
    using WriteStatus = std::function<auto(const forward::WriteRolloutStatus &)->void>;

    RolloutTask(Reactor &reactor, PeerTask &peers, Outlet outlet, WriteStatus writeStatus);

    auto post(const forward::SendRolloutReport &message) -> void;
    auto post(const forward::AnswerRolloutReport &answer) -> void;
    auto post(const forward::WriteRolloutStatus &write) -> void;

private:
    auto onReport(std::string_view body, PeerTask::Reply &&reply) -> void;

    Reactor &reactor;
    PeerTask &peers;
    Outlet outlet;
    WriteStatus writeStatus;
    std::unordered_map<std::uint64_t, PeerTask::Reply> openReports; // of other instances
    std::uint64_t lastReport = 0;
};

} // namespace crocusreach

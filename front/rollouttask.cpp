#include "rollouttask.h"

#include "peercodec.h"

#include <utility>

namespace crocusreach {

using namespace forward;

namespace {

constexpr auto rolloutSubject = std::string_view("rollout");
// An instance that doesn't answer within this time is replaced as coordinator, well within the time
// for which the new version is used without a reply.
constexpr Duration replyTimeout = std::chrono::milliseconds(400);

} // namespace

RolloutTask::RolloutTask(Reactor &reactor, PeerTask &peers, Outlet outlet, WriteStatus writeStatus)
    : reactor(reactor)
    , peers(peers)
    , outlet(std::move(outlet))
    , writeStatus(std::move(writeStatus))
{
    this->peers.handle(std::string(rolloutSubject),
                       [this](std::string_view body, PeerTask::Reply &&reply) {
                           this->onReport(body, std::move(reply));
                       });
}

auto RolloutTask::onReport(std::string_view body, PeerTask::Reply &&reply) -> void
{
    auto report = readRolloutReport(body);
    if (!report)
        return reply({});
    const auto number = ++this->lastReport;
    this->openReports.emplace(number, std::move(reply));
    this->outlet(RolloutReported{number, std::move(*report)});
}

auto RolloutTask::post(const SendRolloutReport &message) -> void
{
    const auto number = message.number;
    this->peers.call(
            message.address, rolloutSubject, writeRolloutReport(message.report), replyTimeout,
            [this, number](const std::optional<std::string> &body) {
                this->outlet(RolloutReplied{number, body ? readRolloutReply(*body) : std::nullopt});
            });
}

auto RolloutTask::post(const AnswerRolloutReport &answer) -> void
{
    this->reactor.post([this, answer] {
        const auto found = this->openReports.find(answer.number);
        if (found == this->openReports.end())
            return;
        const auto reply = std::move(found->second);
        this->openReports.erase(found);
        reply(writeRolloutReply(answer.reply));
    });
}

auto RolloutTask::post(const WriteRolloutStatus &write) -> void
{
    // The forwarder may be handling an event, which a failure at once must not interrupt.
    this->reactor.post([this, write] { this->writeStatus(write); });
}

} // namespace crocusreach

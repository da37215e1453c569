#include "quotatask.h"

#include "peercodec.h"

#include <utility>

namespace crocusreach {

using namespace forward;

namespace {

constexpr auto quotaSubject = std::string_view("quota");
// A reply within a deployment takes a few milliseconds; a caller waits for it twice at most.
constexpr Duration replyTimeout = std::chrono::milliseconds(60);

} // namespace

QuotaTask::QuotaTask(Reactor &reactor, PeerTask &peers, Outlet outlet)
    : reactor(reactor)
    , peers(peers)
    , outlet(std::move(outlet))
{
    this->peers.handle(std::string(quotaSubject),
                       [this](std::string_view body, PeerTask::Reply &&reply) {
                           this->onQuestion(body, std::move(reply));
                       });
}

auto QuotaTask::onQuestion(std::string_view body, PeerTask::Reply &&reply) -> void
{
    auto question = readTokenQuestion(body);
    if (!question)
        return reply({});
    const auto number = ++this->lastQuestion;
    this->openQuestions.emplace(number, std::move(reply));
    this->outlet(TokensAsked{number, std::move(question->tenant), question->wanted});
}

auto QuotaTask::post(const GrantTokens &answer) -> void
{
    this->reactor.post([this, answer] {
        const auto found = this->openQuestions.find(answer.number);
        if (found == this->openQuestions.end())
            return;
        const auto reply = std::move(found->second);
        this->openQuestions.erase(found);
        reply(writeTokenGrant(answer.grant));
    });
}

auto QuotaTask::post(AskForTokens &&question) -> void
{
    const auto number = question.question;
    this->peers.call(
            question.address, quotaSubject,
            writeTokenQuestion({std::move(question.tenant), question.wanted}), replyTimeout,
            [this, number](const std::optional<std::string> &body) {
                this->outlet(TokensReplied{number, body ? readTokenGrant(*body) : std::nullopt});
            });
}

} // namespace crocusreach

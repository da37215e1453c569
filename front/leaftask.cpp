#include "leaftask.h"

namespace crocusreach {

using namespace forward;

namespace {

// A leaf whose machine acknowledges nothing for this time is cut off or gone. The time between
// failure domains and a lost packet or two stay below it.
constexpr Duration silenceTimeout = std::chrono::milliseconds(1500);

auto toFailure(LinkFailure failure) -> SendFailure
{
    switch (failure) {
    case LinkFailure::NotSent:
        return SendFailure::NotSent;
    case LinkFailure::Lost:
        return SendFailure::Lost;
    case LinkFailure::Invalid:
        break;
    }
    return SendFailure::Invalid;
}

} // namespace

LeafTask::LeafTask(Reactor &reactor, const FrontCodec &codec, Outlet outlet)
    : reactor(reactor)
    , codec(codec)
    , outlet(std::move(outlet))
    , links(reactor, {silenceTimeout, false},
            {[this](std::uint64_t link, HttpMessage &&response, bool usable) {
                 this->onAnswered(link, std::move(response), usable);
             },
             [this](std::uint64_t link, const LinkLoss &loss) { this->onFailed(link, loss); },
             [this](std::uint64_t link) { this->outlet(ConnectionClosed{ConnectionId(link)}); },
             codec.belongs,
             [this](std::uint64_t link) { this->outlet(ConnectionOpened{ConnectionId(link)}); }})
{ }

auto LeafTask::post(SendToLeaf &&send) -> void
{
    this->reactor.post([this, send = std::move(send)] {
        auto request = this->codec.writeLeafRequest(send);
        this->sends.insert_or_assign(request.link, send.send);
        this->links.send(std::move(request));
    });
}

auto LeafTask::post(OpenConnection &&open) -> void
{
    this->reactor.post([this, open = std::move(open)] {
        this->links.openIdle(static_cast<std::uint64_t>(open.connection), open.address);
    });
}

auto LeafTask::post(const CloseConnection &close) -> void
{
    this->reactor.post([this, link = static_cast<std::uint64_t>(close.connection)] {
        this->sends.erase(link);
        this->links.close(link);
    });
}

auto LeafTask::takeSend(std::uint64_t link) -> SendId
{
    const auto found = this->sends.find(link);
    if (found == this->sends.end())
        return {};
    const auto send = found->second;
    this->sends.erase(found);
    return send;
}

auto LeafTask::onAnswered(std::uint64_t link, HttpMessage &&response, bool usable) -> void
{
    const auto keepAliveTimeout = keepAliveTimeoutOf(response);
    auto answer = this->codec.readLeafAnswer(std::move(response));
    this->outlet(LeafAnswered{this->takeSend(link), std::move(answer), usable, keepAliveTimeout});
}

auto LeafTask::onFailed(std::uint64_t link, const LinkLoss &loss) -> void
{
    this->outlet(SendFailed{
            this->takeSend(link), toFailure(loss.failure), {loss.end, loss.answerBytes}});
}

} // namespace crocusreach

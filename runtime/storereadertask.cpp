#include "storereadertask.h"

#include "clock.h"

#include <algorithm>

namespace crocusreach {

using namespace forward;

namespace {

// Without an acknowledgement for this time, a connection to the store is taken for silent.
constexpr Duration silenceOfStore = std::chrono::milliseconds(2500);
// The store answers in milliseconds; when it is slow, in some hundred.
constexpr Duration replyTime = std::chrono::milliseconds(2500);

auto kindOf(const StoreRequest &request) -> ObjectKind
{
    if (const auto *const list = std::get_if<ListObjects>(&request))
        return list->kind;
    if (const auto *const watch = std::get_if<WatchObjects>(&request))
        return watch->kind;
    return ObjectKind::Instances;
}

auto timeOf(const StoreRequest &request) -> Duration
{
    const auto *const watch = std::get_if<WatchObjects>(&request);
    return replyTime + (watch == nullptr ? Duration() : watch->wait);
}

} // namespace

StoreReaderTask::StoreReaderTask(Reactor &reactor, const FrontCodec &codec,
                                 std::string instanceName, Outlet outlet)
    : reactor(reactor)
    , codec(codec)
    , outlet(std::move(outlet))
    , links(reactor, {silenceOfStore, true},
            {[this](std::uint64_t link, HttpMessage &&response, bool usable) {
                 this->onAnswered(link, response, usable);
             },
             [this](std::uint64_t link, LinkFailure) { this->onClosed(link); },
             [this](std::uint64_t link) { this->onClosed(link); },
             [](const HttpMessage &, std::string_view) { return true; }})
{
    this->reader.random.value = hashName(instanceName) | 1U;
    this->reader.instanceName = std::move(instanceName);
    reactor.addTimer([this] { return this->nextEnd(); }, [this] { this->checkTimes(); });
    reactor.addTimer([this] { return nextWake(this->reader); },
                     [this] { this->take(StoreReaderTick()); });
}

auto StoreReaderTask::setAddress(std::string newAddress) -> void
{
    const auto first = this->address.empty();
    this->address = std::move(newAddress);
    if (!first)
        return;
    auto actions = std::vector<StoreReaderAction>();
    startReading(this->reader, decisionNow(), actions);
    this->perform(actions);
}

auto StoreReaderTask::take(const StoreEvent &event) -> void
{
    auto actions = std::vector<StoreReaderAction>();
    handle(this->reader, event, decisionNow(), actions);
    this->perform(actions);
}

auto StoreReaderTask::perform(std::vector<StoreReaderAction> &actions) -> void
{
    for (auto &action : actions) {
        std::visit(Overloaded{[this](StoreRequest &&request) { this->call(std::move(request)); },
                              [this](auto &&other) { this->outlet(std::move(other)); }},
                   std::move(action));
    }
}

auto StoreReaderTask::call(StoreRequest &&request) -> void
{
    auto &channel = this->channels.at(static_cast<std::size_t>(kindOf(request)));
    auto encoded = this->codec.writeStoreRequest(request);
    auto send = LinkSend();
    send.open = channel.link == 0;
    if (send.open)
        channel.link = ++this->lastLink;
    send.link = channel.link;
    send.address = this->address;
    send.head = std::move(encoded.head);
    send.body = std::move(encoded.body);
    channel.endAt = decisionNow() + timeOf(request);
    channel.request = std::move(request);
    ++this->calls;
    this->links.send(std::move(send));
}

auto StoreReaderTask::channelOf(std::uint64_t link) -> Channel *
{
    auto *const found = std::find_if(this->channels.begin(), this->channels.end(),
                                     [link](const Channel &item) { return item.link == link; });
    return found == this->channels.end() ? nullptr : found;
}

auto StoreReaderTask::onAnswered(std::uint64_t link, const HttpMessage &response, bool usable)
        -> void
{
    auto *const channel = this->channelOf(link);
    if (channel == nullptr || !channel->request)
        return;
    if (!usable)
        channel->link = 0;
    const auto request = *std::exchange(channel->request, std::nullopt);
    channel->endAt.reset();
    this->take(this->codec.readStoreReply(request, response));
}

auto StoreReaderTask::onClosed(std::uint64_t link) -> void
{
    auto *const channel = this->channelOf(link);
    if (channel == nullptr)
        return;
    channel->link = 0;
    channel->endAt.reset();
    const auto request = std::exchange(channel->request, std::nullopt);
    if (request)
        this->take(StoreCallFailed{kindOf(*request), StoreFailure::Unreachable});
}

auto StoreReaderTask::nextEnd() const -> std::optional<TimePoint>
{
    auto earliest = std::optional<TimePoint>();
    for (const auto &channel : this->channels) {
        if (channel.endAt)
            earliest = std::min(earliest.value_or(TimePoint::max()), *channel.endAt);
    }
    return earliest;
}

auto StoreReaderTask::checkTimes() -> void
{
    const auto now = decisionNow();
    for (auto &channel : this->channels) {
        if (!channel.endAt || now < *channel.endAt)
            continue;
        this->links.close(channel.link);
        this->onClosed(channel.link);
    }
}

} // namespace crocusreach

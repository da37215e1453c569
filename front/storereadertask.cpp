#include "storereadertask.h"

#include "base/clock.h"
#include "core/text.h"
#include "relaytask.h"

#include <algorithm>
#include <charconv>
#include <memory>

namespace crocusreach {

using namespace forward;

namespace {

// Without an acknowledgement for this time, a connection to the store is taken for silent.
constexpr Duration silenceOfStore = std::chrono::milliseconds(2500);

auto readStoreAge(const HttpMessage &response) -> std::optional<Duration>
{
    const auto text = findHeader(response, storeAgeHeader);
    auto milliseconds = std::int64_t(0);
    if (!text
        || std::from_chars(text->data(), text->data() + text->size(), milliseconds).ec
                   != std::errc())
        return {};
    return std::chrono::milliseconds(std::clamp<std::int64_t>(milliseconds, 0, 3'600'000));
}

auto readEra(const HttpMessage &response, std::string_view header) -> std::optional<std::uint64_t>
{
    return parseNumber<std::uint64_t>(findHeader(response, header).value_or(std::string_view()));
}

} // namespace

StoreReaderTask::StoreReaderTask(Reactor &reactor, const FrontCodec &codec, Outlet outlet,
                                 std::function<auto()->void> onChanged)
    : reactor(reactor)
    , codec(codec)
    , outlet(std::move(outlet))
    , onChanged(std::move(onChanged))
    , links(reactor, {silenceOfStore, true},
            {[this](std::uint64_t link, HttpMessage &&response, bool usable) {
                 this->onAnswered(link, response, usable);
             },
             [this](std::uint64_t link, const LinkLoss &) { this->onClosed(link); },
             [this](std::uint64_t link) { this->onClosed(link); },
             [](const HttpMessage &, std::string_view) { return true; }})
    , callTimer(
              reactor.addTimer([this] { return this->nextEnd(); }, [this] { this->checkTimes(); }))
    , readerTimer(reactor.addTimer([this] { return nextTickAt(this->reader); },
                                   [this] { this->take(StoreReaderTick()); }))
{ }

auto StoreReaderTask::configure(const StoreReaderSettings &settings, std::string newAddress) -> void
{
    this->address = std::move(newAddress);
    auto actions = std::vector<StoreReaderAction>();
    if (std::exchange(this->started, true))
        changeSettings(this->reader, settings, decisionNow(), actions);
    else
        startReading(this->reader, settings, decisionNow(), actions);
    this->perform(actions);
}

auto StoreReaderTask::resume() -> void
{
    if (this->started)
        this->take(ReaderResumed());
}

auto StoreReaderTask::writeStatus(const WriteRolloutStatus &write) -> void
{
    this->take(write);
}

auto StoreReaderTask::onRelayCall() -> void
{
    recordRelayCall(this->reader, decisionNow());
}

auto StoreReaderTask::take(const StoreEvent &event) -> void
{
    this->events.push_back(event);
    if (this->handling)
        return;
    this->handling = true;
    for (; !this->events.empty(); this->events.pop_front()) {
        auto actions = std::vector<StoreReaderAction>();
        handle(this->reader, this->events.front(), decisionNow(), actions);
        this->perform(actions);
    }
    this->handling = false;
    this->onChanged();
}

auto StoreReaderTask::perform(std::vector<StoreReaderAction> &actions) -> void
{
    for (auto &action : actions) {
        std::visit(Overloaded{[this](StoreCall &&content) { this->call(std::move(content)); },
                              [this](CancelObjectCalls &&) { this->cancelObjectCalls(); },
                              [this](ForwardEvent &&event) { this->outlet(std::move(event)); },
                              [this](const StoreNotification &notification) {
                                  this->outlet(notification);
                              },
                              [this](const ObjectRejected &rejected) { this->outlet(rejected); }},
                   std::move(action));
    }
}

auto StoreReaderTask::call(StoreCall &&call) -> void
{
    auto &line = this->lines.at(static_cast<std::size_t>(call.channel));
    const auto toStore = call.address.empty();
    const auto &target = toStore ? this->address : call.address;
    if (line.link != 0 && line.address != target) {
        this->links.close(line.link);
        line.link = 0;
    }
    auto encoded = this->codec.writeStoreRequest(call.request);
    auto send = LinkSend();
    send.open = line.link == 0;
    if (send.open)
        line.link = ++this->lastLink;
    line.address = target;
    send.link = line.link;
    send.address = target;
    send.head = std::move(encoded.head);
    send.body = std::make_shared<const std::string>(std::move(encoded.body));
    line.endAt = decisionNow() + call.timeout;
    line.request = std::move(call.request);
    if (toStore)
        ++this->calls;
    this->links.send(std::move(send));
}

auto StoreReaderTask::cancelObjectCalls() -> void
{
    for (std::size_t number = 0; number < objectKindCount; ++number) {
        auto &line = this->lines.at(number);
        if (!line.request)
            continue;
        this->links.close(line.link);
        line = Line();
    }
}

auto StoreReaderTask::lineOf(std::uint64_t link) -> Line *
{
    auto *const found = std::find_if(this->lines.begin(), this->lines.end(),
                                     [link](const Line &item) { return item.link == link; });
    return found == this->lines.end() ? nullptr : found;
}

auto StoreReaderTask::reply(const Line &line, StoreReplyContent content,
                            std::optional<Duration> storeAge, std::optional<std::uint64_t> era)
        -> void
{
    const auto number = &line - this->lines.data();
    this->take(StoreReply{static_cast<Channel>(number), std::move(content), storeAge, era});
}

auto StoreReaderTask::onAnswered(std::uint64_t link, const HttpMessage &response, bool usable)
        -> void
{
    auto *const line = this->lineOf(link);
    if (line == nullptr || !line->request)
        return;
    if (!usable)
        line->link = 0;
    const auto request = *std::exchange(line->request, std::nullopt);
    line->endAt.reset();
    this->reply(*line, this->codec.readStoreReply(request, response), readStoreAge(response),
                readEra(response, this->codec.eraHeader));
}

auto StoreReaderTask::onClosed(std::uint64_t link) -> void
{
    auto *const line = this->lineOf(link);
    if (line == nullptr)
        return;
    line->link = 0;
    line->endAt.reset();
    if (std::exchange(line->request, std::nullopt))
        this->reply(*line, CallFailed{StoreFailure::Unreachable}, {});
}

auto StoreReaderTask::nextEnd() const -> std::optional<TimePoint>
{
    auto earliest = std::optional<TimePoint>();
    for (const auto &line : this->lines) {
        if (line.endAt)
            earliest = std::min(earliest.value_or(TimePoint::max()), *line.endAt);
    }
    return earliest;
}

auto StoreReaderTask::checkTimes() -> void
{
    const auto now = decisionNow();
    for (auto &line : this->lines) {
        if (!line.endAt || now < *line.endAt)
            continue;
        const auto link = line.link;
        this->links.close(link);
        this->onClosed(link);
    }
}

} // namespace crocusreach

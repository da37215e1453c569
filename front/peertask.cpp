#include "peertask.h"

#include "base/clock.h"

#include <algorithm>
#include <memory>
#include <numeric>
#include <utility>

namespace crocusreach {

namespace {

constexpr auto peerPath = std::string_view("/peer/v1/");
// Connections to one other instance that are kept while idle. Most messages go one at a time.
constexpr std::size_t maxIdleConnections = 2;
// Opening a connection takes as long as a message with its reply, which a caller waits for. Shorter
// than listeners of peers keep an idle connection.
constexpr Duration idleTimeout = peerIdleTimeout / 2;
// To all other instances together.
constexpr std::size_t maxAllIdleConnections = 512;
// A peer whose machine acknowledges nothing for this time is cut off or gone.
constexpr Duration silenceTimeout = std::chrono::milliseconds(1500);
constexpr std::size_t maxBodyBytes = std::size_t(16) * 1024;

} // namespace

PeerTask::PeerTask(Reactor &reactor)
    : reactor(reactor)
    , links(reactor, {silenceTimeout, false},
            {[this](std::uint64_t link, HttpMessage &&response, bool usable) {
                 const auto answered = response.status == HTTP_STATUS_OK;
                 this->finish(link,
                              answered ? std::optional(std::move(response.body)) : std::nullopt,
                              usable);
             },
             [this](std::uint64_t link, const LinkLoss &) { this->finish(link, {}, false); },
             [this](std::uint64_t link) { this->onClosed(link); },
             [](const HttpMessage &, std::string_view) { return true; }})
    , timer(reactor.addTimer([this] { return this->nextEnd(); }, [this] { this->checkTimes(); }))
{ }

auto PeerTask::handle(std::string subject, Handler handler) -> void
{
    this->handlers.insert_or_assign(std::move(subject), std::move(handler));
}

auto PeerTask::call(std::string_view address, std::string_view subject, std::string_view body,
                    Duration timeout, OnReply onReply) -> void
{
    const auto idleLink = this->takeIdleLink(address);
    const auto headers = std::to_array<HttpHeader>(
            {{"Host", std::string(address)}, {"Content-Type", "application/json"}});
    auto send = LinkSend();
    send.open = idleLink == 0;
    send.link = send.open ? ++this->lastLink : idleLink;
    send.address = address;
    send.head
            = writeRequestHead("POST", std::string(peerPath).append(subject), headers, body.size());
    send.body = std::make_shared<const std::string>(body);
    this->calls.insert_or_assign(
            send.link, OpenCall{send.address, decisionNow() + timeout, std::move(onReply)});
    // The user of the task may be handling an event of its own, which a failure must not interrupt.
    this->reactor.post([this, send = std::move(send)]() mutable {
        if (this->calls.contains(send.link))
            this->links.send(std::move(send));
    });
}

auto PeerTask::answer(CallerId caller, const HttpMessage &request, HttpListener &listener) const
        -> bool
{
    const auto target = std::string_view(request.target);
    if (!target.starts_with(peerPath))
        return false;
    const auto found = this->handlers.find(target.substr(peerPath.size()));
    if (found == this->handlers.end() || request.method != "POST") {
        listener.respond(caller, HTTP_STATUS_NOT_FOUND, {}, {});
        return true;
    }
    auto reply = [caller, &listener](const std::optional<std::string> &body) {
        if (body)
            listener.respond(caller, HTTP_STATUS_OK, {}, *body);
        else
            listener.respond(caller, HTTP_STATUS_BAD_REQUEST, {}, {});
    };
    if (request.body.size() > maxBodyBytes)
        reply({});
    else
        found->second(request.body, std::move(reply));
    return true;
}

auto PeerTask::idleCount() const -> std::size_t
{
    return std::accumulate(
            this->idle.begin(), this->idle.end(), std::size_t(0),
            [](std::size_t sum, const auto &item) { return sum + item.second.size(); });
}

// The connection that was used last; 0 if there is none.
auto PeerTask::takeIdleLink(std::string_view address) -> std::uint64_t
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end() || found->second.empty())
        return 0;
    const auto link = found->second.back().link;
    found->second.pop_back();
    return link;
}

auto PeerTask::finish(std::uint64_t link, std::optional<std::string> body, bool reusable) -> void
{
    const auto found = this->calls.find(link);
    if (found == this->calls.end())
        return;
    const auto ended = std::move(found->second);
    this->calls.erase(found);
    if (reusable) {
        auto &list = this->idle[ended.address];
        if (list.size() < maxIdleConnections && this->idleCount() < maxAllIdleConnections)
            list.push_back({link, decisionNow()});
        else
            this->links.close(link);
    }
    ended.onReply(std::move(body));
}

auto PeerTask::onClosed(std::uint64_t link) -> void
{
    for (auto &[address, list] : this->idle)
        std::erase_if(list, [link](const Connection &item) { return item.link == link; });
}

auto PeerTask::nextEnd() const -> std::optional<TimePoint>
{
    auto earliest = std::optional<TimePoint>();
    for (const auto &[link, call] : this->calls)
        earliest = std::min(earliest.value_or(TimePoint::max()), call.endAt);
    for (const auto &[address, list] : this->idle) {
        if (!list.empty())
            earliest = std::min(earliest.value_or(TimePoint::max()),
                                list.front().idleSince + idleTimeout);
    }
    return earliest;
}

auto PeerTask::checkTimes() -> void
{
    const auto now = decisionNow();
    auto ended = std::vector<std::uint64_t>();
    for (const auto &[link, call] : this->calls) {
        if (call.endAt <= now)
            ended.push_back(link);
    }
    for (const auto link : ended) {
        this->links.close(link);
        this->finish(link, {}, false);
    }
    for (auto &[address, list] : this->idle) {
        std::erase_if(list, [&](const Connection &item) {
            const auto isOld = item.idleSince + idleTimeout <= now;
            if (isOld)
                this->links.close(item.link);
            return isOld;
        });
    }
    std::erase_if(this->idle, [](const auto &item) { return item.second.empty(); });
}

} // namespace crocusreach

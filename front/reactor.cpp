#include "reactor.h"

#include "base/clock.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace crocusreach {

namespace {

constexpr std::size_t eventsPerTurn = 64;
// A turn takes place at least this often, so that a pause of the process shows.
constexpr Duration maxTurnInterval = std::chrono::milliseconds(500);
// A turn that begins later than this, or takes longer, shows that the process was paused.
constexpr Duration maxTurnDelay = std::chrono::milliseconds(1000);
// Input that came during a pause has been read this long after its end.
constexpr Duration backlogReadTime = std::chrono::milliseconds(50);

auto toEpoll(Readiness wanted) -> std::uint32_t
{
    return (wanted.readable ? EPOLLIN | EPOLLRDHUP : 0U) | (wanted.writable ? EPOLLOUT : 0U);
}

} // namespace

FileHandle::~FileHandle()
{
    if (this->descriptor >= 0)
        ::close(this->descriptor);
}

struct Reactor::Source
{
    GSource base;
    Reactor *reactor;
    gpointer tag;
};

Reactor::Reactor(GMainContext *context)
    : epoll(epoll_create1(EPOLL_CLOEXEC))
    , lastTurnAt(decisionNow())
{
    static GSourceFuncs functions = {&Reactor::prepare, &Reactor::check, &Reactor::dispatchSource,
                                     nullptr,           nullptr,         nullptr};
    auto *created = g_source_new(&functions, sizeof(Source));
    auto *extended = reinterpret_cast<Source *>(created);
    extended->reactor = this;
    extended->tag = g_source_add_unix_fd(created, this->epoll.get(), G_IO_IN);
    g_source_attach(created, context);
    this->source = SourceHandle(created);
}

Reactor::~Reactor() = default;

auto Reactor::watch(int descriptor, Readiness wanted, SocketHandler handler) -> void
{
    auto added = std::make_unique<Watch>(Watch{descriptor, wanted, std::move(handler)});
    auto event = epoll_event{};
    event.events = toEpoll(wanted);
    event.data.ptr = added.get();
    epoll_ctl(this->epoll.get(), EPOLL_CTL_ADD, descriptor, &event);
    this->watches[descriptor] = std::move(added);
}

auto Reactor::change(int descriptor, Readiness wanted) -> void
{
    auto &watch = *this->watches.at(descriptor);
    if (watch.wanted.readable == wanted.readable && watch.wanted.writable == wanted.writable)
        return;
    watch.wanted = wanted;
    auto event = epoll_event{};
    event.events = toEpoll(wanted);
    event.data.ptr = &watch;
    epoll_ctl(this->epoll.get(), EPOLL_CTL_MOD, descriptor, &event);
}

auto Reactor::forget(int descriptor) -> void
{
    const auto found = this->watches.find(descriptor);
    if (found == this->watches.end())
        return;
    epoll_ctl(this->epoll.get(), EPOLL_CTL_DEL, descriptor, nullptr);
    found->second->forgotten = true;
    this->forgotten.push_back(std::move(found->second));
    this->watches.erase(found);
}

auto Reactor::post(std::function<auto()->void> message) -> void
{
    this->queue.push_back(std::move(message));
}

auto Reactor::postToNextTurn(std::function<auto()->void> message) -> void
{
    this->nextTurn.push_back(std::move(message));
}

TimerHandle::~TimerHandle()
{
    if (this->id != 0)
        this->reactor->removeTimer(this->id);
}

auto Reactor::addTimer(WakeTime wakeTime, std::function<auto()->void> onWake) -> TimerHandle
{
    this->timers.push_back({++this->lastTimer, std::move(wakeTime), std::move(onWake)});
    return {*this, this->lastTimer};
}

// A timer may be removed by its own function or by that of another one.
auto Reactor::removeTimer(std::uint64_t id) -> void
{
    const auto found = std::find_if(this->timers.begin(), this->timers.end(),
                                    [id](const Timer &timer) { return timer.id == id; });
    if (found != this->timers.end())
        found->id = 0;
}

auto Reactor::nextWake() const -> TimePoint
{
    auto earliest = this->lastTurnAt + maxTurnInterval;
    for (const auto &timer : this->timers) {
        const auto wake = timer.id == 0 ? std::nullopt : timer.wakeTime();
        earliest = std::min(earliest, wake.value_or(earliest));
    }
    return earliest;
}

// Milliseconds until the next turn.
auto Reactor::waitTime() const -> gint
{
    if (!this->queue.empty() || !this->nextTurn.empty())
        return 0;
    const auto left
            = std::chrono::ceil<std::chrono::milliseconds>(this->nextWake() - decisionNow());
    return static_cast<gint>(std::max(left, std::chrono::milliseconds(0)).count());
}

auto Reactor::inputAge() const -> Duration
{
    const auto now = decisionNow();
    return now - this->resumedAt < backlogReadTime ? now - this->pausedSince : Duration();
}

auto Reactor::prepare(GSource *source, gint *timeout) -> gboolean
{
    *timeout = reinterpret_cast<Source *>(source)->reactor->waitTime();
    return *timeout == 0 ? TRUE : FALSE;
}

auto Reactor::check(GSource *source) -> gboolean
{
    auto *extended = reinterpret_cast<Source *>(source);
    const auto ready = g_source_query_unix_fd(source, extended->tag) != 0;
    return ready || extended->reactor->waitTime() == 0 ? TRUE : FALSE;
}

auto Reactor::dispatchSource(GSource *source, GSourceFunc /*callback*/, gpointer /*data*/)
        -> gboolean
{
    reinterpret_cast<Source *>(source)->reactor->dispatch();
    return G_SOURCE_CONTINUE;
}

auto Reactor::dispatch() -> void
{
    this->noticePause();
    const auto postponed = std::exchange(this->nextTurn, {});
    this->dispatchSockets();
    for (const auto &message : postponed) {
        message();
        this->drain();
    }
    this->dispatchTimers();
    this->drain();
    this->forgotten.clear();
    std::erase_if(this->timers, [](const Timer &timer) { return timer.id == 0; });
    const auto now = decisionNow();
    const auto tookLong = now - this->lastTurnAt > maxTurnDelay;
    this->expectedBy = tookLong ? this->lastTurnAt : std::max(now, this->nextWake());
}

// What the process was allowed to do before a pause may have ended meanwhile, so this comes before
// the sockets.
auto Reactor::noticePause() -> void
{
    const auto now = decisionNow();
    const auto formerTurnAt = std::exchange(this->lastTurnAt, now);
    if (now - this->expectedBy < maxTurnDelay)
        return;
    this->pausedSince = formerTurnAt;
    this->resumedAt = now;
    if (this->resumeHandler)
        this->resumeHandler();
    this->drain();
}

auto Reactor::dispatchSockets() -> void
{
    auto events = std::array<epoll_event, eventsPerTurn>();
    const auto count
            = epoll_wait(this->epoll.get(), events.data(), static_cast<int>(events.size()), 0);
    for (auto index = 0; index < count; ++index) {
        const auto &event = events.at(static_cast<std::size_t>(index));
        auto &watch = *static_cast<Watch *>(event.data.ptr);
        if (watch.forgotten)
            continue;
        watch.handler({(event.events & (EPOLLIN | EPOLLRDHUP)) != 0, (event.events & EPOLLOUT) != 0,
                       (event.events & (EPOLLERR | EPOLLHUP)) != 0});
        this->drain();
    }
}

auto Reactor::dispatchTimers() -> void
{
    const auto now = decisionNow();
    for (const auto &timer : this->timers) {
        const auto wake = timer.id == 0 ? std::nullopt : timer.wakeTime();
        if (wake && *wake <= now)
            timer.onWake();
    }
}

auto Reactor::drain() -> void
{
    while (!this->queue.empty()) {
        auto messages = std::exchange(this->queue, {});
        for (const auto &message : messages)
            message();
    }
}

} // namespace crocusreach

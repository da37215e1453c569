#include "callerguard.h"

#include "base/clock.h"
#include "base/log.h"

#include <utility>

namespace crocusreach {

using namespace forward;

namespace {

constexpr Duration reportInterval = std::chrono::seconds(1);
// A connection that seems idle may have sent a request that wasn't read yet. So many of them are
// tried before a new connection has to wait.
constexpr auto idleAttempts = 8;

} // namespace

auto toString(CallerRefusal reason) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, callerRefusalCount>{
            "memory",         "descriptors", "accept_paused", "head_too_large",
            "body_too_large", "malformed",   "too_slow",      "silent"};
    return names.at(static_cast<std::size_t>(reason));
}

CallerGuard::CallerGuard(Reactor &reactor, const CallerLimits &limits)
    : reactor(reactor)
{
    this->account.limits = limits;
}

auto CallerGuard::setLimits(const CallerLimits &limits) -> void
{
    this->account.limits = limits;
}

auto CallerGuard::join(ListenerKind kind, Member member) -> void
{
    this->members.at(static_cast<std::size_t>(kind)) = std::move(member);
}

auto CallerGuard::leave(ListenerKind kind) -> void
{
    auto keys = std::vector<CallerKey>();
    for (const auto &[key, holding] : this->account.holdings) {
        if (key.listener == kind)
            keys.push_back(key);
    }
    for (const auto &key : keys)
        dropHolding(this->account, key);
}

auto CallerGuard::update(CallerKey key, const CallerHolding &holding) -> void
{
    setHolding(this->account, key, holding);
    if (!isOverShare(this->account) || std::exchange(this->reliefPosted, true))
        return;
    this->reactor.post([this] {
        this->reliefPosted = false;
        this->relieve();
    });
}

auto CallerGuard::drop(CallerKey key) -> void
{
    dropHolding(this->account, key);
}

auto CallerGuard::relieve() -> void
{
    for (const auto &key : chooseRelief(this->account, decisionNow())) {
        this->note(CallerRefusal::Memory, key.listener);
        this->members.at(static_cast<std::size_t>(key.listener)).relieve(key.connection);
    }
}

auto CallerGuard::closeOneIdle(std::optional<ListenerKind> kind, Duration leastIdle) -> bool
{
    for (auto attempt = 0; attempt < idleAttempts; ++attempt) {
        const auto key = chooseIdle(this->account, kind, decisionNow(), leastIdle);
        if (!key)
            return false;
        if (this->members.at(static_cast<std::size_t>(key->listener)).closeIdle(key->connection)) {
            this->note(CallerRefusal::Descriptors, key->listener);
            return true;
        }
    }
    return false;
}

auto CallerGuard::closeOneStalled(std::optional<ListenerKind> kind) -> bool
{
    const auto key = chooseStalled(this->account, kind, decisionNow());
    if (!key)
        return false;
    this->note(CallerRefusal::Descriptors, key->listener);
    const auto &member = this->members.at(static_cast<std::size_t>(key->listener));
    member.relieve(key->connection);
    // A connection that was refused would stay until its caller has closed it.
    if (this->account.holdings.contains(*key))
        member.relieve(key->connection);
    return true;
}

// The request of a connection that has just been accepted may still be on its way.
auto CallerGuard::closeOne(std::optional<ListenerKind> kind) -> bool
{
    return this->closeOneIdle(kind, leastStall) || this->closeOneStalled(kind)
           || this->closeOneIdle(kind, {});
}

auto CallerGuard::makeRoom(ListenerKind kind) -> bool
{
    switch (reachedBound(this->account, kind)) {
    case ConnectionBound::None:
        return true;
    case ConnectionBound::Listener:
        return this->closeOne(kind);
    case ConnectionBound::Process:
        break;
    }
    return this->closeOne({});
}

auto CallerGuard::freeDescriptor() -> bool
{
    return this->closeOne({});
}

auto CallerGuard::note(CallerRefusal reason, ListenerKind kind) -> void
{
    auto &noted = this->noted.at(static_cast<std::size_t>(reason));
    ++noted.total;
    const auto now = decisionNow();
    if (noted.reported != 0 && now - noted.reportedAt < reportInterval)
        return;
    logEvent(LogEvent::CallersRefused,
             {{"reason", std::string(toString(reason))},
              {"listener", std::string(toString(kind))},
              {"count", std::to_string(noted.total - noted.reported)},
              {"held_bytes", std::to_string(this->account.total)},
              {"connections", std::to_string(this->account.holdings.size())}});
    noted.reported = noted.total;
    noted.reportedAt = now;
}

} // namespace crocusreach

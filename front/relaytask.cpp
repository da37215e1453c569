#include "relaytask.h"

#include "peertask.h"

#include "base/clock.h"
#include "core/relayanswer.h"

#include <algorithm>

namespace crocusreach {

using namespace forward;

RelayTask::RelayTask(Reactor &reactor, const FrontCodec &codec, Source source, CallerGuard *guard)
    : codec(codec)
    , source(std::move(source))
    , listener(reactor,
               {[this](CallerId caller, HttpMessage &&message) { this->onCall(caller, message); },
                [this](CallerId caller) {
                    std::erase_if(this->waiting, [caller](const WaitingCall &call) {
                        return call.caller == caller;
                    });
                }},
               guard, ListenerKind::Relay)
    , timer(reactor.addTimer([this] { return this->nextEnd(); }, [this] { this->checkTimes(); }))
{
    auto limits = HttpListenerLimits();
    limits.idleTimeout = peerIdleTimeout;
    this->listener.setLimits(limits);
}

auto RelayTask::open(std::string_view address) -> Result<std::string>
{
    return this->listener.open(address);
}

auto RelayTask::onCall(CallerId caller, const HttpMessage &message) -> void
{
    auto request = this->codec.readObjectCall(message);
    if (!request && this->source.answerOther
        && this->source.answerOther(caller, message, this->listener))
        return;
    if (!request)
        return this->listener.respond(caller, HTTP_STATUS_NOT_FOUND, {}, {});
    this->source.onRelayCall();
    auto call = WaitingCall{caller, std::move(*request), {}, this->source.reader().era.known};
    call.until = decisionNow() + relayWaitOf(call.request);
    if (!this->tryAnswer(call, false))
        this->waiting.push_back(std::move(call));
}

// Returns whether the call was answered. The last time, it is in any case.
auto RelayTask::tryAnswer(const WaitingCall &call, bool last) -> bool
{
    const auto answer = answerRelayCall(this->source.reader(), call.request, call.era, last);
    if (!answer)
        return false;
    std::visit(Overloaded{[&](const RelayList &list) {
                              this->respond(
                                      call, HTTP_STATUS_OK,
                                      this->codec.writeObjectList(list.objects, list.revision));
                          },
                          [&](const RelayChanges &changes) {
                              this->respond(call, HTTP_STATUS_OK,
                                            this->codec.writeObjectChanges(changes.objects,
                                                                           changes.revision));
                          },
                          [&](const RelayGone &) { this->respond(call, HTTP_STATUS_GONE, {}); },
                          [&](const RelayUnavailable &) {
                              this->respond(call, HTTP_STATUS_SERVICE_UNAVAILABLE, {});
                          }},
               *answer);
    return true;
}

auto RelayTask::respond(const WaitingCall &call, std::uint32_t status, std::string_view body)
        -> void
{
    const auto age = storeAge(this->source.reader(), relayKindOf(call.request), decisionNow());
    auto headers = std::vector<HttpHeader>();
    if (age) {
        const auto whole = std::chrono::ceil<std::chrono::milliseconds>(*age).count();
        headers.push_back({std::string(storeAgeHeader), std::to_string(whole)});
    }
    if (const auto &era = this->source.reader().era.known)
        headers.push_back({this->codec.eraHeader, std::to_string(*era)});
    this->listener.respond(call.caller, status, headers, body);
}

auto RelayTask::objectsChanged() -> void
{
    std::erase_if(this->waiting,
                  [this](const WaitingCall &call) { return this->tryAnswer(call, false); });
}

auto RelayTask::nextEnd() const -> std::optional<TimePoint>
{
    const auto first = std::min_element(this->waiting.begin(), this->waiting.end(),
                                        [](const WaitingCall &left, const WaitingCall &right) {
                                            return left.until < right.until;
                                        });
    return first == this->waiting.end() ? std::nullopt : std::optional(first->until);
}

auto RelayTask::checkTimes() -> void
{
    const auto now = decisionNow();
    std::erase_if(this->waiting, [&](const WaitingCall &call) {
        return call.until <= now && this->tryAnswer(call, true);
    });
}

} // namespace crocusreach

#include "callertask.h"

#include "base/log.h"

#include <memory>

namespace crocusreach {

using namespace forward;

CallerTask::CallerTask(Reactor &reactor, const FrontCodec &codec, Outlet outlet, CallerGuard *guard)
    : reactor(reactor)
    , codec(codec)
    , outlet(std::move(outlet))
    , listener(reactor,
               {[this](CallerId caller, HttpMessage &&message) {
                    this->onRequest(caller, std::move(message));
                },
                [this](CallerId caller) { this->onLeft(caller); }},
               guard, ListenerKind::Callers)
{ }

auto CallerTask::open(std::string_view address) -> Result<std::string>
{
    return this->listener.open(address);
}

auto CallerTask::onRequest(CallerId caller, HttpMessage &&message) -> void
{
    auto request = this->codec.readRequest(std::move(message), this->hasTenants);
    if (const auto *const refusal = std::get_if<CallerResponse>(&request)) {
        logEvent(LogEvent::RequestRejected,
                 {{"status", std::to_string(refusal->status)}, {"reason", refusal->body}});
        this->listener.respond(caller, refusal->status, refusal->headers, refusal->body);
        return;
    }
    auto &arrived = std::get<ForwardRequest>(request);
    arrived.maxUnreadTime = this->reactor.inputAge();
    this->listener.nameRequest(caller, arrived.id);
    const auto call = CallId(++this->lastCall);
    this->calls.insert_or_assign(caller, call);
    this->callers.emplace(call, caller);
    this->outlet(RequestArrived{call, std::make_shared<const ForwardRequest>(std::move(arrived))});
}

auto CallerTask::onLeft(CallerId caller) -> void
{
    const auto found = this->calls.find(caller);
    if (found == this->calls.end())
        return;
    this->outlet(CallerLeft{found->second});
    this->callers.erase(found->second);
    this->calls.erase(found);
}

auto CallerTask::post(AnswerCaller &&answer) -> void
{
    this->reactor.post([this, answer = std::move(answer)]() mutable {
        const auto found = this->callers.find(answer.call);
        if (found == this->callers.end())
            return;
        const auto caller = found->second;
        this->callers.erase(found);
        this->calls.erase(caller);
        const auto response = this->codec.writeAnswer(std::move(answer.answer));
        this->listener.respond(caller, response.status, response.headers, response.body);
    });
}

auto CallerTask::post(const RequestLimits &limits, bool tenantsAreNamed) -> void
{
    this->reactor.post([this, limits, tenantsAreNamed] {
        this->hasTenants = tenantsAreNamed || this->expectsTenants;
        auto changed = HttpListenerLimits();
        changed.message = {limits.maxHeaderBytes, limits.maxBodyBytes};
        changed.headerTimeout = limits.headerTimeout;
        changed.idleTimeout = limits.idleTimeout;
        this->listener.setLimits(changed);
    });
}

} // namespace crocusreach

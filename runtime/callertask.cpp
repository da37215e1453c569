#include "callertask.h"

#include <memory>

namespace crocusreach {

using namespace forward;

CallerTask::CallerTask(Reactor &reactor, const FrontCodec &codec, Outlet outlet)
    : reactor(reactor)
    , codec(codec)
    , outlet(std::move(outlet))
    , listener(reactor,
               {[this](CallerId caller, HttpMessage &&message) {
                    this->onRequest(caller, std::move(message));
                },
                [this](CallerId caller) {
                    this->outlet(CallerLeft{CallId(static_cast<std::uint64_t>(caller))});
                }})
{ }

auto CallerTask::open(std::string_view address) -> Result<std::string>
{
    return this->listener.open(address);
}

// A connection carries one request at a time, so that its number serves as that of the call.
auto CallerTask::onRequest(CallerId caller, HttpMessage &&message) -> void
{
    auto request = this->codec.readRequest(std::move(message));
    if (const auto *const refusal = std::get_if<CallerResponse>(&request)) {
        this->listener.respond(caller, refusal->status, refusal->headers, refusal->body);
        return;
    }
    this->outlet(RequestArrived{
            CallId(static_cast<std::uint64_t>(caller)),
            std::make_shared<const ForwardRequest>(std::get<ForwardRequest>(std::move(request)))});
}

auto CallerTask::post(AnswerCaller &&answer) -> void
{
    this->reactor.post([this, answer = std::move(answer)]() mutable {
        const auto caller = CallerId(static_cast<std::uint64_t>(answer.call));
        const auto response = this->codec.writeAnswer(std::move(answer.answer));
        this->listener.respond(caller, response.status, response.headers, response.body);
    });
}

auto CallerTask::post(const RequestLimits &limits) -> void
{
    this->reactor.post([this, limits] {
        auto changed = HttpListenerLimits();
        changed.message = {limits.headerBytes, limits.bodyBytes};
        changed.headerTime = limits.headerTime;
        changed.idleTime = limits.idleTime;
        this->listener.setLimits(changed);
    });
}

} // namespace crocusreach

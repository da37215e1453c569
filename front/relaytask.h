#pragma once

#include "core/objectcache.h"
#include "core/storereader.h"
#include "frontcodec.h"
#include "httplistener.h"
#include "reactor.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The task that answers the list and watch calls of other instances from the objects known here.

namespace crocusreach {

// Tells how old the word from the store is that an answer rests on, in milliseconds.
constexpr auto storeAgeHeader = std::string_view("Store-Age-Ms");

class RelayTask
{
public:
    // The state of this instance's reader, and what to tell it when another instance calls.
    struct Source
    {
        std::function<auto()->const forward::StoreReader &> reader;
        std::function<auto()->void> onRelayCall;
        // Answers a request that is no call for objects; false if it isn't one that it knows.
        std::function<auto(CallerId, const HttpMessage &, HttpListener &)->bool> answerOther = {};
    };

    RelayTask(Reactor &reactor, const FrontCodec &codec, Source source,
              CallerGuard *guard = nullptr);

    auto open(std::string_view address) -> Result<std::string>;
    // Answers the calls that wait for a change.
    auto objectsChanged() -> void;

private:
    struct WaitingCall
    {
        CallerId caller = {};
        forward::StoreRequest request;
        TimePoint until = {};
        std::optional<std::uint64_t> era; // known here when the call came
    };

    auto onCall(CallerId caller, const HttpMessage &message) -> void;
    auto tryAnswer(const WaitingCall &call, bool last) -> bool;
    auto respond(const WaitingCall &call, std::uint32_t status, std::string_view body) -> void;
    auto nextEnd() const -> std::optional<TimePoint>;
    auto checkTimes() -> void;

    const FrontCodec &codec;
    Source source;
    std::vector<WaitingCall> waiting;
    HttpListener listener;
    TimerHandle timer;
};

} // namespace crocusreach

#pragma once

#include "callerguard.h"
#include "callertask.h"
#include "core/lifecycle.h"
#include "forwardtask.h"
#include "frontcodec.h"
#include "frontmetrics.h"
#include "frontsettings.h"
#include "httplistener.h"
#include "leaftask.h"
#include "peertask.h"
#include "quotatask.h"
#include "reactor.h"
#include "relaytask.h"
#include "rollouttask.h"
#include "storereadertask.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace crocusreach {

// Where the listeners really are, since port 0 lets the kernel choose.
struct FrontAddresses
{
    std::string caller;
    std::string ready;
    std::string admin;
    std::string relay;
};

// One front: the tasks between callers, leafs and the platform's store, in one main loop.
class Front
{
public:
    // Opens the listeners and starts reading the store. The codec is kept.
    static auto start(const FrontSettings &settings, FrontCodec codec, GMainContext *context)
            -> Result<std::unique_ptr<Front>>;

    Front(const Front &) = delete;
    auto operator=(const Front &) -> Front & = delete;

    auto addresses() const -> const FrontAddresses & { return this->openAddresses; }

    // Takes in changed settings. Listeners stay as they are.
    auto reload(const FrontSettings &settings) -> void;

    // Stops without cutting off a request. Calls the function, with whether all requests have
    // ended, when the process may exit.
    auto beginStop(std::function<auto(bool allEnded)->void> onStopped) -> void;

private:
    Front(const FrontSettings &settings, FrontCodec codec, GMainContext *context);

    auto open(const FrontSettings &settings) -> Result<Done>;
    auto perform(forward::ForwardAction &&action) -> void;
    auto take(forward::ForwardEvent &&event) -> void;
    auto take(const forward::StoreNotification &notification) -> void;
    auto take(const forward::ObjectRejected &rejected) -> void;
    auto answerAdmin(CallerId caller, const HttpMessage &request, HttpListener &listener) -> void;
    auto readFrom(const FrontSettings &settings) -> void;
    auto limitCallers(const forward::CallerLimits &limits) -> void;
    auto ready() -> bool;
    auto checkStop() -> void;

    FrontCodec codec;
    Reactor reactor;
    forward::Lifecycle lifecycle;
    FrontMetrics metrics;
    CallerGuard guard;
    FrontAddresses openAddresses;
    std::uint64_t version = 0; // of the desired state that was logged last
    bool reportedReady = false;
    std::function<auto(bool)->void> onStopped;
    std::optional<TimePoint> nextStopCheck;
    ForwardTask forwarder;
    CallerTask callers;
    LeafTask leafs;
    StoreReaderTask store;
    PeerTask peers;
    QuotaTask quotas;
    RolloutTask rollouts;
    RelayTask relay;
    HttpListener readyListener;
    HttpListener adminListener;
    TimerHandle stopTimer;
};

} // namespace crocusreach

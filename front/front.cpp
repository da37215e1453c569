#include "front.h"

#include "base/clock.h"
#include "base/log.h"
#include "frontlog.h"
#include "previewtext.h"

#include <algorithm>

namespace crocusreach {

using namespace forward;

namespace {

constexpr auto metricsTarget = std::string_view("/metrics");
constexpr auto explainPath = std::string_view("/explain");

} // namespace

Front::Front(const FrontSettings &settings, FrontCodec givenCodec, GMainContext *context)
    : codec(std::move(givenCodec))
    , reactor(context)
    , lifecycle{settings.lifecycle, {}, false}
    , guard(this->reactor, settings.callerLimits)
    , forwarder(this->reactor, settings.forwarder,
                [this](ForwardAction &&action) { this->perform(std::move(action)); })
    , callers(
              this->reactor, this->codec,
              [this](ForwardEvent &&event) { this->forwarder.post(std::move(event)); },
              &this->guard)
    , leafs(this->reactor, this->codec,
            [this](ForwardEvent &&event) { this->forwarder.post(std::move(event)); })
    , store(
              this->reactor, this->codec,
              [this](auto &&content) {
                  std::visit(
                          [this](auto &&item) { this->take(std::forward<decltype(item)>(item)); },
                          std::forward<decltype(content)>(content));
              },
              [this] { this->relay.objectsChanged(); })
    , peers(this->reactor)
    , quotas(this->reactor, this->peers,
             [this](ForwardEvent &&event) { this->forwarder.post(std::move(event)); })
    , rollouts(
              this->reactor, this->peers,
              [this](ForwardEvent &&event) { this->forwarder.post(std::move(event)); },
              [this](const WriteRolloutStatus &write) { this->store.writeStatus(write); })
    , relay(this->reactor, this->codec,
            {[this]() -> const StoreReader & { return this->store.state(); },
             [this] { this->store.onRelayCall(); },
             [this](CallerId caller, const HttpMessage &request, HttpListener &listener) {
                 return this->peers.answer(caller, request, listener);
             }},
            &this->guard)
    , readyListener(this->reactor,
                    {[this](CallerId caller, HttpMessage &&request) {
                         this->answerAdmin(caller, request, this->readyListener);
                     },
                     [](CallerId) {}},
                    &this->guard, ListenerKind::Ready)
    , adminListener(this->reactor,
                    {[this](CallerId caller, HttpMessage &&request) {
                         this->answerAdmin(caller, request, this->adminListener);
                     },
                     [](CallerId) {}},
                    &this->guard, ListenerKind::Administration)
    , stopTimer(this->reactor.addTimer([this] { return this->nextStopCheck; },
                                       [this] { this->checkStop(); }))
{
    this->reactor.onResume([this] {
        logEvent(LogEvent::PauseNoticed);
        this->store.resume();
    });
}

auto Front::start(const FrontSettings &settings, FrontCodec codec, GMainContext *context)
        -> Result<std::unique_ptr<Front>>
{
    auto front = std::unique_ptr<Front>(new Front(settings, std::move(codec), context));
    auto opened = front->open(settings);
    if (isError(opened))
        return std::get<Error>(opened);
    logEvent(LogEvent::InstanceStarted, {{"instance", settings.instance}});
    front->readFrom(settings);
    return front;
}

auto Front::open(const FrontSettings &settings) -> Result<Done>
{
    auto error = std::optional<Error>();
    // Takes over the address of a listener that has opened.
    const auto take
            = [&error](const char *name, const Result<std::string> &opened, std::string &address) {
                  if (isError(opened)) {
                      error = std::get<Error>(opened);
                      return;
                  }
                  address = std::get<std::string>(opened);
                  logEvent(LogEvent::ListenerOpened, {{"listener", name}, {"address", address}});
              };
    auto &addresses = this->openAddresses;
    take("caller", this->callers.open(settings.callerAddress), addresses.caller);
    take("ready", this->readyListener.open(settings.readyAddress), addresses.ready);
    if (!settings.relayAddress.empty())
        take("seed", this->relay.open(settings.relayAddress), addresses.relay);
    if (error)
        return *error;
    // Metrics are not worth a front that doesn't start.
    if (!settings.adminAddress.empty())
        take("admin", this->adminListener.open(settings.adminAddress), addresses.admin);
    if (error)
        logEvent(LogEvent::ListenerFailed, {{"listener", "admin"}, {"error", describe(*error)}});
    return Done();
}

auto Front::reload(const FrontSettings &settings) -> void
{
    logEvent(LogEvent::SettingsReloaded, {{"instance", settings.instance}});
    this->lifecycle.settings = settings.lifecycle;
    this->forwarder.post(SettingsChanged{settings.forwarder});
    this->readFrom(settings);
}

auto Front::readFrom(const FrontSettings &settings) -> void
{
    auto reading = StoreReaderSettings{settings.instance, settings.seeds, false,
                                       settings.changeTimeouts};
    const auto own = std::erase(reading.relays, settings.relayAddress);
    reading.isRelay = own != 0;
    if (settings.exchangesWithPeers)
        reading.peerAddress = this->openAddresses.relay;
    reading.readsRollouts = settings.forwarder.rollout.isEnforced;
    this->callers.expectTenants(settings.expectsTenants);
    this->limitCallers(settings.callerLimits);
    this->store.configure(reading, settings.storeAddress);
}

auto Front::limitCallers(const CallerLimits &limits) -> void
{
    auto known = limits;
    known.maxDescriptors = std::min(limits.maxDescriptors, descriptorLimit());
    this->guard.setLimits(known);
    this->leafs.setMaxAnswerBytes(leafAnswerShare(known));
}

auto Front::perform(ForwardAction &&action) -> void
{
    std::visit(
            Overloaded{[this](SendToLeaf &&send) { this->leafs.post(std::move(send)); },
                       [this](OpenConnection &&open) { this->leafs.post(std::move(open)); },
                       [this](CloseConnection &&close) { this->leafs.post(close); },
                       [this](AnswerCaller &&answer) { this->callers.post(std::move(answer)); },
                       [this](CallEnded &&ended) {
                           recordEnd(this->metrics, ended.summary);
                           logEvent(eventOf(ended.summary), fieldsOf(ended.summary));
                       },
                       [this](AskForTokens &&question) { this->quotas.post(std::move(question)); },
                       [this](const GrantTokens &answer) { this->quotas.post(answer); },
                       [this](const SendRolloutReport &report) { this->rollouts.post(report); },
                       [this](const AnswerRolloutReport &answer) { this->rollouts.post(answer); },
                       [this](const WriteRolloutStatus &write) { this->rollouts.post(write); },
                       [](const RolloutPhaseChanged &changed) { logPhase(changed); },
                       [](const SendRepeated &repeated) {
                           logEvent(LogEvent::SendRepeated, fieldsOf(repeated));
                       },
                       [](const SendFailureReport &failed) {
                           logEvent(LogEvent::SendFailed, fieldsOf(failed));
                       },
                       [](const LeafLimitChanged &changed) {
                           logEvent(LogEvent::LeafLimitChanged, fieldsOf(changed));
                       },
                       [](const TenantLimitChanged &changed) {
                           logEvent(changed.isLimited ? LogEvent::TenantLimited
                                                      : LogEvent::TenantUnlimited,
                                    fieldsOf(changed));
                       },
                       [](const LeafPaused &paused) {
                           logEvent(LogEvent::LeafPaused, fieldsOf(paused));
                       },
                       [](const CrossingChanged &changed) {
                           logEvent(LogEvent::CrossingChanged, fieldsOf(changed));
                       },
                       [](const LeafLeaving &leaving) {
                           logEvent(LogEvent::LeafLeaving, fieldsOf(leaving));
                       }},
            std::move(action));
}

auto Front::take(ForwardEvent &&event) -> void
{
    const auto *const routes = std::get_if<RoutesChanged>(&event);
    if (routes != nullptr && routes->table->version > this->version) {
        this->version = routes->table->version;
        this->callers.post(routes->table->limits, routes->table->tenants.isEnforced);
        logRoutes(*routes->table);
    }
    logLearned(event);
    this->forwarder.post(std::move(event));
}

auto Front::take(const StoreNotification &notification) -> void
{
    logNotification(notification);
}

auto Front::take(const ObjectRejected &rejected) -> void
{
    logEvent(LogEvent::StoreObjectRejected,
             {{"object", rejected.name}, {"error", describe(rejected.error)}});
}

auto Front::ready() -> bool
{
    const auto known = hasReadState(this->store.state()) && canServe(this->forwarder.state());
    const auto state = servingStateOf(this->lifecycle, known,
                                      canReachLeafs(this->forwarder.state(), decisionNow()));
    const auto isReadyNow = state == ServingState::Serving;
    if (isReadyNow != std::exchange(this->reportedReady, isReadyNow)) {
        logEvent(LogEvent::ReadinessChanged,
                 {{"ready", isReadyNow ? "yes" : "no"}, {"reason", std::string(toString(state))}});
        // The balancer leaves open connections where they are.
        this->callers.setClosing(!isReadyNow);
    }
    return isReadyNow;
}

auto Front::answerAdmin(CallerId caller, const HttpMessage &request, HttpListener &listener) -> void
{
    const auto target = std::string_view(request.target);
    const auto path = target.substr(0, target.find('?'));
    if (path == this->codec.readyTarget)
        return listener.respond(
                caller, this->ready() ? HTTP_STATUS_OK : HTTP_STATUS_SERVICE_UNAVAILABLE, {}, {});
    if (path == explainPath && &listener == &this->adminListener) {
        const auto text = explainTarget(this->forwarder.state(), target, decisionNow());
        const auto type = HttpHeader{"Content-Type", "application/json"};
        return listener.respond(
                caller, text ? HTTP_STATUS_OK : HTTP_STATUS_BAD_REQUEST, {&type, 1},
                text.value_or(R"({"error":{"code":"usage","message":"needs host and target"}})"));
    }
    if (path != metricsTarget)
        return listener.respond(caller, HTTP_STATUS_NOT_FOUND, {}, {});
    const auto type = HttpHeader{"Content-Type", "text/plain; version=0.0.4"};
    listener.respond(caller, HTTP_STATUS_OK, {&type, 1},
                     writeMetrics(this->metrics, this->forwarder.state(), this->store.state(),
                                  this->guard, this->store.callCount(), decisionNow()));
}

auto Front::beginStop(std::function<auto(bool)->void> stopped) -> void
{
    logEvent(LogEvent::StopRequested);
    requestStop(this->lifecycle, decisionNow());
    this->callers.setClosing(true);
    this->forwarder.post(StopScheduled{*answersUntil(this->lifecycle)});
    this->onStopped = std::move(stopped);
    this->nextStopCheck = nextTickAt(this->lifecycle, decisionNow());
}

auto Front::checkStop() -> void
{
    // Requests end at any time, so that the end is looked for often once it may come.
    constexpr auto interval = std::chrono::milliseconds(20);
    const auto now = decisionNow();
    if (shouldRefuseNew(this->lifecycle, now))
        this->forwarder.post(NewRequestsRefused());
    if (shouldCloseIdle(this->lifecycle, now))
        this->callers.closeIdle();
    const auto open = this->callers.openRequests();
    if (!canExit(this->lifecycle, open, now)) {
        this->nextStopCheck = shouldCloseIdle(this->lifecycle, now)
                                      ? now + interval
                                      : nextTickAt(this->lifecycle, now);
        return;
    }
    this->nextStopCheck.reset();
    for (const auto &answer : this->callers.unfinishedAnswers())
        logEvent(LogEvent::AnswerCut, {{"request", answer.requestId},
                                       {"sent", std::to_string(answer.sent)},
                                       {"left", std::to_string(answer.left)}});
    logEvent(open == 0 ? LogEvent::StopCompleted : LogEvent::StopDeadlinePassed,
             {{"open_requests", std::to_string(open)}});
    std::exchange(this->onStopped, nullptr)(open == 0);
}

} // namespace crocusreach

#include "instance.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/diagnosis.h"
#include "core/invariants.h"

#include "formats/configurationjson.h"

#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>

namespace crocusreach {

namespace {

// One thread of libsoup carries about 6,500 leaf requests a second. With two, each wakes for fewer
// replies at a time, which costs more below that rate.
constexpr std::size_t targetThreads = 1;
constexpr auto metricsInterval = Duration(std::chrono::seconds(1));
constexpr auto stopCheckInterval = Duration(std::chrono::milliseconds(50));
// Heartbeats that tell the other members which shares are free before the instance ends.
constexpr auto lastHeartbeats = 2;

auto readFile(const std::string &path) -> Result<std::string>
{
    auto file = std::ifstream(path, std::ios::binary);
    auto text = std::ostringstream();
    text << file.rdbuf();
    if (!file)
        return Error{Step::Settings, path, "the file can't be read"};
    return text.str();
}

auto embeddedObjects(const Settings &settings) -> Result<EmbeddedObjects>
{
    if (!settings.storeAddress.empty() || settings.embeddedConfiguration.empty())
        return EmbeddedObjects();
    auto text = readFile(settings.embeddedConfiguration);
    if (isError(text))
        return std::get<Error>(std::move(text));
    const auto parsed
            = parseConfiguration(std::get<std::string>(text), settings.embeddedConfiguration);
    if (isError(parsed))
        return std::get<Error>(parsed);
    return EmbeddedObjects{{std::string(configurationKey), std::get<std::string>(std::move(text))}};
}

auto controlSettings(const Settings &settings, const std::string &peerAddress) -> ControlSettings
{
    auto control = settings.control;
    control.self.id = instanceId(settings.instance);
    // A later start has a later wall time.
    control.self.incarnation
            = Incarnation(static_cast<std::uint64_t>(wallNow().time_since_epoch().count()));
    control.self.name = settings.instance;
    control.self.address = peerAddress;
    control.self.domain = domainId(settings.failureDomain);
    control.cell = settings.cell;
    control.bootstrapAddresses = settings.seeds;
    return control;
}

// True while another member can still take the shares over, so that ending now would leave them
// unused until the lease has run out.
auto awaitsRelease(const ClusterView &view) -> bool
{
    const auto canTake = [&](const PeerView &peer) {
        return peer.reachable && !peer.leaving && findMember(*view.assignment, peer.id) != nullptr;
    };
    return !view.heldShares.empty() && view.storeReachable
           && std::any_of(view.peers.begin(), view.peers.end(), canTake);
}

auto seed() -> std::uint64_t
{
    auto device = std::random_device();
    return (std::uint64_t(device()) << 32U) | device();
}

} // namespace

Instance::Instance(const Settings &settings, std::string_view version,
                   const EmbeddedObjects &objects)
    : settings(settings)
    , self(instanceId(settings.instance))
{
    this->mailbox.attach(g_main_context_get_thread_default(), [this](InstanceMessage &&message) {
        std::visit([this](const auto &content) { this->handle(content); }, message);
    });
    this->metricsTimer = std::make_unique<WakeTimer>(g_main_context_get_thread_default(),
                                                     [this] { this->collectMetrics(); });
    this->stopTimer = std::make_unique<WakeTimer>(g_main_context_get_thread_default(),
                                                  [this] { this->continueStop(); });

    this->makePlatformTasks(objects);
    this->makeQueryTask();
    this->makeDispatchTask();
    this->makeAdminTask(version);
}

auto Instance::makePlatformTasks(const EmbeddedObjects &objects) -> void
{
    this->store = std::make_unique<StoreTask>(
            StoreAddresses{this->settings.storeAddress, this->settings.instanceListAddress},
            objects);
    for (std::size_t index = 0; index < targetThreads; ++index)
        this->targets.push_back(std::make_unique<TargetTask>(
                [this](DispatchEvent &&event) { this->dispatch->post(std::move(event)); }));
    this->front = std::make_unique<FrontTask>(
            FrontOutlets{[this](QueryEvent &&event) { this->query->post(std::move(event)); }});
    this->peer = std::make_unique<PeerTask>(PeerOutlets{
            this->self, [this](QueryEvent &&event) { this->query->post(std::move(event)); },
            [this](DispatchEvent &&event) { this->dispatch->post(std::move(event)); },
            [this](ControlEvent &&event) { this->control->post(std::move(event)); }});
}

auto Instance::makeQueryTask() -> void
{
    auto outlets = QueryOutlets();
    outlets.self = this->self;
    outlets.dispatch = [this](DispatchEvent &&event) { this->dispatch->post(std::move(event)); };
    outlets.peerRequest = [this](SendLeafRequest &&send) { this->peer->post(std::move(send)); };
    outlets.peerCancel = [this](const SendCancel &send) { this->peer->post(send); };
    outlets.store = [this](ObjectCall &&call) { this->store->post(std::move(call)); };
    outlets.front = [this](QueryAnswer &&answer) {
        recordAnswer(this->measured, answer);
        this->front->post(std::move(answer));
    };
    outlets.query = [this](QueryEvent &&event) { this->query->post(std::move(event)); };
    this->query = std::make_unique<QueryTask>("query", makeQueryState(this->settings.query, seed()),
                                              performQueryActions(std::move(outlets)));
}

auto Instance::makeDispatchTask() -> void
{
    auto outlets = DispatchOutlets();
    outlets.self = this->self;
    outlets.target = [this](TargetMessage &&message) { this->sendToTarget(std::move(message)); };
    outlets.query = [this](QueryEvent &&event) { this->query->post(std::move(event)); };
    outlets.peer = [this](SendLeafReply &&reply) { this->peer->post(std::move(reply)); };
    outlets.control = [this](ControlEvent &&event) { this->control->post(std::move(event)); };
    this->dispatch
            = std::make_unique<DispatchTask>("dispatch", makeDispatchState(this->settings.dispatch),
                                             performDispatchActions(std::move(outlets)));
}

// The answers that need the newest view or the metrics are given by this thread.
auto Instance::makeAdminTask(std::string_view version) -> void
{
    auto admin = AdminSettings();
    admin.tokens = this->settings.adminTokens;
    admin.instance = this->settings.instance;
    admin.version = version;
    auto ports = AdminPorts();
    ports.callStore = [this](ObjectCall &&call) { this->store->post(std::move(call)); };
    ports.askLeafStatus = [this](LeafStatusAsked &&asked) {
        this->dispatch->post(DispatchTask::Inspect{
                [asked](const DispatchState &state) { asked.reply(leafStatus(state)); }});
    };
    ports.askExplain = [this](ExplainAsked &&asked) { this->mailbox.post(std::move(asked)); };
    ports.askMetrics = [this](MetricsAsked &&asked) { this->mailbox.post(std::move(asked)); };
    this->admin = std::make_unique<AdminTask>(std::move(admin), std::move(ports));
}

Instance::~Instance()
{
    // A task that posts ends before the ones that it posts to are destroyed.
    this->admin->stop();
    this->front->stop();
    this->peer->stop();
    for (auto &target : this->targets)
        target->stop();
    this->store->stop();
    if (this->control != nullptr)
        this->control->stop();
    this->query->stop();
    this->dispatch->stop();
    this->mailbox.detach();
}

auto Instance::start(const Settings &settings, std::string_view version)
        -> Result<std::unique_ptr<Instance>>
{
    auto objects = embeddedObjects(settings);
    if (isError(objects))
        return std::get<Error>(std::move(objects));
    auto instance = std::unique_ptr<Instance>(
            new Instance(settings, version, std::get<EmbeddedObjects>(objects)));
    auto addresses = instance->openListeners();
    if (isError(addresses))
        return std::get<Error>(std::move(addresses));
    instance->listeners = std::get<InstanceAddresses>(std::move(addresses));
    instance->startCores();
    logEvent(LogEvent::InstanceStarted,
             {{"instance", settings.instance}, {"domain", settings.failureDomain}});
    return instance;
}

auto Instance::openListeners() -> Result<InstanceAddresses>
{
    auto addresses = InstanceAddresses();
    auto peerAddress = this->peer->listen(this->settings.peerAddress);
    if (isError(peerAddress))
        return std::get<Error>(std::move(peerAddress));
    addresses.peer = std::get<std::string>(std::move(peerAddress));
    auto callerAddress = this->front->listen(this->settings.callerAddress);
    if (isError(callerAddress))
        return std::get<Error>(std::move(callerAddress));
    addresses.caller = std::get<std::string>(std::move(callerAddress));
    auto adminAddress = this->admin->listen(this->settings.adminAddress);
    if (isError(adminAddress))
        return std::get<Error>(std::move(adminAddress));
    addresses.admin = std::get<std::string>(std::move(adminAddress));
    logEvent(LogEvent::ListenerOpened, {{"listener", "peer"}, {"address", addresses.peer}});
    logEvent(LogEvent::ListenerOpened, {{"listener", "caller"}, {"address", addresses.caller}});
    logEvent(LogEvent::ListenerOpened, {{"listener", "admin"}, {"address", addresses.admin}});
    return addresses;
}

// The control core comes last, since it needs the real address of the peer listener and its first
// action posts to the other tasks.
auto Instance::startCores() -> void
{
    auto outlets = ControlOutlets();
    outlets.cell = this->settings.cell;
    outlets.store = [this](StoreMessage &&message) { this->store->post(std::move(message)); };
    outlets.peer = [this](ControlToPeer &&message) { this->peer->post(std::move(message)); };
    outlets.publish = [this](const ClusterViewPtr &published) { this->publish(published); };
    outlets.control = [this](ControlEvent &&event) { this->control->post(std::move(event)); };
    this->control = std::make_unique<ControlTask>(
            "control", makeControlState(controlSettings(this->settings, this->listeners.peer)),
            performControlActions(std::move(outlets)));
    this->query->start();
    this->dispatch->start();
    this->control->start();
    this->peer->start();
    this->metricsTimer->setDelay(metricsInterval.count());
}

auto Instance::publish(const ClusterViewPtr &published) -> void
{
    this->query->post(ViewChanged{published});
    this->dispatch->post(ViewChanged{published});
    this->peer->post(ViewChanged{published});
    this->admin->post(ViewChanged{published});
    this->mailbox.post(ViewChanged{published});
}

auto Instance::sendToTarget(TargetMessage &&message) -> void
{
    const auto taskOf = [this](LeafId leaf) -> TargetTask & {
        return *this->targets[toUnderlying(leaf) % this->targets.size()];
    };
    const auto handlers = Overloaded{
            [&](SendTargetRequest &&send) {
                auto &task = taskOf(send.leaf);
                task.post(std::move(send));
            },
            [&](ProbeTarget &&probe) {
                auto &task = taskOf(probe.leaf);
                task.post(std::move(probe));
            },
            // A cancel doesn't name the leaf; the tasks that don't know the request ignore it.
            [&](CancelTargetRequest &&cancel) {
                for (auto &task : this->targets)
                    task->post(cancel);
            },
            [&](CloseTargetConnections &&close) { taskOf(close.leaf).post(close); }};
    std::visit(handlers, std::move(message));
}

auto Instance::handle(const ViewChanged &change) -> void
{
    this->logChanges(*change.view);
    this->view = change.view;
    recordView(this->measured, *this->view);
    this->updateServing();
}

auto Instance::handle(const ExplainAsked &asked) -> void
{
    const auto *service = this->view == nullptr
                                  ? nullptr
                                  : findService(*this->view->configuration, asked.service);
    if (service == nullptr)
        return asked.reply(ExplainAnswer{false, {}});
    this->query->post(
            QueryTask::Inspect{[asked, service, view = this->view](const QueryState &state) {
                const auto diagnosis = diagnose(statistics(state), *view, *service);
                asked.reply(ExplainAnswer{true, {explainText(diagnosis)}});
            }});
}

auto Instance::logChanges(const ClusterView &newer) -> void
{
    const auto *former = this->view.get();
    const auto revision = toUnderlying(newer.configuration->revision);
    if (former == nullptr || toUnderlying(former->configuration->revision) != revision)
        logEvent(LogEvent::ConfigurationInForce, {{"revision", std::to_string(revision)}});
    const auto epoch = toUnderlying(newer.assignment->epoch);
    if (former == nullptr || toUnderlying(former->assignment->epoch) != epoch)
        logEvent(LogEvent::AssignmentInForce, {{"epoch", std::to_string(epoch)}});
    if (former == nullptr || former->heldShares.size() != newer.heldShares.size())
        logEvent(LogEvent::SharesChanged, {{"held", std::to_string(newer.heldShares.size())}});
    if (former != nullptr && former->storeReachable && !newer.storeReachable)
        logEvent(LogEvent::StoreUnreachable);
    if (former != nullptr && !former->storeReachable && newer.storeReachable)
        logEvent(LogEvent::StoreReachable);
    const auto valid = newer.leaseValidUntil > decisionNow();
    if (this->leased && !valid)
        logEvent(LogEvent::LeaseWithoutEvidence);
    this->leased = valid && !newer.heldShares.empty();
}

auto Instance::updateServing() -> void
{
    const auto stopping = this->stop.began != TimePoint();
    const auto configured
            = this->view != nullptr && toUnderlying(this->view->configuration->revision) != 0;
    this->front->post(
            Serving{configured && !stopping && !isSelfOut(*this->view), !this->stop.refusing});
}

auto Instance::collectMetrics() -> void
{
    this->query->post(QueryTask::Inspect{[this](const QueryState &state) {
        recordQueries(this->measured, counters(state), queriesInFlight(state));
        recordViolations(this->measured);
    }});
    if (this->view != nullptr)
        this->dispatch->post(DispatchTask::Inspect{
                [this, index = this->view->leafIndex,
                 configuration = this->view->configuration](const DispatchState &state) {
                    recordLeafs(this->measured, leafStatus(state), *index);
                }});
    this->metricsTimer->setDelay(metricsInterval.count());
}

auto Instance::beginStop(std::function<auto(StopResult)->void> onStopped) -> void
{
    logEvent(LogEvent::StopRequested);
    this->stop.onStopped = std::move(onStopped);
    this->stop.began = decisionNow();
    this->control->post(StopRequested());
    this->updateServing();
    this->stopTimer->setDelay(stopCheckInterval.count());
}

auto Instance::continueStop() -> void
{
    const auto now = decisionNow();
    if (now - this->stop.began >= this->settings.stopDeadline)
        return this->endStop(StopResult::DeadlinePassed);
    if (!this->stop.refusing && now - this->stop.began >= this->settings.balancerGrace) {
        logEvent(LogEvent::QueriesRefused);
        this->stop.refusing = true;
        this->updateServing();
    }
    const auto quiet = this->stop.refusing && this->stop.queries == 0 && this->stop.requests == 0
                       && (this->view == nullptr || !awaitsRelease(*this->view));
    if (!quiet)
        this->stop.quietSince.reset();
    else if (!this->stop.quietSince)
        this->stop.quietSince = now;
    else if (now - *this->stop.quietSince
             >= lastHeartbeats * this->settings.control.heartbeatInterval)
        return this->endStop(StopResult::Completed);

    this->query->post(QueryTask::Inspect{[this](const QueryState &state) {
        this->mailbox.post(QueriesRunning{queriesInFlight(state)});
    }});
    this->dispatch->post(DispatchTask::Inspect{[this](const DispatchState &state) {
        this->mailbox.post(RequestsRunning{requestsInFlight(state)});
    }});
    this->stopTimer->setDelay(stopCheckInterval.count());
}

auto Instance::endStop(StopResult result) -> void
{
    const auto completed = result == StopResult::Completed;
    check(!completed || (this->stop.queries == 0 && this->stop.requests == 0),
          Invariant::NothingOpenAtStop, "a stop completed with work in flight");
    logEvent(completed ? LogEvent::StopCompleted : LogEvent::StopDeadlinePassed,
             {{"queries", std::to_string(this->stop.queries)},
              {"requests", std::to_string(this->stop.requests)}});
    this->stop.onStopped(result);
}

} // namespace crocusreach

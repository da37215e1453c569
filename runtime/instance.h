#pragma once

#include "admintask.h"
#include "controltask.h"
#include "dispatchtask.h"
#include "formats/settings.h"
#include "fronttask.h"
#include "metrics.h"
#include "peertask.h"
#include "querytask.h"
#include "storetask.h"
#include "targettask.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// One instance: all its tasks, wired to each other, and its graceful stop.

namespace crocusreach {

// Where the listeners really are.
struct InstanceAddresses
{
    std::string caller;
    std::string peer;
    std::string admin;
};

enum class StopResult : std::uint8_t { Completed, DeadlinePassed };

// How much work runs; answered by the query and the dispatch task while the instance stops.
struct QueriesRunning
{
    std::size_t count = 0;
};

struct RequestsRunning
{
    std::size_t count = 0;
};

using InstanceMessage
        = std::variant<ViewChanged, QueriesRunning, RequestsRunning, ExplainAsked, MetricsAsked>;

// Belongs to the thread that makes it; its messages are delivered in that thread's default main
// context.
class Instance
{
public:
    // Fills the embedded store, opens the listeners and starts the tasks.
    static auto start(const Settings &settings, std::string_view version)
            -> Result<std::unique_ptr<Instance>>;

    Instance(const Instance &) = delete;
    auto operator=(const Instance &) -> Instance & = delete;
    ~Instance();

    auto addresses() const -> const InstanceAddresses & { return this->listeners; }
    auto metrics() -> Metrics & { return this->measured; }

    // Stops gracefully, as section 11 of the design says, and calls the function at the end.
    auto beginStop(std::function<auto(StopResult)->void> onStopped) -> void;

private:
    struct Stop
    {
        std::function<auto(StopResult)->void> onStopped;
        TimePoint began = {};
        std::optional<TimePoint> quietSince; // no work runs and no share is held
        bool refusing = false;
        bool ended = false;
        std::size_t queries = 1;
        std::size_t requests = 1;
    };

    Instance(const Settings &settings, std::string_view version, const EmbeddedObjects &objects);

    auto makePlatformTasks(const EmbeddedObjects &objects) -> void;
    auto makeQueryTask() -> void;
    auto makeDispatchTask() -> void;
    auto makeAdminTask(std::string_view version) -> void;

    auto openListeners() -> Result<InstanceAddresses>;
    auto startCores() -> void;
    auto publish(const ClusterViewPtr &view) -> void;
    auto sendToTarget(TargetMessage &&message) -> void;
    auto handle(const ViewChanged &change) -> void;
    auto handle(const QueriesRunning &running) -> void { this->stop.queries = running.count; }
    auto handle(const RequestsRunning &running) -> void { this->stop.requests = running.count; }
    auto handle(const ExplainAsked &asked) -> void;
    auto handle(const MetricsAsked &asked) -> void { asked.reply(writeMetrics(this->measured)); }
    auto logChanges(const ClusterView &newer) -> void;
    auto updateServing() -> void;
    auto collectMetrics() -> void;
    auto continueStop() -> void;
    auto endStop(StopResult result) -> void;

    Settings settings;
    InstanceId self = {};
    InstanceAddresses listeners;
    Metrics measured;
    ClusterViewPtr view; // null until the control core's first one
    bool leased = false; // shares are held and their lease had not ended at the last view
    Stop stop;
    Mailbox<InstanceMessage> mailbox;
    std::unique_ptr<WakeTimer> metricsTimer;
    std::unique_ptr<WakeTimer> stopTimer;
    // The tasks in the order in which they start. A task that posts to a later one does so only
    // after all have been made.
    std::unique_ptr<StoreTask> store;
    std::vector<std::unique_ptr<TargetTask>> targets;
    std::unique_ptr<FrontTask> front;
    std::unique_ptr<PeerTask> peer;
    std::unique_ptr<QueryTask> query;
    std::unique_ptr<DispatchTask> dispatch;
    std::unique_ptr<ControlTask> control;
    std::unique_ptr<AdminTask> admin;
};

} // namespace crocusreach

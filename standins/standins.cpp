#include "standins.h"

#include <nlohmann/json.hpp>

namespace crocusreach::standins {

namespace {

using Json = nlohmann::json;

template <typename T>
auto take(const Json &change, const char *name, T &field) -> void
{
    if (const auto found = change.find(name); found != change.end())
        field = found->get<T>();
}

auto writeCounters(const Target &target) -> Json
{
    const auto &counters = target.counters;
    return {{"address", target.address()},
            {"slots", target.settings.slots},
            {"cold_slots", target.settings.coldSlots},
            {"connections", target.settings.connections},
            {"requests", counters.requests},
            {"runs", counters.runs},
            {"answered", counters.answered},
            {"shed", counters.shed},
            {"expired", counters.expired},
            {"not_served", counters.notServed},
            {"cancelled", counters.cancelled},
            {"deadline_ended", counters.deadlineEnded},
            {"restarts", counters.restarts},
            {"over_slots", counters.overSlots},
            {"over_cold", counters.overCold},
            {"over_connections", counters.overConnections},
            {"after_out", counters.afterOut},
            {"after_draining", counters.afterDraining},
            {"latest_after_out_ms", counters.latestAfterOutMs},
            {"latest_after_draining_ms", counters.latestAfterDrainingMs},
            {"peak_running", counters.peakRunning},
            {"peak_running_cold", counters.peakRunningCold},
            {"peak_connections", counters.peakConnections},
            {"connections_opened", counters.connectionsOpened},
            {"health_reads", counters.healthReads}};
}

auto writeStore(const ObjectStore &store) -> Json
{
    const auto counters = store.counters();
    auto calls = Json::object();
    for (auto kind = std::size_t(0); kind < counters.calls.size(); ++kind)
        calls[std::string(toString(static_cast<StoreCallKind>(kind)))] = counters.calls.at(kind);
    return {{"calls", calls},
            {"conflicts", counters.conflicts},
            {"lost", counters.lost},
            {"pending_watches", counters.pendingWatches}};
}

auto changeStore(ObjectStore &store, const Json &change) -> void
{
    auto faults = store.currentFaults();
    if (const auto name = change.value("availability", std::string()); !name.empty())
        faults.availability = name == "unavailable" ? StoreAvailability::Unavailable
                              : name == "silent"    ? StoreAvailability::Silent
                                                    : StoreAvailability::Up;
    take(change, "slow_ms", faults.slowMs);
    take(change, "lose_before", faults.loseBefore);
    take(change, "lose_after", faults.loseAfter);
    take(change, "silent_watches", faults.silentWatches);
    store.setFaults(faults);
}

} // namespace

auto changeTarget(Target &target, const Json &change) -> void
{
    auto &settings = target.settings;
    take(change, "shed", settings.shed);
    take(change, "error", settings.error);
    take(change, "versions", settings.versions);
    take(change, "layout", settings.layout);
    take(change, "shards", settings.shards);
    take(change, "results", settings.results);
    take(change, "health_lag_ms", settings.healthLagMs);
    take(change, "cold_ms", settings.coldMs);
    take(change, "median_ms", settings.serviceTime.medianMs);
    take(change, "sigma", settings.serviceTime.sigma);
    take(change, "straggler_probability", settings.serviceTime.stragglerProbability);
    take(change, "straggler_ms", settings.serviceTime.stragglerMs);
    if (const auto name = change.value("health", std::string()); !name.empty())
        settings.health = name == "lagging" ? HealthPage::Lagging
                          : name == "lying" ? HealthPage::Lying
                                            : HealthPage::Honest;
    if (change.contains("out"))
        target.setOut(change["out"].get<bool>());
    if (change.contains("draining"))
        target.setDraining(change["draining"].get<bool>());
    if (change.value("silence_connections", false))
        target.silenceConnections();
    if (change.value("close_connections", false))
        target.closeConnections();
    if (change.contains("restart"))
        target.restart(change["restart"].get<double>());
}

Standins::Standins(const StandinsSettings &settings)
    : allTargets(settings.threads, settings.seed)
{
    this->platformWorker.run([this, &settings] {
        this->store = std::make_unique<ObjectStore>(settings.storeAddress, settings.seed);
        this->list = std::make_unique<InstanceList>(settings.listAddress);
    });
    this->controlWorker.run([this, &settings] {
        this->control = std::make_unique<HttpServer>(
                settings.controlAddress,
                [this](const ExchangePtr &exchange) { this->handleControl(exchange); });
    });
}

Standins::~Standins()
{
    this->controlWorker.run([this] { this->control.reset(); });
    this->platformWorker.run([this] {
        this->store.reset();
        this->list.reset();
    });
}

auto Standins::addTargets(Configuration &configuration, const TargetSettings &defaults) -> void
{
    for (auto &service : configuration.services) {
        for (auto &leaf : service.leafs) {
            auto settings = defaults;
            settings.name = service.name + "/" + leaf.name;
            settings.slots = leaf.slots;
            settings.coldSlots = leaf.coldSlots;
            settings.connections = leaf.connections;
            settings.layout = toUnderlying(service.layout);
            settings.shards.clear();
            for (const auto shard : leaf.shards)
                settings.shards.push_back(toUnderlying(shard));
            leaf.address = this->allTargets.add(settings);
            this->change([&](ObjectStore &, InstanceList &instanceList) {
                instanceList.set(settings.name, {leaf.address});
            });
        }
    }
}

auto Standins::change(const std::function<auto(ObjectStore &, InstanceList &)->void> &function)
        -> void
{
    this->platformWorker.run([this, &function] { function(*this->store, *this->list); });
}

auto Standins::counters() -> Json
{
    auto written = Json{{"targets", Json::object()}, {"doubled", Json::array()}};
    auto runs = std::map<std::string, std::uint32_t>();
    this->allTargets.change("*", [&](const Target &target) {
        written["targets"][target.settings.name] = writeCounters(target);
        for (const auto &[id, count] : target.onceRuns)
            runs[id] += count;
    });
    for (const auto &[id, count] : runs) {
        if (count > 1)
            written["doubled"].push_back(id);
    }
    this->change([&](const ObjectStore &objectStore, const InstanceList &) {
        written["store"] = writeStore(objectStore);
    });
    return written;
}

auto Standins::handleControl(const ExchangePtr &exchange) -> void
{
    const auto path = std::string(exchange->path());
    const auto after = [&path](std::string_view prefix) { return path.substr(prefix.size()); };
    constexpr auto targetsPath = std::string_view("/control/v1/targets/");
    constexpr auto objectsPath = std::string_view("/control/v1/objects/");
    constexpr auto instancesPath = std::string_view("/control/v1/instances/");
    const auto isPut = exchange->method() == "PUT";
    auto status = SOUP_STATUS_OK;
    try {
        const auto isJson = isPut && !path.starts_with(objectsPath);
        const auto change = isJson ? Json::parse(exchange->body()) : Json::object();
        if (path == "/control/v1/counters") {
            exchange->reply(SOUP_STATUS_OK, {}, this->counters().dump());
            return;
        }
        if (isPut && path.starts_with(targetsPath)) {
            const auto matched = this->allTargets.change(
                    after(targetsPath), [&](Target &target) { changeTarget(target, change); });
            status = matched > 0 ? SOUP_STATUS_OK : SOUP_STATUS_NOT_FOUND;
        } else if (isPut && path == "/control/v1/store") {
            this->change(
                    [&](ObjectStore &objects, InstanceList &) { changeStore(objects, change); });
        } else if (isPut && path.starts_with(objectsPath)) {
            this->change([&](ObjectStore &objects, InstanceList &) {
                objects.write(after(objectsPath), std::string(exchange->body()));
            });
        } else if (isPut && path == "/control/v1/list") {
            this->change([&](ObjectStore &, InstanceList &instances) {
                instances.setFaults(change.value("lag_ms", 0.0),
                                    change.value("unavailable", false));
            });
        } else if (path.starts_with(instancesPath)) {
            this->change([&](ObjectStore &, InstanceList &instances) {
                if (isPut)
                    instances.set(after(instancesPath),
                                  {change.value("address", ""),
                                   change.value("incarnation", std::uint64_t(0)),
                                   change.value("leaving", false)});
                else
                    instances.remove(after(instancesPath));
            });
        } else {
            status = SOUP_STATUS_NOT_FOUND;
        }
        exchange->reply(status, {}, "{}");
    } catch (const Json::exception &error) {
        exchange->reply(SOUP_STATUS_BAD_REQUEST, {}, Json{{"error", error.what()}}.dump());
    }
}

} // namespace crocusreach::standins

#pragma once

#include "base/mailbox.h"
#include "core/configuration.h"
#include "instancelist.h"
#include "objectstore.h"
#include "targets.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>

// All stand-ins together, with the control API that injects faults and reads counters.
//
// GET /control/v1/counters: {"targets": {NAME: {...}}, "doubled": [ID], "store": {...}}
// PUT /control/v1/targets/NAME: fields to change, see changeTarget; NAME may end in '*'
// PUT /control/v1/store: availability (up, unavailable, silent), slow_ms, lose_before, lose_after,
//     silent_watches
// PUT /control/v1/objects/KEY: writes an object past the faults
// PUT /control/v1/list: lag_ms, unavailable
// PUT, DELETE /control/v1/instances/NAME: an entry of the list: address, incarnation, leaving

namespace crocusreach::standins {

struct StandinsSettings
{
    std::string storeAddress = "127.0.0.1:0";
    std::string listAddress = "127.0.0.1:0";
    std::string controlAddress = "127.0.0.1:0";
    std::size_t threads = 2; // that serve targets
    std::uint64_t seed = 1;
};

class Standins
{
public:
    explicit Standins(const StandinsSettings &settings);
    Standins(const Standins &) = delete;
    auto operator=(const Standins &) -> Standins & = delete;
    ~Standins();

    // Starts a target for each leaf of the configuration, with the given service time and cold
    // time, lists it, and replaces the leaf's address by the real one.
    auto addTargets(Configuration &configuration, const TargetSettings &defaults) -> void;
    auto targets() -> Targets & { return this->allTargets; }
    // Runs a function on the store and the list, in their thread.
    auto change(const std::function<auto(ObjectStore &, InstanceList &)->void> &function) -> void;
    auto counters() -> nlohmann::json;
    auto storeAddress() const -> const std::string & { return this->store->address(); }
    auto listAddress() const -> const std::string & { return this->list->address(); }
    auto controlAddress() const -> const std::string & { return this->control->address(); }

private:
    auto handleControl(const ExchangePtr &exchange) -> void;

    Targets allTargets;
    MainThread platformWorker = MainThread("platform");
    MainThread controlWorker = MainThread("control");
    std::unique_ptr<ObjectStore> store;
    std::unique_ptr<InstanceList> list;
    std::unique_ptr<HttpServer> control;
};

// Fields: restart (milliseconds down), draining, out, shed, error, versions, layout, shards,
// results, silence_connections, close_connections, health (honest, lagging, lying), health_lag_ms,
// cold_ms, median_ms, sigma, straggler_probability, straggler_ms. Throws nlohmann::json::exception.
auto changeTarget(Target &target, const nlohmann::json &change) -> void;

} // namespace crocusreach::standins

#pragma once

#include "core/configuration.h"
#include "core/dispatch.h"
#include "core/query.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

// The metrics of an instance. All functions may be called from any thread, but for the record
// functions of one kind, which have one caller each.

namespace crocusreach {

struct LeafGauges
{
    prometheus::Gauge *running = nullptr;
    prometheus::Gauge *waiting = nullptr;
    prometheus::Gauge *allowed = nullptr;
    prometheus::Gauge *connections = nullptr;
    prometheus::Gauge *cold = nullptr;
    prometheus::Gauge *p99 = nullptr;
};

struct Metrics
{
    Metrics();

    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram> *answerTime = nullptr;
    prometheus::Family<prometheus::Counter> *queryEvents = nullptr;
    prometheus::Family<prometheus::Counter> *refusals = nullptr;
    prometheus::Family<prometheus::Counter> *retries = nullptr;
    prometheus::Family<prometheus::Counter> *missing = nullptr;
    prometheus::Family<prometheus::Counter> *violations = nullptr;
    prometheus::Family<prometheus::Gauge> *leafState = nullptr;
    prometheus::Gauge *queriesInFlight = nullptr;
    prometheus::Gauge *sharesHeld = nullptr;
    prometheus::Gauge *revision = nullptr;
    prometheus::Gauge *epoch = nullptr;
    std::unordered_map<LeafId, LeafGauges> leafs; // those with a share held here
};

// One answer to a caller, by status.
auto recordAnswer(Metrics &metrics, const QueryAnswer &answer) -> void;

// Sets the counters to the core's totals.
auto recordQueries(Metrics &metrics, const QueryCounters &counters, std::size_t inFlight) -> void;

// Sets the gauges of the leafs with a share held here and removes those of all others.
auto recordLeafs(Metrics &metrics, std::span<const LeafStatus> statuses, const LeafIndex &index)
        -> void;

auto recordView(Metrics &metrics, const ClusterView &view) -> void;

// Sets the counters of invariant violations.
auto recordViolations(Metrics &metrics) -> void;

// The text format of Prometheus.
auto writeMetrics(const Metrics &metrics) -> std::string;

} // namespace crocusreach

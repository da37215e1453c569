#pragma once

#include "callerguard.h"
#include "core/forwarder.h"
#include "core/storereader.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <set>
#include <string>

// The metrics of a front. All functions are called in the front's thread.

namespace crocusreach {

struct FrontMetrics
{
    FrontMetrics();

    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram> *requestTime = nullptr; // seconds, by end
    prometheus::Family<prometheus::Counter> *events = nullptr;
    prometheus::Family<prometheus::Counter> *ends = nullptr;
    prometheus::Family<prometheus::Gauge> *state = nullptr;
    prometheus::Family<prometheus::Gauge> *rollout = nullptr; // by service and value
    prometheus::Family<prometheus::Gauge> *callerBytes = nullptr; // by use
    prometheus::Family<prometheus::Gauge> *callerConnections = nullptr; // by listener
    prometheus::Family<prometheus::Counter> *callerRefusals = nullptr; // by reason
    prometheus::Family<prometheus::Gauge> *copyAge = nullptr; // seconds, by kind of object
    prometheus::Family<prometheus::Gauge> *tenantTokens = nullptr; // by tenant and result
    std::set<prometheus::Gauge *> tenantGauges; // of the latest page
};

auto recordEnd(FrontMetrics &metrics, const forward::CallSummary &summary) -> void;

// The text format of Prometheus, with the forwarder's counters and the age of the copies as of now.
auto writeMetrics(FrontMetrics &metrics, const forward::Forwarder &forwarder,
                  const forward::StoreReader &reader, const CallerGuard &callers,
                  std::uint64_t storeCalls, TimePoint now) -> std::string;

} // namespace crocusreach

#include "frontmetrics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace crocusreach {

using namespace forward;

namespace {

// Seconds. The target latencies of today's routes are 60 to 600 ms.
const auto timeBuckets = prometheus::Histogram::BucketBoundaries{
        0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.12, 0.15, 0.25, 0.5, 0.6, 1, 2, 4};

auto raise(prometheus::Family<prometheus::Counter> &family, const char *label,
           std::string_view value, std::uint64_t total) -> void
{
    auto &counter = family.Add({{label, std::string(value)}});
    counter.Increment(static_cast<double>(total) - counter.Value());
}

// Of the services with an order. Others keep no series.
auto writeRollouts(prometheus::Family<prometheus::Gauge> &family, const Rollouts &rollouts) -> void
{
    // A deployment has some 50 services, and few orders at a time.
    constexpr auto mostServices = 64;
    auto services = 0;
    for (const auto &item : rollouts.services) {
        const auto &name = item.first;
        if (!item.second.progress || ++services > mostServices)
            continue;
        const auto &progress = *item.second.progress;
        const auto gauge = [&](const char *value, double number) {
            family.Add({{"service", name}, {"value", value}}).Set(number);
        };
        auto target = EvidenceCounts();
        auto old = EvidenceCounts();
        for (const auto &row : progress.rows) {
            auto &sum = row.leaf.empty() ? old : target;
            sum.ended += row.counts.ended;
            sum.failed += row.counts.failed;
            sum.slow += row.counts.slow;
        }
        gauge("phase", static_cast<double>(progress.phase));
        gauge("bad", progress.isBad ? 1 : 0);
        gauge("sends", static_cast<double>(progress.reachedSends));
        gauge("target_sends", static_cast<double>(progress.targetSends));
        gauge("target_failed", static_cast<double>(target.failed));
        gauge("target_slow", static_cast<double>(target.slow));
        gauge("old_failed", static_cast<double>(old.failed));
        gauge("old_slow", static_cast<double>(old.slow));
    }
}

auto writeCallers(FrontMetrics &metrics, const CallerGuard &callers) -> void
{
    const auto &memory = callers.memory();
    for (std::size_t use = 0; use < callerUseCount; ++use)
        metrics.callerBytes->Add({{"use", std::string(toString(static_cast<CallerUse>(use)))}})
                .Set(static_cast<double>(memory.used.at(use)));
    for (std::size_t index = 0; index < listenerKindCount; ++index)
        metrics.callerConnections
                ->Add({{"listener", std::string(toString(static_cast<ListenerKind>(index)))}})
                .Set(static_cast<double>(memory.connections.at(index)));
    for (std::size_t index = 0; index < callerRefusalCount; ++index) {
        const auto reason = static_cast<CallerRefusal>(index);
        raise(*metrics.callerRefusals, "reason", toString(reason), callers.refusals(reason));
    }
}

} // namespace

FrontMetrics::FrontMetrics()
{
    using namespace prometheus;
    this->requestTime = &BuildHistogram()
                                 .Name("crocusreach_request_seconds")
                                 .Help("Time from a request's arrival to its end, by end.")
                                 .Register(this->registry);
    this->events = &BuildCounter()
                            .Name("crocusreach_forward_events_total")
                            .Help("Requests, sends to leafs and what became of them.")
                            .Register(this->registry);
    this->ends = &BuildCounter()
                          .Name("crocusreach_request_ends_total")
                          .Help("Requests by how they ended.")
                          .Register(this->registry);
    this->state = &BuildGauge()
                           .Name("crocusreach_forward_state")
                           .Help("What the front knows and carries now.")
                           .Register(this->registry);
    this->rollout = &BuildGauge()
                             .Name("crocusreach_rollout")
                             .Help("This instance's part in a service's roll-out: its phase (0 "
                                   "running, 1 switching, 2 completed, 3 rolled back) and counts.")
                             .Register(this->registry);
    this->callerBytes = &BuildGauge()
                                 .Name("crocusreach_caller_bytes")
                                 .Help("Memory that callers hold, by use.")
                                 .Register(this->registry);
    this->callerConnections = &BuildGauge()
                                       .Name("crocusreach_caller_connections")
                                       .Help("Connections that listeners have, by listener.")
                                       .Register(this->registry);
    this->callerRefusals = &BuildCounter()
                                    .Name("crocusreach_caller_refusals_total")
                                    .Help("Callers that were refused, closed or made to wait.")
                                    .Register(this->registry);
    this->copyAge = &BuildGauge()
                             .Name("crocusreach_store_copy_age_seconds")
                             .Help("Time since the copy of a kind of object was last confirmed.")
                             .Register(this->registry);
    this->tenantTokens
            = &BuildGauge()
                       .Name("crocusreach_tenant_tokens")
                       .Help("Requests of a tenant's quota that this instance was asked to grant, "
                             "and "
                             "granted, since its start; the tenants that asked most, and the rest.")
                       .Register(this->registry);
}

auto recordEnd(FrontMetrics &metrics, const CallSummary &summary) -> void
{
    metrics.requestTime->Add({{"end", std::string(toString(summary.end))}}, timeBuckets)
            .Observe(std::chrono::duration<double>(summary.elapsed).count());
}

namespace {

// The label values of a metric stay bounded whatever the number of tenants.
constexpr std::size_t shownTenants = 10;

auto writeTenants(FrontMetrics &metrics, const QuotaGranter &granter) -> void
{
    using Item = std::pair<std::string, const GrantingTenant *>;
    auto items = std::vector<Item>();
    for (const auto &[name, tenant] : granter.tenants)
        items.emplace_back(name, &tenant);
    const auto shown = std::min(shownTenants, items.size());
    std::partial_sort(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(shown),
                      items.end(), [](const Item &left, const Item &right) {
                          return left.second->asked > right.second->asked;
                      });
    for (auto *gauge : std::exchange(metrics.tenantGauges, {}))
        metrics.tenantTokens->Remove(gauge);
    const auto add = [&](const std::string &name, const char *result, double value) {
        auto &gauge = metrics.tenantTokens->Add({{"tenant", name}, {"result", result}});
        gauge.Increment(value);
        metrics.tenantGauges.insert(&gauge);
    };
    for (std::size_t index = 0; index < items.size(); ++index) {
        const auto name = index < shown ? items[index].first : std::string("(others)");
        add(name, "asked", static_cast<double>(items[index].second->asked));
        add(name, "granted", static_cast<double>(items[index].second->granted));
    }
}

} // namespace

auto writeMetrics(FrontMetrics &metrics, const Forwarder &forwarder, const StoreReader &reader,
                  const CallerGuard &callers, std::uint64_t storeCalls, TimePoint now)
        -> std::string
{
    const auto &counters = forwarder.counters;
    const auto event = [&](const char *name, std::uint64_t total) {
        raise(*metrics.events, "event", name, total);
    };
    event("request", counters.requests);
    event("send", counters.sends);
    event("send_other_domain", counters.sendsToOtherDomains);
    event("byte_other_domain", counters.bytesFromOtherDomains);
    event("open", counters.connectionsOpened);
    event("hedge", counters.hedges);
    event("hedge_denied", counters.hedgesDenied);
    event("retry", counters.retries);
    event("retry_denied", counters.retriesDenied);
    event("shed", counters.sheds);
    event("misdirected", counters.misdirected);
    event("lost", counters.lost);
    event("invalid", counters.invalid);
    event("not_sent", counters.notSent);
    event("leaf_leaving", counters.leavingLeafs);
    event("leaf_paused", counters.pauses);
    event("leaf_limit_changed", counters.limitChanges);
    event("overdue", counters.overdue);
    event("store_call", storeCalls);
    const auto &quota = forwarder.quota.counters;
    event("quota_question", quota.questions);
    event("quota_granted", quota.granted);
    event("quota_denied", quota.denied);
    event("quota_denied_locally", quota.deniedLocally);
    event("quota_unanswered", quota.unanswered);
    writeTenants(metrics, forwarder.quota.granter);
    event("store_era_change", reader.era.changes);
    for (std::size_t index = 0; index < counters.ends.size(); ++index)
        raise(*metrics.ends, "end", toString(static_cast<CallEnd>(index)), counters.ends.at(index));
    const auto gauge = [&](const char *name, std::size_t value) {
        metrics.state->Add({{"value", name}}).Set(static_cast<double>(value));
    };
    gauge("version", forwarder.table == nullptr ? 0 : forwarder.table->version);
    gauge("requests_in_progress", forwarder.calls.size());
    gauge("requests_waiting", forwarder.waiting.calls.size());
    gauge("requests_waiting_bytes", forwarder.waiting.bytes);
    gauge("sends_in_progress", forwarder.sends.size());
    gauge("leaf_connections", forwarder.connections.size());
    gauge("store_era", reader.era.known.value_or(0));
    gauge("instances", forwarder.share.instances);
    writeRollouts(*metrics.rollout, forwarder.rollouts);
    if (forwarder.settings.crossing.isEnabled)
        metrics.state->Add({{"value", "greatest_leaving_share"}})
                .Set(greatestShare(forwarder.crossing));
    for (std::size_t index = 0; index < objectKindCount; ++index) {
        const auto kind = static_cast<ObjectKind>(index);
        if (const auto age = copyAge(reader, kind, now))
            metrics.copyAge->Add({{"kind", std::string(toString(kind))}})
                    .Set(std::chrono::duration<double>(*age).count());
    }
    writeCallers(metrics, callers);
    return prometheus::TextSerializer().Serialize(metrics.registry.Collect());
}

} // namespace crocusreach

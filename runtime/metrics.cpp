#include "metrics.h"

#include "core/invariants.h"

#include <prometheus/text_serializer.h>

namespace crocusreach {

namespace {

// Seconds; the stated bound of an answer is 62 ms, the longest deadline 3 s.
const auto answerBuckets = prometheus::Histogram::BucketBoundaries{
        0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.062, 0.08, 0.1, 0.2, 0.5, 1, 2, 3};

auto seconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

template <typename Builder>
auto family(Builder builder, prometheus::Registry &registry, const char *name, const char *help)
        -> auto &
{
    return builder.Name(name).Help(help).Register(registry);
}

auto raise(prometheus::Counter &counter, std::uint64_t total) -> void
{
    counter.Increment(static_cast<double>(total) - counter.Value());
}

template <typename Names, typename Totals>
auto raiseAll(prometheus::Family<prometheus::Counter> &counters, const char *label, Names name,
              const Totals &totals) -> void
{
    for (std::size_t index = 0; index < totals.size(); ++index) {
        if (totals[index] != 0)
            raise(counters.Add({{label, std::string(name(index))}}), totals[index]);
    }
}

auto reasonName(std::size_t index) -> std::string_view
{
    return toString(static_cast<Reason>(index));
}

auto leafName(const LeafIndex &index, LeafId id) -> std::string
{
    const auto *entry = findLeaf(index, id);
    return entry == nullptr ? std::string() : entry->service->name + "/" + entry->leaf->name;
}

auto addLeaf(Metrics &metrics, const std::string &name) -> LeafGauges
{
    const auto gauge = [&](const char *value) {
        return &metrics.leafState->Add({{"leaf", name}, {"value", value}});
    };
    return LeafGauges{gauge("running"),     gauge("waiting"), gauge("allowed"),
                      gauge("connections"), gauge("cold"),    gauge("p99_seconds")};
}

auto removeLeaf(Metrics &metrics, const LeafGauges &gauges) -> void
{
    for (auto *gauge : {gauges.running, gauges.waiting, gauges.allowed, gauges.connections,
                        gauges.cold, gauges.p99})
        metrics.leafState->Remove(gauge);
}

auto setLeaf(const LeafGauges &gauges, const LeafStatus &status) -> void
{
    gauges.running->Set(status.running);
    gauges.waiting->Set(status.waiting);
    gauges.allowed->Set(status.concurrencyLimit);
    gauges.connections->Set(status.connections);
    gauges.cold->Set(status.cold ? 1 : 0);
    gauges.p99->Set(seconds(status.p99));
}

} // namespace

Metrics::Metrics()
{
    using namespace prometheus;
    this->answerTime = &family(BuildHistogram(), this->registry, "crocusreach_answer_seconds",
                               "Time from a query's arrival to its answer, by status.");
    this->queryEvents = &family(BuildCounter(), this->registry, "crocusreach_query_events_total",
                                "Queries, attempts, hedges and retries.");
    this->refusals = &family(BuildCounter(), this->registry, "crocusreach_refusals_total",
                             "Queries refused, by reason.");
    this->retries = &family(BuildCounter(), this->registry, "crocusreach_retries_total",
                            "Leaf requests retried, by reason of the failure.");
    this->missing = &family(BuildCounter(), this->registry, "crocusreach_missing_shards_total",
                            "Shards missing from answers, by reason.");
    this->violations
            = &family(BuildCounter(), this->registry, "crocusreach_invariant_violations_total",
                      "Violations of guaranteed properties.");
    this->leafState = &family(BuildGauge(), this->registry, "crocusreach_leaf",
                              "State of the leafs with a share held by this instance.");
    auto &instance = family(BuildGauge(), this->registry, "crocusreach_instance",
                            "State of this instance.");
    this->queriesInFlight = &instance.Add({{"value", "queries_in_flight"}});
    this->sharesHeld = &instance.Add({{"value", "shares_held"}});
    this->revision = &instance.Add({{"value", "revision"}});
    this->epoch = &instance.Add({{"value", "epoch"}});
    // Present from the start, so that an alert on an increase sees the first one.
    recordViolations(*this);
}

auto recordAnswer(Metrics &metrics, const QueryAnswer &answer) -> void
{
    const auto labels = prometheus::Labels{{"status", std::string(toString(answer.status))}};
    metrics.answerTime->Add(labels, answerBuckets).Observe(seconds(answer.elapsed));
}

auto recordQueries(Metrics &metrics, const QueryCounters &counters, std::size_t inFlight) -> void
{
    const auto event = [&](const char *name, std::uint64_t total) {
        raise(metrics.queryEvents->Add({{"event", name}}), total);
    };
    event("query", counters.queries);
    event("complete", counters.complete);
    event("partial", counters.partial);
    event("refused", counters.refused);
    event("first_attempt", counters.firstAttempts);
    event("hedge", counters.hedges);
    event("hedge_win", counters.hedgeWins);
    event("retry", counters.retries);
    event("restart", counters.restarts);
    event("late_reply", counters.lateReplies);
    raiseAll(*metrics.refusals, "reason", reasonName, counters.refusalsByReason);
    raiseAll(*metrics.retries, "reason", reasonName, counters.retriesByReason);
    raiseAll(*metrics.missing, "reason", reasonName, counters.missingByReason);
    metrics.queriesInFlight->Set(static_cast<double>(inFlight));
}

auto recordLeafs(Metrics &metrics, std::span<const LeafStatus> statuses, const LeafIndex &index)
        -> void
{
    auto former = std::exchange(metrics.leafs, {});
    for (const auto &status : statuses) {
        const auto name = leafName(index, status.leaf);
        if (name.empty())
            continue;
        const auto found = former.find(status.leaf);
        const auto gauges = found == former.end() ? addLeaf(metrics, name) : found->second;
        if (found != former.end())
            former.erase(found);
        setLeaf(gauges, status);
        metrics.leafs.insert_or_assign(status.leaf, gauges);
    }
    for (const auto &[leaf, gauges] : former)
        removeLeaf(metrics, gauges);
}

auto recordView(Metrics &metrics, const ClusterView &view) -> void
{
    metrics.sharesHeld->Set(static_cast<double>(view.heldShares.size()));
    metrics.revision->Set(static_cast<double>(toUnderlying(view.configuration->revision)));
    metrics.epoch->Set(static_cast<double>(toUnderlying(view.assignment->epoch)));
}

auto recordViolations(Metrics &metrics) -> void
{
    for (std::size_t index = 0; index < static_cast<std::size_t>(Invariant::Count); ++index) {
        const auto invariant = static_cast<Invariant>(index);
        auto &counter = metrics.violations->Add({{"invariant", std::string(toString(invariant))}});
        raise(counter, violationCount(invariant));
    }
}

auto writeMetrics(const Metrics &metrics) -> std::string
{
    return prometheus::TextSerializer().Serialize(metrics.registry.Collect());
}

} // namespace crocusreach

#include "forwardhedge.h"

#include <algorithm>

namespace crocusreach::forward {

namespace {

// A request that takes this many times the typical latency is most likely delayed by its leaf: with
// the usual variation of the work, fewer than one in fifty take that long by themselves.
constexpr double hedgeLatencyFactor = 2.2;
// The sum over all leafs changes more slowly than the queue of each, so older reports count than in
// the choice of a leaf. An instance with one request a second needs that long for two reports.
constexpr Duration loadReportAge = std::chrono::seconds(2);

// A leaf without an answer for this time may be silent, and only a hedge saves the request. In the
// replays of a lost domain, 2 s left twice as many requests unanswered; 500 ms let bursts of hedges
// begin.
constexpr Duration silentLeafAge = std::chrono::seconds(1);

// True if the leafs of the service, by their recent reports, have at least as many requests as
// slots.
auto areSlotsTaken(LeafTable &table, std::string_view service, TimePoint now) -> bool
{
    const auto list = table.byService.find(std::string(service));
    if (list == table.byService.end())
        return false;
    auto requests = std::size_t(0);
    auto slots = std::size_t(0);
    for (const auto number : list->second) {
        const auto &leaf = leafAt(table, number);
        if (now - leaf.loadAt > loadReportAge || !isUsable(table, leaf, now))
            continue;
        requests += std::max<std::size_t>(leaf.outstanding.size(),
                                          leaf.load.running + leaf.load.waiting);
        slots += std::max(1U, leaf.record.slots);
    }
    return slots > 0 && requests >= slots;
}

} // namespace

auto hedgeDelay(const RouteStats &stats, const Route &route) -> Duration
{
    const auto typical = typicalLatency(stats, route);
    const auto delay
            = static_cast<Duration::rep>(hedgeLatencyFactor * static_cast<double>(typical.count()));
    return std::max(Duration(delay), minHedgeDelay);
}

auto isSlowByLoad(LeafTable &table, LeafNumber leaf, std::string_view service, TimePoint now)
        -> bool
{
    return now - leafAt(table, leaf).lastAnswerAt < silentLeafAge
           && areSlotsTaken(table, service, now);
}

} // namespace crocusreach::forward

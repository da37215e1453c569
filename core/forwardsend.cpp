#include "forwardsend.h"

#include <algorithm>

namespace crocusreach::forward {

namespace {

// A request that takes this many times the usual latency is mostly held up by its leaf: with the
// usual spread of the work, fewer than one in fifty take so long by themselves.
constexpr double hedgeFactor = 2.2;
constexpr Duration shortestHedgeDelay = std::chrono::milliseconds(4);
// A leaf stops at the time that it is told. An answer that is ready then still needs this time.
constexpr Duration answerTravelTime = std::chrono::milliseconds(150);

auto hedgeDelay(const RouteStats &stats, const Route &route) -> Duration
{
    const auto usual = usualLatency(stats, route);
    const auto delay = static_cast<Duration::rep>(hedgeFactor * static_cast<double>(usual.count()));
    return std::max(Duration(delay), shortestHedgeDelay);
}

auto waitForLink(Forwarder &forwarder, Call &call) -> void
{
    if (call.waiting)
        return;
    call.waiting = WaitingKey(call.route->priority, call.endAt, call.id);
    forwarder.waiting.insert(*call.waiting);
}

auto giveUp(Part &part, CallEnd reason) -> void
{
    part.state = PartState::GivenUp;
    part.lostBy = reason;
}

auto placementQuery(const Forwarder &forwarder, const Call &call, const Part &part)
        -> PlacementQuery
{
    return {part.service,
            findServiceSpec(*call.table, part.service),
            forwarder.settings.domain,
            usualLatency(*call.stats, *call.route),
            part.tried,
            &forwarder.reachability};
}

auto startSend(Forwarder &forwarder, Call &call, std::size_t partNumber, const Placement &placement,
               TimePoint now, std::vector<ForwardAction> &actions) -> void
{
    auto &part = call.parts[partNumber];
    auto &leaf = leafAt(forwarder.leafs, placement.leaf);
    const auto overdueAt = now + hedgeDelay(*call.stats, *call.route);
    auto send = Send();
    send.id = SendId(++forwarder.lastSend);
    send.call = call.id;
    send.part = partNumber;
    send.stats = call.stats;
    send.leaf = placement.leaf;
    send.opened = !placement.idleLink;
    send.link = placement.idleLink ? *placement.idleLink : LinkId(++forwarder.lastLink);
    send.idempotent = call.route->idempotent;
    send.sentAt = now;
    send.overdueAt = overdueAt;
    send.usual = usualLatency(*call.stats, *call.route);
    send.endAt = call.endAt + answerTravelTime;
    if (send.opened) {
        leaf.links.push_back({send.link});
        forwarder.links.emplace(send.link, placement.leaf);
        ++forwarder.counters.opens;
    } else {
        const auto link = std::find_if(leaf.links.begin(), leaf.links.end(),
                                       [&](const Link &item) { return item.id == send.link; });
        link->state = LinkState::Busy;
    }
    leaf.outstanding.push_back({send.id, now, overdueAt});
    noteDomainSend(forwarder.reachability, leaf.record.domain, now);
    part.tried.push_back(placement.leaf);
    part.running.push_back(send.id);
    part.doubtful = placement.doubtful;
    part.hedgeAt = overdueAt;
    ++part.attempts;
    ++call.sends;
    ++forwarder.counters.sends;
    setAlarm(forwarder, send.endAt, true, toUnderlying(send.id));
    setAlarm(forwarder, overdueAt, false, static_cast<std::uint64_t>(call.id));
    actions.emplace_back(SendToLeaf{send.id, send.link, send.opened, leaf.record.address,
                                    leaf.record.id, call.request, call.endAt - now});
    forwarder.sends.emplace(send.id, send);
}

auto noteRepeat(Forwarder &forwarder, const Call &call, const Part &part, RepeatReason reason,
                const Placement &placement, TimePoint now, std::vector<ForwardAction> &actions)
        -> void
{
    auto repeated = SendRepeated();
    repeated.requestId = call.request->id;
    repeated.service = part.service;
    repeated.reason = reason;
    repeated.formerLeaf = leafAt(forwarder.leafs, part.tried.back()).record.id;
    repeated.leaf = leafAt(forwarder.leafs, placement.leaf).record.id;
    repeated.spent = now - call.arrivedAt;
    actions.emplace_back(std::move(repeated));
}

auto sendFirst(Forwarder &forwarder, Call &call, std::size_t partNumber, TimePoint now,
               std::vector<ForwardAction> &actions) -> void
{
    auto &part = call.parts[partNumber];
    const auto placement = placeSend(forwarder.leafs, placementQuery(forwarder, call, part),
                                     forwarder.share, forwarder.random, now);
    if (placement) {
        noteRequest(forwarder.budgets[std::string(part.service)], forwarder.settings.repeats, now);
        startSend(forwarder, call, partNumber, *placement, now, actions);
    } else if (hasUsableLeaf(forwarder.leafs, part.service)) {
        waitForLink(forwarder, call);
    } else {
        giveUp(part, CallEnd::NoLeaf);
    }
}

auto budgetAllows(Forwarder &forwarder, std::string_view service, RepeatUse use, TimePoint now)
        -> bool
{
    return tryRepeat(forwarder.budgets[std::string(service)], forwarder.settings.repeats, use,
                     forwarder.share.instances, now);
}

// A leaf that has failed is tried again if there is no other.
auto placeAgain(Forwarder &forwarder, const Call &call, const Part &part, TimePoint now)
        -> std::optional<Placement>
{
    auto query = placementQuery(forwarder, call, part);
    auto placement = placeSend(forwarder.leafs, query, forwarder.share, forwarder.random, now);
    if (placement || !part.running.empty())
        return placement;
    query.tried = {};
    return placeSend(forwarder.leafs, query, forwarder.share, forwarder.random, now);
}

auto sendAgain(Forwarder &forwarder, Call &call, std::size_t partNumber, TimePoint now,
               std::vector<ForwardAction> &actions) -> void
{
    auto &part = call.parts[partNumber];
    if (part.attempts >= call.route->maxAttempts)
        return giveUp(part, CallEnd::LeafFailure);
    const auto placement = placeAgain(forwarder, call, part, now);
    if (!placement) {
        if (hasUsableLeaf(forwarder.leafs, part.service))
            return waitForLink(forwarder, call);
        return giveUp(part, CallEnd::NoLeaf);
    }
    if (!budgetAllows(forwarder, part.service, RepeatUse::Retry, now)) {
        ++forwarder.counters.retriesDenied;
        return giveUp(part, CallEnd::BudgetExhausted);
    }
    ++call.retries;
    ++forwarder.counters.retries;
    noteRepeat(forwarder, call, part, part.failure, *placement, now, actions);
    startSend(forwarder, call, partNumber, *placement, now, actions);
}

// The first send goes on; whichever answers first counts.
auto sendHedge(Forwarder &forwarder, Call &call, std::size_t partNumber, TimePoint now,
               std::vector<ForwardAction> &actions) -> void
{
    auto &part = call.parts[partNumber];
    part.hedgeAt = TimePoint::max();
    if (!call.route->idempotent || part.attempts >= call.route->maxAttempts)
        return;
    const auto placement = placeSend(forwarder.leafs, placementQuery(forwarder, call, part),
                                     forwarder.share, forwarder.random, now);
    if (!placement || placement->doubtful)
        return;
    if (!budgetAllows(forwarder, part.service, RepeatUse::Hedge, now)) {
        ++forwarder.counters.hedgesDenied;
        return;
    }
    ++call.hedges;
    ++forwarder.counters.hedges;
    noteRepeat(forwarder, call, part, RepeatReason::Slow, *placement, now, actions);
    startSend(forwarder, call, partNumber, *placement, now, actions);
}

} // namespace

auto noteFailedSend(Forwarder &forwarder, const Call &call, const Send &send, RepeatReason reason,
                    TimePoint now, std::vector<ForwardAction> &actions) -> void
{
    const auto &leaf = leafAt(forwarder.leafs, send.leaf);
    auto failed = FailedSend();
    failed.requestId = call.request->id;
    failed.service = call.parts[send.part].service;
    failed.leaf = leaf.record.id;
    failed.domain = leaf.record.domain;
    failed.reason = reason;
    failed.waited = now - send.sentAt;
    failed.leafSilence = now - leaf.lastAnswerAt;
    failed.leafCold = now < leaf.coldUntil;
    actions.emplace_back(std::move(failed));
}

auto setAlarm(Forwarder &forwarder, TimePoint at, bool ofSend, std::uint64_t id) -> void
{
    forwarder.alarms.push({at, ofSend, id});
}

auto sendDueParts(Forwarder &forwarder, Call &call, TimePoint now,
                  std::vector<ForwardAction> &actions) -> void
{
    if (call.waiting) {
        forwarder.waiting.erase(*call.waiting);
        call.waiting.reset();
    }
    for (std::size_t number = 0; number < call.parts.size(); ++number) {
        auto &part = call.parts[number];
        if (part.state != PartState::Open)
            continue;
        if (part.attempts == 0)
            sendFirst(forwarder, call, number, now, actions);
        else if (part.running.empty())
            sendAgain(forwarder, call, number, now, actions);
        else if (part.hedgeAt <= now)
            sendHedge(forwarder, call, number, now, actions);
    }
}

auto endSend(Forwarder &forwarder, const Send &send) -> void
{
    auto &leaf = leafAt(forwarder.leafs, send.leaf);
    std::erase_if(leaf.outstanding,
                  [&](const OutstandingSend &item) { return item.send == send.id; });
    const auto call = forwarder.calls.find(send.call);
    if (call != forwarder.calls.end())
        std::erase(call->second->parts[send.part].running, send.id);
}

} // namespace crocusreach::forward

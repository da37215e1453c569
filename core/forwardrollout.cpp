#include "forwardrollout.h"

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

namespace crocusreach::forward {

namespace {

auto contextOf(Forwarder &forwarder) -> RolloutContext
{
    return {&forwarder.leafs, &forwarder.random, forwarder.stateRead,
            forwarder.instanceCountKnown ? std::optional(forwarder.share.instances) : std::nullopt};
}

auto append(std::vector<RolloutAction> &&made, std::vector<ForwardAction> &actions) -> void
{
    for (auto &action : made)
        std::visit([&](auto &content) { actions.emplace_back(std::move(content)); }, action);
}

// Absent for a cold leaf, whose latency says nothing of its version.
auto latencyRatio(Forwarder &forwarder, const Send &send, TimePoint now) -> std::optional<double>
{
    if (send.sentAt < leafAt(forwarder.leafs, send.leaf).coldUntil)
        return {};
    const auto latency = now - send.sentAt - (send.opensConnection ? connectTime : Duration());
    return static_cast<double>(latency.count())
           / static_cast<double>(std::max(Duration(1), send.typicalLatency).count());
}

} // namespace

auto onRolloutEvent(Forwarder &forwarder, const RolloutsChanged &event, TimePoint now,
                    std::vector<ForwardAction> &actions) -> void
{
    // Differs between processes, since the clock advances while none runs.
    if (forwarder.rollouts.process == 0)
        forwarder.rollouts.process
                = hashPair(hashName(forwarder.settings.instance),
                           static_cast<std::uint64_t>(now.time_since_epoch().count()));
    auto made = std::vector<RolloutAction>();
    takeOrders(forwarder.rollouts, event, contextOf(forwarder), now, made);
    append(std::move(made), actions);
}

auto onRolloutEvent(Forwarder &forwarder, const RolloutReported &event, TimePoint now,
                    std::vector<ForwardAction> &actions) -> void
{
    auto made = std::vector<RolloutAction>();
    takeReport(forwarder.rollouts, event, contextOf(forwarder), now, made);
    append(std::move(made), actions);
}

auto onRolloutEvent(Forwarder &forwarder, const RolloutReplied &event, TimePoint now,
                    std::vector<ForwardAction> &actions) -> void
{
    auto made = std::vector<RolloutAction>();
    takeReply(forwarder.rollouts, event, contextOf(forwarder), now, made);
    append(std::move(made), actions);
}

auto onRolloutEvent(Forwarder &forwarder, const RolloutStatusWritten &event, TimePoint now,
                    std::vector<ForwardAction> &actions) -> void
{
    auto made = std::vector<RolloutAction>();
    takeWritten(forwarder.rollouts, event, contextOf(forwarder), now, made);
    append(std::move(made), actions);
}

auto onRolloutTick(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions) -> void
{
    auto made = std::vector<RolloutAction>();
    tickRollouts(forwarder.rollouts, contextOf(forwarder), now, made);
    append(std::move(made), actions);
}

auto onLeafVersions(Forwarder &forwarder, const LeafsRegistered &event, TimePoint now) -> void
{
    learnVersions(forwarder.rollouts, event.leafs, contextOf(forwarder), now);
}

auto placeFirstSend(Forwarder &forwarder, const PlacementQuery &query, TimePoint now)
        -> std::optional<Placement>
{
    if (allowsCanary(forwarder.rollouts, query.service, now)) {
        auto canary = query;
        canary.versionUse = VersionUse::Canary;
        const auto placement
                = placeSend(forwarder.leafs, canary, forwarder.share, forwarder.random, now);
        if (placement)
            return placement;
    }
    return placeSend(forwarder.leafs, query, forwarder.share, forwarder.random, now);
}

auto countRolloutAnswer(Forwarder &forwarder, const Send &send, const LeafAnswer &answer,
                        TimePoint now) -> void
{
    if (send.rollout.order == 0)
        return;
    static constexpr auto outcomes
            = std::to_array({SendOutcome::Succeeded, SendOutcome::Failed, SendOutcome::NotRun,
                             SendOutcome::NotReached}); // in the order of LeafAnswerKind
    const auto outcome = outcomes.at(static_cast<std::size_t>(answer.kind));
    countOutcome(forwarder.rollouts, send.rollout, outcome, latencyRatio(forwarder, send, now));
}

auto countRolloutFailure(Forwarder &forwarder, const Send &send, SendFailure failure) -> void
{
    const auto outcome
            = failure == SendFailure::NotSent ? SendOutcome::NotReached : SendOutcome::Failed;
    countOutcome(forwarder.rollouts, send.rollout, outcome, {});
}

auto countRolloutSilence(Forwarder &forwarder, const Send &send, TimePoint now) -> void
{
    if (send.rollout.order == 0)
        return;
    auto ratio = latencyRatio(forwarder, send, now);
    // How long it would have taken isn't known.
    if (ratio && *ratio <= slowLatencyFactor)
        ratio.reset();
    countOutcome(forwarder.rollouts, send.rollout, SendOutcome::Unanswered, ratio);
}

} // namespace crocusreach::forward

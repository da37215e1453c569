#pragma once

#include "forwarder.h"

#include <concepts>
#include <optional>
#include <vector>

// The forwarder's part in roll-outs: which version a request goes to, and what became of it.

namespace crocusreach::forward {

template <typename Event>
constexpr bool isRolloutEvent
        = std::same_as<
                  Event,
                  RolloutsChanged> || std::same_as<Event, RolloutReported> || std::same_as<Event, RolloutReplied> || std::same_as<Event, RolloutStatusWritten>;

auto onRolloutEvent(Forwarder &forwarder, const RolloutsChanged &event, TimePoint now,
                    std::vector<ForwardAction> &actions) -> void;
auto onRolloutEvent(Forwarder &forwarder, const RolloutReported &event, TimePoint now,
                    std::vector<ForwardAction> &actions) -> void;
auto onRolloutEvent(Forwarder &forwarder, const RolloutReplied &event, TimePoint now,
                    std::vector<ForwardAction> &actions) -> void;
auto onRolloutEvent(Forwarder &forwarder, const RolloutStatusWritten &event, TimePoint now,
                    std::vector<ForwardAction> &actions) -> void;

auto onRolloutTick(Forwarder &forwarder, TimePoint now, std::vector<ForwardAction> &actions)
        -> void;

// The entries are in the table already.
auto onLeafVersions(Forwarder &forwarder, const LeafsRegistered &event, TimePoint now) -> void;

// Places the first send of a part: at the new version of its service if that is due, else at the
// version in use. Retries and hedges go to the version in use only.
auto placeFirstSend(Forwarder &forwarder, const PlacementQuery &query, TimePoint now)
        -> std::optional<Placement>;

auto countRolloutAnswer(Forwarder &forwarder, const Send &send, const LeafAnswer &answer,
                        TimePoint now) -> void;
auto countRolloutFailure(Forwarder &forwarder, const Send &send, SendFailure failure) -> void;
// The send got no answer in its time.
auto countRolloutSilence(Forwarder &forwarder, const Send &send, TimePoint now) -> void;

} // namespace crocusreach::forward

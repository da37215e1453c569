#include "storesource.h"

#include "storecalls.h"

#include <algorithm>
#include <utility>

namespace crocusreach::forward {

namespace {

// After each relay has failed, or was asked in vain, the next round begins within this time.
constexpr Duration relayRoundPause = std::chrono::seconds(2);
// A relay that serves for less than this causes more calls to the store, by the switches, than it
// saves. If that happens in a row, the instance stays at the store for longer each time.
constexpr Duration relayTrustTime = std::chrono::seconds(5);
constexpr Duration storeStayTime = std::chrono::seconds(4);
constexpr std::uint32_t maxStayDoublings = 2;
// After a failure of its preferred relay, an instance tries it again after one to two times this
// delay. Otherwise all instances would end up at the relay that has failed least often.
constexpr Duration preferredRelayRetryDelay = std::chrono::seconds(30);
// Up to this number of instances, all of them watch the store themselves: the store can serve that
// many, and no instance depends on another one.
constexpr std::size_t storeWatcherLimit = 12;

// A relay that answers at once has answered within this time.
constexpr Duration relayReplyTime = std::chrono::milliseconds(500);

constexpr auto relayProbeIndex = static_cast<std::size_t>(Channel::RelayProbe);

auto isLargeDeployment(const StoreReader &reader) -> bool
{
    const auto &instances = reader.cache.kinds.at(static_cast<std::size_t>(ObjectKind::Instances));
    return instances.objects.size() - instances.deletedObjects > storeWatcherLimit;
}

auto preferredRelay(const StoreReader &reader) -> std::size_t
{
    return static_cast<std::size_t>(hashName(reader.settings.instance)
                                    % reader.settings.relays.size());
}

// Half of the instances go through the relays in one direction and half in the other. Otherwise a
// relay takes over all readers of a failed one.
auto relayAfter(const StoreReader &reader, std::size_t relay) -> std::size_t
{
    const auto relays = reader.settings.relays.size();
    const auto isForward = hashName(reader.settings.instance) / relays % 2 == 0;
    return (relay + (isForward ? 1 : relays - 1)) % relays;
}

// The earliest confirmation among the copies that must be recent; absent before all were read.
auto oldestConfirmation(const StoreReader &reader) -> std::optional<TimePoint>
{
    auto oldest = std::optional<TimePoint>();
    for (std::size_t index = 0; isBoundedChannel(index); ++index) {
        const auto &confirmedAt = reader.channels.at(index).confirmedAt;
        if (!confirmedAt)
            return {};
        oldest = std::min(oldest.value_or(*confirmedAt), *confirmedAt);
    }
    return oldest;
}

auto changeSource(StoreReader &reader, std::optional<std::size_t> relay, SourceChangeReason reason,
                  TimePoint now, std::vector<StoreReaderAction> &actions) -> void
{
    auto notification = StoreNotification();
    notification.kind = StoreNotificationKind::SourceChanged;
    notification.reason = reason;
    notification.formerSource = std::exchange(
            reader.source, relay ? reader.settings.relays.at(*relay) : std::string());
    notification.source = reader.source;
    notification.age = now - oldestConfirmation(reader).value_or(now);
    if (relay && !reader.relay)
        reader.relaySince = now;
    reader.relay = relay;
    reader.relayWasProbed = reason == SourceChangeReason::RelayAnswered;
    reader.preferredRelayRetryAt.reset();
    reader.probedRelay.reset();
    for (std::size_t index = 0; index < objectKindCount; ++index) {
        auto &channel = channelAt(reader, index);
        channel.sourceAnswered = false;
        // They say nothing of the new source.
        channel.failures = 0;
        channel.retryDelay = {};
    }
    restartObjectCalls(reader, now, actions);
    actions.emplace_back(std::move(notification));
}

auto switchToRelay(StoreReader &reader, std::size_t relay, SourceChangeReason reason, TimePoint now,
                   std::vector<StoreReaderAction> &actions) -> void
{
    changeSource(reader, relay, reason, now, actions);
    if (relay != preferredRelay(reader))
        reader.preferredRelayRetryAt = now + withJitter(reader, 2 * preferredRelayRetryDelay);
}

auto probeRelay(StoreReader &reader, std::size_t relay, TimePoint now,
                std::vector<StoreReaderAction> &actions) -> void
{
    reader.probedRelay = relay;
    startCall(reader, relayProbeIndex, now, actions);
}

auto isProbingRelay(const StoreReader &reader) -> bool
{
    return reader.channels.at(relayProbeIndex).running;
}

// A relay that is asked has answered by then, or has failed.
auto relayAnswerTime(const StoreReader &reader) -> Duration
{
    return reader.limits.relayWait + relayReplyTime;
}

// When the copy that is read through a relay is too old.
auto refreshDueAt(const StoreReader &reader) -> std::optional<TimePoint>
{
    const auto oldest = oldestConfirmation(reader);
    if (!reader.relay || !reader.stateRead || !oldest)
        return {};
    const auto dueAt = *oldest + reader.limits.refresh;
    // A copy that was too old already when the store was left, since that refused, is confirmed by
    // the first answers of the relay.
    return dueAt > reader.relaySince ? dueAt : reader.relaySince + relayReplyTime;
}

// How long the store is watched before a relay is asked again.
auto storeStay(StoreReader &reader, TimePoint now) -> Duration
{
    const auto served = reader.relay ? now - reader.relaySince : relayTrustTime;
    if (served >= relayTrustTime) {
        reader.shortRelayStays = 0;
        const auto allFailed = reader.failedRelays >= reader.settings.relays.size();
        return allFailed ? withJitter(reader, relayRoundPause) : Duration();
    }
    const auto doublings = std::min(reader.shortRelayStays++, maxStayDoublings);
    return withJitter(reader, storeStayTime * (1U << doublings));
}

// Asks the relays in turn, one at a time, until one shows a recent copy.
auto considerRelays(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void
{
    if (!wantsRelay(reader) || now < reader.storeStayUntil || isProbingRelay(reader))
        return;
    if (!reader.relayMustAnswer)
        return switchToPreferredRelay(reader, SourceChangeReason::ManyInstances, now, actions);
    probeRelay(reader, reader.nextCandidate % reader.settings.relays.size(), now, actions);
}

auto retryPreferredRelay(StoreReader &reader, TimePoint now,
                         std::vector<StoreReaderAction> &actions) -> void
{
    if (!reader.preferredRelayRetryAt || now < *reader.preferredRelayRetryAt
        || isProbingRelay(reader))
        return;
    reader.preferredRelayRetryAt.reset();
    probeRelay(reader, preferredRelay(reader), now, actions);
}

// A relay that was asked failed or has too old a copy.
auto rejectCandidate(StoreReader &reader, std::size_t relay, TimePoint now) -> void
{
    if (reader.relay) {
        reader.preferredRelayRetryAt = now + withJitter(reader, 2 * preferredRelayRetryDelay);
        return;
    }
    reader.nextCandidate = relayAfter(reader, relay);
    if (++reader.failedCandidates < reader.settings.relays.size())
        return;
    reader.failedCandidates = 0;
    reader.storeStayUntil = now + withJitter(reader, relayRoundPause);
}

} // namespace

auto canUseRelays(const StoreReader &reader) -> bool
{
    return !reader.settings.isRelay && !reader.settings.relays.empty();
}

auto wantsRelay(const StoreReader &reader) -> bool
{
    return !reader.relay && canUseRelays(reader) && reader.stateRead && isLargeDeployment(reader);
}

auto switchToPreferredRelay(StoreReader &reader, SourceChangeReason reason, TimePoint now,
                            std::vector<StoreReaderAction> &actions) -> void
{
    reader.failedRelays = 0;
    switchToRelay(reader, preferredRelay(reader), reason, now, actions);
}

auto switchToNextRelay(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void
{
    constexpr auto reason = SourceChangeReason::SourceFailed;
    if (++reader.failedRelays >= reader.settings.relays.size())
        return switchToStore(reader, reason, now, actions);
    switchToRelay(reader, relayAfter(reader, *reader.relay), reason, now, actions);
}

auto switchToStore(StoreReader &reader, SourceChangeReason reason, TimePoint now,
                   std::vector<StoreReaderAction> &actions) -> void
{
    if (canUseRelays(reader)) {
        reader.relayMustAnswer = true;
        reader.failedCandidates = 0;
        reader.nextCandidate = relayAfter(reader, reader.relay.value_or(0));
        reader.storeStayUntil = now + storeStay(reader, now);
    }
    changeSource(reader, {}, reason, now, actions);
}

auto reconsiderSource(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void
{
    const auto dueAt = refreshDueAt(reader);
    if (dueAt && *dueAt <= now)
        switchToStore(reader, SourceChangeReason::CopyTooOld, now, actions);
    considerRelays(reader, now, actions);
    retryPreferredRelay(reader, now, actions);
}

auto onStoreRefused(StoreReader &reader, std::size_t index, TimePoint now,
                    std::vector<StoreReaderAction> &actions) -> void
{
    const auto oldest = oldestConfirmation(reader);
    if (!canUseRelays(reader) || reader.relay || !reader.stateRead || !oldest)
        return;
    const auto dueAt = *oldest + reader.limits.refresh;
    auto &channel = channelAt(reader, index);
    if (channel.callAt)
        channel.callAt = std::max(*channel.callAt, std::min(dueAt, now + relayAnswerTime(reader)));
    if (!isProbingRelay(reader))
        probeRelay(reader, reader.nextCandidate % reader.settings.relays.size(), now, actions);
}

auto onRelayProbed(StoreReader &reader, std::optional<Duration> storeAge, TimePoint now,
                   std::vector<StoreReaderAction> &actions) -> void
{
    channelAt(reader, relayProbeIndex).running = false;
    // The source was changed meanwhile, or the process was paused.
    if (!reader.probedRelay)
        return;
    const auto relay = *std::exchange(reader.probedRelay, std::nullopt);
    if (!storeAge || *storeAge > reader.limits.relayCopy)
        return rejectCandidate(reader, relay, now);
    reader.failedRelays = 0;
    switchToRelay(reader, relay, SourceChangeReason::RelayAnswered, now, actions);
}

auto nextSourceTickAt(const StoreReader &reader) -> std::optional<TimePoint>
{
    auto wake = refreshDueAt(reader);
    if (isProbingRelay(reader))
        return wake;
    if (wantsRelay(reader))
        wake = std::min(wake.value_or(TimePoint::max()), reader.storeStayUntil);
    if (reader.preferredRelayRetryAt)
        wake = std::min(wake.value_or(TimePoint::max()), *reader.preferredRelayRetryAt);
    return wake;
}

} // namespace crocusreach::forward

#include "storecalls.h"

#include "relayhistory.h"

#include <algorithm>

namespace crocusreach::forward {

namespace {

constexpr Duration boundedReplyTimeout = std::chrono::milliseconds(800);
// For the list of instances, which changes seldom and may be older.
constexpr Duration unboundedWatchWait = std::chrono::seconds(25);
// A watch asks the store to reply at once after a failure or a switch to the store: the reply shows
// that the store is there and confirms the copy.
constexpr Duration recoveryWatchWait = std::chrono::milliseconds(1);
constexpr Duration relayReplyTimeout = std::chrono::milliseconds(500);
// A relay that no other instance has called before has a reply of the store within this time.
constexpr Duration minRelayWait = std::chrono::milliseconds(150);
constexpr Duration probeTimeout = std::chrono::milliseconds(600);
// The store replies within milliseconds, or within some hundred milliseconds when it is slow. The
// timeout of a list doubles with each failure.
constexpr Duration minCallTimeout = std::chrono::milliseconds(500);
constexpr Duration maxCallTimeout = std::chrono::milliseconds(2500);

auto listTimeout(const ChannelState &channel) -> Duration
{
    constexpr std::uint32_t maxBackoffDoublings = 3;
    return std::min(maxCallTimeout,
                    minCallTimeout * (1U << std::min(channel.failures, maxBackoffDoublings)));
}

// Asks for any kind, since a relay states how old its copy is with each reply.
auto makeRelayProbe(const StoreReader &reader) -> StoreCall
{
    constexpr auto kind = ObjectKind::Routes;
    // A relay that no other instance has called yet needs the full time to get a reply from the
    // store itself.
    const auto maxWait = reader.limits.relayWait;
    const auto revision = reader.cache.kinds.at(static_cast<std::size_t>(kind)).revision;
    return {Channel::RelayProbe, reader.settings.relays.at(*reader.probedRelay),
            WatchObjects{kind, revision, maxWait}, maxWait + relayReplyTimeout};
}

// The store confirms the copy at this interval, also if the watch begins some time after the latest
// confirmation.
auto boundedStoreWait(const StoreReader &reader, const ChannelState &channel) -> Duration
{
    const auto interval = reader.limits.storeWait;
    const auto age = channel.callStartedAt - channel.confirmedAt.value_or(channel.callStartedAt);
    return std::clamp(interval - age, interval / 2, interval);
}

// A relay that is asked after another one has failed answers before the copy is so old that the
// store has to be asked.
auto firstRelayWait(const StoreReader &reader, const ChannelState &channel) -> Duration
{
    const auto age = channel.callStartedAt - channel.confirmedAt.value_or(channel.callStartedAt);
    return std::clamp(reader.limits.refresh - relayReplyTimeout - age, minRelayWait,
                      reader.limits.relayWait);
}

auto makeObjectCall(const StoreReader &reader, std::size_t index) -> StoreCall
{
    const auto &channel = reader.channels.at(index);
    const auto kind = static_cast<ObjectKind>(index);
    auto call = StoreCall{static_cast<Channel>(index), reader.source, {}, listTimeout(channel)};
    if (!channel.listed) {
        call.request = ListObjects{kind, channel.continueAfter};
        return call;
    }
    const auto isBounded = isBoundedChannel(index);
    const auto storeWait = isBounded ? boundedStoreWait(reader, channel) : unboundedWatchWait;
    const auto isFirst = isBounded && !channel.sourceAnswered;
    const auto isUnsure = channel.failures > 0 || isFirst;
    // A relay that no other instance has called yet needs the full time to get a reply from the
    // store itself.
    const auto relayCanAnswer = reader.relayWasProbed && isFirst;
    const auto asksAtOnce = channel.unconfirmedSincePause || channel.readsHistory
                            || (reader.relay ? relayCanAnswer : isUnsure);
    const auto relayWait = isFirst ? firstRelayWait(reader, channel) : reader.limits.relayWait;
    const auto usualWait = reader.relay ? relayWait : storeWait;
    const auto maxWait = asksAtOnce ? recoveryWatchWait : usualWait;
    call.request = WatchObjects{kind, watchedRevision(reader, index), maxWait};
    const auto usualTimeout = isBounded ? boundedReplyTimeout : maxCallTimeout;
    const auto storeTimeout = isUnsure ? listTimeout(channel) : usualTimeout;
    call.timeout = maxWait + (reader.relay ? relayReplyTimeout : storeTimeout);
    return call;
}

// Where messages of others need this instance's entry, a call that a silent store leaves open is
// given up as soon as one for a list.
auto registrationTimeout(const StoreReader &reader) -> Duration
{
    const auto &channel = reader.channels.at(static_cast<std::size_t>(Channel::Register));
    return reader.settings.peerAddress.empty() ? maxCallTimeout : listTimeout(channel);
}

auto makeCall(const StoreReader &reader, std::size_t index) -> StoreCall
{
    if (isObjectChannel(index))
        return makeObjectCall(reader, index);
    const auto channel = static_cast<Channel>(index);
    if (channel == Channel::RelayProbe)
        return makeRelayProbe(reader);
    if (channel == Channel::Register)
        return {channel,
                {},
                RegisterInstance{reader.settings.instance, reader.settings.peerAddress,
                                 reader.outdatedRegistration},
                registrationTimeout(reader)};
    return {channel, {}, ProbeStore(), probeTimeout};
}

} // namespace

auto channelAt(StoreReader &reader, std::size_t index) -> ChannelState &
{
    return reader.channels.at(index);
}

auto kindCache(StoreReader &reader, std::size_t index) -> KindCache &
{
    return reader.cache.kinds.at(index);
}

auto isObjectChannel(std::size_t index) -> bool
{
    return index < objectKindCount;
}

auto isBoundedChannel(std::size_t index) -> bool
{
    return index < static_cast<std::size_t>(Channel::Instances);
}

auto isRead(const StoreReader &reader, std::size_t index) -> bool
{
    return static_cast<Channel>(index) != Channel::Rollouts || reader.settings.readsRollouts;
}

auto startCall(StoreReader &reader, std::size_t index, TimePoint now,
               std::vector<StoreReaderAction> &actions) -> void
{
    auto &channel = channelAt(reader, index);
    channel.running = true;
    channel.callAt.reset();
    channel.callStartedAt = now;
    auto call = makeCall(reader, index);
    channel.isListing = std::holds_alternative<ListObjects>(call.request);
    actions.emplace_back(std::move(call));
}

auto scheduleCall(ChannelState &channel, TimePoint at) -> void
{
    channel.running = false;
    channel.callAt = at;
}

auto resetListing(StoreReader &reader, std::size_t index) -> void
{
    channelAt(reader, index).listed = false;
    channelAt(reader, index).continueAfter.clear();
    kindCache(reader, index).listedNames.clear();
}

auto restartObjectCalls(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void
{
    actions.emplace_back(CancelObjectCalls());
    for (std::size_t index = 0; index < objectKindCount; ++index) {
        if (!isRead(reader, index))
            continue;
        auto &channel = channelAt(reader, index);
        if (!channel.listed)
            resetListing(reader, index);
        channel.blocked = false;
        startCall(reader, index, now, actions);
    }
}

auto withJitter(StoreReader &reader, Duration delay) -> Duration
{
    const auto part = nextRandom(reader.random) % static_cast<std::uint64_t>(delay.count());
    return delay / 2 + Duration(static_cast<Duration::rep>(part / 2));
}

} // namespace crocusreach::forward

#include "storereader.h"

#include <algorithm>
#include <set>
#include <utility>

namespace crocusreach::forward {

namespace {

// The store ends a watch without a change after this time. A watch may hear nothing though changes
// are made, without a sign, if it begins while the store drops its history. Changes of the kinds
// that requests depend on must be in force within 3 s: the wait, the time for the reply and a
// retry.
constexpr Duration boundedWatchWait = std::chrono::milliseconds(1800);
constexpr Duration boundedReplyTimeout = std::chrono::milliseconds(800);
// A copy that is older than this may lack a change that must be in force.
constexpr Duration maxCopyAge = std::chrono::seconds(3);
// A watch that works confirms its copy this often at the least, also the first one.
constexpr Duration longestConfirmation = std::chrono::milliseconds(4000);
// For the list of instances, which changes seldom and may be older.
constexpr Duration unboundedWatchWait = std::chrono::seconds(25);
// After a failure, a watch asks the store to reply at once: the reply shows that the store is back,
// and the other channels continue.
constexpr Duration recoveryWatchWait = std::chrono::milliseconds(1);
// A relay replies at least this often, so that its failure is found in time: changes must be in
// force within 3 s, and the store is read within milliseconds after the failure is found.
constexpr Duration relayWatchWait = std::chrono::milliseconds(900);
constexpr Duration relayReplyTimeout = std::chrono::milliseconds(500);
// Replies of a relay are rejected as stale if its latest reply from the store is older than this.
constexpr Duration maxStoreAge = std::chrono::milliseconds(1700);
// While other instances read from this one, it probes the store at this interval.
constexpr Duration probeInterval = std::chrono::milliseconds(1000);
constexpr Duration probeTimeout = std::chrono::milliseconds(600);
// Probing stops this long after the latest call of another instance.
constexpr Duration relayIdleTimeout = std::chrono::seconds(5);
// After all relays have failed, the store is watched for this time.
constexpr Duration storeFallbackTime = std::chrono::seconds(4);
// After a failure of its preferred relay, an instance tries it again after one to two times this
// delay. Otherwise all instances would end up at the relay that has failed least often.
constexpr Duration preferredRelayRetryDelay = std::chrono::seconds(30);
// Up to this number of instances, all of them watch the store themselves: the store can serve that
// many, and no instance depends on another one.
constexpr std::size_t storeWatcherLimit = 12;
// An instance that may use a relay first learns how many instances there are, before it watches the
// store. Instances that start together have registered by then.
constexpr Duration firstInstanceWatchDelay = std::chrono::milliseconds(1000);
constexpr Duration firstWatchDelay = std::chrono::milliseconds(1400);
// Changes often come in bursts. After a change, the next watch starts this much later, so that it
// returns the rest of the burst in one reply.
constexpr Duration watchBatchDelay = std::chrono::milliseconds(300);
// The store replies within milliseconds, or within some hundred milliseconds when it is slow. The
// timeout of a list doubles with each failure.
constexpr Duration minCallTimeout = std::chrono::milliseconds(500);
constexpr Duration maxCallTimeout = std::chrono::milliseconds(2500);
// Delays before a retry. All instances share the store's rate limits.
constexpr Duration minRetryDelay = std::chrono::milliseconds(200);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(1600);
// Shorter until the state has been read once, since no request can be served before.
constexpr Duration maxInitialRetryDelay = std::chrono::milliseconds(300);
// For this long after a failure of the store, missing entries may have expired although their leafs
// are alive.
constexpr Duration entryExpiryWindow = std::chrono::seconds(6);

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

auto sourceAddress(const StoreReader &reader) -> std::string
{
    return reader.relay ? reader.settings.relays.at(*reader.relay) : std::string();
}

auto listTimeout(const ChannelState &channel) -> Duration
{
    constexpr std::uint32_t maxBackoffDoublings = 3;
    return std::min(maxCallTimeout,
                    minCallTimeout * (1U << std::min(channel.failures, maxBackoffDoublings)));
}

auto makeCall(const StoreReader &reader, std::size_t index) -> StoreCall
{
    const auto &channel = reader.channels.at(index);
    auto call = StoreCall{static_cast<Channel>(index), {}, ProbeStore(), probeTimeout};
    if (call.channel == Channel::Register) {
        call.request = RegisterInstance{reader.settings.instance};
        call.timeout = maxCallTimeout;
    }
    if (!isObjectChannel(index))
        return call;
    call.address = sourceAddress(reader);
    const auto kind = static_cast<ObjectKind>(index);
    const auto isBounded = kind != ObjectKind::Instances;
    const auto storeWatchWait = isBounded ? boundedWatchWait : unboundedWatchWait;
    const auto usualWait = reader.relay ? relayWatchWait : storeWatchWait;
    // A relay that no other instance has called yet needs the full time to get a reply from the
    // store itself.
    const auto asksAtOnce
            = (channel.failures > 0 && !reader.relay) || channel.unconfirmedSincePause;
    const auto maxWait = asksAtOnce ? recoveryWatchWait : usualWait;
    if (!channel.listed) {
        call.request = ListObjects{kind, channel.continueAfter};
        call.timeout = listTimeout(channel);
    } else {
        call.request = WatchObjects{kind, reader.cache.kinds.at(index).revision, maxWait};
        const auto usualTimeout = isBounded ? boundedReplyTimeout : maxCallTimeout;
        const auto timeout = channel.failures > 0 ? listTimeout(channel) : usualTimeout;
        call.timeout = maxWait + (reader.relay ? relayReplyTimeout : timeout);
    }
    return call;
}

auto startCall(StoreReader &reader, std::size_t index, TimePoint now,
               std::vector<StoreReaderAction> &actions) -> void
{
    auto &channel = channelAt(reader, index);
    channel.running = true;
    channel.callAt.reset();
    channel.callStartedAt = now;
    actions.emplace_back(makeCall(reader, index));
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

// Cancels all object calls and restarts them at the current source. Watches continue from the known
// revision, since all sources use the store's revisions.
auto restartObjectCalls(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void
{
    actions.emplace_back(CancelObjectCalls());
    actions.emplace_back(
            StoreNotification{StoreNotificationKind::SourceChanged, {}, {}, sourceAddress(reader)});
    for (std::size_t index = 0; index < objectKindCount; ++index) {
        auto &channel = channelAt(reader, index);
        if (!channel.listed)
            resetListing(reader, index);
        channel.blocked = false;
        startCall(reader, index, now, actions);
    }
}

auto switchToStore(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void
{
    reader.relay.reset();
    reader.preferredRelayRetryAt.reset();
    reader.storeFallbackUntil = now + storeFallbackTime;
    restartObjectCalls(reader, now, actions);
}

auto preferredRelay(const StoreReader &reader) -> std::size_t
{
    // Spreads the instances over the relays.
    return static_cast<std::size_t>(hashName(reader.settings.instance)
                                    % reader.settings.relays.size());
}

// A random time between half of the delay and all of it.
auto withJitter(StoreReader &reader, Duration delay) -> Duration
{
    const auto part = nextRandom(reader.random) % static_cast<std::uint64_t>(delay.count());
    return delay / 2 + Duration(static_cast<Duration::rep>(part / 2));
}

auto switchToRelay(StoreReader &reader, std::size_t relay, TimePoint now,
                   std::vector<StoreReaderAction> &actions) -> void
{
    reader.relay = relay;
    reader.preferredRelayRetryAt.reset();
    if (relay != preferredRelay(reader))
        reader.preferredRelayRetryAt = now + withJitter(reader, 2 * preferredRelayRetryDelay);
    restartObjectCalls(reader, now, actions);
}

// Switches to the next relay, or to the store once all relays have failed in a row.
auto switchToNextRelay(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void
{
    if (++reader.failedRelays >= reader.settings.relays.size())
        return switchToStore(reader, now, actions);
    switchToRelay(reader, (*reader.relay + 1) % reader.settings.relays.size(), now, actions);
}

auto isLargeDeployment(const StoreReader &reader) -> bool
{
    const auto &instances = reader.cache.kinds.at(static_cast<std::size_t>(ObjectKind::Instances));
    return instances.objects.size() - instances.deletedObjects > storeWatcherLimit;
}

auto canUseRelays(const StoreReader &reader) -> bool
{
    return !reader.settings.isRelay && !reader.settings.relays.empty();
}

// Switches from the store to a relay if the deployment is large, the state has been read, and the
// fallback to the store after a failure of all relays is over.
auto considerRelays(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void
{
    if (reader.relay || !canUseRelays(reader) || !reader.stateRead || !isLargeDeployment(reader)
        || now < reader.storeFallbackUntil)
        return;
    reader.failedRelays = 0;
    switchToRelay(reader, preferredRelay(reader), now, actions);
}

auto retryPreferredRelay(StoreReader &reader, TimePoint now,
                         std::vector<StoreReaderAction> &actions) -> void
{
    if (reader.preferredRelayRetryAt && now >= *reader.preferredRelayRetryAt)
        switchToRelay(reader, preferredRelay(reader), now, actions);
}

// While the store doesn't answer, only one channel at a time retries. Blocks the failed channel if
// one before it is retrying already.
auto blockBehindFailedChannel(StoreReader &reader, std::size_t failed) -> void
{
    for (std::size_t index = 0; index < failed; ++index) {
        const auto &other = channelAt(reader, index);
        if (other.failures > 0 && !other.blocked) {
            channelAt(reader, failed).blocked = true;
            channelAt(reader, failed).callAt.reset();
            return;
        }
    }
}

auto unblockChannels(StoreReader &reader, TimePoint now) -> void
{
    for (auto &channel : reader.channels) {
        if (std::exchange(channel.blocked, false) && !channel.running)
            channel.callAt = now;
    }
}

auto recordSuccess(StoreReader &reader, std::size_t index, TimePoint now,
                   std::vector<StoreReaderAction> &actions) -> void
{
    auto &channel = channelAt(reader, index);
    channel.retryDelay = {};
    channel.failures = 0;
    if (!reader.relay || !isObjectChannel(index)) {
        reader.storeConfirmedAt
                = std::max(reader.storeConfirmedAt.value_or(TimePoint()), channel.callStartedAt);
        unblockChannels(reader, now);
    }
    if (reader.relay && isObjectChannel(index))
        reader.failedRelays = 0;
    if (std::exchange(channel.failureReported, false))
        actions.emplace_back(StoreNotification{StoreNotificationKind::Reachable,
                                               static_cast<Channel>(index),
                                               {},
                                               sourceAddress(reader)});
}

// The changes of one reply. It may hold several changes of one object, of which the last one
// counts.
struct ChangeSet
{
    std::set<std::string, std::less<>> names; // of changed objects
    std::vector<RouteTablePtr> tables;
};

auto addChange(const StoredObject &object, ChangeSet &changes,
               std::vector<StoreReaderAction> &actions) -> void
{
    changes.names.insert(object.name);
    if (object.deleted)
        return;
    if (const auto *unusable = std::get_if<UnusableObject>(&object.content))
        actions.emplace_back(ObjectRejected{object.name, unusable->error});
    else if (const auto *table = std::get_if<RouteTablePtr>(&object.content))
        changes.tables.push_back(*table);
}

// The leaf of an entry; null if the entry is absent, deleted or unusable.
auto findLeafRecord(const KindCache &cache, std::string_view name) -> const LeafRecord *
{
    const auto found = cache.objects.find(name);
    if (found == cache.objects.end() || found->second.object.deleted)
        return nullptr;
    return std::get_if<LeafRecord>(&found->second.object.content);
}

auto publishLeafs(const KindCache &cache, const ChangeSet &changes, bool registryWasUnavailable,
                  std::vector<StoreReaderAction> &actions) -> void
{
    auto registered = LeafsRegistered();
    auto removed = LeafsRemoved{{}, registryWasUnavailable};
    for (const auto &name : changes.names) {
        if (const auto *const leaf = findLeafRecord(cache, name))
            registered.leafs.push_back(*leaf);
        else
            removed.ids.push_back(name);
    }
    if (!registered.leafs.empty())
        actions.emplace_back(ForwardEvent(std::move(registered)));
    if (!removed.ids.empty())
        actions.emplace_back(ForwardEvent(std::move(removed)));
}

auto evacuatedDomains(const KindCache &cache) -> DomainsEvacuated
{
    auto evacuated = DomainsEvacuated();
    for (const auto *object : liveObjects(cache))
        evacuated.domains.insert(object->name);
    return evacuated;
}

auto publishChanges(StoreReader &reader, ObjectKind kind, ChangeSet &&changes, TimePoint now,
                    std::vector<StoreReaderAction> &actions) -> void
{
    if (changes.names.empty())
        return;
    const auto &cache = kindCache(reader, static_cast<std::size_t>(kind));
    if (kind == ObjectKind::Evacuations)
        actions.emplace_back(ForwardEvent(evacuatedDomains(cache)));
    if (kind == ObjectKind::Instances)
        actions.emplace_back(ForwardEvent(InstancesCounted{
                static_cast<std::uint32_t>(cache.objects.size() - cache.deletedObjects)}));
    for (auto &table : changes.tables)
        actions.emplace_back(ForwardEvent(RoutesChanged{std::move(table)}));
    const auto wasAway = reader.storeFailedAt && now - *reader.storeFailedAt < entryExpiryWindow;
    if (kind == ObjectKind::Leafs)
        publishLeafs(cache, changes, wasAway, actions);
}

auto onListCompleted(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void
{
    if (!reader.stateRead && hasReadState(reader)) {
        reader.stateRead = true;
        actions.emplace_back(ForwardEvent(StateRead()));
    }
    considerRelays(reader, now, actions);
}

auto onReply(StoreReader &reader, std::size_t index, const ObjectsListed &listed, TimePoint now,
             std::vector<StoreReaderAction> &actions) -> void
{
    auto &channel = channelAt(reader, index);
    auto &cache = kindCache(reader, index);
    auto changes = ChangeSet();
    // A list of several pages has the revision of the first one.
    if (channel.continueAfter.empty())
        channel.listRevision = listed.revision;
    for (const auto &object : listed.objects) {
        cache.listedNames.insert(object.name);
        if (updateObject(cache, object, channel.listRevision))
            addChange(object, changes, actions);
    }
    channel.continueAfter = listed.continueAfter;
    if (channel.continueAfter.empty()) {
        for (auto &name : finishList(cache, channel.listRevision))
            changes.names.insert(std::move(name));
        channel.listed = true;
    }
    publishChanges(reader, static_cast<ObjectKind>(index), std::move(changes), now, actions);
    if (!channel.listed || reader.relay || !canUseRelays(reader))
        scheduleCall(channel, now);
    else if (static_cast<ObjectKind>(index) == ObjectKind::Instances)
        scheduleCall(channel, now + firstInstanceWatchDelay);
    else
        scheduleCall(channel, now + firstWatchDelay);
    if (channel.listed)
        onListCompleted(reader, now, actions);
}

auto onReply(StoreReader &reader, std::size_t index, const ObjectsChanged &changed, TimePoint now,
             std::vector<StoreReaderAction> &actions) -> void
{
    auto &cache = kindCache(reader, index);
    auto changes = ChangeSet();
    for (const auto &object : changed.objects) {
        if (updateObject(cache, object, changed.revision))
            addChange(object, changes, actions);
    }
    cache.revision = std::max(cache.revision, changed.revision);
    publishChanges(reader, static_cast<ObjectKind>(index), std::move(changes), now, actions);
    // The next call starts with a later tick, so that it goes to the source chosen here.
    scheduleCall(channelAt(reader, index), changed.objects.empty() ? now : now + watchBatchDelay);
    considerRelays(reader, now, actions);
}

auto onReply(StoreReader &reader, std::size_t index, const RevisionCompacted & /*compacted*/,
             TimePoint now, std::vector<StoreReaderAction> &actions) -> void
{
    resetListing(reader, index);
    startCall(reader, index, now, actions);
}

auto onReply(StoreReader &reader, std::size_t index, const CallSucceeded & /*succeeded*/,
             TimePoint now, std::vector<StoreReaderAction> & /*actions*/) -> void
{
    auto &channel = channelAt(reader, index);
    channel.running = false;
    if (static_cast<Channel>(index) == Channel::Probe)
        channel.callAt = now + probeInterval;
}

auto onReply(StoreReader &reader, std::size_t index, const CallFailed &failed, TimePoint now,
             std::vector<StoreReaderAction> &actions) -> void
{
    auto &channel = channelAt(reader, index);
    ++channel.failures;
    if (!std::exchange(channel.failureReported, true))
        actions.emplace_back(StoreNotification{StoreNotificationKind::Unreachable,
                                               static_cast<Channel>(index), failed.failure,
                                               sourceAddress(reader)});
    if (reader.relay && isObjectChannel(index))
        return switchToNextRelay(reader, now, actions);
    reader.storeFailedAt = now;
    if (!reader.stateRead)
        actions.emplace_back(ForwardEvent(StateUnavailable()));
    // A list in progress starts over, since its first pages are outdated by now.
    if (isObjectChannel(index) && !channel.listed)
        resetListing(reader, index);
    const auto maxDelay = reader.stateRead ? maxRetryDelay : maxInitialRetryDelay;
    channel.retryDelay = std::clamp(channel.retryDelay * 2, minRetryDelay, maxDelay);
    // The jitter keeps instances from retrying at the same time.
    scheduleCall(channel, now + withJitter(reader, channel.retryDelay));
    blockBehindFailedChannel(reader, index);
    // An instance that starts while the store is unreachable reads from a relay.
    if (!reader.stateRead && canUseRelays(reader) && !reader.relay
        && now >= reader.storeFallbackUntil) {
        reader.failedRelays = 0;
        switchToRelay(reader, preferredRelay(reader), now, actions);
    }
}

// The channels whose copies must be recent: those that requests depend on.
auto isBoundedChannel(std::size_t index) -> bool
{
    return index < static_cast<std::size_t>(Channel::Instances);
}

auto isConfirmedSincePause(const StoreReader &reader) -> bool
{
    return std::none_of(reader.channels.begin(), reader.channels.end(),
                        [](const ChannelState &channel) { return channel.unconfirmedSincePause; });
}

auto recordConfirmation(StoreReader &reader, std::size_t index, TimePoint confirmedAt,
                        TimePoint now, std::vector<StoreReaderAction> &actions) -> void
{
    auto &channel = channelAt(reader, index);
    if (std::exchange(channel.unconfirmedSincePause, false) && isConfirmedSincePause(reader))
        actions.emplace_back(ForwardEvent(StateConfirmed()));
    if (std::exchange(channel.outdatedReported, false))
        actions.emplace_back(StoreNotification{StoreNotificationKind::CopyConfirmed,
                                               static_cast<Channel>(index),
                                               {},
                                               sourceAddress(reader),
                                               now - *channel.confirmedAt});
    channel.confirmedAt = confirmedAt;
    if (static_cast<Channel>(index) == Channel::Routes)
        actions.emplace_back(ForwardEvent(RoutesConfirmed{confirmedAt}));
}

// When the copy of a channel counts as outdated unless it is confirmed; nothing if it does already,
// has not been read yet, or may be older.
auto outdatedAt(const StoreReader &reader, std::size_t index) -> std::optional<TimePoint>
{
    const auto &channel = reader.channels.at(index);
    if (!isBoundedChannel(index) || !channel.confirmedAt || channel.outdatedReported)
        return {};
    return *channel.confirmedAt + maxCopyAge;
}

auto reportOutdatedCopies(StoreReader &reader, TimePoint now,
                          std::vector<StoreReaderAction> &actions) -> void
{
    for (std::size_t index = 0; index < storeChannelCount; ++index) {
        const auto at = outdatedAt(reader, index);
        if (!at || now < *at)
            continue;
        auto &channel = channelAt(reader, index);
        channel.outdatedReported = true;
        actions.emplace_back(StoreNotification{StoreNotificationKind::CopyOutdated,
                                               static_cast<Channel>(index),
                                               {},
                                               sourceAddress(reader),
                                               now - *channel.confirmedAt});
    }
}

auto onEvent(StoreReader &reader, const StoreReply &reply, TimePoint now,
             std::vector<StoreReaderAction> &actions) -> void
{
    const auto index = static_cast<std::size_t>(reply.channel);
    const auto failed = std::holds_alternative<CallFailed>(reply.content);
    const auto stale = reader.relay && isObjectChannel(index) && !failed
                       && reply.storeAge.value_or(Duration::max()) > maxStoreAge;
    if (stale)
        return onReply(reader, index, CallFailed{StoreFailure::Stale}, now, actions);
    if (!failed)
        recordSuccess(reader, index, now, actions);
    const auto isWatchReply = std::holds_alternative<ObjectsChanged>(reply.content);
    const auto hasObjects = isWatchReply || std::holds_alternative<ObjectsListed>(reply.content);
    // A watch is answered at the moment of its reply, a list at any time during the call.
    const auto confirmedAt = (isWatchReply ? now : channelAt(reader, index).callStartedAt)
                             - reply.storeAge.value_or(Duration());
    std::visit([&](const auto &content) { onReply(reader, index, content, now, actions); },
               reply.content);
    if (hasObjects)
        recordConfirmation(reader, index, confirmedAt, now, actions);
}

// Asks the source for all changes at once. Replies that came during the pause are dropped, since
// their age isn't known.
auto onEvent(StoreReader &reader, const ReaderResumed & /*resumed*/, TimePoint now,
             std::vector<StoreReaderAction> &actions) -> void
{
    actions.emplace_back(CancelObjectCalls());
    for (std::size_t index = 0; index < objectKindCount; ++index) {
        auto &channel = channelAt(reader, index);
        channel.unconfirmedSincePause = isBoundedChannel(index) && channel.confirmedAt.has_value();
        if (!channel.listed)
            resetListing(reader, index);
        channel.blocked = false;
        startCall(reader, index, now, actions);
    }
    if (reader.stateRead)
        actions.emplace_back(ForwardEvent(StateUnconfirmed()));
}

auto onEvent(StoreReader &reader, const StoreReaderTick & /*tick*/, TimePoint now,
             std::vector<StoreReaderAction> &actions) -> void
{
    considerRelays(reader, now, actions);
    retryPreferredRelay(reader, now, actions);
    reportOutdatedCopies(reader, now, actions);
    for (std::size_t index = 0; index < storeChannelCount; ++index) {
        auto &channel = channelAt(reader, index);
        if (!channel.callAt || now < *channel.callAt)
            continue;
        const auto idleProbe
                = static_cast<Channel>(index) == Channel::Probe
                  && (!reader.lastRelayCallAt || now - *reader.lastRelayCallAt > relayIdleTimeout);
        if (idleProbe)
            channel.callAt.reset();
        else
            startCall(reader, index, now, actions);
    }
}

} // namespace

auto toString(StoreFailure failure) -> std::string_view
{
    static constexpr auto names
            = std::to_array<std::string_view>({"unreachable", "refused", "invalid", "stale"});
    return names.at(static_cast<std::size_t>(failure));
}

auto toString(Channel channel) -> std::string_view
{
    static constexpr auto names = std::to_array<std::string_view>(
            {"routes", "evacuations", "leafs", "instances", "register", "probe"});
    return names.at(static_cast<std::size_t>(channel));
}

auto startReading(StoreReader &reader, const StoreReaderSettings &settings, TimePoint now,
                  std::vector<StoreReaderAction> &actions) -> void
{
    reader.settings = settings;
    reader.random.value = hashName(settings.instance) | 1U;
    for (std::size_t index = 0; index < storeChannelCount; ++index) {
        if (static_cast<Channel>(index) != Channel::Probe)
            startCall(reader, index, now, actions);
    }
}

auto changeSettings(StoreReader &reader, const StoreReaderSettings &settings, TimePoint now,
                    std::vector<StoreReaderAction> &actions) -> void
{
    const auto former = sourceAddress(reader);
    reader.settings = settings;
    if (!reader.relay)
        return;
    const auto &relays = settings.relays;
    if (canUseRelays(reader) && *reader.relay < relays.size() && relays[*reader.relay] == former)
        return;
    reader.failedRelays = 0;
    if (canUseRelays(reader))
        switchToRelay(reader, preferredRelay(reader), now, actions);
    else
        switchToStore(reader, now, actions);
}

auto handle(StoreReader &reader, const StoreEvent &event, TimePoint now,
            std::vector<StoreReaderAction> &actions) -> void
{
    std::visit([&](const auto &content) { onEvent(reader, content, now, actions); }, event);
}

auto nextTickAt(const StoreReader &reader) -> std::optional<TimePoint>
{
    auto wake = std::optional<TimePoint>();
    if (!reader.relay && canUseRelays(reader) && reader.stateRead && isLargeDeployment(reader))
        wake = reader.storeFallbackUntil;
    if (reader.preferredRelayRetryAt)
        wake = std::min(wake.value_or(TimePoint::max()), *reader.preferredRelayRetryAt);
    for (const auto &channel : reader.channels) {
        if (channel.callAt)
            wake = std::min(wake.value_or(TimePoint::max()), *channel.callAt);
    }
    for (std::size_t index = 0; index < storeChannelCount; ++index) {
        if (const auto at = outdatedAt(reader, index))
            wake = std::min(wake.value_or(TimePoint::max()), *at);
    }
    return wake;
}

auto hasReadState(const StoreReader &reader) -> bool
{
    const auto complete = [&](ObjectKind kind) {
        return reader.cache.kinds.at(static_cast<std::size_t>(kind)).complete;
    };
    return complete(ObjectKind::Routes) && complete(ObjectKind::Leafs)
           && complete(ObjectKind::Evacuations);
}

auto recordRelayCall(StoreReader &reader, TimePoint now) -> void
{
    reader.lastRelayCallAt = now;
    auto &probe = reader.channels.at(static_cast<std::size_t>(Channel::Probe));
    if (!probe.running && !probe.callAt)
        probe.callAt = now;
}

auto copyAge(const StoreReader &reader, ObjectKind kind, TimePoint now) -> std::optional<Duration>
{
    const auto &confirmedAt = reader.channels.at(static_cast<std::size_t>(kind)).confirmedAt;
    return confirmedAt ? std::optional(now - *confirmedAt) : std::nullopt;
}

auto storeAge(const StoreReader &reader, ObjectKind kind, TimePoint now) -> std::optional<Duration>
{
    const auto index = static_cast<std::size_t>(kind);
    const auto age = copyAge(reader, kind, now);
    const auto isOld
            = isBoundedChannel(index) && age
              && (*age > longestConfirmation || reader.channels.at(index).unconfirmedSincePause);
    if (isOld)
        return age;
    if (!reader.storeConfirmedAt)
        return {};
    return now - *reader.storeConfirmedAt;
}

} // namespace crocusreach::forward

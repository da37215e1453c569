#include "storereader.h"

#include "relayhistory.h"
#include "rolloutstore.h"
#include "storecalls.h"
#include "storeera.h"
#include "storesource.h"

#include <algorithm>
#include <set>
#include <utility>

namespace crocusreach::forward {

namespace {

// A watch that works confirms its copy this much later than the store's wait at the latest.
constexpr Duration confirmationReserve = std::chrono::milliseconds(1000);
// Probing stops this long after the latest call of another instance.
constexpr Duration relayIdleTimeout = std::chrono::seconds(5);
// An instance that may use a relay first learns how many instances there are, before it watches the
// store. Instances that start together have registered by then.
constexpr Duration firstInstanceWatchDelay = std::chrono::milliseconds(1000);
constexpr Duration firstWatchDelay = std::chrono::milliseconds(1400);
// Changes often come in bursts. After a change, the next watch starts this much later, so that it
// returns the rest of the burst in one reply.
constexpr Duration watchBatchDelay = std::chrono::milliseconds(300);
// Delays before a retry. All instances share the store's rate limits.
constexpr Duration minRetryDelay = std::chrono::milliseconds(200);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(1600);
// Shorter until the state has been read once, since no request can be served before.
constexpr Duration maxInitialRetryDelay = std::chrono::milliseconds(300);
// A copy that gets old within this time after a failure of the store may be old for want of the
// store, so that missing entries may have expired although their leafs are alive.
constexpr Duration entryExpiryWindow = std::chrono::seconds(6);

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

auto makeNotification(const StoreReader &reader, StoreNotificationKind kind, std::size_t index)
        -> StoreNotification
{
    auto notification = StoreNotification();
    notification.kind = kind;
    notification.channel = static_cast<Channel>(index);
    notification.source = reader.source;
    return notification;
}

// About a copy that has been confirmed before.
auto makeCopyNotification(const StoreReader &reader, StoreNotificationKind kind, std::size_t index,
                          TimePoint now) -> StoreNotification
{
    auto notification = makeNotification(reader, kind, index);
    notification.age = now - *reader.channels.at(index).confirmedAt;
    return notification;
}

// Asks the store at once whether the copies hold all changes.
auto confirmCopies(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void
{
    for (std::size_t index = 0; isBoundedChannel(index); ++index)
        channelAt(reader, index).sourceAnswered = false;
    restartObjectCalls(reader, now, actions);
}

auto recordSuccess(StoreReader &reader, std::size_t index, TimePoint now,
                   std::vector<StoreReaderAction> &actions) -> void
{
    auto &channel = channelAt(reader, index);
    const auto isRecovery = channel.failures > 0;
    channel.retryDelay = {};
    channel.failures = 0;
    channel.sourceAnswered = true;
    if (!reader.relay || !isObjectChannel(index)) {
        reader.storeConfirmedAt
                = std::max(reader.storeConfirmedAt.value_or(TimePoint()), channel.callStartedAt);
        unblockChannels(reader, now);
    }
    if (reader.relay && isObjectChannel(index))
        reader.failedRelays = 0;
    if (std::exchange(channel.failureReported, false))
        actions.emplace_back(makeNotification(reader, StoreNotificationKind::Reachable, index));
    // The watches began before the failure and may wait on dead connections.
    if (isRecovery && static_cast<Channel>(index) == Channel::Probe && !reader.relay)
        confirmCopies(reader, now, actions);
}

// The changes of one reply. It may hold several changes of one object, of which the last one
// counts.
struct ChangeSet
{
    std::set<std::string, std::less<>> names; // of changed objects
    std::vector<RouteTablePtr> tables;
    std::optional<TimePoint> removedSince; // a reply before this one lacked the removed ones
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

// True if the copy of the leafs was not confirmed for so long that entries may have expired.
auto mayHaveExpired(const StoreReader &reader, TimePoint now) -> bool
{
    const auto age = copyAge(reader, ObjectKind::Leafs, now);
    return age && *age >= reader.limits.expiry;
}

auto isWithin(const std::optional<TimePoint> &at, Duration window, TimePoint now) -> bool
{
    return at && now - *at < window;
}

// True if the next confirmation of the leafs is the first one after an outage in which entries may
// have expired.
auto isOutageEnding(const StoreReader &reader, TimePoint now) -> bool
{
    return mayHaveExpired(reader, now) && isWithin(reader.storeFailedAt, entryExpiryWindow, now);
}

auto publishLeafs(const StoreReader &reader, const ChangeSet &changes, TimePoint now,
                  std::vector<StoreReaderAction> &actions) -> void
{
    constexpr auto index = static_cast<std::size_t>(ObjectKind::Leafs);
    const auto &cache = reader.cache.kinds.at(index);
    const auto &channel = reader.channels.at(index);
    auto registered = LeafsRegistered();
    auto removed = LeafsRemoved();
    removed.source = reader.source;
    removed.registryWasUnavailable = isWithin(reader.storeFailedAt, entryExpiryWindow, now);
    const auto isEnding = isOutageEnding(reader, now);
    const auto hasEnded = isWithin(reader.expiryEndedAt, entryReturnTime, now);
    if (changes.removedSince)
        removed.seenAt = changes.removedSince;
    else if (!isEnding && !hasEnded)
        removed.seenAt = channel.confirmedAt;
    // The store acknowledged the removal later than the latest confirmation, so that the drain
    // timeout bounds the use.
    else if (!isEnding)
        removed.lastUse
                = lastUseAfterOutage(*reader.expiryEndedAt, channel.confirmedAt.value_or(now), now,
                                     reader.settings.timeouts.drain);
    for (const auto &name : changes.names) {
        if (const auto *const leaf = findLeafRecord(cache, name))
            registered.leafs.push_back(withEra(reader, *leaf));
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

auto countInstances(const KindCache &cache) -> InstancesCounted
{
    auto counted = InstancesCounted();
    counted.instances = static_cast<std::uint32_t>(cache.objects.size() - cache.deletedObjects);
    for (const auto *object : liveObjects(cache)) {
        const auto *const instance = std::get_if<RegisteredInstance>(&object->content);
        if (instance != nullptr && !instance->address.empty())
            counted.peers.push_back({instance->name, instance->address});
    }
    return counted;
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
        actions.emplace_back(ForwardEvent(countInstances(cache)));
    if (kind == ObjectKind::Rollouts)
        actions.emplace_back(ForwardEvent(rolloutOrders(cache)));
    for (auto &table : changes.tables)
        actions.emplace_back(ForwardEvent(RoutesChanged{std::move(table)}));
    if (kind == ObjectKind::Leafs)
        publishLeafs(reader, changes, now, actions);
}

auto onReply(StoreReader &reader, std::size_t index, const ObjectsListed &listed, TimePoint now,
             std::vector<StoreReaderAction> &actions) -> void
{
    auto &channel = channelAt(reader, index);
    auto &cache = kindCache(reader, index);
    auto changes = ChangeSet();
    // A list of several pages has the revision of the first one.
    if (channel.continueAfter.empty()) {
        channel.listRevision = listed.revision;
        channel.listStartedAt = channel.callStartedAt;
    }
    for (const auto &object : listed.objects) {
        cache.listedNames.insert(object.name);
        if (leavesOut(reader, static_cast<ObjectKind>(index), object))
            continue;
        if (updateObject(cache, object, channel.listRevision))
            addChange(object, changes, actions);
    }
    channel.continueAfter = listed.continueAfter;
    if (channel.continueAfter.empty()) {
        const auto isFirst = !cache.complete;
        for (auto &name : finishList(cache, channel.listRevision))
            changes.names.insert(std::move(name));
        if (isFirst)
            startHistory(reader, index);
        channel.listed = true;
        recordEraList(reader, static_cast<ObjectKind>(index), now);
    }
    publishChanges(reader, static_cast<ObjectKind>(index), std::move(changes), now, actions);
    if (!channel.listed || reader.relay || !canUseRelays(reader))
        scheduleCall(channel, now);
    else if (static_cast<ObjectKind>(index) == ObjectKind::Instances)
        scheduleCall(channel, now + firstInstanceWatchDelay);
    else
        scheduleCall(channel, now + firstWatchDelay);
    if (!reader.stateRead && hasReadState(reader)) {
        reader.stateRead = true;
        actions.emplace_back(ForwardEvent(StateRead()));
    }
}

auto onReply(StoreReader &reader, std::size_t index, const ObjectsChanged &changed, TimePoint now,
             std::vector<StoreReaderAction> &actions) -> void
{
    auto &cache = kindCache(reader, index);
    auto changes = ChangeSet();
    channelAt(reader, index).restarts = 0;
    recordHistory(reader, index, changed);
    for (const auto &object : changed.objects) {
        if (updateObject(cache, object, changed.revision))
            addChange(object, changes, actions);
    }
    cache.revision = std::max(cache.revision, changed.revision);
    publishChanges(reader, static_cast<ObjectKind>(index), std::move(changes), now, actions);
    // The next call starts with a later tick, so that it goes to the source chosen here.
    const auto pause = wantsRelay(reader) ? reader.limits.crowdedPause : watchBatchDelay;
    scheduleCall(channelAt(reader, index), changed.objects.empty() ? now : now + pause);
}

// Makes a call again at once, or after a delay that grows if that happens again and again.
auto restartCall(StoreReader &reader, std::size_t index, TimePoint now,
                 std::vector<StoreReaderAction> &actions) -> void
{
    constexpr std::uint32_t maxDoublings = 3;
    auto &channel = channelAt(reader, index);
    const auto restarts = channel.restarts++;
    if (restarts == 0)
        return startCall(reader, index, now, actions);
    const auto delay = minRetryDelay * (1U << std::min(restarts - 1, maxDoublings));
    scheduleCall(channel, now + withJitter(reader, delay));
}

auto onReply(StoreReader &reader, std::size_t index, const RevisionCompacted & /*compacted*/,
             TimePoint now, std::vector<StoreReaderAction> &actions) -> void
{
    // The list itself is still good if only the changes before it aren't there.
    if (!std::exchange(channelAt(reader, index).readsHistory, false))
        resetListing(reader, index);
    restartCall(reader, index, now, actions);
}

auto onReply(StoreReader &reader, std::size_t index, const CallSucceeded &succeeded, TimePoint now,
             std::vector<StoreReaderAction> &actions) -> void
{
    auto &channel = channelAt(reader, index);
    channel.running = false;
    channel.restarts = 0;
    if (static_cast<Channel>(index) == Channel::Register)
        onRegistered(reader, succeeded, now, actions);
    if (static_cast<Channel>(index) == Channel::Probe)
        channel.callAt = now + reader.limits.probe;
}

auto onReply(StoreReader &reader, std::size_t index, const RegistrationOutdated &outdated,
             TimePoint now, std::vector<StoreReaderAction> &actions) -> void
{
    reader.outdatedRegistration = outdated.revision;
    restartCall(reader, index, now, actions);
}

auto onReply(StoreReader & /*reader*/, std::size_t /*index*/,
             const RolloutStatusWritten & /*written*/, TimePoint /*now*/,
             std::vector<StoreReaderAction> & /*actions*/) -> void
{
    // Only onStatusReply() gets one.
}

auto onReply(StoreReader &reader, std::size_t index, const CallFailed &failed, TimePoint now,
             std::vector<StoreReaderAction> &actions) -> void
{
    auto &channel = channelAt(reader, index);
    ++channel.failures;
    if (!std::exchange(channel.failureReported, true)) {
        auto notification = makeNotification(reader, StoreNotificationKind::Unreachable, index);
        notification.failure = failed.failure;
        actions.emplace_back(std::move(notification));
    }
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
    if (failed.failure == StoreFailure::Refused && isObjectChannel(index))
        onStoreRefused(reader, index, now, actions);
    // An instance that starts while the store is unreachable reads from a relay.
    if (!reader.stateRead && canUseRelays(reader) && !reader.relay && now >= reader.storeStayUntil)
        switchToPreferredRelay(reader, SourceChangeReason::SourceFailed, now, actions);
}

// True if the store doesn't know a kind that it need not have: an older release of it. A relay
// answers from its copies.
auto lacksKind(const StoreReader &reader, const StoreReply &reply) -> bool
{
    const auto *const failed = std::get_if<CallFailed>(&reply.content);
    return failed != nullptr && failed->failure == StoreFailure::UnknownKind
           && reply.channel == Channel::Rollouts && !reader.relay;
}

// The kind counts as empty and is listed again as often as the others are watched. Objects that
// were read before are kept, since a wrong answer must not end an order in progress.
auto onKindUnknown(StoreReader &reader, std::size_t index, TimePoint now,
                   std::vector<StoreReaderAction> &actions) -> void
{
    auto &channel = channelAt(reader, index);
    recordSuccess(reader, index, now, actions);
    if (!std::exchange(channel.unknownReported, true))
        actions.emplace_back(makeNotification(reader, StoreNotificationKind::KindUnknown, index));
    resetListing(reader, index);
    // All objects have a later revision than this list.
    onReply(reader, index, ObjectsListed(), now, actions);
    resetListing(reader, index);
    scheduleCall(channel, now + reader.limits.storeWait);
}

auto isConfirmedSincePause(const StoreReader &reader) -> bool
{
    return std::none_of(reader.channels.begin(), reader.channels.end(),
                        [](const ChannelState &channel) { return channel.unconfirmedSincePause; });
}

// The store gave its answer at the first time, and the copy holds all changes up to the second one.
auto recordConfirmation(StoreReader &reader, std::size_t index, TimePoint answeredAt,
                        TimePoint confirmedAt, TimePoint now,
                        std::vector<StoreReaderAction> &actions) -> void
{
    auto &channel = channelAt(reader, index);
    if (std::exchange(channel.unconfirmedSincePause, false) && isConfirmedSincePause(reader))
        actions.emplace_back(ForwardEvent(StateConfirmed()));
    if (std::exchange(channel.outdatedReported, false))
        actions.emplace_back(
                makeCopyNotification(reader, StoreNotificationKind::CopyConfirmed, index, now));
    if (static_cast<Channel>(index) == Channel::Leafs && isOutageEnding(reader, now))
        reader.expiryEndedAt = answeredAt;
    // Another source may be behind the former one. The copy loses nothing by that.
    channel.confirmedAt = std::max(channel.confirmedAt.value_or(confirmedAt), confirmedAt);
    if (static_cast<Channel>(index) == Channel::Routes)
        actions.emplace_back(ForwardEvent(RoutesConfirmed{*channel.confirmedAt}));
}

// When the copy of a channel counts as outdated unless it is confirmed; nothing if it does already,
// has not been read yet, or may be older.
auto outdatedAt(const StoreReader &reader, std::size_t index) -> std::optional<TimePoint>
{
    const auto &channel = reader.channels.at(index);
    if (!isBoundedChannel(index) || !channel.confirmedAt || channel.outdatedReported)
        return {};
    return *channel.confirmedAt + reader.limits.outdated;
}

auto reportOutdatedCopies(StoreReader &reader, TimePoint now,
                          std::vector<StoreReaderAction> &actions) -> void
{
    for (std::size_t index = 0; index < storeChannelCount; ++index) {
        const auto at = outdatedAt(reader, index);
        if (!at || now < *at)
            continue;
        channelAt(reader, index).outdatedReported = true;
        actions.emplace_back(
                makeCopyNotification(reader, StoreNotificationKind::CopyOutdated, index, now));
    }
}

// Ends the use of what only a former era of the store had.
auto endFormerEra(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void
{
    for (std::size_t index = 0; index < objectKindCount; ++index) {
        const auto kind = static_cast<ObjectKind>(index);
        if (!isFormerEraOver(reader, kind, now))
            continue;
        auto changes = ChangeSet();
        changes.removedSince = reader.era.listedAt.at(index);
        for (auto &name : endFormerEra(reader, kind, now, actions))
            changes.names.insert(std::move(name));
        publishChanges(reader, kind, std::move(changes), now, actions);
    }
}

// True if the protocol has such a reply to the call that runs on the channel.
auto answersCall(const StoreReader &reader, const StoreReply &reply) -> bool
{
    const auto index = static_cast<std::size_t>(reply.channel);
    const auto isObjects = isObjectChannel(index);
    const auto isList = isObjects && reader.channels.at(index).isListing;
    const auto isWatch = (isObjects && !isList) || reply.channel == Channel::RelayProbe;
    return std::visit(Overloaded{[](const CallFailed &) { return true; },
                                 [&](const ObjectsListed &) { return isList; },
                                 [&](const ObjectsChanged &) { return isWatch; },
                                 [&](const RevisionCompacted &) { return isWatch; },
                                 [&](const CallSucceeded &) {
                                     return reply.channel == Channel::Register
                                            || reply.channel == Channel::Probe;
                                 },
                                 [&](const RegistrationOutdated &) {
                                     return reply.channel == Channel::Register;
                                 },
                                 [&](const RolloutStatusWritten &) {
                                     return reply.channel == Channel::RolloutStatus;
                                 }},
                      reply.content);
}

auto onEvent(StoreReader &reader, const StoreReply &event, TimePoint now,
             std::vector<StoreReaderAction> &actions) -> void
{
    auto received = event;
    if (!answersCall(reader, received))
        received.content = CallFailed{StoreFailure::Invalid};
    const auto accepted = acceptEra(reader, received, now, actions);
    if (!accepted)
        return;
    const auto &reply = *accepted;
    const auto index = static_cast<std::size_t>(reply.channel);
    if (lacksKind(reader, reply))
        return onKindUnknown(reader, index, now, actions);
    const auto failed = std::holds_alternative<CallFailed>(reply.content);
    if (reply.channel == Channel::RolloutStatus)
        return onStatusReply(reader, reply, actions);
    if (reply.channel == Channel::RelayProbe)
        return onRelayProbed(reader, failed ? std::nullopt : reply.storeAge, now, actions);
    const auto stale = reader.relay && isObjectChannel(index) && !failed
                       && reply.storeAge.value_or(Duration::max()) > reader.limits.relayCopy;
    if (stale)
        return onReply(reader, index, CallFailed{StoreFailure::Stale}, now, actions);
    if (!failed)
        recordSuccess(reader, index, now, actions);
    std::visit([&](const auto &content) { onReply(reader, index, content, now, actions); },
               reply.content);
    const auto &channel = channelAt(reader, index);
    const auto storeAge = reply.storeAge.value_or(Duration());
    const auto answeredAt = now - storeAge;
    // A watch is answered at the moment of its reply, and a list at any time since the start of the
    // call for its first page.
    if (std::holds_alternative<ObjectsChanged>(reply.content))
        recordConfirmation(reader, index, answeredAt, answeredAt, now, actions);
    else if (std::holds_alternative<ObjectsListed>(reply.content) && channel.listed)
        recordConfirmation(reader, index, answeredAt, channel.listStartedAt - storeAge, now,
                           actions);
    endFormerEra(reader, now, actions);
    if (!failed && channel.listed)
        reconsiderSource(reader, now, actions);
}

// Asks the source for all changes at once. Replies that came during the pause are dropped, since
// their age isn't known.
auto onEvent(StoreReader &reader, const ReaderResumed & /*resumed*/, TimePoint now,
             std::vector<StoreReaderAction> &actions) -> void
{
    reader.probedRelay.reset();
    for (std::size_t index = 0; isBoundedChannel(index); ++index) {
        auto &channel = channelAt(reader, index);
        channel.unconfirmedSincePause = channel.confirmedAt.has_value();
    }
    restartObjectCalls(reader, now, actions);
    if (reader.stateRead)
        actions.emplace_back(ForwardEvent(StateUnconfirmed()));
}

auto onEvent(StoreReader &reader, const WriteRolloutStatus &write, TimePoint now,
             std::vector<StoreReaderAction> &actions) -> void
{
    startStatusWrite(reader, write, now, actions);
}

auto onEvent(StoreReader &reader, const StoreReaderTick & /*tick*/, TimePoint now,
             std::vector<StoreReaderAction> &actions) -> void
{
    endFormerEra(reader, now, actions);
    reconsiderSource(reader, now, actions);
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

// True if the channel's watch waited at the store when that answered its latest call, so that the
// store would have told it of a change.
auto wasToldOfChanges(const StoreReader &reader, std::size_t index, TimePoint now) -> bool
{
    const auto &channel = reader.channels.at(index);
    const auto watches = channel.running && channel.listed && !channel.unconfirmedSincePause;
    if (!watches || !reader.storeConfirmedAt || channel.callStartedAt > *reader.storeConfirmedAt)
        return false;
    // The connection of a watch may be dead though others work again after a failure.
    if (reader.storeFailedAt && channel.callStartedAt <= *reader.storeFailedAt)
        return false;
    return now - *channel.confirmedAt <= reader.limits.storeWait + confirmationReserve;
}

} // namespace

auto toString(StoreFailure failure) -> std::string_view
{
    static constexpr auto names = std::to_array<std::string_view>(
            {"unreachable", "refused", "invalid", "unknown_kind", "stale"});
    return names.at(static_cast<std::size_t>(failure));
}

auto toString(Channel channel) -> std::string_view
{
    static constexpr auto names = std::to_array<std::string_view>(
            {"routes", "evacuations", "leafs", "instances", "rollouts", "register", "probe",
             "relay probe", "rollout status"});
    return names.at(static_cast<std::size_t>(channel));
}

auto toString(SourceChangeReason reason) -> std::string_view
{
    static constexpr auto names
            = std::to_array<std::string_view>({"many_instances", "source_failed", "copy_too_old",
                                               "relay_answered", "settings_changed"});
    return names.at(static_cast<std::size_t>(reason));
}

auto startReading(StoreReader &reader, const StoreReaderSettings &settings, TimePoint now,
                  std::vector<StoreReaderAction> &actions) -> void
{
    reader.settings = settings;
    reader.limits = copyAgeLimits(settings.timeouts);
    reader.random.value = hashName(settings.instance) | 1U;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(Channel::Register); ++index) {
        if (isRead(reader, index))
            startCall(reader, index, now, actions);
    }
}

auto changeSettings(StoreReader &reader, const StoreReaderSettings &settings, TimePoint now,
                    std::vector<StoreReaderAction> &actions) -> void
{
    reader.settings = settings;
    reader.limits = copyAgeLimits(settings.timeouts);
    // Its index may stand for another relay by now.
    reader.probedRelay.reset();
    startRollouts(reader, now, actions);
    if (!reader.relay)
        return;
    const auto &relays = settings.relays;
    const auto isKept = *reader.relay < relays.size() && relays[*reader.relay] == reader.source;
    if (canUseRelays(reader) && isKept)
        return;
    constexpr auto reason = SourceChangeReason::SettingsChanged;
    if (canUseRelays(reader))
        switchToPreferredRelay(reader, reason, now, actions);
    else
        switchToStore(reader, reason, now, actions);
}

auto handle(StoreReader &reader, const StoreEvent &event, TimePoint now,
            std::vector<StoreReaderAction> &actions) -> void
{
    std::visit([&](const auto &content) { onEvent(reader, content, now, actions); }, event);
}

auto nextTickAt(const StoreReader &reader) -> std::optional<TimePoint>
{
    auto wake = nextSourceTickAt(reader);
    if (const auto at = nextEraTickAt(reader))
        wake = std::min(wake.value_or(TimePoint::max()), *at);
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
           && complete(ObjectKind::Evacuations)
           && (!reader.settings.readsRollouts || complete(ObjectKind::Rollouts));
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
    const auto isBounded = isBoundedChannel(index);
    // Calls to the store say nothing of copies that are read elsewhere.
    if (reader.relay)
        return copyAge(reader, isBounded ? kind : ObjectKind::Routes, now);
    const auto answerAge = reader.storeConfirmedAt ? std::optional(now - *reader.storeConfirmedAt)
                                                   : std::nullopt;
    if (!isBounded)
        return answerAge;
    const auto age = copyAge(reader, kind, now);
    return age && wasToldOfChanges(reader, index, now) ? std::min(age, answerAge) : age;
}

} // namespace crocusreach::forward

#include "storereader.h"

#include <algorithm>
#include <set>
#include <utility>

namespace crocusreach::forward {

namespace {

// The store ends a watch without a change after this time. A connection that died without a sign
// is found sooner, by the transport's keep-alive.
constexpr Duration storeWatchTime = std::chrono::seconds(25);
// After a failure, the store is to answer at once, so that its return is known and the other
// channels go on.
constexpr Duration firstWatchTime = std::chrono::milliseconds(1);
// Another instance answers at least this often, so that its failure is found in time: changes must
// be in force within 3 s, and the store is read within milliseconds after the failure is found.
constexpr Duration seedWatchTime = std::chrono::milliseconds(900);
constexpr Duration seedPatience = std::chrono::milliseconds(500);
// An instance whose last word from the store is older than this is not believed.
constexpr Duration oldestStoreAge = std::chrono::milliseconds(1700);
// While other instances read from this one, the store is asked this often.
constexpr Duration probeInterval = std::chrono::milliseconds(1000);
constexpr Duration probePatience = std::chrono::milliseconds(600);
constexpr Duration askedMemory = std::chrono::seconds(5);
// After all seeds have failed, the store is watched for this time.
constexpr Duration storeTime = std::chrono::seconds(4);
// An instance whose own seed has failed tries it again after one to two times this time. Otherwise
// all instances end up at the seed that has failed least often.
constexpr Duration seedReturnTime = std::chrono::seconds(30);
// Up to this number of instances, all of them watch the store themselves: it bears that, and
// nothing depends on another instance.
constexpr std::size_t mostStoreWatchers = 12;
// An instance that may follow a seed first learns how many instances there are, before it watches
// the store. Instances that start together register within this time.
constexpr Duration countDelay = std::chrono::milliseconds(1000);
constexpr Duration firstWatchDelay = std::chrono::milliseconds(1400);
// Changes often come several at a time. After one, the next watch waits this long, so that it
// returns them together.
constexpr Duration gatherTime = std::chrono::milliseconds(300);
// The store answers in milliseconds, and when it is slow within some hundred. The patience for a
// list doubles with each failure.
constexpr Duration shortestPatience = std::chrono::milliseconds(500);
constexpr Duration longestPatience = std::chrono::milliseconds(2500);
// Pauses after failures. All instances share the store's rates.
constexpr Duration shortestPause = std::chrono::milliseconds(200);
constexpr Duration longestPause = std::chrono::milliseconds(1600);
// Until everything was read once, no request can be served.
constexpr Duration longestFirstPause = std::chrono::milliseconds(300);
// After a failure, entries that are missing may have lapsed although their leafs live.
constexpr Duration lapseSuspicion = std::chrono::seconds(6);

auto channelAt(StoreReader &reader, std::size_t number) -> ChannelState &
{
    return reader.channels.at(number);
}

auto kindCache(StoreReader &reader, std::size_t number) -> KindCache &
{
    return reader.cache.kinds.at(number);
}

auto isObjectChannel(std::size_t number) -> bool
{
    return number < objectKinds;
}

auto sourceAddress(const StoreReader &reader) -> std::string
{
    return reader.seed ? reader.settings.seeds.at(*reader.seed) : std::string();
}

auto listPatience(const ChannelState &channel) -> Duration
{
    constexpr std::uint32_t mostDoublings = 3;
    return std::min(longestPatience,
                    shortestPatience * (1U << std::min(channel.failures, mostDoublings)));
}

auto makeCall(const StoreReader &reader, std::size_t number) -> StoreCall
{
    const auto &channel = reader.channels.at(number);
    auto call = StoreCall{static_cast<Channel>(number), {}, ProbeStore(), probePatience};
    if (call.channel == Channel::Register) {
        call.request = RegisterInstance{reader.settings.instance};
        call.patience = longestPatience;
    }
    if (!isObjectChannel(number))
        return call;
    call.address = sourceAddress(reader);
    const auto kind = static_cast<ObjectKind>(number);
    const auto usualWait = reader.seed ? seedWatchTime : storeWatchTime;
    // A seed that nobody has asked so far needs the time to hear from the store itself.
    const auto wait = channel.failures > 0 && !reader.seed ? firstWatchTime : usualWait;
    if (!channel.listed) {
        call.request = ListObjects{kind, channel.continueAfter};
        call.patience = listPatience(channel);
    } else {
        call.request = WatchObjects{kind, reader.cache.kinds.at(number).revision, wait};
        const auto patience = channel.failures > 0 ? listPatience(channel) : longestPatience;
        call.patience = wait + (reader.seed ? seedPatience : patience);
    }
    return call;
}

auto startCall(StoreReader &reader, std::size_t number, TimePoint now,
               std::vector<StoreReaderAction> &actions) -> void
{
    auto &channel = channelAt(reader, number);
    channel.running = true;
    channel.callAt.reset();
    channel.calledAt = now;
    actions.emplace_back(makeCall(reader, number));
}

auto scheduleCall(ChannelState &channel, TimePoint at) -> void
{
    channel.running = false;
    channel.callAt = at;
}

auto startListing(StoreReader &reader, std::size_t number) -> void
{
    channelAt(reader, number).listed = false;
    channelAt(reader, number).continueAfter.clear();
    kindCache(reader, number).listing.clear();
}

// Ends all calls to the source and starts anew at the current one. Watches go on from the revision
// that is known, since all sources count the store's revisions.
auto restartObjectCalls(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void
{
    actions.emplace_back(AbandonObjectCalls());
    actions.emplace_back(
            StoreNotification{StoreNotice::SourceChanged, {}, {}, sourceAddress(reader)});
    for (std::size_t number = 0; number < objectKinds; ++number) {
        auto &channel = channelAt(reader, number);
        if (!channel.listed)
            startListing(reader, number);
        channel.blocked = false;
        startCall(reader, number, now, actions);
    }
}

auto useStore(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions) -> void
{
    reader.seed.reset();
    reader.ownSeedAt.reset();
    reader.storeUntil = now + storeTime;
    restartObjectCalls(reader, now, actions);
}

auto ownSeed(const StoreReader &reader) -> std::size_t
{
    // Instances spread over the seeds.
    return static_cast<std::size_t>(hashName(reader.settings.instance)
                                    % reader.settings.seeds.size());
}

// Between half of the time and all of it.
auto randomPart(StoreReader &reader, Duration time) -> Duration
{
    const auto part = nextRandom(reader.random) % static_cast<std::uint64_t>(time.count());
    return time / 2 + Duration(static_cast<Duration::rep>(part / 2));
}

auto useSeed(StoreReader &reader, std::size_t seed, TimePoint now,
             std::vector<StoreReaderAction> &actions) -> void
{
    reader.seed = seed;
    reader.ownSeedAt.reset();
    if (seed != ownSeed(reader))
        reader.ownSeedAt = now + randomPart(reader, 2 * seedReturnTime);
    restartObjectCalls(reader, now, actions);
}

// The next seed, or the store once all have failed.
auto leaveSeed(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions) -> void
{
    if (++reader.failedSeeds >= reader.settings.seeds.size())
        return useStore(reader, now, actions);
    useSeed(reader, (*reader.seed + 1) % reader.settings.seeds.size(), now, actions);
}

auto isLarge(const StoreReader &reader) -> bool
{
    const auto &instances = reader.cache.kinds.at(static_cast<std::size_t>(ObjectKind::Instances));
    return instances.objects.size() - instances.deletedObjects > mostStoreWatchers;
}

auto mayFollow(const StoreReader &reader) -> bool
{
    return !reader.settings.isSeed && !reader.settings.seeds.empty();
}

// Turns to a seed if the deployment is large and nothing speaks against it.
auto considerSeeds(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void
{
    if (reader.seed || !mayFollow(reader) || !reader.stateRead || !isLarge(reader)
        || now < reader.storeUntil)
        return;
    reader.failedSeeds = 0;
    useSeed(reader, ownSeed(reader), now, actions);
}

auto tryOwnSeed(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions) -> void
{
    if (reader.ownSeedAt && now >= *reader.ownSeedAt)
        useSeed(reader, ownSeed(reader), now, actions);
}

// While the store doesn't answer, one call at a time finds out whether it does again.
auto blockOthers(StoreReader &reader, std::size_t failed) -> void
{
    for (std::size_t number = 0; number < failed; ++number) {
        const auto &other = channelAt(reader, number);
        if (other.failures > 0 && !other.blocked) {
            channelAt(reader, failed).blocked = true;
            channelAt(reader, failed).callAt.reset();
            return;
        }
    }
}

auto unblock(StoreReader &reader, TimePoint now) -> void
{
    for (auto &channel : reader.channels) {
        if (std::exchange(channel.blocked, false) && !channel.running)
            channel.callAt = now;
    }
}

auto noteSuccess(StoreReader &reader, std::size_t number, TimePoint now,
                 std::vector<StoreReaderAction> &actions) -> void
{
    auto &channel = channelAt(reader, number);
    channel.pause = {};
    channel.failures = 0;
    if (!reader.seed || !isObjectChannel(number)) {
        reader.provedAt = std::max(reader.provedAt.value_or(TimePoint()), channel.calledAt);
        unblock(reader, now);
    }
    if (reader.seed && isObjectChannel(number))
        reader.failedSeeds = 0;
    if (std::exchange(channel.lost, false))
        actions.emplace_back(StoreNotification{
                StoreNotice::Regained, static_cast<Channel>(number), {}, sourceAddress(reader)});
}

// What one reply has changed. It may hold several changes of one object, of which the last counts.
struct News
{
    std::set<std::string, std::less<>> names; // of objects that have changed
    std::vector<RouteTablePtr> tables;
};

auto addNews(const StoredObject &object, News &news, std::vector<StoreReaderAction> &actions)
        -> void
{
    news.names.insert(object.name);
    if (object.deleted)
        return;
    if (const auto *unusable = std::get_if<UnusableObject>(&object.content))
        actions.emplace_back(ObjectRejected{object.name, unusable->error});
    else if (const auto *table = std::get_if<RouteTablePtr>(&object.content))
        news.tables.push_back(*table);
}

// The leaf of an entry; null if the entry is gone or can't be used.
auto leafOf(const KindCache &cache, std::string_view name) -> const LeafRecord *
{
    const auto found = cache.objects.find(name);
    if (found == cache.objects.end() || found->second.object.deleted)
        return nullptr;
    return std::get_if<LeafRecord>(&found->second.object.content);
}

auto publishLeafs(const KindCache &cache, const News &news, bool registryWasAway,
                  std::vector<StoreReaderAction> &actions) -> void
{
    auto registered = LeafsRegistered();
    auto removed = LeafsRemoved{{}, registryWasAway};
    for (const auto &name : news.names) {
        if (const auto *const leaf = leafOf(cache, name))
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

auto publish(StoreReader &reader, ObjectKind kind, News &&news, TimePoint now,
             std::vector<StoreReaderAction> &actions) -> void
{
    if (news.names.empty())
        return;
    const auto &cache = kindCache(reader, static_cast<std::size_t>(kind));
    if (kind == ObjectKind::Evacuations)
        actions.emplace_back(ForwardEvent(evacuatedDomains(cache)));
    if (kind == ObjectKind::Instances)
        actions.emplace_back(ForwardEvent(InstancesCounted{
                static_cast<std::uint32_t>(cache.objects.size() - cache.deletedObjects)}));
    for (auto &table : news.tables)
        actions.emplace_back(ForwardEvent(RoutesChanged{std::move(table)}));
    const auto wasAway = reader.failedAt && now - *reader.failedAt < lapseSuspicion;
    if (kind == ObjectKind::Leafs)
        publishLeafs(cache, news, wasAway, actions);
}

auto noteRead(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions) -> void
{
    if (!reader.stateRead && hasRead(reader)) {
        reader.stateRead = true;
        actions.emplace_back(ForwardEvent(StateRead()));
    }
    considerSeeds(reader, now, actions);
}

auto take(StoreReader &reader, std::size_t number, const ObjectsListed &listed, TimePoint now,
          std::vector<StoreReaderAction> &actions) -> void
{
    auto &channel = channelAt(reader, number);
    auto &cache = kindCache(reader, number);
    auto news = News();
    // A list of several pages is as old as its first one.
    if (channel.continueAfter.empty())
        channel.listRevision = listed.revision;
    for (const auto &object : listed.objects) {
        cache.listing.insert(object.name);
        if (takeObject(cache, object, channel.listRevision))
            addNews(object, news, actions);
    }
    channel.continueAfter = listed.continueAfter;
    if (channel.continueAfter.empty()) {
        for (auto &name : finishList(cache, channel.listRevision))
            news.names.insert(std::move(name));
        channel.listed = true;
    }
    publish(reader, static_cast<ObjectKind>(number), std::move(news), now, actions);
    if (!channel.listed || reader.seed || !mayFollow(reader))
        scheduleCall(channel, now);
    else if (static_cast<ObjectKind>(number) == ObjectKind::Instances)
        scheduleCall(channel, now + countDelay);
    else
        scheduleCall(channel, now + firstWatchDelay);
    if (channel.listed)
        noteRead(reader, now, actions);
}

auto take(StoreReader &reader, std::size_t number, const ObjectsChanged &changed, TimePoint now,
          std::vector<StoreReaderAction> &actions) -> void
{
    auto &cache = kindCache(reader, number);
    auto news = News();
    for (const auto &object : changed.objects) {
        if (takeObject(cache, object, changed.revision))
            addNews(object, news, actions);
    }
    cache.revision = std::max(cache.revision, changed.revision);
    publish(reader, static_cast<ObjectKind>(number), std::move(news), now, actions);
    // The next call is made in the next turn, so that it goes to the source chosen here.
    scheduleCall(channelAt(reader, number), changed.objects.empty() ? now : now + gatherTime);
    considerSeeds(reader, now, actions);
}

auto take(StoreReader &reader, std::size_t number, const HistoryGone & /*gone*/, TimePoint now,
          std::vector<StoreReaderAction> &actions) -> void
{
    startListing(reader, number);
    startCall(reader, number, now, actions);
}

auto take(StoreReader &reader, std::size_t number, const CallDone & /*done*/, TimePoint now,
          std::vector<StoreReaderAction> & /*actions*/) -> void
{
    auto &channel = channelAt(reader, number);
    channel.running = false;
    if (static_cast<Channel>(number) == Channel::Probe)
        channel.callAt = now + probeInterval;
}

auto take(StoreReader &reader, std::size_t number, const CallFailed &failed, TimePoint now,
          std::vector<StoreReaderAction> &actions) -> void
{
    auto &channel = channelAt(reader, number);
    ++channel.failures;
    if (!std::exchange(channel.lost, true))
        actions.emplace_back(StoreNotification{StoreNotice::Lost, static_cast<Channel>(number),
                                               failed.failure, sourceAddress(reader)});
    if (reader.seed && isObjectChannel(number))
        return leaveSeed(reader, now, actions);
    reader.failedAt = now;
    if (!reader.stateRead)
        actions.emplace_back(ForwardEvent(StateUnavailable()));
    // A list in progress starts again: its first pages are older by now.
    if (isObjectChannel(number) && !channel.listed)
        startListing(reader, number);
    const auto longest = reader.stateRead ? longestPause : longestFirstPause;
    channel.pause = std::clamp(channel.pause * 2, shortestPause, longest);
    // Random, so that instances don't call together.
    scheduleCall(channel, now + randomPart(reader, channel.pause));
    blockOthers(reader, number);
    // An instance that starts while the store is away asks the others.
    if (!reader.stateRead && mayFollow(reader) && !reader.seed && now >= reader.storeUntil) {
        reader.failedSeeds = 0;
        useSeed(reader, ownSeed(reader), now, actions);
    }
}

auto take(StoreReader &reader, const StoreReply &reply, TimePoint now,
          std::vector<StoreReaderAction> &actions) -> void
{
    const auto number = static_cast<std::size_t>(reply.channel);
    const auto failed = std::holds_alternative<CallFailed>(reply.content);
    const auto stale = reader.seed && isObjectChannel(number) && !failed
                       && reply.storeAge.value_or(Duration::max()) > oldestStoreAge;
    if (stale)
        return take(reader, number, CallFailed{StoreFailure::Stale}, now, actions);
    if (!failed)
        noteSuccess(reader, number, now, actions);
    std::visit([&](const auto &content) { take(reader, number, content, now, actions); },
               reply.content);
}

auto take(StoreReader &reader, const StoreReaderTick & /*tick*/, TimePoint now,
          std::vector<StoreReaderAction> &actions) -> void
{
    considerSeeds(reader, now, actions);
    tryOwnSeed(reader, now, actions);
    for (std::size_t number = 0; number < storeChannels; ++number) {
        auto &channel = channelAt(reader, number);
        if (!channel.callAt || now < *channel.callAt)
            continue;
        const auto idleProbe = static_cast<Channel>(number) == Channel::Probe
                               && (!reader.askedAt || now - *reader.askedAt > askedMemory);
        if (idleProbe)
            channel.callAt.reset();
        else
            startCall(reader, number, now, actions);
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
    for (std::size_t number = 0; number < storeChannels; ++number) {
        if (static_cast<Channel>(number) != Channel::Probe)
            startCall(reader, number, now, actions);
    }
}

auto changeSettings(StoreReader &reader, const StoreReaderSettings &settings, TimePoint now,
                    std::vector<StoreReaderAction> &actions) -> void
{
    const auto former = sourceAddress(reader);
    reader.settings = settings;
    if (!reader.seed)
        return;
    const auto &seeds = settings.seeds;
    if (mayFollow(reader) && *reader.seed < seeds.size() && seeds[*reader.seed] == former)
        return;
    reader.failedSeeds = 0;
    if (mayFollow(reader))
        useSeed(reader, ownSeed(reader), now, actions);
    else
        useStore(reader, now, actions);
}

auto handle(StoreReader &reader, const StoreEvent &event, TimePoint now,
            std::vector<StoreReaderAction> &actions) -> void
{
    std::visit([&](const auto &content) { take(reader, content, now, actions); }, event);
}

auto nextTickAt(const StoreReader &reader) -> std::optional<TimePoint>
{
    auto wake = std::optional<TimePoint>();
    if (!reader.seed && mayFollow(reader) && reader.stateRead && isLarge(reader))
        wake = reader.storeUntil;
    if (reader.ownSeedAt)
        wake = std::min(wake.value_or(TimePoint::max()), *reader.ownSeedAt);
    for (const auto &channel : reader.channels) {
        if (channel.callAt)
            wake = std::min(wake.value_or(TimePoint::max()), *channel.callAt);
    }
    return wake;
}

auto hasRead(const StoreReader &reader) -> bool
{
    const auto complete = [&](ObjectKind kind) {
        return reader.cache.kinds.at(static_cast<std::size_t>(kind)).complete;
    };
    return complete(ObjectKind::Routes) && complete(ObjectKind::Leafs)
           && complete(ObjectKind::Evacuations);
}

auto noteAsked(StoreReader &reader, TimePoint now) -> void
{
    reader.askedAt = now;
    auto &probe = reader.channels.at(static_cast<std::size_t>(Channel::Probe));
    if (!probe.running && !probe.callAt)
        probe.callAt = now;
}

auto storeAge(const StoreReader &reader, TimePoint now) -> std::optional<Duration>
{
    if (!reader.provedAt)
        return {};
    return now - *reader.provedAt;
}

} // namespace crocusreach::forward

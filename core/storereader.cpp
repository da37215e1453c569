#include "storereader.h"

#include <algorithm>
#include <utility>

namespace crocusreach::forward {

namespace {

// The store ends a watch without a change after this time. A connection that died without a sign
// is found sooner, by the transport's keep-alive.
constexpr Duration watchTime = std::chrono::seconds(15);
// Changes often come several at a time. After one, the next watch waits this long, so that it
// returns them together; changes must be in force within seconds.
constexpr Duration gatherTime = std::chrono::milliseconds(250);
// Pauses after failures. All instances share the store's rates.
constexpr Duration shortestPause = std::chrono::milliseconds(200);
constexpr Duration longestPause = std::chrono::milliseconds(1600);
// Instances that start together register within this time, so that the first list may lack some.
constexpr Duration secondCountDelay = std::chrono::seconds(3);
// Later the number of instances changes rarely.
constexpr Duration instancesInterval = std::chrono::seconds(15);
// After a failure, entries that are missing may have lapsed although their leafs live.
constexpr Duration lapseSuspicion = std::chrono::seconds(6);

auto readerOf(StoreReader &reader, ObjectKind kind) -> KindReader &
{
    return reader.kinds.at(static_cast<std::size_t>(kind));
}

auto isWatched(ObjectKind kind) -> bool
{
    return kind != ObjectKind::Instances;
}

auto startCall(StoreReader &reader, ObjectKind kind, std::vector<StoreReaderAction> &actions)
        -> void
{
    auto &state = readerOf(reader, kind);
    state.callRunning = true;
    state.callAt.reset();
    if (kind == ObjectKind::Instances && !reader.registered)
        actions.emplace_back(StoreRequest(RegisterInstance{reader.instanceName}));
    else if (!state.listed)
        actions.emplace_back(StoreRequest(
                ListObjects{kind, state.continueAfter, !isWatched(kind) && reader.countedTwice}));
    else
        actions.emplace_back(StoreRequest(WatchObjects{kind, state.revision, watchTime}));
}

auto scheduleCall(KindReader &state, TimePoint at) -> void
{
    state.callRunning = false;
    state.callAt = at;
}

auto noteSuccess(KindReader &state, ObjectKind kind, std::vector<StoreReaderAction> &actions)
        -> void
{
    state.pause = {};
    if (std::exchange(state.lost, false))
        actions.emplace_back(StoreNotification{StoreNotice::Regained, kind, {}});
}

auto startListing(KindReader &state) -> void
{
    state.listed = false;
    state.continueAfter.clear();
    state.listing.clear();
}

// Objects of one reply, sorted by what they mean to the forwarder.
struct Changes
{
    LeafsRegistered leafs;
    std::vector<std::string> removed;
    std::vector<RouteTablePtr> tables;
    bool evacuations = false;
};

auto addContent(KindReader &state, const StoredObject &object, Changes &changes,
                std::vector<StoreReaderAction> &actions) -> void
{
    if (const auto *unusable = std::get_if<UnusableObject>(&object.content)) {
        actions.emplace_back(ObjectRejected{object.name, unusable->error});
        if (state.known.erase(object.name) != 0)
            changes.removed.push_back(object.name);
        return;
    }
    state.known.insert(object.name);
    if (const auto *leaf = std::get_if<LeafRecord>(&object.content))
        changes.leafs.leafs.push_back(*leaf);
    if (const auto *table = std::get_if<RouteTablePtr>(&object.content))
        changes.tables.push_back(*table);
}

auto addObject(KindReader &state, const StoredObject &object, Changes &changes,
               std::vector<StoreReaderAction> &actions) -> void
{
    if (!object.deleted)
        return addContent(state, object, changes, actions);
    if (state.known.erase(object.name) != 0)
        changes.removed.push_back(object.name);
}

auto publish(const KindReader &state, ObjectKind kind, Changes &&changes, TimePoint now,
             std::vector<StoreReaderAction> &actions) -> void
{
    if (kind == ObjectKind::Evacuations)
        actions.emplace_back(ForwardEvent(DomainsEvacuated{state.known}));
    if (kind == ObjectKind::Instances)
        actions.emplace_back(
                ForwardEvent(InstancesCounted{static_cast<std::uint32_t>(state.known.size())}));
    for (auto &table : changes.tables)
        actions.emplace_back(ForwardEvent(RoutesChanged{std::move(table)}));
    if (!changes.leafs.leafs.empty())
        actions.emplace_back(ForwardEvent(std::move(changes.leafs)));
    const auto wasAway = state.failedAt && now - *state.failedAt < lapseSuspicion;
    if (kind == ObjectKind::Leafs && !changes.removed.empty())
        actions.emplace_back(ForwardEvent(LeafsRemoved{std::move(changes.removed), wasAway}));
}

auto take(StoreReader &reader, const ObjectsListed &event, TimePoint now,
          std::vector<StoreReaderAction> &actions) -> void
{
    auto &state = readerOf(reader, event.kind);
    noteSuccess(state, event.kind, actions);
    auto changes = Changes();
    for (const auto &object : event.objects) {
        state.listing.insert(object.name);
        addObject(state, object, changes, actions);
    }
    state.continueAfter = event.continueAfter;
    // A list of several pages is as old as its first one.
    if (state.revision == 0 || state.listing.size() == event.objects.size())
        state.revision = event.revision;
    if (!state.continueAfter.empty()) {
        publish(state, event.kind, std::move(changes), now, actions);
        return startCall(reader, event.kind, actions);
    }
    for (auto name = state.known.begin(); name != state.known.end();) {
        if (state.listing.contains(*name)) {
            ++name;
            continue;
        }
        changes.removed.push_back(*name);
        name = state.known.erase(name);
    }
    state.listing.clear();
    publish(state, event.kind, std::move(changes), now, actions);
    state.listed = isWatched(event.kind);
    if (state.listed)
        return startCall(reader, event.kind, actions);
    const auto counted = std::exchange(reader.countedOnce, true);
    reader.countedTwice = counted;
    scheduleCall(state, now + (counted ? instancesInterval : secondCountDelay));
}

auto take(StoreReader &reader, const ObjectsChanged &event, TimePoint now,
          std::vector<StoreReaderAction> &actions) -> void
{
    auto &state = readerOf(reader, event.kind);
    noteSuccess(state, event.kind, actions);
    auto changes = Changes();
    for (const auto &object : event.objects)
        addObject(state, object, changes, actions);
    state.revision = std::max(state.revision, event.revision);
    if (!event.objects.empty())
        publish(state, event.kind, std::move(changes), now, actions);
    scheduleCall(state, event.objects.empty() ? now : now + gatherTime);
    if (event.objects.empty())
        startCall(reader, event.kind, actions);
}

auto take(StoreReader &reader, const HistoryGone &event, TimePoint /*now*/,
          std::vector<StoreReaderAction> &actions) -> void
{
    auto &state = readerOf(reader, event.kind);
    startListing(state);
    startCall(reader, event.kind, actions);
}

auto take(StoreReader &reader, const StoreCallFailed &event, TimePoint now,
          std::vector<StoreReaderAction> &actions) -> void
{
    auto &state = readerOf(reader, event.kind);
    state.failedAt = now;
    state.pause = std::clamp(state.pause * 2, shortestPause, longestPause);
    // A list in progress starts again: its first pages are older by now.
    if (!state.listed)
        startListing(state);
    // Between half of the pause and all of it, so that instances don't call together.
    const auto part = nextRandom(reader.random) % static_cast<std::uint64_t>(state.pause.count());
    scheduleCall(state, now + state.pause / 2 + Duration(static_cast<Duration::rep>(part / 2)));
    if (!std::exchange(state.lost, true))
        actions.emplace_back(StoreNotification{StoreNotice::Lost, event.kind, event.failure});
}

auto take(StoreReader &reader, const InstanceRegistered & /*event*/, TimePoint /*now*/,
          std::vector<StoreReaderAction> &actions) -> void
{
    auto &state = readerOf(reader, ObjectKind::Instances);
    noteSuccess(state, ObjectKind::Instances, actions);
    reader.registered = true;
    startCall(reader, ObjectKind::Instances, actions);
}

auto take(StoreReader &reader, const StoreReaderTick & /*event*/, TimePoint now,
          std::vector<StoreReaderAction> &actions) -> void
{
    for (std::size_t number = 0; number < reader.kinds.size(); ++number) {
        const auto &state = reader.kinds.at(number);
        if (state.callAt && *state.callAt <= now)
            startCall(reader, static_cast<ObjectKind>(number), actions);
    }
}

} // namespace

auto toString(ObjectKind kind) -> std::string_view
{
    static constexpr auto names
            = std::to_array<std::string_view>({"routes", "evacuations", "leafs", "instances"});
    return names.at(static_cast<std::size_t>(kind));
}

auto toString(StoreFailure failure) -> std::string_view
{
    static constexpr auto names
            = std::to_array<std::string_view>({"unreachable", "refused", "invalid"});
    return names.at(static_cast<std::size_t>(failure));
}

auto startReading(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void
{
    for (auto &kind : reader.kinds)
        kind.callAt = now;
    take(reader, StoreReaderTick(), now, actions);
}

auto handle(StoreReader &reader, const StoreEvent &event, TimePoint now,
            std::vector<StoreReaderAction> &actions) -> void
{
    std::visit([&](const auto &content) { take(reader, content, now, actions); }, event);
}

auto nextWake(const StoreReader &reader) -> std::optional<TimePoint>
{
    auto wake = std::optional<TimePoint>();
    for (const auto &kind : reader.kinds) {
        if (kind.callAt)
            wake = std::min(wake.value_or(TimePoint::max()), *kind.callAt);
    }
    return wake;
}

auto hasRead(const StoreReader &reader) -> bool
{
    const auto listed = [&](ObjectKind kind) {
        return reader.kinds.at(static_cast<std::size_t>(kind)).listed;
    };
    return listed(ObjectKind::Routes) && listed(ObjectKind::Leafs)
           && listed(ObjectKind::Evacuations);
}

} // namespace crocusreach::forward

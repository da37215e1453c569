#include "storeera.h"

#include "storecalls.h"

#include <algorithm>
#include <utility>

namespace crocusreach::forward {

namespace {

// All instances write their entries again after a restore. The delay spreads the calls, and is
// short enough for other instances to keep the entries meanwhile.
constexpr Duration registrationDelay = std::chrono::milliseconds(1000);
// An evacuation that a copy still lacks this long after the restore is known was ended or not
// written again.
constexpr Duration evacuationProofTime = std::chrono::seconds(2);

constexpr auto registerIndex = static_cast<std::size_t>(Channel::Register);

auto registerAgain(StoreReader &reader, Channel answered, TimePoint now) -> void
{
    auto &channel = channelAt(reader, registerIndex);
    reader.outdatedRegistration.reset();
    reader.era.registersAgain = true;
    // The answer to a registration shows that the entry is in the new era.
    reader.era.registers = channel.running && answered != Channel::Register;
    if (!channel.running && !channel.blocked)
        channel.callAt = now + withJitter(reader, registrationDelay);
}

// True if the answer can serve as the new era's list: it is the first page.
auto isFirstPage(const StoreReader &reader, const StoreReply &reply) -> bool
{
    const auto index = static_cast<std::size_t>(reply.channel);
    return std::holds_alternative<ObjectsListed>(reply.content)
           && reader.channels.at(index).continueAfter.empty();
}

auto beginEra(StoreReader &reader, const StoreReply &reply, TimePoint now,
              std::vector<StoreReaderAction> &actions) -> void
{
    auto notification = StoreNotification();
    notification.kind = StoreNotificationKind::EraChanged;
    notification.channel = reply.channel;
    notification.source = reader.source;
    notification.era = *reply.era;
    notification.formerEra = reader.era.known.value_or(0);
    actions.emplace_back(std::move(notification));
    reader.era.known = reply.era;
    ++reader.era.changes;
    const auto kept = isFirstPage(reader, reply) ? static_cast<std::size_t>(reply.channel)
                                                 : objectKindCount;
    actions.emplace_back(CancelObjectCalls());
    for (std::size_t index = 0; index < objectKindCount; ++index) {
        if (!isRead(reader, index))
            continue;
        auto &channel = channelAt(reader, index);
        startEra(kindCache(reader, index));
        reader.era.listedAt.at(index).reset();
        channel.blocked = false;
        channel.readsHistory = false;
        resetListing(reader, index);
        if (index != kept)
            startCall(reader, index, now, actions);
    }
    // Entries that the restored copy has may lapse before their leafs have written them again.
    reader.expiryEndedAt = now - reply.storeAge.value_or(Duration());
    registerAgain(reader, reply.channel, now);
}

} // namespace

auto acceptEra(StoreReader &reader, const StoreReply &reply, TimePoint now,
               std::vector<StoreReaderAction> &actions) -> std::optional<StoreReply>
{
    auto &known = reader.era.known;
    if (!reply.era || reply.era == known)
        return reply;
    if (!known) {
        known = reply.era;
        return reply;
    }
    if (*reply.era < *known) {
        auto outdated = reply;
        outdated.content = CallFailed{StoreFailure::Stale};
        return outdated;
    }
    const auto isObjects = isObjectChannel(static_cast<std::size_t>(reply.channel));
    const auto isUsable = !isObjects || isFirstPage(reader, reply);
    beginEra(reader, reply, now, actions);
    return isUsable ? std::optional(reply) : std::nullopt;
}

auto withEra(const StoreReader &reader, LeafRecord leaf) -> LeafRecord
{
    leaf.era = reader.era.known.value_or(0);
    return leaf;
}

auto leavesOut(StoreReader &reader, ObjectKind kind, const StoredObject &listed) -> bool
{
    auto &cache = kindCache(reader, static_cast<std::size_t>(kind));
    const auto isLeftOut = cache.isOfFormerEra && isDoubtful(cache, listed);
    if (isLeftOut)
        cache.objects.find(listed.name)->second.isLeftOut = true;
    return isLeftOut;
}

auto recordEraList(StoreReader &reader, ObjectKind kind, TimePoint now) -> void
{
    const auto index = static_cast<std::size_t>(kind);
    auto &listedAt = reader.era.listedAt.at(index);
    const auto &objects = kindCache(reader, index).objects;
    const auto hasFormer = std::any_of(objects.begin(), objects.end(),
                                       [](const auto &item) { return item.second.isOfFormerEra; });
    if (hasFormer && !listedAt)
        listedAt = now;
}

auto isFormerEraOver(const StoreReader &reader, ObjectKind kind, TimePoint now) -> bool
{
    const auto index = static_cast<std::size_t>(kind);
    const auto &listedAt = reader.era.listedAt.at(index);
    if (!listedAt || reader.cache.kinds.at(index).isOfFormerEra)
        return false;
    if (kind == ObjectKind::Evacuations)
        return reader.channels.at(index).confirmedAt >= *listedAt + evacuationProofTime;
    return now >= *listedAt + entryReturnTimeout;
}

auto endFormerEra(StoreReader &reader, ObjectKind kind, TimePoint now,
                  std::vector<StoreReaderAction> &actions) -> std::vector<std::string>
{
    const auto index = static_cast<std::size_t>(kind);
    auto &cache = kindCache(reader, index);
    reader.era.listedAt.at(index).reset();
    auto former = dropFormerEra(cache);
    if (!former.hadLeftOut)
        return std::move(former.removed);
    auto &channel = channelAt(reader, index);
    resetListing(reader, index);
    // A call that runs ends first; its answer counts in any case.
    if (!channel.running && !channel.blocked)
        startCall(reader, index, now, actions);
    return std::move(former.removed);
}

auto onRegistered(StoreReader &reader, const CallSucceeded &succeeded, TimePoint now,
                  std::vector<StoreReaderAction> &actions) -> void
{
    if (std::exchange(reader.era.registers, false))
        return startCall(reader, registerIndex, now, actions);
    actions.emplace_back(
            ForwardEvent(InstanceRegistered{succeeded.isNew, reader.era.registersAgain}));
}

auto nextEraTickAt(const StoreReader &reader) -> std::optional<TimePoint>
{
    auto wake = std::optional<TimePoint>();
    for (std::size_t index = 0; index < objectKindCount; ++index) {
        const auto &listedAt = reader.era.listedAt.at(index);
        // An answer ends the time of evacuations.
        if (listedAt && static_cast<ObjectKind>(index) != ObjectKind::Evacuations
            && !reader.cache.kinds.at(index).isOfFormerEra)
            wake = std::min(wake.value_or(TimePoint::max()), *listedAt + entryReturnTimeout);
    }
    return wake;
}

} // namespace crocusreach::forward

#include "rolloutstore.h"

#include "storecalls.h"

namespace crocusreach::forward {

namespace {

// The store replies within milliseconds, or within some hundred when it is slow.
constexpr Duration writeTimeout = std::chrono::milliseconds(1000);
constexpr auto channelIndex = static_cast<std::size_t>(Channel::RolloutStatus);

} // namespace

auto rolloutOrders(const KindCache &cache) -> RolloutsChanged
{
    auto changed = RolloutsChanged();
    for (const auto *object : liveObjects(cache)) {
        if (const auto *const order = std::get_if<RolloutOrder>(&object->content))
            changed.orders.push_back(*order);
        else
            changed.unreadable.push_back(object->name);
    }
    return changed;
}

auto startRollouts(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void
{
    constexpr auto index = static_cast<std::size_t>(Channel::Rollouts);
    const auto &channel = channelAt(reader, index);
    if (reader.settings.readsRollouts && !channel.running && !channel.callAt && !channel.blocked)
        startCall(reader, index, now, actions);
}

auto startStatusWrite(StoreReader &reader, const WriteRolloutStatus &write, TimePoint now,
                      std::vector<StoreReaderAction> &actions) -> void
{
    auto &channel = channelAt(reader, channelIndex);
    if (channel.running) {
        actions.emplace_back(ForwardEvent(RolloutStatusWritten{write.name, write.state}));
        return;
    }
    channel.running = true;
    channel.callStartedAt = now;
    actions.emplace_back(StoreCall{Channel::RolloutStatus, {}, write, writeTimeout});
}

auto onStatusReply(StoreReader &reader, const StoreReply &reply,
                   std::vector<StoreReaderAction> &actions) -> void
{
    channelAt(reader, channelIndex).running = false;
    const auto *const written = std::get_if<RolloutStatusWritten>(&reply.content);
    actions.emplace_back(ForwardEvent(written == nullptr ? RolloutStatusWritten() : *written));
}

} // namespace crocusreach::forward

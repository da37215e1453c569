#include "relayhistory.h"

#include "storecalls.h"

#include <algorithm>
#include <utility>

namespace crocusreach::forward {

namespace {

// Revisions count the changes of all kinds. A start of 720 instances with five leafs each makes
// about 4,300.
constexpr std::uint64_t historyLength = 5000;

} // namespace

auto startHistory(StoreReader &reader, std::size_t index) -> void
{
    // Only deployments with several relays are large enough for lists to fill a relay's link.
    channelAt(reader, index).readsHistory
            = reader.settings.isRelay && !reader.settings.relays.empty() && reader.era.changes == 0;
}

auto watchedRevision(const StoreReader &reader, std::size_t index) -> std::uint64_t
{
    const auto &cache = reader.cache.kinds.at(index);
    if (!reader.channels.at(index).readsHistory || cache.revision == 0)
        return cache.revision;
    return cache.revision - std::min(cache.revision - 1, historyLength);
}

auto recordHistory(StoreReader &reader, std::size_t index, const ObjectsChanged &changed) -> void
{
    const auto since = watchedRevision(reader, index);
    if (!std::exchange(channelAt(reader, index).readsHistory, false))
        return;
    auto &cache = kindCache(reader, index);
    for (const auto &object : changed.objects) {
        if (object.deleted)
            keepDeletion(cache, object);
    }
    cache.deletionsKeptSince = std::min(cache.deletionsKeptSince, since);
}

} // namespace crocusreach::forward

#include "relayanswer.h"

#include <utility>

namespace crocusreach::forward {

namespace {

// A list call waits this long for an instance that is still reading.
constexpr Duration listWait = std::chrono::milliseconds(250);

} // namespace

auto relayKindOf(const StoreRequest &request) -> ObjectKind
{
    if (const auto *const list = std::get_if<ListObjects>(&request))
        return list->kind;
    return std::get<WatchObjects>(request).kind;
}

auto relayWaitOf(const StoreRequest &request) -> Duration
{
    const auto *const watch = std::get_if<WatchObjects>(&request);
    return watch == nullptr ? listWait : watch->maxWait;
}

auto answerRelayCall(const StoreReader &reader, const StoreRequest &request,
                     std::optional<std::uint64_t> era, bool hasWaited) -> std::optional<RelayAnswer>
{
    const auto index = static_cast<std::size_t>(relayKindOf(request));
    const auto &cache = reader.cache.kinds.at(index);
    // Between eras, the copy is neither that of the old one nor that of the new one.
    if (!cache.complete || cache.isOfFormerEra)
        return hasWaited ? std::optional<RelayAnswer>(RelayUnavailable()) : std::nullopt;
    const auto *const watch = std::get_if<WatchObjects>(&request);
    if (watch == nullptr)
        return RelayList{storedObjects(cache), cache.revision};
    // Deletions before the list are about to be known.
    if (reader.channels.at(index).readsHistory && !hasWaited)
        return {};
    const auto isOfThisEra = !era || era == reader.era.known;
    if (watch->revision < cache.deletionsKeptSince || !isOfThisEra)
        return RelayGone();
    auto changes = changesAfter(cache, watch->revision);
    if (changes.empty() && !hasWaited)
        return {};
    return RelayChanges{std::move(changes), cache.revision};
}

} // namespace crocusreach::forward

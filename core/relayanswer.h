#pragma once

#include "storereader.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

// The answers of a relay to the calls of other instances, from the copy of its own store reader.

namespace crocusreach::forward {

// Objects are valid until the cache changes.
struct RelayList
{
    std::vector<const StoredObject *> objects;
    std::uint64_t revision = 0;
};

struct RelayChanges
{
    std::vector<const StoredObject *> objects;
    std::uint64_t revision = 0;
};

// The changes since the watched revision aren't known.
struct RelayGone
{ };

// The copy is incomplete or belongs to a former era of the store.
struct RelayUnavailable
{ };

using RelayAnswer = std::variant<RelayList, RelayChanges, RelayGone, RelayUnavailable>;

// How long a call waits for an answer.
auto relayWaitOf(const StoreRequest &request) -> Duration;

auto relayKindOf(const StoreRequest &request) -> ObjectKind;

// The answer to a list or watch call that came when the store's era was the given one; absent while
// the call has to wait for a change. A call that has waited for its time always gets an answer.
auto answerRelayCall(const StoreReader &reader, const StoreRequest &request,
                     std::optional<std::uint64_t> era, bool hasWaited)
        -> std::optional<RelayAnswer>;

} // namespace crocusreach::forward

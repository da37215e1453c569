#pragma once

#include "storereader.h"

#include <vector>

// Which source a store reader watches: the store or one of the relays.

namespace crocusreach::forward {

// True if a relay may be watched: the settings name others, and this instance is none itself.
auto canUseRelays(const StoreReader &reader) -> bool;

// True if a relay should be watched in place of the store, once one is known to be good.
auto wantsRelay(const StoreReader &reader) -> bool;

// Watches the preferred relay, which differs between instances so that the relays share them.
auto switchToPreferredRelay(StoreReader &reader, SourceChangeReason reason, TimePoint now,
                            std::vector<StoreReaderAction> &actions) -> void;

// Watches the next relay, or the store once all relays have failed in a row.
auto switchToNextRelay(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void;

auto switchToStore(StoreReader &reader, SourceChangeReason reason, TimePoint now,
                   std::vector<StoreReaderAction> &actions) -> void;

// Changes the source if the time for it has come: to the store if the copy has got too old, and to
// a relay if the deployment is large.
auto reconsiderSource(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void;

// The store refused a call for objects, and may serve others: asks a relay for a recent copy before
// the store is called again. The store is called in any case when the copy is as old as one that is
// read through a relay may get.
auto onStoreRefused(StoreReader &reader, std::size_t index, TimePoint now,
                    std::vector<StoreReaderAction> &actions) -> void;

// Ends the call that asks a relay for its store age; absent if it failed.
auto onRelayProbed(StoreReader &reader, std::optional<Duration> storeAge, TimePoint now,
                   std::vector<StoreReaderAction> &actions) -> void;

// When the source must be reconsidered.
auto nextSourceTickAt(const StoreReader &reader) -> std::optional<TimePoint>;

} // namespace crocusreach::forward

#pragma once

#include "storereader.h"

#include <vector>

// The store's part in roll-outs: the orders that it holds, and the writes of their status.

namespace crocusreach::forward {

// All orders in a copy of the kind.
auto rolloutOrders(const KindCache &cache) -> RolloutsChanged;

// Starts to read the orders if the settings have come to ask for them.
auto startRollouts(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void;

// Starts the call that writes a status. Answered by RolloutStatusWritten in any case, once.
auto startStatusWrite(StoreReader &reader, const WriteRolloutStatus &write, TimePoint now,
                      std::vector<StoreReaderAction> &actions) -> void;

// Ends that call. A failure says nothing of the store's other calls, and the one who asked for the
// write repeats it.
auto onStatusReply(StoreReader &reader, const StoreReply &reply,
                   std::vector<StoreReaderAction> &actions) -> void;

} // namespace crocusreach::forward

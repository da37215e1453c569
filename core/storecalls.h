#pragma once

#include "storereader.h"

#include <vector>

// The calls of a store reader: when one is made on a channel, to which source and with which
// timeout.

namespace crocusreach::forward {

auto channelAt(StoreReader &reader, std::size_t index) -> ChannelState &;
auto kindCache(StoreReader &reader, std::size_t index) -> KindCache &;

// True for the channels of the kinds of objects.
auto isObjectChannel(std::size_t index) -> bool;
// True for those among them whose copies must be recent: requests depend on them.
auto isBoundedChannel(std::size_t index) -> bool;

// False for kinds of objects that only other deployments read.
auto isRead(const StoreReader &reader, std::size_t index) -> bool;

auto startCall(StoreReader &reader, std::size_t index, TimePoint now,
               std::vector<StoreReaderAction> &actions) -> void;

// The channel's call has ended; the next one starts then.
auto scheduleCall(ChannelState &channel, TimePoint at) -> void;

// Starts a list in progress anew.
auto resetListing(StoreReader &reader, std::size_t index) -> void;

// Cancels all object calls and starts them at the current source. Watches continue from the known
// revision, since all sources use the store's revisions.
auto restartObjectCalls(StoreReader &reader, TimePoint now, std::vector<StoreReaderAction> &actions)
        -> void;

// A random time between half of the delay and all of it, so that instances don't act together.
auto withJitter(StoreReader &reader, Duration delay) -> Duration;

} // namespace crocusreach::forward

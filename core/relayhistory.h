#pragma once

#include "storereader.h"

// The changes before a relay's first list. A reader whose copy is somewhat older than that list has
// to be told what was deleted in between, or it reads everything again. After a common start that
// is half of the readers, and their lists take up the relay's link for seconds: with 300 instances,
// readers gave up the relay for the store and listed there again.

namespace crocusreach::forward {

// After the first list: the first watch starts from an earlier revision, if this instance is a
// relay.
auto startHistory(StoreReader &reader, std::size_t index) -> void;

// The revision that the next watch on a channel starts from.
auto watchedRevision(const StoreReader &reader, std::size_t index) -> std::uint64_t;

// Takes the deletions from the reply to that first watch.
auto recordHistory(StoreReader &reader, std::size_t index, const ObjectsChanged &changed) -> void;

} // namespace crocusreach::forward

#pragma once

#include "storereader.h"

#include <optional>
#include <string>
#include <vector>

// The era of the store. A store that is restored from an older copy loses its latest writes, issues
// their revisions again, and states a higher era in each answer. Operators, leafs and instances
// write again what was lost, within about two seconds, so that neither a missing entry nor an older
// one proves anything right after the restore.

namespace crocusreach::forward {

// Compares the era of an answer with the known one. An answer without an era belongs to the known
// one. An answer of an older era is returned as a failed call. One of a newer era starts a list of
// each kind of object; nothing is returned if it can't be used as such a list itself.
auto acceptEra(StoreReader &reader, const StoreReply &reply, TimePoint now,
               std::vector<StoreReaderAction> &actions) -> std::optional<StoreReply>;

// The record with the era of the reader's copy.
auto withEra(const StoreReader &reader, LeafRecord leaf) -> LeafRecord;

// True for an object of a list that doesn't replace what is known from the former era, since it is
// older than that and the list may have been read before the newer state was written again.
auto leavesOut(StoreReader &reader, ObjectKind kind, const StoredObject &listed) -> bool;

// A kind's list is complete.
auto recordEraList(StoreReader &reader, ObjectKind kind, TimePoint now) -> void;

// True if what only the former era had of a kind must not stay in force any longer: evacuations
// until a copy that is confirmed two seconds after the list still lacks them, others for as long as
// entries that expired in an outage.
auto isFormerEraOver(const StoreReader &reader, ObjectKind kind, TimePoint now) -> bool;

// Ends that time, and returns the names of the objects that are gone. Reads the kind again if
// objects of the list were left out.
auto endFormerEra(StoreReader &reader, ObjectKind kind, TimePoint now,
                  std::vector<StoreReaderAction> &actions) -> std::vector<std::string>;

// The own entry is in the store.
auto onRegistered(StoreReader &reader, const CallSucceeded &succeeded, TimePoint now,
                  std::vector<StoreReaderAction> &actions) -> void;

auto nextEraTickAt(const StoreReader &reader) -> std::optional<TimePoint>;

} // namespace crocusreach::forward

#pragma once

#include "base/log.h"
#include "core/forwardmessages.h"
#include "core/storereader.h"

#include <span>
#include <string>
#include <vector>

// The log lines of a front: what each one is made of. formats/requestlog reads them again.

namespace crocusreach {

// RequestEnded if the whole answer was in time, otherwise RequestDegraded.
auto eventOf(const forward::CallSummary &summary) -> LogEvent;

auto fieldsOf(const forward::CallSummary &summary) -> std::vector<LogField>;
auto fieldsOf(const forward::SendRepeated &repeated) -> std::vector<LogField>;
auto fieldsOf(const forward::LeafLimitChanged &changed) -> std::vector<LogField>;
auto fieldsOf(const forward::LeafPaused &paused) -> std::vector<LogField>;
auto fieldsOf(const forward::TenantLimitChanged &changed) -> std::vector<LogField>;
auto fieldsOf(const forward::CrossingChanged &changed) -> std::vector<LogField>;
auto fieldsOf(const forward::LeafLeaving &leaving) -> std::vector<LogField>;
auto fieldsOf(const forward::SendFailureReport &failed) -> std::vector<LogField>;

// Lines on what the instance learns of the platform. Other events have none.
auto logLearned(const forward::ForwardEvent &event) -> void;
auto logRoutes(const forward::RouteTable &table) -> void;
auto logPhase(const forward::RolloutPhaseChanged &changed) -> void;

auto logNotification(const forward::StoreNotification &notification) -> void;

} // namespace crocusreach

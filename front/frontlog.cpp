#include "frontlog.h"

#include "base/clock.h"
#include "core/text.h"

#include <array>
#include <variant>

namespace crocusreach {

using namespace forward;

namespace {

auto yesOrNo(bool value) -> std::string
{
    return value ? "yes" : "no";
}

// Milliseconds, or that the time isn't known or there was none.
auto ageText(const std::optional<Duration> &age) -> std::string
{
    return age ? millisecondsText(*age) : "none";
}

// Address of a relay, or the store.
auto sourceText(std::string_view address) -> std::string
{
    return std::string(address.empty() ? "store" : address);
}

auto log(const LeafsRegistered &event) -> void
{
    for (const auto &leaf : event.leafs) {
        logEvent(LogEvent::LeafRegistered, {{"leaf", leaf.id},
                                            {"service", leaf.service},
                                            {"address", leaf.address},
                                            {"domain", leaf.domain},
                                            {"draining", yesOrNo(leaf.draining)},
                                            {"cold_ms", millisecondsText(leaf.coldTimeLeft)},
                                            {"revision", std::to_string(leaf.revision)}});
    }
}

auto log(const LeafsRemoved &event) -> void
{
    const auto age = event.seenAt ? std::optional(decisionNow() - *event.seenAt) : std::nullopt;
    for (const auto &id : event.ids)
        logEvent(LogEvent::LeafRemoved, {{"leaf", id},
                                         {"store_was_away", yesOrNo(event.registryWasUnavailable)},
                                         {"source", sourceText(event.source)},
                                         {"copy_age_ms", ageText(age)}});
}

auto log(const DomainsEvacuated &event) -> void
{
    auto names = std::string();
    for (const auto &domain : event.domains)
        names.append(names.empty() ? "" : ",").append(domain);
    logEvent(LogEvent::EvacuationsChanged, {{"domains", names}});
}

auto log(const InstancesCounted &event) -> void
{
    logEvent(LogEvent::InstancesCounted, {{"instances", std::to_string(event.instances)}});
}

auto log(const RolloutStatusWritten &event) -> void
{
    static constexpr auto results
            = std::to_array<std::string_view>({"written", "conflict", "failed"});
    static constexpr auto states
            = std::to_array<std::string_view>({"none", "running", "completed", "rolled_back"});
    logEvent(LogEvent::RolloutStatusWritten,
             {{"order", event.name},
              {"state", std::string(states.at(static_cast<std::size_t>(event.state)))},
              {"result", std::string(results.at(static_cast<std::size_t>(event.result)))}});
}

} // namespace

auto eventOf(const CallSummary &summary) -> LogEvent
{
    const auto good = summary.end == CallEnd::Complete && !summary.late;
    return good ? LogEvent::RequestEnded : LogEvent::RequestDegraded;
}

auto fieldsOf(const CallSummary &summary) -> std::vector<LogField>
{
    auto fields
            = std::vector<LogField>{{"request", summary.requestId},
                                    {"end", std::string(toString(summary.end))},

                                    {"route", summary.route},
                                    {"version", std::to_string(summary.version)},
                                    {"version_age_ms", ageText(summary.stateAge)},
                                    {"spent_ms", millisecondsText(summary.elapsed)},
                                    {"time_left_ms", millisecondsText(summary.timeLeftAtArrival)},
                                    {"allowed_ms", millisecondsText(summary.timeAllowed)},
                                    {"late", yesOrNo(summary.late)},
                                    {"parts", std::to_string(summary.parts)},
                                    {"missing", std::to_string(summary.missing)},
                                    {"sends", std::to_string(summary.sends)},
                                    {"hedges", std::to_string(summary.hedges)},
                                    {"retries", std::to_string(summary.retries)},
                                    {"usual_ms", millisecondsText(summary.typicalLatency)},
                                    {"waited_for", summary.lastLeaf},
                                    {"leaf_took_ms", millisecondsText(summary.leafLatency)},
                                    {"leaf_age_ms", ageText(summary.timeSinceLeafAnswer)},
                                    {"leaf_cold", yesOrNo(summary.leafCold)},
                                    {"close_delimited", std::to_string(summary.closeDelimited)}};
    if (!summary.tenant.empty())
        fields.push_back({"tenant", summary.tenant});
    return fields;
}

auto fieldsOf(const SendRepeated &repeated) -> std::vector<LogField>
{
    return {{"request", repeated.requestId},
            {"service", repeated.service},
            {"reason", std::string(toString(repeated.reason))},
            {"former_leaf", repeated.formerLeaf},
            {"leaf", repeated.leaf},
            {"spent_ms", millisecondsText(repeated.elapsed)}};
}

auto fieldsOf(const SendFailureReport &failed) -> std::vector<LogField>
{
    return {{"request", failed.requestId},
            {"service", failed.service},
            {"leaf", failed.leaf},
            {"domain", failed.domain},
            {"reason", std::string(toString(failed.reason))},
            {"waited_ms", millisecondsText(failed.waited)},
            {"leaf_silence_ms", ageText(failed.timeSinceLeafAnswer)},
            {"leaf_cold", yesOrNo(failed.leafCold)},
            {"connection_end", std::string(toString(failed.connection.end))},
            {"answer_bytes", std::to_string(failed.connection.answerBytes)}};
}

auto fieldsOf(const LeafLeaving &leaving) -> std::vector<LogField>
{
    return {{"leaf", leaving.leaf},
            {"service", leaving.service},
            {"domain", leaving.domain},
            {"request", leaving.requestId},
            {"listed_draining", yesOrNo(leaving.drainingInRegistry)}};
}

auto fieldsOf(const LeafLimitChanged &changed) -> std::vector<LogField>
{
    return {{"leaf", changed.leaf},
            {"service", changed.service},
            {"domain", changed.domain},
            {"per_s", changed.perSecond ? std::to_string(*changed.perSecond) : "none"}};
}

auto fieldsOf(const TenantLimitChanged &changed) -> std::vector<LogField>
{
    return {{"tenant", changed.tenant}, {"denied", std::to_string(changed.denied)}};
}

auto fieldsOf(const LeafPaused &paused) -> std::vector<LogField>
{
    return {{"leaf", paused.leaf},
            {"service", paused.service},
            {"domain", paused.domain},
            {"pause_ms", millisecondsText(paused.pause)}};
}

auto logPhase(const RolloutPhaseChanged &changed) -> void
{
    logEvent(LogEvent::RolloutPhaseChanged, {{"service", changed.service},
                                             {"target_version", changed.targetVersion},
                                             {"phase", std::string(toString(changed.phase))},
                                             {"spent_ms", millisecondsText(changed.elapsed)}});
    if (!changed.evidence)
        return;
    const auto &evidence = *changed.evidence;
    logEvent(LogEvent::RolloutFoundBad,
             {{"service", changed.service},
              {"target_version", changed.targetVersion},
              {"by", evidence.kind == BadKind::Failures ? "failures" : "latency"},
              {"route", evidence.route.empty() ? "all" : evidence.route},
              {"bad", std::to_string(evidence.targetBad)},
              {"of", std::to_string(evidence.targetTotal)},
              {"old_bad", std::to_string(evidence.oldBad)},
              {"old_of", std::to_string(evidence.oldTotal)}});
}

auto fieldsOf(const CrossingChanged &changed) -> std::vector<LogField>
{
    return {{"service", changed.service},
            {"leaves", yesOrNo(changed.leaves)},
            {"share", std::to_string(changed.share)}};
}

auto logLearned(const ForwardEvent &event) -> void
{
    std::visit(
            [](const auto &content) {
                if constexpr (requires { log(content); })
                    log(content);
            },
            event);
}

auto logRoutes(const RouteTable &table) -> void
{
    logEvent(LogEvent::RoutesInForce, {{"version", std::to_string(table.version)},
                                       {"routes", std::to_string(table.routes.size())}});
}

auto logNotification(const StoreNotification &notification) -> void
{
    const auto source = sourceText(notification.source);
    const auto channel = std::string(toString(notification.channel));
    switch (notification.kind) {
    case StoreNotificationKind::Unreachable:
        return logEvent(LogEvent::StoreUnreachable,
                        {{"source", source},
                         {"channel", channel},
                         {"failure", std::string(toString(*notification.failure))}});
    case StoreNotificationKind::Reachable:
        return logEvent(LogEvent::StoreReachable, {{"source", source}, {"channel", channel}});
    case StoreNotificationKind::SourceChanged:
        return logEvent(LogEvent::SourceChanged,
                        {{"source", source},
                         {"former", sourceText(notification.formerSource)},
                         {"reason", std::string(toString(*notification.reason))},
                         {"age_ms", millisecondsText(notification.age)}});
    case StoreNotificationKind::EraChanged:
        return logEvent(LogEvent::StoreEraChanged,
                        {{"source", source},
                         {"era", std::to_string(notification.era)},
                         {"former", std::to_string(notification.formerEra)}});
    case StoreNotificationKind::KindUnknown:
        return logEvent(LogEvent::StoreKindUnknown, {{"source", source}, {"channel", channel}});
    case StoreNotificationKind::CopyOutdated:
        return logEvent(LogEvent::CopyOutdated, {{"source", source},
                                                 {"channel", channel},
                                                 {"age_ms", millisecondsText(notification.age)}});
    case StoreNotificationKind::CopyConfirmed:
        return logEvent(LogEvent::CopyConfirmed, {{"source", source},
                                                  {"channel", channel},
                                                  {"age_ms", millisecondsText(notification.age)}});
    }
}

} // namespace crocusreach

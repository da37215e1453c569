#include "propagation.h"

#include <algorithm>

namespace crocusreach {

namespace {

constexpr Duration minStoreBackoff = std::chrono::milliseconds(250);
constexpr std::uint32_t maxBackoffDoublings = 8;

// How long the assignment is read back after a write without a reply.
constexpr Duration writeReadBackPeriod = std::chrono::seconds(10);

auto recordFailure(Propagation &propagation, const ControlSettings &settings, TimePoint now) -> void
{
    const auto doublings = std::min(propagation.consecutiveFailures, maxBackoffDoublings);
    const auto backoff = std::min(settings.storeBackoffLimit, minStoreBackoff * (1 << doublings));
    ++propagation.consecutiveFailures;
    propagation.storeReachable = false;
    propagation.storeBackoffUntil = now + jittered(propagation, backoff);
}

auto recordSuccess(Propagation &propagation) -> void
{
    propagation.consecutiveFailures = 0;
    propagation.storeReachable = true;
    propagation.storeBackoffUntil = {};
}

auto recordUnknownOutcome(Propagation &propagation, const PendingCall &call,
                          const ControlSettings &settings, TimePoint now) -> void
{
    if (call.operation == StoreOperation::Watch) {
        ++propagation.silentWatches;
        propagation.watchBackoffUntil = now + jittered(propagation, settings.storeTimeout);
        return;
    }
    recordFailure(propagation, settings, now);
    if (call.operation == StoreOperation::Write)
        propagation.writeUncertainUntil = now + writeReadBackPeriod;
}

auto recordRead(Propagation &propagation, const PendingCall &call) -> void
{
    auto &readAt = call.kind == StateKind::Configuration ? propagation.completedConfigurationReadAt
                                                         : propagation.completedAssignmentReadAt;
    if (!readAt || *readAt < call.startedAt)
        readAt = call.startedAt;
}

auto addCall(Propagation &propagation, StoreCall call, TimePoint now, ControlActions &actions)
        -> void
{
    call.callId = propagation.nextCall++;
    propagation.pending.push_back({call.callId, call.operation, call.kind, now,
                                   now + call.timeout + replyGrace, call.version, call.assignment,
                                   std::nullopt});
    actions.emplace_back(std::move(call));
}

// Called when a newer revision became known from any source: pending watches should report it soon.
auto startSilentWatchTimers(Propagation &propagation, TimePoint now) -> void
{
    for (auto &call : propagation.pending) {
        if (call.operation == StoreOperation::Watch && !call.silenceTimeoutAt)
            call.silenceTimeoutAt = now + maxWatchLag;
    }
}

auto pullState(std::optional<TimePoint> &pulledAt, const Heartbeat &state, FetchState fetch,
               TimePoint now, ControlActions &actions) -> void
{
    if (pulledAt && now - *pulledAt < pullTimeout)
        return;
    pulledAt = now;
    actions.emplace_back(SendFetchState{state.from.address, fetch});
}

} // namespace

auto jittered(Propagation &propagation, Duration duration) -> Duration
{
    constexpr std::uint64_t parts = 1024;
    propagation.seed = hashPair(propagation.seed, propagation.nextCall);
    const auto part = static_cast<Duration::rep>(propagation.seed % parts);
    return duration / 2 + duration * part / (2 * static_cast<Duration::rep>(parts));
}

auto adoptConfiguration(Propagation &propagation, std::shared_ptr<const Configuration> newer,
                        TimePoint now) -> bool
{
    if (newer == nullptr || newer->revision <= propagation.configuration->revision)
        return false;
    propagation.leafIndex = std::make_shared<const LeafIndex>(buildLeafIndex(*newer));
    propagation.configuration = std::move(newer);
    propagation.configurationPulledAt.reset();
    propagation.newerConfigurationKnownSince.reset();
    startSilentWatchTimers(propagation, now);
    return true;
}

auto adoptAssignment(Propagation &propagation, std::shared_ptr<const Assignment> newer) -> bool
{
    if (newer == nullptr || newer->epoch <= propagation.assignment->epoch)
        return false;
    propagation.assignment = std::move(newer);
    propagation.assignmentKnown = true;
    propagation.assignmentPulledAt.reset();
    return true;
}

auto isPending(const Propagation &propagation, StoreOperation operation, StateKind kind) -> bool
{
    return std::ranges::any_of(propagation.pending, [&](const PendingCall &call) {
        return call.operation == operation && call.kind == kind;
    });
}

auto canCallStore(const Propagation &propagation, TimePoint now) -> bool
{
    return now >= propagation.storeBackoffUntil;
}

auto startRead(Propagation &propagation, StateKind kind, const ControlSettings &settings,
               TimePoint now, ControlActions &actions) -> void
{
    auto &startedAt = kind == StateKind::Configuration ? propagation.configurationReadStartedAt
                                                       : propagation.assignmentReadStartedAt;
    startedAt = now;
    auto call = StoreCall();
    call.operation = StoreOperation::Read;
    call.kind = kind;
    // With the known version, the store need not send a large unchanged object every two seconds.
    call.version = kind == StateKind::Configuration
                           ? toUnderlying(propagation.configuration->revision)
                           : toUnderlying(propagation.assignment->epoch);
    call.timeout = settings.storeTimeout;
    addCall(propagation, std::move(call), now, actions);
}

auto startWatch(Propagation &propagation, const ControlSettings &settings, TimePoint now,
                ControlActions &actions) -> void
{
    auto call = StoreCall();
    call.operation = StoreOperation::Watch;
    call.kind = StateKind::Configuration;
    call.version = toUnderlying(propagation.configuration->revision);
    call.timeout = watchTimeout + settings.storeTimeout;
    addCall(propagation, std::move(call), now, actions);
}

auto startWrite(Propagation &propagation, std::shared_ptr<const Assignment> assignment,
                std::uint64_t expected, const ControlSettings &settings, TimePoint now,
                ControlActions &actions) -> void
{
    auto call = StoreCall();
    call.operation = StoreOperation::Write;
    call.kind = StateKind::Assignment;
    call.version = expected;
    call.assignment = std::move(assignment);
    call.timeout = settings.storeTimeout;
    addCall(propagation, std::move(call), now, actions);
}

auto completeCall(Propagation &propagation, const StoreReply &reply,
                  const ControlSettings &settings, TimePoint now) -> std::optional<PendingCall>
{
    const auto found = std::ranges::find(propagation.pending, reply.callId, &PendingCall::callId);
    if (found == propagation.pending.end())
        return std::nullopt;
    const auto call = *found;
    propagation.pending.erase(found);
    if (reply.status == StoreStatus::Unknown) {
        recordUnknownOutcome(propagation, call, settings, now);
        return call;
    }
    recordSuccess(propagation);
    if (call.operation == StoreOperation::Read)
        recordRead(propagation, call);
    return call;
}

auto expireCalls(Propagation &propagation, const ControlSettings &settings, TimePoint now) -> void
{
    const auto isSilent = [&](const PendingCall &call) {
        return call.silenceTimeoutAt && now >= *call.silenceTimeoutAt;
    };
    propagation.silentWatches += std::erase_if(propagation.pending, isSilent);
    for (const auto &call : propagation.pending) {
        if (now >= call.expiresAt)
            recordUnknownOutcome(propagation, call, settings, now);
    }
    std::erase_if(propagation.pending,
                  [&](const PendingCall &call) { return now >= call.expiresAt; });
}

auto nextStoreActionAt(const Propagation &propagation, TimePoint now) -> std::optional<TimePoint>
{
    auto next = std::optional<TimePoint>();
    if (propagation.storeBackoffUntil > now)
        next = propagation.storeBackoffUntil;
    for (const auto &call : propagation.pending) {
        const auto end = std::min(call.expiresAt, call.silenceTimeoutAt.value_or(call.expiresAt));
        if (!next || end < *next)
            next = end;
    }
    return next;
}

auto pullNewerState(Propagation &propagation, const Heartbeat &state, InstanceId self,
                    bool fromSource, TimePoint now, ControlActions &actions) -> void
{
    const auto revision = propagation.configuration->revision;
    const auto epoch = propagation.assignment->epoch;
    if (state.epoch > epoch)
        pullState(propagation.assignmentPulledAt, state,
                  {self, StateKind::Assignment, toUnderlying(epoch)}, now, actions);
    if (state.revision <= revision)
        return;
    if (!propagation.newerConfigurationKnownSince)
        propagation.newerConfigurationKnownSince = now;
    if (fromSource || now - *propagation.newerConfigurationKnownSince >= pullTimeout)
        pullState(propagation.configurationPulledAt, state,
                  {self, StateKind::Configuration, toUnderlying(revision)}, now, actions);
}

auto answerFetch(const Propagation &propagation, const FetchState &fetch, InstanceId self)
        -> FetchedState
{
    auto fetched = FetchedState{self, nullptr, nullptr};
    if (fetch.kind == StateKind::Configuration) {
        if (toUnderlying(propagation.configuration->revision) > fetch.newerThan)
            fetched.configuration = propagation.configuration;
    } else if (toUnderlying(propagation.assignment->epoch) > fetch.newerThan) {
        fetched.assignment = propagation.assignment;
    }
    return fetched;
}

} // namespace crocusreach

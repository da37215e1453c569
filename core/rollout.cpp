#include "rollout.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace crocusreach::forward {

namespace {

// Each instance uses this part of what it may send by its own count. The rest is for requests that
// the platform counts differently, such as those whose caller left.
constexpr double usedShare = 0.8;
// A version that appears beside one in use gets nothing for this time without an order: the order
// may be read later than the leafs' entries. It is used at once if nothing else is left.
constexpr Duration withholdTime = std::chrono::seconds(60);
constexpr Duration withheldCheckInterval = std::chrono::seconds(1);
constexpr Duration reportInterval = std::chrono::milliseconds(500);
// Without news. A bad verdict must reach all instances well within the rollback time.
constexpr Duration quietReportInterval = std::chrono::seconds(1);
// From this part of an order's duration on, all reports follow at the short interval, so that the
// instances switch together.
constexpr double promptReportsFrom = 0.7;
// An instance that got no reply is asked again after this time; the next one takes its place.
constexpr Duration avoidTime = std::chrono::seconds(2);
// Of the rollback time. Without a reply for the first part, the verdict may be bad and unheard, so
// that the new version gets nothing. Reports that are older than the second part don't count as
// heard. A group of instances that is cut off from most others ends its sends after both together.
constexpr double hearingPart = 0.4;
constexpr double reportValidityPart = 0.4;
// Reports follow each other at up to this time.
constexpr Duration shortestValidity = std::chrono::milliseconds(1600);
// A coordinator of hundreds of instances gets more than a thousand reports a second, and each look
// adds up the counts of all of them.
constexpr Duration lookInterval = std::chrono::milliseconds(100);
constexpr Duration writeRetryDelay = std::chrono::milliseconds(500);
// A version is judged to be good after this part of the duration at the earliest, and with too
// little evidence after the second one. Of a long order, the last seconds suffice for the
// switch-over, also if a coordinator is lost in it.
constexpr double earliestGood = 0.75;
constexpr double earliestUnclear = 0.8;
constexpr Duration switchReserve = std::chrono::seconds(10);
constexpr Duration unclearReserve = std::chrono::seconds(8);
constexpr Duration shortestSwitch = std::chrono::milliseconds(1500);
constexpr Duration longestSwitch = std::chrono::seconds(2);
// A report must fit into one message.
constexpr std::size_t maxRows = 96;

auto part(Duration duration, double fraction) -> Duration
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * fraction));
}

auto hearingTime(const Rollouts &rollouts) -> Duration
{
    return std::max(part(rollouts.limits.rollbackTime, hearingPart), shortestValidity);
}

auto reportValidity(const Rollouts &rollouts) -> Duration
{
    return std::max(part(rollouts.limits.rollbackTime, reportValidityPart), shortestValidity);
}

auto hasOtherInUse(const ServiceVersions &service, std::string_view version) -> bool
{
    return std::any_of(service.versions.begin(), service.versions.end(), [&](const auto &item) {
        return item.first != version && item.second.state == VersionState::InUse;
    });
}

auto useOf(const ServiceVersions &service, const std::string &version, bool withheldInUse)
        -> VersionUse
{
    const auto &progress = service.progress;
    const auto isTarget = progress && progress->order.targetVersion == version;
    if (progress && progress->phase == RolloutPhase::Completed)
        return isTarget ? VersionUse::InUse : VersionUse::Barred;
    if (isTarget && progress->isBad)
        return VersionUse::Barred;
    if (progress && progress->phase == RolloutPhase::Switching)
        return isTarget ? VersionUse::InUse : VersionUse::Barred;
    if (isTarget && hasOtherInUse(service, version))
        return VersionUse::Canary;
    const auto known = service.versions.find(version);
    if (isTarget || known == service.versions.end() || known->second.state == VersionState::InUse)
        return VersionUse::InUse;
    const auto isWithheld = known->second.state == VersionState::Withheld;
    return isWithheld && withheldInUse ? VersionUse::InUse : VersionUse::Barred;
}

// Marks the leafs of a service by the use of their versions.
auto applyUse(const std::string &name, const ServiceVersions &service,
              const RolloutContext &context, TimePoint now) -> void
{
    const auto list = context.leafs->byService.find(name);
    if (list == context.leafs->byService.end())
        return;
    const auto mark = [&](bool withheldInUse) {
        auto usable = false;
        for (const auto index : list->second) {
            auto &leaf = leafAt(*context.leafs, index);
            leaf.versionUse = useOf(service, leaf.record.version, withheldInUse);
            usable = usable || isUsable(*context.leafs, leaf, now);
        }
        return usable;
    };
    if (!mark(false) && !service.progress)
        mark(true);
}

auto wake(Rollouts &rollouts, TimePoint at) -> void
{
    rollouts.nextTickAt = std::min(rollouts.nextTickAt.value_or(at), at);
}

auto setPhase(RolloutProgress &progress, RolloutPhase phase, TimePoint now,
              std::vector<RolloutAction> &actions,
              const std::optional<BadEvidence> &evidence = std::nullopt) -> void
{
    if (progress.phase == phase)
        return;
    progress.phase = phase;
    progress.hasNews = true;
    actions.emplace_back(RolloutPhaseChanged{progress.order.service, progress.order.targetVersion,
                                             phase, now - progress.startedAt, evidence});
}

auto setBad(RolloutProgress &progress, TimePoint now, std::vector<RolloutAction> &actions,
            const std::optional<BadEvidence> &evidence = std::nullopt) -> void
{
    // What the store says is final.
    if (progress.isBad || progress.phase == RolloutPhase::Completed)
        return;
    progress.isBad = true;
    progress.coordination.switchingSince.reset();
    setPhase(progress, RolloutPhase::RolledBack, now, actions, evidence);
}

// Keeps what an order that is no longer there means for the versions.
auto endOrder(ServiceVersions &service) -> void
{
    const auto &progress = *service.progress;
    const auto &target = progress.order.targetVersion;
    if (progress.phase == RolloutPhase::Completed) {
        for (auto &[version, known] : service.versions)
            known.state = VersionState::Excluded;
        service.versions[target].state = VersionState::InUse;
    } else if (hasOtherInUse(service, target)) {
        service.versions[target].state = VersionState::Excluded;
    }
    service.progress.reset();
}

// This instance's part of the slack. Parts of a request are drawn, so that the sum is right on
// average. An instance that found the order at its start may have used its part before.
auto drawSlack(const Rollouts &rollouts, const RolloutContext &context, bool isFresh) -> double
{
    if (!isFresh || !context.stateRead || !context.instances)
        return 0;
    const auto share = usedShare * rollouts.limits.canarySlack / std::max(1U, *context.instances);
    const auto random = std::ldexp(static_cast<double>(nextRandom(*context.random)), -64);
    return std::floor(share + random);
}

auto beginOrder(Rollouts &rollouts, ServiceVersions &service, const RolloutOrder &order,
                const RolloutContext &context, TimePoint now, std::vector<RolloutAction> &actions)
        -> void
{
    if (service.progress)
        endOrder(service);
    if (hasOtherInUse(service, order.targetVersion))
        service.versions[order.targetVersion].state = VersionState::Withheld;
    const auto isFresh = order.state == RolloutState::None;
    auto &progress = service.progress.emplace();
    progress.order = order;
    progress.number = ++rollouts.lastNumber;
    progress.orderRevision = isFresh ? order.revision : 0;
    progress.startedAt = now;
    progress.slackPart = drawSlack(rollouts, context, isFresh);
    actions.emplace_back(
            RolloutPhaseChanged{order.service, order.targetVersion, RolloutPhase::Running, {}, {}});
}

auto isSameOrder(const RolloutProgress &progress, const RolloutOrder &order) -> bool
{
    const auto &former = progress.order;
    // An entry without a status that was written anew is a new order.
    const auto isRewritten = order.state == RolloutState::None && order.revision > former.revision;
    return former.name == order.name && former.targetVersion == order.targetVersion
           && former.duration == order.duration && !isRewritten;
}

auto takeState(RolloutProgress &progress, const RolloutOrder &order, TimePoint now,
               std::vector<RolloutAction> &actions) -> void
{
    const auto isStale
            = order.revision < progress.order.revision
              || (order.revision == progress.order.revision && order.state < progress.order.state);
    if (isStale)
        return;
    progress.order = order;
    if (order.state == RolloutState::Completed) {
        setPhase(progress, RolloutPhase::Completed, now, actions);
    } else if (order.state == RolloutState::RolledBack) {
        progress.isBad = true;
        setPhase(progress, RolloutPhase::RolledBack, now, actions);
    }
}

auto isFinished(const RolloutProgress &progress) -> bool
{
    return progress.phase == RolloutPhase::Completed
           || progress.order.state == RolloutState::RolledBack;
}

// Position of the first instance by rendezvous hash that isn't avoided; absent if that is this
// instance, or no other is known.
auto chooseCoordinator(Rollouts &rollouts, const RolloutProgress &progress, TimePoint now)
        -> const Peer *
{
    std::erase_if(rollouts.avoidedPeers, [&](const auto &item) { return item.second <= now; });
    const auto subject = hashName(progress.order.service);
    const Peer *best = nullptr;
    auto bestHash = std::uint64_t(0);
    for (const auto &peer : rollouts.peers.peers) {
        const auto isOwn = peer.name == rollouts.instance;
        const auto hash = hashPair(peer.nameHash, subject);
        if ((!isOwn && rollouts.avoidedPeers.contains(peer.address))
            || (best != nullptr && hash <= bestHash))
            continue;
        best = &peer;
        bestHash = hash;
    }
    return best == nullptr || best->name == rollouts.instance ? nullptr : best;
}

// True if most instances have reported lately. Verdicts on the counts of a few would let a version
// pass that others found to be bad.
auto hasQuorum(const Rollouts &rollouts, const RolloutProgress &progress, TimePoint now) -> bool
{
    const auto known = rollouts.peers.peers.size();
    if (known <= 2)
        return true;
    auto heard = std::size_t(1);
    for (const auto &[sender, report] : progress.coordination.reports)
        heard += now - report.at <= reportValidity(rollouts) ? 1 : 0;
    return 2 * heard > known;
}

auto makeReport(const Rollouts &rollouts, const RolloutProgress &progress, TimePoint now)
        -> RolloutReport
{
    return {rollouts.instance,      rollouts.process,
            progress.order.service, progress.order.targetVersion,
            progress.orderRevision, now - progress.startedAt,
            progress.phase,         progress.isBad,
            progress.openOldSends,  progress.rows};
}

// False if the two sides speak of different orders. An instance that started after the order takes
// its revision and age from others.
auto matchOrder(RolloutProgress &progress, std::uint64_t orderRevision, Duration age, TimePoint now)
        -> bool
{
    const auto own = progress.orderRevision;
    if (orderRevision != 0 && own != 0 && orderRevision != own)
        return false;
    // An order that ended before this instance started may have been given again.
    const auto hasEnded = progress.order.state == RolloutState::Completed
                          || progress.order.state == RolloutState::RolledBack;
    if (own == 0 && orderRevision != 0 && hasEnded)
        return false;
    progress.orderRevision = std::max(progress.orderRevision, orderRevision);
    progress.startedAt = std::min(progress.startedAt, now - age);
    return true;
}

auto findProgress(Rollouts &rollouts, std::string_view service, std::string_view target)
        -> RolloutProgress *
{
    const auto found = rollouts.services.find(service);
    if (found == rollouts.services.end() || !found->second.progress
        || found->second.progress->order.targetVersion != target)
        return nullptr;
    return &*found->second.progress;
}

auto writeStatus(Rollouts &rollouts, RolloutProgress &progress, RolloutState state, TimePoint now,
                 std::vector<RolloutAction> &actions) -> bool
{
    auto &coordination = progress.coordination;
    if (rollouts.openWrite != 0 || now < coordination.nextWriteAt) {
        wake(rollouts, std::max(now + writeRetryDelay, coordination.nextWriteAt));
        return false;
    }
    rollouts.openWrite = progress.number;
    coordination.nextWriteAt = now + writeRetryDelay;
    actions.emplace_back(WriteRolloutStatus{progress.order.name, progress.order.revision, state,
                                            progress.order.targetVersion});
    return true;
}

auto allRows(const RolloutProgress &progress) -> std::vector<EvidenceRow>
{
    auto rows = progress.coordination.formerRows;
    for (const auto &row : progress.rows)
        addRow(rows, row);
    for (const auto &[sender, heard] : progress.coordination.reports) {
        for (const auto &row : heard.report.rows)
            addRow(rows, row);
    }
    return rows;
}

auto countTargetLeafs(const RolloutProgress &progress, const RolloutContext &context, TimePoint now)
        -> std::size_t
{
    const auto list = context.leafs->byService.find(progress.order.service);
    if (list == context.leafs->byService.end())
        return 0;
    return static_cast<std::size_t>(
            std::count_if(list->second.begin(), list->second.end(), [&](LeafNumber index) {
                const auto &leaf = leafAt(*context.leafs, index);
                return leaf.record.version == progress.order.targetVersion
                       && isUsableAs(*context.leafs, leaf, leaf.versionUse, now);
            }));
}

// True if all instances that were heard lately have switched and got their last answers of leafs of
// other versions.
auto haveAllSwitched(const Rollouts &rollouts, const RolloutProgress &progress, TimePoint now)
        -> bool
{
    const auto &reports = progress.coordination.reports;
    return progress.openOldSends == 0
           && std::all_of(reports.begin(), reports.end(), [&](const auto &item) {
                  const auto &report = item.second.report;
                  return now - item.second.at > reportValidity(rollouts)
                         || (report.phase == RolloutPhase::Switching && report.openOldSends == 0);
              });
}

auto judgeVersion(RolloutProgress &progress, const RolloutContext &context, TimePoint now,
                  std::vector<RolloutAction> &actions) -> bool
{
    const auto rows = allRows(progress);
    const auto leafs = countTargetLeafs(progress, context, now);
    if (const auto evidence = findBadEvidence(rows, leafs)) {
        setBad(progress, now, actions, evidence);
        return false;
    }
    const auto duration = progress.order.duration;
    const auto elapsed = now - progress.startedAt;
    const auto goodAt = std::max(part(duration, earliestGood), duration - switchReserve);
    const auto unclearAt = std::max(part(duration, earliestUnclear), duration - unclearReserve);
    if (leafs == 0 || elapsed < goodAt)
        return false;
    const auto isUnclear = !hasEnoughEvidence(rows);
    if (isUnclear && elapsed < unclearAt)
        return false;
    auto evidence = findLateEvidence(rows, leafs);
    if (!evidence && isUnclear)
        evidence = findLikelyEvidence(rows, leafs);
    if (evidence) {
        setBad(progress, now, actions, evidence);
        return false;
    }
    return true;
}

// The one that ranks first also sets its own phase; others follow the replies that they get.
auto coordinate(Rollouts &rollouts, RolloutProgress &progress, bool ranksFirst,
                const RolloutContext &context, TimePoint now, std::vector<RolloutAction> &actions)
        -> void
{
    auto &coordination = progress.coordination;
    if (isFinished(progress) || now < coordination.nextLookAt)
        return;
    coordination.nextLookAt = now + lookInterval;
    const auto isGood = !progress.isBad && judgeVersion(progress, context, now, actions);
    if (progress.isBad) {
        writeStatus(rollouts, progress, RolloutState::RolledBack, now, actions);
        return;
    }
    if (progress.order.state == RolloutState::None) {
        writeStatus(rollouts, progress, RolloutState::Running, now, actions);
        return;
    }
    const auto mayGoOn
            = hasQuorum(rollouts, progress, now) && countTargetLeafs(progress, context, now) > 0;
    // Another coordinator may have withdrawn the switch.
    if (!mayGoOn || progress.phase != RolloutPhase::Switching)
        coordination.switchingSince.reset();
    if (!coordination.switchingSince) {
        if (ranksFirst)
            setPhase(progress, RolloutPhase::Running, now, actions);
        // The write shows that the store can record the result, and that no other instance has
        // decided.
        if (isGood && mayGoOn && !coordination.switchRequested)
            coordination.switchRequested
                    = writeStatus(rollouts, progress, RolloutState::Running, now, actions);
        return;
    }
    const auto switching = now - *coordination.switchingSince;
    const auto isDone
            = switching >= longestSwitch
              || (switching >= shortestSwitch && haveAllSwitched(rollouts, progress, now));
    if (isDone)
        writeStatus(rollouts, progress, RolloutState::Completed, now, actions);
}

// An instance that others take for the coordinator acts as one, as does the one that ranks first.
auto isCoordinator(const Rollouts &rollouts, const RolloutProgress &progress, const Peer *other,
                   TimePoint now) -> bool
{
    const auto &askedAt = progress.coordination.askedAt;
    return other == nullptr || (askedAt && now - *askedAt <= reportValidity(rollouts));
}

auto nextInterval(const RolloutProgress &progress, TimePoint now) -> Duration
{
    const auto isPrompt
            = progress.hasNews || progress.phase == RolloutPhase::Switching
              || now - progress.startedAt >= part(progress.order.duration, promptReportsFrom);
    return isPrompt ? reportInterval : quietReportInterval;
}

auto tickService(Rollouts &rollouts, RolloutProgress &progress, const RolloutContext &context,
                 TimePoint now, std::vector<RolloutAction> &actions) -> void
{
    if (isFinished(progress))
        return;
    const auto *const other = chooseCoordinator(rollouts, progress, now);
    if (isCoordinator(rollouts, progress, other, now)) {
        coordinate(rollouts, progress, other == nullptr, context, now, actions);
        if (other == nullptr && hasQuorum(rollouts, progress, now))
            progress.heardAt = now;
    }
    // Switching was ordered by a coordinator that no longer answers.
    const auto isUnheard = !progress.heardAt || now - *progress.heardAt > hearingTime(rollouts);
    if (progress.phase == RolloutPhase::Switching && isUnheard)
        setPhase(progress, RolloutPhase::Running, now, actions);
    const auto isDue
            = !progress.reportedAt || now - *progress.reportedAt >= nextInterval(progress, now);
    if (other != nullptr && progress.openReport == 0 && isDue) {
        progress.openReport = ++rollouts.lastNumber;
        progress.reportedTo = other->address;
        progress.reportedAt = now;
        progress.hasNews = false;
        actions.emplace_back(SendRolloutReport{progress.openReport, other->address,
                                               makeReport(rollouts, progress, now)});
    }
    wake(rollouts, now + reportInterval);
}

} // namespace

auto toString(RolloutPhase phase) -> std::string_view
{
    static constexpr auto names
            = std::to_array<std::string_view>({"running", "switching", "completed", "rolled_back"});
    return names.at(static_cast<std::size_t>(phase));
}

auto rolloutPhaseFromString(std::string_view name) -> std::optional<RolloutPhase>
{
    for (std::size_t index = 0; index < static_cast<std::size_t>(RolloutPhase::Count); ++index) {
        if (toString(static_cast<RolloutPhase>(index)) == name)
            return static_cast<RolloutPhase>(index);
    }
    return {};
}

auto learnVersions(Rollouts &rollouts, const std::vector<LeafRecord> &records,
                   const RolloutContext &context, TimePoint now) -> void
{
    if (!rollouts.limits.isEnforced)
        return;
    for (const auto &record : records) {
        auto &service = rollouts.services[record.service];
        const auto isUnsafe
                = hasOtherInUse(service, record.version) || service.progress.has_value();
        const auto [known, isNew] = service.versions.try_emplace(record.version);
        if (isNew && isUnsafe && (context.stateRead || service.progress)) {
            known->second = {VersionState::Withheld, now + withholdTime};
            wake(rollouts, now + withheldCheckInterval);
        }
        // An instance that starts during an order reads the leafs and the order in any sequence.
        const auto isInitial = isNew && !context.stateRead && service.progress
                               && service.progress->order.targetVersion != record.version;
        if (isInitial)
            known->second.state = VersionState::InUse;
        applyUse(record.service, service, context, now);
    }
}

auto takeOrders(Rollouts &rollouts, const RolloutsChanged &changed, const RolloutContext &context,
                TimePoint now, std::vector<RolloutAction> &actions) -> void
{
    if (!rollouts.limits.isEnforced)
        return;
    for (const auto &order : changed.orders) {
        auto &service = rollouts.services[order.service];
        if (!service.progress || !isSameOrder(*service.progress, order))
            beginOrder(rollouts, service, order, context, now, actions);
        takeState(*service.progress, order, now, actions);
    }
    for (auto &[name, service] : rollouts.services) {
        if (!service.progress)
            continue;
        const auto &entry = service.progress->order.name;
        const auto isThere
                = std::any_of(changed.orders.begin(), changed.orders.end(),
                              [&](const RolloutOrder &order) { return order.name == entry; })
                  || std::count(changed.unreadable.begin(), changed.unreadable.end(), entry) != 0;
        if (!isThere)
            endOrder(service);
        applyUse(name, service, context, now);
    }
    wake(rollouts, now);
}

auto takeReport(Rollouts &rollouts, const RolloutReported &event, const RolloutContext &context,
                TimePoint now, std::vector<RolloutAction> &actions) -> void
{
    const auto &report = event.report;
    auto *const progress = findProgress(rollouts, report.service, report.targetVersion);
    if (progress == nullptr || !matchOrder(*progress, report.orderRevision, report.orderAge, now)) {
        actions.emplace_back(AnswerRolloutReport{event.number, {}});
        return;
    }
    auto &coordination = progress->coordination;
    coordination.askedAt = now;
    auto &heard = coordination.reports[report.sender];
    if (heard.report.process != report.process) {
        for (const auto &row : heard.report.rows)
            addRow(coordination.formerRows, row);
    }
    heard = {report, now};
    if (report.isBad)
        setBad(*progress, now, actions);
    coordinate(rollouts, *progress, chooseCoordinator(rollouts, *progress, now) == nullptr, context,
               now, actions);
    actions.emplace_back(
            AnswerRolloutReport{event.number,
                                {true, hasQuorum(rollouts, *progress, now), progress->orderRevision,
                                 now - progress->startedAt, progress->phase, progress->isBad}});
    applyUse(report.service, rollouts.services.at(report.service), context, now);
    wake(rollouts, now + reportInterval);
}

auto takeReply(Rollouts &rollouts, const RolloutReplied &event, const RolloutContext &context,
               TimePoint now, std::vector<RolloutAction> &actions) -> void
{
    const auto found = std::find_if(
            rollouts.services.begin(), rollouts.services.end(), [&](const auto &item) {
                return item.second.progress && item.second.progress->openReport == event.number;
            });
    if (found == rollouts.services.end() || event.number == 0)
        return;
    auto &progress = *found->second.progress;
    progress.openReport = 0;
    const auto &reply = event.reply;
    if (!reply || !reply->isKnown
        || !matchOrder(progress, reply->orderRevision, reply->orderAge, now)) {
        rollouts.avoidedPeers.insert_or_assign(progress.reportedTo, now + avoidTime);
        progress.reportedAt.reset();
        progress.hasNews = true;
        return wake(rollouts, now + reportInterval / 5);
    }
    // A reply to a question of long ago, as after a pause of the process, tells nothing of now.
    if (reply->hasQuorum)
        progress.heardAt = progress.reportedAt;
    if (reply->isBad)
        setBad(progress, now, actions);
    else if (!progress.isBad && progress.phase != RolloutPhase::Completed
             && reply->phase != RolloutPhase::RolledBack)
        setPhase(progress, reply->phase, now, actions);
    applyUse(found->first, found->second, context, now);
    wake(rollouts, now + reportInterval);
}

auto takeWritten(Rollouts &rollouts, const RolloutStatusWritten &event,
                 const RolloutContext &context, TimePoint now, std::vector<RolloutAction> &actions)
        -> void
{
    const auto number = std::exchange(rollouts.openWrite, 0);
    for (auto &[name, service] : rollouts.services) {
        if (!service.progress || service.progress->number != number)
            continue;
        auto &progress = *service.progress;
        auto &coordination = progress.coordination;
        const auto startsSwitch = std::exchange(coordination.switchRequested, false);
        if (event.result == StatusWriteResult::Written) {
            auto written = progress.order;
            written.state = event.state;
            written.revision = std::max(written.revision, event.revision);
            takeState(progress, written, now, actions);
            coordination.nextWriteAt = now;
            if (startsSwitch && !progress.isBad) {
                coordination.switchingSince = now;
                setPhase(progress, RolloutPhase::Switching, now, actions);
            }
        }
        applyUse(name, service, context, now);
    }
    wake(rollouts, now + reportInterval);
}

auto tickRollouts(Rollouts &rollouts, const RolloutContext &context, TimePoint now,
                  std::vector<RolloutAction> &actions) -> void
{
    if (!rollouts.nextTickAt || now < *rollouts.nextTickAt)
        return;
    rollouts.nextTickAt.reset();
    for (auto &[name, service] : rollouts.services) {
        auto hasWithheld = false;
        for (auto &[version, known] : service.versions) {
            if (service.progress || known.state != VersionState::Withheld)
                continue;
            if (known.withheldUntil <= now)
                known.state = VersionState::InUse;
            hasWithheld = true;
        }
        if (service.progress)
            tickService(rollouts, *service.progress, context, now, actions);
        if (hasWithheld)
            wake(rollouts, now + withheldCheckInterval);
        if (hasWithheld || service.progress)
            applyUse(name, service, context, now);
    }
}

auto allowsCanary(const Rollouts &rollouts, std::string_view service, TimePoint now) -> bool
{
    if (rollouts.services.empty())
        return false;
    const auto found = rollouts.services.find(service);
    if (found == rollouts.services.end() || !found->second.progress)
        return false;
    const auto &progress = *found->second.progress;
    if (progress.phase != RolloutPhase::Running || progress.isBad || !progress.heardAt
        || now - *progress.heardAt > hearingTime(rollouts))
        return false;
    const auto allowed
            = usedShare * rollouts.limits.canaryShare * static_cast<double>(progress.reachedSends)
              + progress.slackPart;
    return static_cast<double>(progress.targetSends + 1) <= allowed;
}

auto countSend(Rollouts &rollouts, std::string_view service, std::string_view route,
               const LeafRecord &leaf) -> RolloutTicket
{
    if (rollouts.services.empty())
        return {};
    const auto found = rollouts.services.find(service);
    if (found == rollouts.services.end() || !found->second.progress
        || isFinished(*found->second.progress))
        return {};
    auto &progress = *found->second.progress;
    auto ticket = RolloutTicket();
    ticket.order = progress.number;
    ticket.toTarget = leaf.version == progress.order.targetVersion;
    ++(ticket.toTarget ? progress.targetSends : progress.openOldSends);
    const auto leafName = ticket.toTarget ? leaf.id : std::string();
    const auto row = std::find_if(
            progress.rows.begin(), progress.rows.end(),
            [&](const EvidenceRow &item) { return item.route == route && item.leaf == leafName; });
    ticket.row = static_cast<std::size_t>(row - progress.rows.begin());
    if (row == progress.rows.end() && progress.rows.size() < maxRows)
        progress.rows.push_back({std::string(route), leafName, {}});
    return ticket;
}

auto countOutcome(Rollouts &rollouts, const RolloutTicket &ticket, SendOutcome outcome,
                  std::optional<double> latencyRatio) -> void
{
    if (ticket.order == 0)
        return;
    for (auto &[name, service] : rollouts.services) {
        if (!service.progress || service.progress->number != ticket.order)
            continue;
        auto &progress = *service.progress;
        progress.hasNews = true;
        if (!ticket.toTarget && progress.openOldSends > 0)
            --progress.openOldSends;
        if (outcome == SendOutcome::NotReached)
            return;
        ++progress.reachedSends;
        if (outcome == SendOutcome::NotRun || ticket.row >= progress.rows.size())
            return;
        auto &counts = progress.rows[ticket.row].counts;
        ++counts.ended;
        counts.failed += outcome == SendOutcome::Failed ? 1 : 0;
        if (outcome == SendOutcome::Failed || !latencyRatio)
            return;
        ++counts.timed;
        counts.slow += *latencyRatio > slowLatencyFactor ? 1 : 0;
        return;
    }
}

} // namespace crocusreach::forward

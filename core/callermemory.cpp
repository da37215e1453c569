#include "callermemory.h"

#include <algorithm>
#include <numeric>

namespace crocusreach::forward {

namespace {

// Descriptors of the process that aren't sockets.
constexpr std::size_t fileDescriptors = 200;
// Relief goes on until the total is this part of the share, so that the next few bytes don't need
// another search through all connections.
constexpr std::size_t reliefParts = 8;
// An answer may be long, and its caller behind a slow link. The listeners for readiness and
// administration give short answers.
constexpr Duration leastAnswerStall = std::chrono::seconds(1);
// A caller that would need longer than this for its answer isn't taking it.
constexpr Duration maxAnswerTime = std::chrono::seconds(15);

// Bytes a second for each byte held. A message that began just now counts as a millisecond old.
auto progress(const CallerHolding &holding, TimePoint now) -> double
{
    const auto age = std::max<Duration>(now - holding.since, std::chrono::milliseconds(1));
    const auto seconds = std::chrono::duration<double>(age).count();
    const auto held = std::max<std::size_t>(1, heldBytes(holding));
    return static_cast<double>(holding.moved) / seconds / static_cast<double>(held);
}

auto leastStallOf(ListenerKind listener, CallerStage stage) -> Duration
{
    const auto isLong = listener == ListenerKind::Callers || listener == ListenerKind::Relay;
    return isLong && stage == CallerStage::Taking ? leastAnswerStall : leastStall;
}

struct Candidate
{
    CallerKey key;
    std::size_t held = 0;
    double progress = 0;
};

auto isBefore(const Candidate &left, const Candidate &right) -> bool
{
    return std::tie(left.progress, left.key) < std::tie(right.progress, right.key);
}

// Chooses from one rank until the total is at most the goal.
auto chooseFromRank(std::vector<Candidate> &rest, std::size_t goal, std::size_t &total,
                    std::vector<CallerKey> &chosen) -> void
{
    auto held = std::accumulate(
            rest.begin(), rest.end(), std::size_t(0),
            [](std::size_t sum, const Candidate &item) { return sum + item.held; });
    while (total > goal && !rest.empty()) {
        // Those that hold less than the average of what is left stay in this round.
        const auto average = held / rest.size();
        const auto candidates
                = std::partition(rest.begin(), rest.end(),
                                 [&](const Candidate &item) { return item.held < average; });
        std::sort(candidates, rest.end(), isBefore);
        auto end = candidates;
        for (; end != rest.end() && total > goal; ++end) {
            total -= end->held;
            held -= end->held;
            chosen.push_back(end->key);
        }
        rest.erase(candidates, end);
    }
}

auto socketDescriptors(const CallerLimits &limits) -> std::size_t
{
    return limits.maxDescriptors - std::min(fileDescriptors, limits.maxDescriptors / 2);
}

} // namespace

auto toString(ListenerKind kind) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, listenerKindCount>{
            "caller", "ready", "relay", "administration"};
    return names.at(static_cast<std::size_t>(kind));
}

auto toString(CallerUse use) -> std::string_view
{
    constexpr auto names = std::array<std::string_view, callerUseCount>{
            "connection", "input", "head", "body", "request", "output"};
    return names.at(static_cast<std::size_t>(use));
}

auto heldBytes(const CallerHolding &holding) -> std::size_t
{
    return std::accumulate(holding.bytes.begin(), holding.bytes.end(), std::size_t(0));
}

auto callerShare(const CallerLimits &limits) -> std::size_t
{
    return limits.machineBytes / 4;
}

auto leafAnswerShare(const CallerLimits &limits) -> std::size_t
{
    return limits.machineBytes / 4;
}

auto maxConnections(const CallerLimits &limits, ListenerKind kind) -> std::size_t
{
    const auto sockets = socketDescriptors(limits);
    switch (kind) {
    case ListenerKind::Callers:
        return sockets / 4 * 3;
    case ListenerKind::Relay:
        return sockets / 2; // an instance that many others follow
    case ListenerKind::Ready:
    case ListenerKind::Administration:
        break;
    }
    return std::max<std::size_t>(1, sockets / 16);
}

auto maxConnections(const CallerLimits &limits) -> std::size_t
{
    return socketDescriptors(limits) / 8 * 7;
}

auto setHolding(CallerMemory &memory, CallerKey key, const CallerHolding &holding) -> void
{
    const auto [position, isNew] = memory.holdings.try_emplace(key);
    auto &entry = position->second;
    if (isNew) {
        entry.address = holding.address;
        ++memory.connections.at(static_cast<std::size_t>(key.listener));
        ++memory.connectionsOf[holding.address];
    }
    for (std::size_t use = 0; use < callerUseCount; ++use) {
        const auto change = holding.bytes.at(use) - entry.bytes.at(use);
        memory.used.at(use) += change;
        memory.total += change;
    }
    entry = holding;
}

auto dropHolding(CallerMemory &memory, CallerKey key) -> void
{
    const auto found = memory.holdings.find(key);
    if (found == memory.holdings.end())
        return;
    const auto address = found->second.address;
    if (--memory.connectionsOf.at(address) == 0)
        memory.connectionsOf.erase(address);
    --memory.connections.at(static_cast<std::size_t>(key.listener));
    for (std::size_t use = 0; use < callerUseCount; ++use) {
        memory.used.at(use) -= found->second.bytes.at(use);
        memory.total -= found->second.bytes.at(use);
    }
    memory.holdings.erase(found);
}

auto isOverShare(const CallerMemory &memory) -> bool
{
    return memory.total > callerShare(memory.limits);
}

auto reliefRankOf(const CallerHolding &holding, TimePoint now) -> ReliefRank
{
    switch (holding.stage) {
    case CallerStage::Waiting:
        return ReliefRank::Waiting;
    case CallerStage::Taking: {
        const auto seconds = std::chrono::duration<double>(maxAnswerTime).count();
        const auto isStalled
                = now - holding.since >= leastAnswerStall && progress(holding, now) * seconds < 1;
        return isStalled ? ReliefRank::Unfinished : ReliefRank::Taking;
    }
    case CallerStage::Idle:
        return ReliefRank::Idle;
    case CallerStage::Sending:
    case CallerStage::Closing:
        break;
    }
    return ReliefRank::Unfinished;
}

auto chooseRelief(const CallerMemory &memory, TimePoint now) -> std::vector<CallerKey>
{
    if (!isOverShare(memory))
        return {};
    auto ranks = std::array<std::vector<Candidate>, reliefRankCount>();
    auto unfinished = std::size_t(0);
    for (const auto &[key, holding] : memory.holdings) {
        const auto rank = reliefRankOf(holding, now);
        const auto held = heldBytes(holding);
        unfinished += rank == ReliefRank::Unfinished ? held : 0;
        ranks.at(static_cast<std::size_t>(rank)).push_back({key, held, progress(holding, now)});
    }
    const auto share = callerShare(memory.limits);
    const auto aim = share - share / reliefParts;
    // Where the aim can't be reached without the later ranks, the share is enough.
    auto goal = memory.total - unfinished > aim ? share : aim;
    auto chosen = std::vector<CallerKey>();
    auto total = memory.total;
    for (auto &rank : ranks) {
        chooseFromRank(rank, goal, total, chosen);
        goal = share;
    }
    return chosen;
}

auto reachedBound(const CallerMemory &memory, ListenerKind kind) -> ConnectionBound
{
    if (memory.connections.at(static_cast<std::size_t>(kind))
        >= maxConnections(memory.limits, kind))
        return ConnectionBound::Listener;
    return memory.holdings.size() >= maxConnections(memory.limits) ? ConnectionBound::Process
                                                                   : ConnectionBound::None;
}

auto chooseStalled(const CallerMemory &memory, std::optional<ListenerKind> kind, TimePoint now)
        -> std::optional<CallerKey>
{
    auto best = std::optional<CallerKey>();
    auto bestOrder = std::tuple<bool, double>();
    for (const auto &[key, holding] : memory.holdings) {
        if (holding.stage == CallerStage::Waiting || (kind && key.listener != *kind)
            || now - holding.since < leastStallOf(key.listener, holding.stage))
            continue;
        const auto order
                = std::tuple(holding.stage != CallerStage::Closing, progress(holding, now));
        if (!best || order < bestOrder) {
            best = key;
            bestOrder = order;
        }
    }
    return best;
}

auto chooseIdle(const CallerMemory &memory, std::optional<ListenerKind> kind, TimePoint now,
                Duration leastIdle) -> std::optional<CallerKey>
{
    auto best = std::optional<CallerKey>();
    auto bestOrder = std::tuple<std::int64_t, std::size_t>();
    for (const auto &[key, holding] : memory.holdings) {
        if (holding.stage != CallerStage::Idle || (kind && key.listener != *kind)
            || now - holding.since < leastIdle)
            continue;
        const auto idle = std::chrono::floor<std::chrono::seconds>(now - holding.since).count();
        const auto order = std::tuple(std::int64_t(idle), memory.connectionsOf.at(holding.address));
        // Numbers of connections only rise, so that the older one goes first.
        if (!best || order > bestOrder || (order == bestOrder && key < *best)) {
            best = key;
            bestOrder = order;
        }
    }
    return best;
}

} // namespace crocusreach::forward

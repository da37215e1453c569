#include "merge.h"

#include "invariants.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <string_view>
#include <tuple>
#include <unordered_set>
#include <utility>

namespace crocusreach {

namespace {

auto ranksBefore(const AnswerRow &left, const AnswerRow &right) -> bool
{
    // Ties are ordered by shard and key, so that the answer doesn't depend on the order of arrival.
    return std::tuple(-left.row.score, toUnderlying(left.shard), std::string_view(left.row.key))
           < std::tuple(-right.row.score, toUnderlying(right.shard),
                        std::string_view(right.row.key));
}

// The best rows up to the limit, each key once.
auto bestRows(std::vector<AnswerRow> &rows, std::size_t limit) -> std::vector<AnswerRow>
{
    std::sort(rows.begin(), rows.end(), ranksBefore);
    auto best = std::vector<AnswerRow>();
    auto keys = std::unordered_set<std::string_view>();
    best.reserve(std::min(limit, rows.size()));
    for (auto &row : rows) {
        if (best.size() == limit)
            break;
        if (!keys.insert(row.row.key).second)
            continue;
        best.push_back(row);
    }
    return best;
}

auto mostFrequentReason(std::span<const MissingShard> missing) -> Reason
{
    auto counts = std::array<std::uint32_t, static_cast<std::size_t>(Reason::Count)>();
    for (const auto &shard : missing)
        ++counts[static_cast<std::size_t>(shard.reason)];
    const auto most = std::max_element(counts.begin(), counts.end());
    return static_cast<Reason>(std::distance(counts.begin(), most));
}

} // namespace

auto mergeReply(RunningQuery &query, ShardProgress &shard, LeafReply &reply) -> MergeResult
{
    if (shard.status != ShardStatus::Waiting)
        return MergeResult::Late;
    const auto offered = Snapshot{reply.version, reply.layout};
    const auto pinned = toUnderlying(query.snapshot.version) != 0;
    if (offered.layout != query.snapshot.layout || (pinned && offered != query.snapshot))
        return MergeResult::SnapshotMismatch;
    query.snapshot = offered;
    check(offered.version == reply.version && offered.layout == query.service->layout,
          Invariant::OneSnapshotPerAnswer, "a reply of another layout was merged");
    shard.status = ShardStatus::Merged;
    shard.mergedVersion = reply.version;
    --query.waitingShards;
    for (auto &row : reply.rows)
        query.rows.push_back({shard.shard, std::move(row)});
    return MergeResult::Merged;
}

auto markMissing(RunningQuery &query, ShardProgress &shard, Reason reason, Step step,
                 std::string peer) -> void
{
    if (shard.status != ShardStatus::Waiting)
        return;
    shard.status = ShardStatus::Missing;
    shard.reason = reason;
    shard.step = step;
    shard.peer = std::move(peer);
    --query.waitingShards;
}

auto fillAnswer(RunningQuery &query, QueryAnswer &answer) -> void
{
    answer.version = query.snapshot.version;
    answer.layout = query.snapshot.layout;
    answer.asked = static_cast<std::uint32_t>(query.shards.size());
    for (const auto &shard : query.shards) {
        if (shard.status == ShardStatus::Merged) {
            ++answer.answered;
            check(shard.mergedVersion == query.snapshot.version, Invariant::OneSnapshotPerAnswer,
                  "a shard of another index version is in the answer");
        } else {
            answer.missing.push_back({shard.shard, shard.reason, shard.step, shard.peer});
        }
    }
    const auto fromMergedShard = [&](const AnswerRow &row) {
        const auto found = std::ranges::find(query.shards, row.shard, &ShardProgress::shard);
        return found != query.shards.end() && found->status == ShardStatus::Merged;
    };
    check(query.waitingShards == 0 && answer.answered + answer.missing.size() == answer.asked,
          Invariant::CoverageIsTrue, "answered and missing shards don't add up to the asked ones");
    answer.rows = bestRows(query.rows, query.request.limit);
    check(std::ranges::all_of(answer.rows, fromMergedShard), Invariant::CoverageIsTrue,
          "a row comes from a shard that isn't counted as answered");
    if (answer.answered == answer.asked)
        answer.status = AnswerStatus::Complete;
    else
        answer.status = answer.answered > 0 ? AnswerStatus::Partial : AnswerStatus::Refused;
    if (answer.answered > 0) {
        answer.outcome = Outcome::Done;
    } else {
        answer.reason = mostFrequentReason(answer.missing);
        answer.outcome = query.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    }
}

} // namespace crocusreach

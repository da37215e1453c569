#include "peercodec.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <utility>
#include <vector>

namespace crocusreach {

using namespace forward;
using Json = nlohmann::json;

namespace {

constexpr std::uint32_t maxWanted = 10'000;
constexpr std::uint64_t maxMicroseconds = std::uint64_t(60) * 1'000'000;

auto parse(std::string_view text) -> Json
{
    return Json::parse(text, nullptr, false);
}

auto readNumber(const Json &json, const char *key, std::uint64_t most)
        -> std::optional<std::uint64_t>
{
    const auto found = json.find(key);
    if (found == json.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() > most)
        return {};
    return found->get<std::uint64_t>();
}

constexpr std::uint64_t maxCount = std::uint64_t(1) << 53U;
// The longest order, in microseconds.
constexpr std::uint64_t maxAge = std::uint64_t(2) * 86'400 * 1'000'000;
// Of a message; the listener takes 16 KB.
constexpr std::size_t maxReportBytes = 15'000;
constexpr std::size_t maxRows = 1000;

auto readText(const Json &json, const char *key) -> std::optional<std::string>
{
    const auto found = json.find(key);
    if (found == json.end() || !found->is_string())
        return {};
    return found->get<std::string>();
}

auto readFlag(const Json &json, const char *key) -> std::optional<bool>
{
    const auto found = json.find(key);
    if (found == json.end() || !found->is_boolean())
        return {};
    return found->get<bool>();
}

auto readPhase(const Json &json) -> std::optional<RolloutPhase>
{
    const auto name = readText(json, "phase");
    return name ? rolloutPhaseFromString(*name) : std::nullopt;
}

auto toJson(const EvidenceRow &row) -> Json
{
    return Json::array({row.route, row.leaf, row.counts.ended, row.counts.failed, row.counts.timed,
                        row.counts.slow});
}

auto readRow(const Json &json) -> std::optional<EvidenceRow>
{
    constexpr std::size_t fields = 6;
    const auto isRow = json.is_array() && json.size() == fields && json[0].is_string()
                       && json[1].is_string();
    if (!isRow)
        return {};
    auto row = EvidenceRow{json[0].get<std::string>(), json[1].get<std::string>(), {}};
    auto &counts = row.counts;
    auto index = std::size_t(2);
    for (auto *const count : {&counts.ended, &counts.failed, &counts.timed, &counts.slow}) {
        const auto &value = json[index++];
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() > maxCount)
            return {};
        *count = value.get<std::uint64_t>();
    }
    if (counts.failed > counts.ended || counts.timed > counts.ended || counts.slow > counts.timed)
        return {};
    return row;
}

auto readRows(const Json &json) -> std::optional<std::vector<EvidenceRow>>
{
    const auto found = json.find("rows");
    if (found == json.end() || !found->is_array() || found->size() > maxRows)
        return {};
    auto rows = std::vector<EvidenceRow>();
    for (const auto &item : *found) {
        auto row = readRow(item);
        if (!row)
            return {};
        rows.push_back(std::move(*row));
    }
    return rows;
}

auto microseconds(Duration duration) -> std::int64_t
{
    return std::chrono::ceil<std::chrono::microseconds>(duration).count();
}

} // namespace

auto writeTokenQuestion(const TokenQuestion &question) -> std::string
{
    const auto json = Json{{"tenant", question.tenant}, {"wanted", question.wanted}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto readTokenQuestion(std::string_view text) -> std::optional<TokenQuestion>
{
    const auto json = parse(text);
    if (!json.is_object())
        return {};
    const auto tenant = json.find("tenant");
    const auto wanted = readNumber(json, "wanted", maxWanted);
    if (tenant == json.end() || !tenant->is_string() || wanted.value_or(0) == 0)
        return {};
    return TokenQuestion{tenant->get<std::string>(), static_cast<std::uint32_t>(*wanted)};
}

auto writeTokenGrant(const QuotaGrant &grant) -> std::string
{
    return Json{{"ready", grant.isReady},
                {"granted", grant.granted},
                {"empty_for_us", microseconds(grant.emptyFor)},
                {"retry_after_us", microseconds(grant.retryAfter)}}
            .dump();
}

auto readTokenGrant(std::string_view text) -> std::optional<QuotaGrant>
{
    const auto json = parse(text);
    if (!json.is_object())
        return {};
    const auto ready = json.find("ready");
    const auto granted = readNumber(json, "granted", maxWanted);
    const auto emptyFor = readNumber(json, "empty_for_us", maxMicroseconds);
    const auto retryAfter = readNumber(json, "retry_after_us", maxMicroseconds);
    if (ready == json.end() || !ready->is_boolean() || !granted || !emptyFor || !retryAfter)
        return {};
    auto grant = QuotaGrant();
    grant.isReady = ready->get<bool>();
    grant.granted = static_cast<std::uint32_t>(*granted);
    grant.emptyFor = std::chrono::microseconds(*emptyFor);
    grant.retryAfter = std::chrono::microseconds(*retryAfter);
    return grant;
}

auto writeRolloutReport(const RolloutReport &report) -> std::string
{
    auto json = Json{{"sender", report.sender},
                     {"process", report.process},
                     {"service", report.service},
                     {"target_version", report.targetVersion},
                     {"order_revision", report.orderRevision},
                     {"order_age_us", microseconds(report.orderAge)},
                     {"phase", std::string(toString(report.phase))},
                     {"bad", report.isBad},
                     {"open_old_sends", report.openOldSends},
                     {"rows", Json::array()}};
    const auto write = [&] { return json.dump(-1, ' ', false, Json::error_handler_t::replace); };
    auto size = write().size();
    for (const auto &row : report.rows) {
        auto encoded = toJson(row);
        size += encoded.dump(-1, ' ', false, Json::error_handler_t::replace).size() + 1;
        if (size > maxReportBytes)
            break;
        json["rows"].push_back(std::move(encoded));
    }
    return write();
}

auto readRolloutReport(std::string_view text) -> std::optional<RolloutReport>
{
    const auto json = parse(text);
    if (!json.is_object())
        return {};
    auto sender = readText(json, "sender");
    const auto process = readNumber(json, "process", std::numeric_limits<std::uint64_t>::max());
    auto service = readText(json, "service");
    auto target = readText(json, "target_version");
    const auto revision = readNumber(json, "order_revision", maxCount);
    const auto age = readNumber(json, "order_age_us", maxAge);
    const auto phase = readPhase(json);
    const auto bad = readFlag(json, "bad");
    const auto open = readNumber(json, "open_old_sends", maxCount);
    auto rows = readRows(json);
    if (!sender || !process || !service || !target || !revision || !age || !phase || !bad || !open
        || !rows)
        return {};
    return RolloutReport{std::move(*sender),
                         *process,
                         std::move(*service),
                         std::move(*target),
                         *revision,
                         std::chrono::microseconds(*age),
                         *phase,
                         *bad,
                         *open,
                         std::move(*rows)};
}

auto writeRolloutReply(const RolloutReply &reply) -> std::string
{
    return Json{{"known", reply.isKnown},
                {"quorum", reply.hasQuorum},
                {"order_revision", reply.orderRevision},
                {"order_age_us", microseconds(reply.orderAge)},
                {"phase", std::string(toString(reply.phase))},
                {"bad", reply.isBad}}
            .dump();
}

auto readRolloutReply(std::string_view text) -> std::optional<RolloutReply>
{
    const auto json = parse(text);
    if (!json.is_object())
        return {};
    const auto known = readFlag(json, "known");
    const auto quorum = readFlag(json, "quorum");
    const auto revision = readNumber(json, "order_revision", maxCount);
    const auto age = readNumber(json, "order_age_us", maxAge);
    const auto phase = readPhase(json);
    const auto bad = readFlag(json, "bad");
    if (!known || !quorum || !revision || !age || !phase || !bad)
        return {};
    return RolloutReply{*known, *quorum, *revision, std::chrono::microseconds(*age), *phase, *bad};
}

} // namespace crocusreach

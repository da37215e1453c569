#include "claimjson.h"

#include <nlohmann/json.hpp>

namespace crocusreach {

auto parseClaim(std::string_view text, std::string_view key) -> Result<ClaimRecord>
{
    try {
        const auto json = nlohmann::json::parse(text);
        auto record = ClaimRecord();
        const auto state = json.at("state").get<std::string>();
        if (state != "claimed" && state != "done")
            return Error{Step::Claim, std::string(key), "unknown state " + state};
        record.state = state == "done" ? ClaimState::Done : ClaimState::Claimed;
        record.nonce = json.at("nonce").get<std::uint64_t>();
        record.shard = ShardNumber{json.at("shard").get<std::uint32_t>()};
        record.version = IndexVersion{json.at("index_version").get<std::uint64_t>()};
        record.layout = LayoutVersion{json.at("layout").get<std::uint32_t>()};
        for (const auto &row : json.at("rows"))
            record.rows.push_back({row.at("key"), row.at("score"), row.at("body")});
        return record;
    } catch (const nlohmann::json::exception &exception) {
        return Error{Step::Claim, std::string(key), exception.what()};
    }
}

auto writeClaim(const ClaimRecord &record) -> std::string
{
    auto rows = nlohmann::json::array();
    for (const auto &row : record.rows)
        rows.push_back({{"key", row.key}, {"score", row.score}, {"body", row.body}});
    const auto json = nlohmann::json{
            {"state", record.state == ClaimState::Done ? "done" : "claimed"},
            {"nonce", record.nonce},
            {"shard", toUnderlying(record.shard)},
            {"index_version", toUnderlying(record.version)},
            {"layout", toUnderlying(record.layout)},
            {"rows", std::move(rows)},
    };
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace crocusreach

#pragma once

#include "core/forwardmessages.h"

#include <optional>
#include <string>
#include <string_view>

// The encoding of messages between instances: JSON objects of a few fields. A message with a field
// that is missing or out of range is none.

namespace crocusreach {

struct TokenQuestion
{
    std::string tenant;
    std::uint32_t wanted = 0; // at least 1
};

auto writeTokenQuestion(const TokenQuestion &question) -> std::string;
auto readTokenQuestion(std::string_view text) -> std::optional<TokenQuestion>;

auto writeTokenGrant(const forward::QuotaGrant &grant) -> std::string;
auto readTokenGrant(std::string_view text) -> std::optional<forward::QuotaGrant>;

// Leaves out the last rows if the message would be too long.
auto writeRolloutReport(const forward::RolloutReport &report) -> std::string;
auto readRolloutReport(std::string_view text) -> std::optional<forward::RolloutReport>;

auto writeRolloutReply(const forward::RolloutReply &reply) -> std::string;
auto readRolloutReply(std::string_view text) -> std::optional<forward::RolloutReply>;

} // namespace crocusreach

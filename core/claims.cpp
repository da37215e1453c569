#include "claims.h"

#include <algorithm>

namespace crocusreach {

auto isRequestId(std::string_view id) -> bool
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
               || c == '-' || c == '_' || c == '.';
    };
    return !id.empty() && id.size() <= maxRequestIdBytes && std::ranges::all_of(id, allowed)
           && id.find_first_not_of('.') != std::string_view::npos;
}

auto claimKey(std::string_view service, std::string_view requestId) -> std::string
{
    auto key = std::string("claims/");
    key += service;
    key += '/';
    key += requestId;
    return key;
}

auto decideOnClaim(const ClaimRecord &record, std::uint64_t nonce) -> ClaimDecision
{
    if (record.state == ClaimState::Done)
        return ClaimDecision::Replay;
    return record.nonce == nonce ? ClaimDecision::Dispatch : ClaimDecision::RefuseUnknown;
}

} // namespace crocusreach

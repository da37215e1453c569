#pragma once

#include "messages.h"
#include "types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// Claims give non-idempotent requests at-most-once semantics, whichever instance a caller reaches.
// A claim is an object in the store that is created conditionally before the request is dispatched.

namespace crocusreach {

enum class ClaimState : std::uint8_t {
    Claimed, // dispatched, or about to be; the outcome isn't recorded
    Done,
};

struct ClaimRecord
{
    ClaimState state = ClaimState::Claimed;
    std::uint64_t nonce = 0; // of the request that made the claim
    ShardNumber shard = {};
    IndexVersion version = {};
    LayoutVersion layout = {};
    std::vector<ResultRow> rows; // the recorded outcome, if Done

    auto operator==(const ClaimRecord &) const -> bool = default;
};

// Request ids become part of object keys.
constexpr std::size_t maxRequestIdBytes = 128;

// True if the id has 1 to maxRequestIdBytes letters, digits, '-', '_' or '.'. An id of dots alone
// is refused, since it would be a relative path in the store's URL.
auto isRequestId(std::string_view id) -> bool;

// The key of the claim in the store: "claims/<service>/<id>".
auto claimKey(std::string_view service, std::string_view requestId) -> std::string;

// What to do with a request after reading the claim that exists for its id.
enum class ClaimDecision : std::uint8_t {
    Dispatch, // the request made this claim itself
    Replay, // answer with the recorded outcome
    RefuseUnknown, // another request claimed the id and its outcome isn't recorded
};

auto decideOnClaim(const ClaimRecord &record, std::uint64_t nonce) -> ClaimDecision;

} // namespace crocusreach

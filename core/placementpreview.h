#pragma once

#include "forwarder.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Tells where a request would be sent now, and why, with the placement's own decisions on a copy of
// what they would change.

namespace crocusreach::forward {

struct LeafPreview
{
    std::string id;
    std::string domain;
    std::uint32_t rank = 0; // 1: would be chosen now, 2: if the former weren't there; 0: not now
    std::vector<std::string_view> reasons; // against the leaf, in plain words
    std::optional<Duration> usableIn; // until its rate limit and its pause allow a send
    std::size_t openSends = 0; // of this instance
    std::size_t connections = 0;
    std::size_t idleConnections = 0;
};

// One service that the request may be sent to.
struct ServicePreview
{
    std::string service;
    std::optional<double> weight; // of the services of which the request goes to one
    std::vector<LeafPreview> leafs; // those that would be chosen first, in order of their rank
};

struct RequestPreview
{
    std::optional<CallEnd> refusal; // why it would be refused; absent if it would be sent or wait
    bool waits = false; // for a leaf, since none can take it now
    std::string route;
    std::uint64_t version = 0; // of the desired state
    bool needsKey = false;
    std::size_t requiredServices = 1; // of those below, at least so many have to answer
    std::vector<ServicePreview> services;
};

// Changes nothing and sends nothing. A key isn't asked for: the request counts as allowed.
auto previewRequest(const Forwarder &forwarder, std::string_view host, std::string_view target,
                    TimePoint now) -> RequestPreview;

} // namespace crocusreach::forward

#pragma once

#include "types.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>

// Detects which failure domains this instance can't reach. The network path to all leafs of a
// domain, or to all leafs, may fail without an error; without this, each leaf would have to be
// found unresponsive by itself. Only the instance's own sends count, since health pages and
// registries show nothing about the path.

namespace crocusreach::forward {

// A send whose answer is overdue.
struct OverdueSend
{
    std::string_view domain;
    std::size_t leaf = 0; // number of the leaf
};

struct DomainState
{
    TimePoint lastAnswerAt = {}; // of any of its leafs
    TimePoint suspectUntil = {};
};

struct Reachability
{
    std::string ownDomain; // of this instance
    std::map<std::string, DomainState, std::less<>> domains; // those that requests were sent to
    TimePoint isolatedUntil = {}; // unless another domain answers earlier
    TimePoint nextTrialAt = {};
};

auto recordDomainSend(Reachability &reachability, std::string_view domain, TimePoint now) -> void;

// Records that a leaf of the domain has answered or has accepted a connection. If it is not the
// instance's own domain, this ends the isolation and clears the suspicion of all domains.
auto recordDomainAnswer(Reachability &reachability, std::string_view domain, TimePoint now) -> void;

// Marks as suspect the domains in which answers of several leafs are overdue and none has answered
// for a while. The suspicion expires, so that the path is tried again. If there are three or more
// domains and all but the instance's own are suspect, the instance is isolated.
auto updateReachability(Reachability &reachability, std::span<const OverdueSend> overdue,
                        TimePoint now) -> void;

auto isSuspect(const Reachability &reachability, std::string_view domain, TimePoint now) -> bool;

// True if no domain can be reached: most likely this instance's own network has failed.
auto isCutOff(const Reachability &reachability, TimePoint now) -> bool;

// True if this instance can reach no domain but its own. Callers are then sent to other instances,
// so only probes can show the end of the isolation.
auto isIsolated(const Reachability &reachability, TimePoint now) -> bool;

// While the instance is cut off, lets one request per interval through to find out whether the path
// works again. Returns whether this request is one.
auto tryStartTrial(Reachability &reachability, TimePoint now) -> bool;

} // namespace crocusreach::forward

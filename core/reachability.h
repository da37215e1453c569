#pragma once

#include "types.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>

// Which failure domains this instance can't reach. It answers this load: the way to all leafs of a
// domain, or to all leafs, is cut without a sign, and each leaf by itself would have to be found
// silent. Judged by own sends only, since health pages and registries show nothing of the way.

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
    std::map<std::string, DomainState, std::less<>> domains; // those that were sent to
    TimePoint isolatedUntil = {}; // unless another domain answers before
    TimePoint nextTrialAt = {};
};

auto recordDomainSend(Reachability &reachability, std::string_view domain, TimePoint now) -> void;

// A leaf of the domain has answered, or has accepted a connection. One in another domain ends the
// isolation, and with it all suspicion.
auto recordDomainAnswer(Reachability &reachability, std::string_view domain, TimePoint now) -> void;

// Suspects the domains in which several leafs owe answers and none has answered for a while. The
// suspicion lapses by itself, so that the path is tried again. If it leaves no domain but the own
// one, of three or more, this instance is isolated.
auto updateReachability(Reachability &reachability, std::span<const OverdueSend> overdue,
                        TimePoint now) -> void;

auto isSuspect(const Reachability &reachability, std::string_view domain, TimePoint now) -> bool;

// True if no domain can be reached: what is wrong is this instance's own way out.
auto isCutOff(const Reachability &reachability, TimePoint now) -> bool;

// True if no domain but the own one can be reached. Callers are then sent elsewhere, so that
// nothing but probes shows the end of it.
auto isIsolated(const Reachability &reachability, TimePoint now) -> bool;

// While cut off, one request at a time is let through now and then to find out whether the way is
// open again. Returns whether this is one.
auto tryStartTrial(Reachability &reachability, TimePoint now) -> bool;

} // namespace crocusreach::forward

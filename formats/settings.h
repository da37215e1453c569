#pragma once

#include "core/control.h"
#include "core/dispatch.h"
#include "core/query.h"
#include "core/types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// The settings file of an instance: JSON with comments. Unknown keys are errors.

namespace crocusreach {

// A bearer token of the administration API with the name that its changes are recorded under.
struct AdminToken
{
    std::string name;
    std::string token;
};

struct Settings
{
    std::string instance; // name, unique among instances
    std::string region;
    std::string failureDomain;
    std::string cell;
    std::string callerAddress; // IP:port of the caller listener; port 0 lets the kernel choose
    std::string peerAddress; // of the peer listener
    std::string adminAddress; // of the administration listener
    std::vector<std::string> seeds; // IP:port of peer listeners
    std::string storeAddress; // IP:port of the object API; empty: embedded in-process store
    std::string instanceListAddress; // IP:port; empty: no instance list
    std::string embeddedConfiguration; // path of a configuration file for the embedded store
    std::vector<AdminToken> adminTokens;
    std::string logLevel = "info";
    Duration balancerGrace = std::chrono::seconds(2);
    Duration stopDeadline = std::chrono::seconds(15);
    DispatchSettings dispatch;
    QuerySettings query;
    ControlSettings control; // self, cell and bootstrapAddresses come from the fields above
};

// Parses and checks settings. On failure the error has Step::Settings, "source:line" or
// "source: field" as peer, and one line of text for each fault found.
auto parseSettings(std::string_view text, std::string_view source) -> Result<Settings>;

} // namespace crocusreach

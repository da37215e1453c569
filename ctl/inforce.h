#pragma once

#include "formats/jsonreader.h"
#include "options.h"

#include <cstdint>
#include <string>
#include <vector>

// Where a revision is in force: at the addressed instances, and at the members of their cells as
// those see them.

namespace crocusreach::ctl {

struct BehindInstance
{
    std::string name;
    std::uint64_t revision = 0;
    bool reachable = true;
};

struct InForce
{
    std::vector<std::string> current; // names of instances with the revision or a newer one
    std::vector<BehindInstance> behind;
    std::vector<std::string> unanswered; // addresses that gave no status
};

auto isEverywhere(const InForce &inForce) -> bool;

auto findInForce(const Options &options, std::uint64_t revision) -> InForce;

// Asks again until the revision is in force everywhere or the timeout has passed.
auto waitInForce(const Options &options, std::uint64_t revision) -> InForce;

auto toJson(const InForce &inForce) -> Json;
auto toText(const InForce &inForce) -> std::string;

} // namespace crocusreach::ctl

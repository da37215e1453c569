#pragma once

#include "core/administration.h"
#include "core/clusterview.h"
#include "core/dispatch.h"
#include "core/sheet.h"
#include "core/types.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// The bodies of the administration API as JSON (docs/protocols.md).

namespace crocusreach {

constexpr std::size_t largestPage = 500;
constexpr std::size_t defaultPage = 100;

// {"error":{"code","message","details":[{"line","field","message"}]}}
auto writeError(std::string_view code, std::string_view message, std::span<const Error> errors = {})
        -> std::string;

// Body of a call that sets a state. The reason has at most 200 bytes and no control characters.
struct StateBody
{
    std::string reason;
    std::string changeId;
};

auto parseStateBody(std::string_view text) -> Result<StateBody>;

// The result of a change and the HTTP status that tells it: 200, 400, 409, 412 or 503.
auto writeChangeResult(const ChangeResult &result) -> std::string;
auto httpStatus(const ChangeResult &result) -> unsigned;

auto writePlan(const SheetPlan &plan) -> std::string;
auto writePlanSummary(const SheetPlan &plan, std::size_t rows) -> std::string;
auto writeDifferences(Revision base, std::span<const Difference> differences) -> std::string;
auto writeCurrent(const Configuration &configuration) -> std::string;

// Changes older than the revision; 0 means all.
auto writeHistory(const Configuration &configuration, Revision after, std::size_t limit)
        -> std::string;

// Items whose name comes after the given one, in order of name.
auto writeItems(const Configuration &configuration, ItemKind kind, std::string_view after,
                std::size_t limit) -> std::string;

struct StatusReport
{
    std::string instance;
    std::string version;
    ClusterViewPtr view;
    std::vector<LeafStatus> leafs;
    Duration leaseLeft = {};
};

auto writeStatus(const StatusReport &report) -> std::string;

auto writeExplanation(std::string_view service, std::span<const std::string> sentences)
        -> std::string;

} // namespace crocusreach

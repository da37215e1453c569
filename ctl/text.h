#pragma once

#include "formats/jsonreader.h"

#include <string>

// Replies of the administration API as text for a terminal.

namespace crocusreach::ctl {

auto planText(const Json &plan) -> std::string;
auto differencesText(const Json &differences) -> std::string;
auto historyText(const Json &changes) -> std::string;
auto itemsText(const Json &items) -> std::string;
auto statusText(const Json &status) -> std::string;
auto explanationText(const Json &explanation) -> std::string;
// Where a request would be sent, by service.
auto previewText(const Json &preview) -> std::string;
// The lines of a request and the place of its fault, by log.
auto requestText(const Json &result) -> std::string;
auto errorText(const Json &error) -> std::string;
// "revision N accepted", or that nothing changed, with warnings.
auto changeText(const Json &result) -> std::string;

} // namespace crocusreach::ctl

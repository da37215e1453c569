#pragma once

#include "core/assignment.h"
#include "core/configuration.h"
#include "core/types.h"

#include <string>
#include <string_view>

// The configuration and the assignment as JSON, as the store holds them.

namespace crocusreach {

// Parses and validates a configuration. Comments are allowed. On failure the error has
// Step::Configuration, "source:line" or "source:field" as peer, and names every fault found. The
// revision is left at 0: the store's object version gives it.
auto parseConfiguration(std::string_view text, std::string_view source) -> Result<Configuration>;

// Writes a configuration without its revision. Parsing the result gives an equal configuration.
auto writeConfiguration(const Configuration &configuration) -> std::string;

// The same for an assignment; the epoch is the version of the store's object and isn't written.
auto parseAssignment(std::string_view text, std::string_view source) -> Result<Assignment>;
auto writeAssignment(const Assignment &assignment) -> std::string;

} // namespace crocusreach

#pragma once

#include <cstdint>

// Counts the allocations of the benchmark process, by replacing the global operator new.

namespace crocusreach::bench {

auto allocationCount() -> std::uint64_t;
auto allocatedBytes() -> std::uint64_t;

} // namespace crocusreach::bench

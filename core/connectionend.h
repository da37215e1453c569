#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace crocusreach {

// How a TCP connection ended, as this side saw it.
enum class ConnectionEnd : std::uint8_t {
    Open, // it hasn't ended
    Closed, // by the other side, in order: all that it sent was received
    Refused, // it was never established
    Reset,
    TimedOut, // the other side acknowledged nothing for too long
    Unreachable,
    Failed, // any other error of the network or the machine
    Count
};

auto toString(ConnectionEnd end) -> std::string_view;
auto connectionEndFromString(std::string_view name) -> std::optional<ConnectionEnd>;

} // namespace crocusreach

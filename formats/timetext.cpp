#include "timetext.h"

#include <array>
#include <cstdio>

namespace crocusreach {

namespace {

using std::chrono::sys_days;
using std::chrono::year;

constexpr auto earliestTime = WallTime(sys_days(year(1970) / 1 / 1));
constexpr auto latestTime = WallTime(sys_days(year(10000) / 1 / 1));

// Takes a number of exactly the given count of digits off the front.
auto takeDigits(std::string_view &text, std::size_t count) -> std::optional<int>
{
    if (text.size() < count)
        return std::nullopt;
    auto value = 0;
    for (const auto c : text.substr(0, count)) {
        if (c < '0' || c > '9')
            return std::nullopt;
        value = value * 10 + (c - '0');
    }
    text.remove_prefix(count);
    return value;
}

auto takeCharacter(std::string_view &text, char expected) -> bool
{
    if (text.empty() || text.front() != expected)
        return false;
    text.remove_prefix(1);
    return true;
}

auto takeDate(std::string_view &text) -> std::optional<std::chrono::sys_days>
{
    const auto year = takeDigits(text, 4);
    if (!year || !takeCharacter(text, '-'))
        return std::nullopt;
    const auto month = takeDigits(text, 2);
    if (!month || !takeCharacter(text, '-'))
        return std::nullopt;
    const auto day = takeDigits(text, 2);
    if (!day)
        return std::nullopt;
    const auto date = std::chrono::year_month_day(std::chrono::year(*year),
                                                  std::chrono::month(static_cast<unsigned>(*month)),
                                                  std::chrono::day(static_cast<unsigned>(*day)));
    if (!date.ok())
        return std::nullopt;
    return std::chrono::sys_days(date);
}

auto takeClock(std::string_view &text) -> std::optional<std::chrono::minutes>
{
    const auto hour = takeDigits(text, 2);
    if (!hour || *hour > 23 || !takeCharacter(text, ':'))
        return std::nullopt;
    const auto minute = takeDigits(text, 2);
    if (!minute || *minute > 59)
        return std::nullopt;
    return std::chrono::hours(*hour) + std::chrono::minutes(*minute);
}

auto takeSeconds(std::string_view &text) -> std::optional<std::chrono::milliseconds>
{
    const auto second = takeDigits(text, 2);
    if (!second || *second > 59)
        return std::nullopt;
    auto value = std::chrono::milliseconds(std::chrono::seconds(*second));
    if (!takeCharacter(text, '.'))
        return value;
    auto weight = 100;
    auto digits = 0;
    for (auto digit = takeDigits(text, 1); digit; digit = takeDigits(text, 1)) {
        value += std::chrono::milliseconds(*digit * weight);
        weight /= 10;
        ++digits;
    }
    if (digits < 1 || digits > 3)
        return std::nullopt;
    return value;
}

auto takeOffset(std::string_view &text) -> std::optional<std::chrono::minutes>
{
    if (takeCharacter(text, 'Z'))
        return std::chrono::minutes(0);
    const auto negative = takeCharacter(text, '-');
    if (!negative && !takeCharacter(text, '+'))
        return std::nullopt;
    const auto offset = takeClock(text);
    if (!offset)
        return std::nullopt;
    return negative ? -*offset : *offset;
}

} // namespace

auto writeTime(WallTime time) -> std::string
{
    const auto day = std::chrono::floor<std::chrono::days>(time);
    const auto date = std::chrono::year_month_day(day);
    const auto clock = std::chrono::hh_mm_ss(time - day);
    auto buffer = std::array<char, 64>();
    std::snprintf(buffer.data(), buffer.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
                  static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                  static_cast<unsigned>(date.day()), static_cast<int>(clock.hours().count()),
                  static_cast<int>(clock.minutes().count()),
                  static_cast<int>(clock.seconds().count()),
                  static_cast<int>(clock.subseconds().count()));
    return buffer.data();
}

auto parseTime(std::string_view text) -> std::optional<WallTime>
{
    const auto date = takeDate(text);
    if (!date || !takeCharacter(text, 'T'))
        return std::nullopt;
    const auto clock = takeClock(text);
    if (!clock)
        return std::nullopt;
    auto seconds = std::optional(std::chrono::milliseconds(0));
    if (takeCharacter(text, ':'))
        seconds = takeSeconds(text);
    if (!seconds)
        return std::nullopt;
    const auto offset = takeOffset(text);
    if (!offset || !text.empty())
        return std::nullopt;
    const auto time = WallTime(*date + *clock + *seconds - *offset);
    // An offset can move the time out of the years that have four digits.
    if (time < earliestTime || time >= latestTime)
        return std::nullopt;
    return time;
}

} // namespace crocusreach

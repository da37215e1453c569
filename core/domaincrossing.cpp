#include "domaincrossing.h"

#include <algorithm>
#include <cmath>

namespace crocusreach::forward {

namespace {

using Seconds = std::chrono::duration<double>;

// Change of the share a second at the greatest error. The observed latencies of leafs lag by some
// seconds, within which the share must not change by more than about a quarter.
constexpr double changeRate = 0.15;
// Part of the share that returns each second whatever the error. Without it, a share would stay
// for a minute once both domains are equally fast; it also damps the loop.
constexpr double returnRate = 0.1;
// Elapsed time that counts at one send. An instance that sends once in some seconds knows little of
// what happened in between.
constexpr auto maxStep = std::chrono::seconds(2);
// While a service isn't used, its share halves in this time.
constexpr double idleHalfLife = 5;
constexpr double reportedShare = 0.1;
constexpr double endedShare = 0.01;
constexpr auto reportInterval = std::chrono::seconds(10);
constexpr double answerWeight = 0.1;

} // namespace

auto crossingPrice(const CrossingLimits &limits, double answerBytes) -> Duration
{
    const auto bytes = static_cast<double>(limits.costPerKib.count()) * answerBytes / 1024;
    const auto price = limits.roundTrip + Duration(static_cast<Duration::rep>(bytes));
    return std::min(limits.maxCost, price);
}

auto crossingCost(const CrossingState &state, const CrossingLimits &limits, double draw) -> Duration
{
    return draw < state.share ? std::min(limits.roundTrip, limits.maxCost) : limits.maxCost;
}

auto updateCrossing(CrossingState &state, const CrossingView &view, TimePoint now) -> void
{
    const auto elapsed = state.updatedAt ? now - *state.updatedAt : Duration();
    state.updatedAt = now;
    const auto step = std::min<Duration>(elapsed, maxStep);
    state.share *= std::exp2(-Seconds(elapsed - step).count() / idleHalfLife);
    // Without a usable leaf in the own domain, requests leave whatever the share. It says nothing
    // on how many should once the domain is back.
    if (!view.near)
        return;
    auto error = -1.0;
    if (view.far) {
        const auto scale = std::max({Duration(1), view.typicalLatency, view.price});
        const auto gain = *view.near - *view.far - view.price;
        error = std::clamp(Seconds(gain) / Seconds(scale), -1.0, 1.0);
    }
    const auto change = changeRate * error - returnRate * state.share;
    state.share = std::clamp(state.share + change * Seconds(step).count(), 0.0, 1.0);
}

auto takeCrossingChange(CrossingState &state, std::string_view service, TimePoint now)
        -> std::optional<CrossingChanged>
{
    const auto leaves = state.isReported ? state.share > endedShare : state.share >= reportedShare;
    if (leaves == state.isReported || now - state.reportedAt < reportInterval)
        return {};
    state.isReported = leaves;
    state.reportedAt = now;
    return CrossingChanged{std::string(service), state.share, leaves};
}

auto recordAnswerBytes(double &average, std::size_t bytes) -> void
{
    average += answerWeight * (static_cast<double>(bytes) - average);
}

auto greatestShare(const DomainCrossing &crossing) -> double
{
    auto greatest = 0.0;
    for (const auto &[service, state] : crossing.services)
        greatest = std::max(greatest, state.share);
    return greatest;
}

} // namespace crocusreach::forward

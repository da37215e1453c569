#include "targets.h"

#include "core/types.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace crocusreach::standins {

namespace {

constexpr auto microsPerMilli = 1000.0;

auto unixMs() -> double
{
    return static_cast<double>(g_get_real_time()) / microsPerMilli;
}

auto isOneOf(const auto &values, auto value) -> bool
{
    return std::ranges::find(values, value) != values.end();
}

// Rows whose text shows the query, version, layout and shard that they answer.
auto resultRows(const TargetSettings &settings, const Exchange &exchange, std::uint64_t version)
        -> std::string
{
    const auto shard = exchange.header("X-Shard");
    const auto mark
            = "|" + std::to_string(version) + "|" + std::to_string(settings.layout) + "|" + shard;
    auto rows = nlohmann::json::array();
    for (auto row = std::uint32_t(0); row < settings.results; ++row) {
        const auto key = "s" + shard + "-k" + std::to_string(row);
        const auto score = static_cast<double>(hashName(key) % 1000) / 1000;
        rows.push_back(
                {{"key", key}, {"score", score}, {"body", std::string(exchange.body()) + mark}});
    }
    return nlohmann::json{{"results", rows}}.dump();
}

} // namespace

auto sample(const ServiceTime &time, std::mt19937_64 &random) -> double
{
    auto body = std::lognormal_distribution<double>(std::log(std::max(time.medianMs, 0.001)),
                                                    time.sigma);
    auto straggles = std::bernoulli_distribution(time.stragglerProbability);
    const auto drawn = body(random);
    return straggles(random) ? drawn + time.stragglerMs : drawn;
}

Target::Target(TargetSettings given, std::uint64_t seed)
    : settings(std::move(given))
    , random(seed)
    , server(this->settings.address,
             [this](const ExchangePtr &exchange) { this->handle(exchange); })
{
    this->server.onConnection([this](std::size_t open) {
        ++this->counters.connectionsOpened;
        this->counters.peakConnections
                = std::max(this->counters.peakConnections, static_cast<std::uint32_t>(open));
        if (open <= this->settings.connections)
            return true;
        ++this->counters.overConnections;
        return false;
    });
    this->newStartId();
    if (this->settings.startCold)
        this->restart(0);
    this->recordHealth();
}

auto Target::newStartId() -> void
{
    this->startId = this->settings.name + "-" + std::to_string(this->random());
}

auto Target::isCold() const -> bool
{
    return g_get_monotonic_time() < this->coldUntil;
}

auto Target::state() const -> std::string
{
    if (this->drainingSince != 0)
        return "draining";
    return this->isCold() ? "cold" : "warm";
}

auto Target::restart(double downMs) -> void
{
    this->server.closeConnections();
    this->running.clear();
    this->newStartId();
    this->drainingSince = 0;
    ++this->counters.restarts;
    const auto coldMicros = (downMs + this->settings.coldMs) * microsPerMilli;
    this->coldUntil = g_get_monotonic_time() + static_cast<std::int64_t>(coldMicros);
    this->warmUp
            = callAfter(static_cast<std::int64_t>(coldMicros), [this] { this->recordHealth(); });
    this->recordHealth();
    if (downMs <= 0)
        return;
    this->server.refuseConnections(true);
    this->reopen = callAfter(static_cast<std::int64_t>(downMs * microsPerMilli),
                             [this] { this->server.refuseConnections(false); });
}

auto Target::setDraining(bool draining) -> void
{
    this->drainingSince = draining ? g_get_monotonic_time() : 0;
    this->recordHealth();
}

auto Target::setOut(bool out) -> void
{
    this->outSince = out ? g_get_monotonic_time() : 0;
}

auto Target::recordHealth() -> void
{
    constexpr auto kept = std::size_t(64);
    this->healthHistory.push_back({g_get_monotonic_time(), this->state(), this->startId});
    if (this->healthHistory.size() > kept)
        this->healthHistory.pop_front();
}

auto Target::headers(std::uint64_t version) const -> Headers
{
    auto versions = std::string();
    for (const auto served : this->settings.versions)
        versions += (versions.empty() ? "" : ",") + std::to_string(served);
    const auto load = static_cast<double>(this->running.size()) / this->settings.slots;
    return {{"X-Start-Id", this->startId},
            {"X-State", this->state()},
            {"X-Index-Version", std::to_string(version)},
            {"X-Layout", std::to_string(this->settings.layout)},
            {"X-Index-Versions", versions},
            {"X-Load", std::to_string(std::min(load, 1.0))}};
}

auto Target::healthHeaders() -> Headers
{
    auto shown = this->headers(this->settings.versions.back());
    if (this->settings.health == HealthPage::Lying) {
        shown[1].second = "warm";
        shown[5].second = "0";
    } else if (this->settings.health == HealthPage::Lagging) {
        const auto until = g_get_monotonic_time()
                           - static_cast<std::int64_t>(this->settings.healthLagMs * microsPerMilli);
        const auto newer = std::ranges::find_if(
                this->healthHistory, [until](const auto &entry) { return entry.at > until; });
        const auto &old = newer == this->healthHistory.begin() ? *newer : *std::prev(newer);
        shown[0].second = old.startId;
        shown[1].second = old.state;
    }
    return shown;
}

auto Target::handle(const ExchangePtr &exchange) -> void
{
    if (exchange->path() == "/v1/health") {
        ++this->counters.healthReads;
        exchange->reply(SOUP_STATUS_OK, this->healthHeaders(), {});
    } else if (exchange->path() == "/v1/search" && exchange->method() == "POST") {
        this->search(exchange);
    } else {
        exchange->reply(SOUP_STATUS_NOT_FOUND, {}, {});
    }
}

auto Target::countLateness() -> void
{
    const auto now = g_get_monotonic_time();
    const auto count = [now](std::int64_t since, std::uint64_t &requests, double &latest) {
        if (since == 0)
            return;
        ++requests;
        latest = static_cast<double>(now - since) / microsPerMilli;
    };
    count(this->outSince, this->counters.afterOut, this->counters.latestAfterOutMs);
    count(this->drainingSince, this->counters.afterDraining, this->counters.latestAfterDrainingMs);
}

auto Target::search(const ExchangePtr &exchange) -> void
{
    ++this->counters.requests;
    this->countLateness();
    const auto newest = this->settings.versions.back();
    const auto asked = std::strtoull(exchange->header("X-Index-Version").c_str(), nullptr, 10);
    const auto version = asked == 0 ? newest : asked;
    const auto layout = std::strtoul(exchange->header("X-Layout").c_str(), nullptr, 10);
    const auto shard = std::strtoul(exchange->header("X-Shard").c_str(), nullptr, 10);
    const auto deadlineMs = std::strtod(exchange->header("X-Deadline-Unix-Ms").c_str(), nullptr);
    auto lottery = std::bernoulli_distribution(this->settings.shed);
    if (this->drainingSince != 0) {
        exchange->reply(SOUP_STATUS_SERVICE_UNAVAILABLE, this->headers(newest), {});
    } else if (deadlineMs <= unixMs()) {
        ++this->counters.expired;
        exchange->reply(SOUP_STATUS_REQUEST_TIMEOUT, this->headers(newest), {});
    } else if ((layout != 0 && layout != this->settings.layout)
               || !isOneOf(this->settings.versions, version)
               || !isOneOf(this->settings.shards, shard)) {
        ++this->counters.notServed;
        exchange->reply(SOUP_STATUS_CONFLICT, this->headers(newest), {});
    } else if (lottery(this->random)) {
        ++this->counters.shed;
        auto shown = this->headers(newest);
        shown.emplace_back("X-Shed", "1");
        exchange->reply(SOUP_STATUS_SERVICE_UNAVAILABLE, shown, {});
    } else {
        this->run(exchange, version, deadlineMs);
    }
}

// Drops the searches whose caller is gone before the event loop has told.
auto Target::dropEnded() -> void
{
    for (auto entry = this->running.begin(); entry != this->running.end();) {
        const auto isEnded = !entry->second.exchange->isConnected();
        this->counters.cancelled += isEnded ? 1 : 0;
        entry = isEnded ? this->running.erase(entry) : std::next(entry);
    }
}

auto Target::run(const ExchangePtr &exchange, std::uint64_t version, double deadlineMs) -> void
{
    const auto limit = this->isCold() ? this->settings.coldSlots : this->settings.slots;
    if (this->running.size() >= limit)
        this->dropEnded();
    ++this->counters.runs;
    if (const auto id = exchange->header("X-Request-Id"); id.starts_with("once-"))
        ++this->onceRuns[id];
    const auto now = static_cast<std::uint32_t>(this->running.size() + 1);
    this->counters.peakRunning = std::max(this->counters.peakRunning, now);
    if (this->isCold()) {
        this->counters.peakRunningCold = std::max(this->counters.peakRunningCold, now);
        if (now > this->settings.coldSlots) {
            ++this->counters.overCold;
            exchange->closeConnection();
            this->restart(0);
            return;
        }
    } else if (now > this->settings.slots) {
        ++this->counters.overSlots;
    }
    const auto serviceMs = sample(this->settings.serviceTime, this->random);
    const auto leftMs = std::max(deadlineMs - unixMs(), 0.0);
    const auto *key = exchange.get();
    auto end = callAfter(static_cast<std::int64_t>(std::min(serviceMs, leftMs) * microsPerMilli),
                         [this, exchange, version, left = leftMs - serviceMs] {
                             this->finish(exchange, version, left);
                         });
    this->running.emplace(exchange.get(), Running{exchange, std::move(end)});
    exchange->onDisconnect([this, key] {
        ++this->counters.cancelled;
        this->running.erase(const_cast<Exchange *>(key));
    });
}

auto Target::finish(const ExchangePtr &exchange, std::uint64_t version, double leftMs) -> void
{
    this->running.erase(exchange.get());
    auto lottery = std::bernoulli_distribution(this->settings.error);
    if (leftMs < 0) {
        ++this->counters.deadlineEnded;
        exchange->reply(SOUP_STATUS_GATEWAY_TIMEOUT, this->headers(version), {});
    } else if (lottery(this->random)) {
        exchange->reply(SOUP_STATUS_INTERNAL_SERVER_ERROR, this->headers(version), {});
    } else {
        ++this->counters.answered;
        exchange->reply(SOUP_STATUS_OK, this->headers(version),
                        resultRows(this->settings, *exchange, version));
    }
}

Targets::Targets(std::size_t threads, std::uint64_t seed)
    : seed(seed)
{
    for (auto index = std::size_t(0); index < std::max<std::size_t>(threads, 1); ++index)
        this->workers.push_back(std::make_unique<MainThread>("targets"));
}

Targets::Stop::~Stop()
{
    for (auto &[name, entry] : this->targets->targets)
        this->targets->workers[entry.worker]->run([&entry = entry] { entry.target.reset(); });
}

auto Targets::add(const TargetSettings &settings) -> std::string
{
    auto &entry = this->targets[settings.name];
    entry.worker = this->added++ % this->workers.size();
    auto address = std::string();
    this->workers[entry.worker]->run([&] {
        entry.target
                = std::make_unique<Target>(settings, hashPair(this->seed, hashName(settings.name)));
        address = entry.target->address();
    });
    return address;
}

auto Targets::change(std::string_view pattern, const std::function<auto(Target &)->void> &function)
        -> std::size_t
{
    auto matched = std::size_t(0);
    for (auto &[name, entry] : this->targets) {
        const auto isPrefix = pattern.ends_with('*');
        if (isPrefix ? !name.starts_with(pattern.substr(0, pattern.size() - 1)) : name != pattern)
            continue;
        ++matched;
        this->workers[entry.worker]->run([&entry = entry, &function] { function(*entry.target); });
    }
    return matched;
}

auto Targets::remove(const std::string &name) -> void
{
    const auto found = this->targets.find(name);
    if (found == this->targets.end())
        return;
    this->workers[found->second.worker]->run([&] { found->second.target.reset(); });
    this->targets.erase(found);
}

} // namespace crocusreach::standins

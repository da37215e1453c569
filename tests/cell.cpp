#include "cell.h"

#include "formats/configurationjson.h"
#include "numbered.h"

#include <algorithm>
#include <cstdlib>
#include <set>
#include <sstream>

namespace crocusreach::tests {

namespace {

using Json = nlohmann::json;

constexpr auto deadlineMs = 1000;
// Time that an answer may take beyond its deadline on a busy machine.
constexpr auto lateMs = 1000;
constexpr auto callLimit = std::chrono::seconds(4);
constexpr auto keptFaults = std::size_t(10);

auto domainName(int index) -> std::string
{
    return "d-" + std::to_string(index % cellDomains);
}

// Each shard is on two leafs.
auto makeService(const CellSettings &settings, const std::string &name) -> Service
{
    auto service = Service{serviceId(name), name, "cell", LayoutVersion(1),
                           static_cast<std::uint32_t>(settings.leafs)};
    for (auto index = 0; index < settings.leafs; ++index) {
        const auto leafName = "l-" + std::to_string(index);
        const auto next = (index + 1) % settings.leafs;
        service.leafs.push_back(
                {leafId(name, leafName),
                 leafName,
                 "127.0.0.1:1",
                 domainId(domainName(index)),
                 settings.slots,
                 settings.coldSlots,
                 settings.connections,
                 {ShardNumber(std::min(index, next)), ShardNumber(std::max(index, next))}});
    }
    return service;
}

auto makeConfiguration(const CellSettings &settings) -> Configuration
{
    auto configuration = Configuration();
    for (auto index = 0; index < cellDomains; ++index)
        configuration.domains.push_back({domainId(domainName(index)), domainName(index), "region"});
    for (auto index = 1; index <= settings.services; ++index)
        configuration.services.push_back(makeService(settings, "s-" + std::to_string(index)));
    return configuration;
}

// The address of a listener that the log names; empty if it doesn't yet.
auto listenerAddress(const std::string &log, const std::string &listener) -> std::string
{
    auto stream = std::istringstream(readFile(log));
    for (auto line = std::string(); std::getline(stream, line);) {
        const auto key = std::string("address=");
        const auto found = line.find(key);
        if (line.find("listener=" + listener) != std::string::npos && found != std::string::npos)
            return line.substr(found + key.size(), line.find(' ', found) - found - key.size());
    }
    return {};
}

} // namespace

Cell::Cell(const CellSettings &settings)
    : settings(settings)
    , standins(std::make_unique<standins::Standins>(standins::StandinsSettings()))
    , desired(makeConfiguration(settings))
{
    auto defaults = standins::TargetSettings();
    defaults.serviceTime = settings.serviceTime;
    defaults.coldMs = settings.coldMs;
    this->standins->addTargets(this->desired, defaults);
    this->publish();
    for (auto index = 0; index < settings.instances; ++index)
        this->start("i-" + std::to_string(index), index);
    for (auto index = std::size_t(0); index < this->instances.size(); ++index) {
        if (!waitUntil([&] { return this->answersCompletely(index); }, std::chrono::seconds(60)))
            throw std::runtime_error("instance " + std::to_string(index)
                                     + " gives no complete answer; its log:\n"
                                     + readFile(this->instances[index].log));
    }
}

auto Cell::publish() -> void
{
    this->standins->change([this](standins::ObjectStore &store, standins::InstanceList &) {
        store.write("config/current", writeConfiguration(this->desired));
    });
}

auto Cell::start(const std::string &name, int domain) -> void
{
    auto seeds = std::vector<std::string>();
    for (const auto &running : this->instances)
        seeds.push_back(running.peerAddress);
    const auto text = Json{{"instance", name},
                           {"region", "region"},
                           {"failure_domain", domainName(domain)},
                           {"cell", "cell"},
                           {"caller_address", "127.0.0.1:0"},
                           {"peer_address", "127.0.0.1:0"},
                           {"admin_address", "127.0.0.1:0"},
                           {"seeds", seeds},
                           {"store_address", this->standins->storeAddress()},
                           {"instance_list_address", this->standins->listAddress()}}
                              .dump();
    const auto file = this->folder.write(name + ".json", text);
    auto running = RunningInstance{
            name, "", "", this->folder.path(name + ".log"),
            Process({CROCUSREACH_BINARY, "--settings", file}, this->folder.path(name + ".log"))};
    if (!waitUntil([&running] {
            running.peerAddress = listenerAddress(running.log, "peer");
            running.callerAddress = listenerAddress(running.log, "caller");
            return !running.peerAddress.empty() && !running.callerAddress.empty();
        }))
        throw std::runtime_error("no listener in the log:\n" + readFile(running.log));
    this->standins->change([&](standins::ObjectStore &, standins::InstanceList &list) {
        list.set(name, {running.peerAddress});
    });
    this->instances.push_back(std::move(running));
}

auto Cell::answersCompletely(std::size_t index) -> bool
{
    return std::ranges::all_of(this->desired.services, [&](const Service &service) {
        const auto answer = httpCall("POST", this->instances[index].callerAddress,
                                     "/v1/services/" + service.name + "/query",
                                     R"({"query": "q", "deadline_ms": 500})");
        return answer.body.find(R"("complete")") != std::string::npos;
    });
}

auto Cell::violations() -> std::vector<std::string>
{
    auto found = std::vector<std::string>();
    for (const auto &running : this->instances) {
        auto stream = std::istringstream(readFile(running.log));
        for (auto line = std::string(); std::getline(stream, line);) {
            if (line.find("invariant_violated") != std::string::npos)
                found.push_back(running.name + ": " + line);
        }
    }
    constexpr auto bound = 5000.0; // ms, for the last request after leaving or being taken out
    const auto counters = this->standins->counters();
    for (const auto &[name, target] : counters["targets"].items()) {
        for (const auto *limit : {"over_slots", "over_cold", "over_connections"}) {
            if (target[limit] != 0)
                found.push_back(name + ": " + limit + " " + target[limit].dump());
        }
        for (const auto *late : {"latest_after_out_ms", "latest_after_draining_ms"}) {
            if (target[late] > bound)
                found.push_back(name + ": " + late + " " + target[late].dump());
        }
    }
    if (!counters["doubled"].empty())
        found.push_back("run twice: " + counters["doubled"].dump());
    return found;
}

auto faultOf(const Json &answer, const std::string &text) -> std::string
{
    const auto &coverage = answer["coverage"];
    const auto asked = coverage["asked"].get<std::size_t>();
    const auto answered = coverage["answered"].get<std::size_t>();
    if (answered + coverage["missing"].size() != asked)
        return "answered and missing shards don't sum to the asked ones";
    if ((answer["status"] == "complete") != (answered == asked))
        return "the status doesn't fit the coverage";
    const auto mark = text + "|" + answer["index_version"].dump() + "|" + answer["layout"].dump();
    auto shards = std::set<std::uint64_t>();
    auto keys = std::set<std::string>();
    for (const auto &row : answer["results"]) {
        shards.insert(row["shard"].get<std::uint64_t>());
        if (row["body"] != mark + "|" + row["shard"].dump())
            return "a row is of another query, version or layout: " + row["body"].dump();
        if (!keys.insert(row["key"].get<std::string>()).second)
            return "a row is there twice";
    }
    if (shards.size() != answered)
        return "rows of " + std::to_string(shards.size()) + " shards, reported "
               + std::to_string(answered);
    return {};
}

auto askOnce(const std::string &address, const std::string &id, bool firstAttempt) -> Json
{
    const auto body
            = Json{{"query", id},         {"deadline_ms", deadlineMs},     {"request_id", id},
                   {"idempotent", false}, {"first_attempt", firstAttempt}, {"shard_key", id}}
                      .dump();
    const auto answer = httpCall("POST", address, "/v1/services/s-1/query", body, {}, callLimit);
    const auto json = Json::parse(answer.body, nullptr, false);
    return json.is_object() ? json : Json();
}

auto longFactor() -> int
{
    const auto *text = std::getenv("CROCUSREACH_LONG");
    return text != nullptr ? std::max(1, std::atoi(text)) : 1;
}

Callers::Callers(Cell &cell, std::size_t threads)
    : cell(cell)
    , avoided(cell.size(), false)
    , disturbed(cell.size(), false)
    , asking(threads * cell.size(), false)
{
    for (auto index = std::size_t(0); index < cell.size(); ++index)
        this->addresses.push_back(cell.instance(index).callerAddress);
    for (auto caller = std::size_t(0); caller < threads; ++caller)
        this->threads.emplace_back([this, caller] { this->run(caller); });
}

Callers::~Callers()
{
    this->ending = true;
    for (auto &thread : this->threads)
        thread.join();
}

auto Callers::seen() const -> Seen
{
    const auto lock = std::lock_guard(this->mutex);
    return this->counted;
}

auto Callers::disturb(std::size_t instance) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    this->disturbed[instance] = true;
}

auto Callers::avoid(std::size_t instance) -> void
{
    const auto isIdle = [this, instance] {
        const auto lock = std::lock_guard(this->mutex);
        this->avoided[instance] = true;
        for (auto slot = instance; slot < this->asking.size(); slot += this->addresses.size()) {
            if (this->asking[slot])
                return false;
        }
        return true;
    };
    waitUntil(isIdle);
}

auto Callers::waitForComplete(std::uint64_t further) const -> bool
{
    const auto until = this->seen().complete + further;
    return waitUntil([this, until] { return this->seen().complete >= until; });
}

auto Callers::run(std::size_t caller) -> void
{
    auto client = HttpClient(callLimit);
    auto number = std::uint64_t(0);
    const auto size = this->addresses.size();
    for (auto index = caller; !this->ending; ++index) {
        const auto slot = caller * size + index % size;
        {
            const auto lock = std::lock_guard(this->mutex);
            if (this->avoided[index % size])
                continue;
            this->asking[slot] = true;
        }
        this->ask(client, index % size, numbered("c", caller).append(numbered("-", ++number)));
        const auto lock = std::lock_guard(this->mutex);
        this->asking[slot] = false;
    }
}

auto Callers::ask(HttpClient &client, std::size_t instance, const std::string &text) -> void
{
    const auto service = "s-" + std::to_string(1 + hashName(text) % 2);
    const auto body = Json{{"query", text}, {"deadline_ms", deadlineMs}, {"limit", 100}}.dump();
    const auto began = std::chrono::steady_clock::now();
    const auto answer = client.call("POST", this->addresses[instance],
                                    "/v1/services/" + service + "/query", body, {}, true);
    const auto spent = std::chrono::steady_clock::now() - began;
    const auto lock = std::lock_guard(this->mutex);
    const auto fault = this->record(instance, text, answer,
                                    spent > std::chrono::milliseconds(deadlineMs + lateMs));
    if (!fault.empty() && this->counted.faults.size() < keptFaults)
        this->counted.faults.push_back(this->cell.instance(instance).name + ": " + fault + ": "
                                       + answer.body);
}

// Counts an answer and returns what is wrong with it.
auto Callers::record(std::size_t instance, const std::string &text, const HttpAnswer &answer,
                     bool isLate) -> std::string
{
    const auto json = Json::parse(answer.body, nullptr, false);
    if (answer.status == 0 || !json.is_object()) {
        ++this->counted.unanswered;
        return this->disturbed[instance] ? "" : "no answer";
    }
    if (answer.status != 200) {
        ++this->counted.refused;
        ++this->counted.reasons[json.value("reason", std::string("none"))];
    } else {
        ++(json["status"] == "complete" ? this->counted.complete : this->counted.partial);
        for (const auto &shard : json["coverage"]["missing"])
            ++this->counted.reasons[shard["reason"].get<std::string>()];
        if (auto fault = faultOf(json, text); !fault.empty())
            return fault;
    }
    return isLate && !this->disturbed[instance] ? "answered after its deadline" : "";
}

} // namespace crocusreach::tests

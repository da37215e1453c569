#include "callers.h"

#include "standins/platformobjects.h"
#include "uploadleaf.h"

#include <algorithm>
#include <array>
#include <random>

namespace crocusreach::soak {

namespace {

using namespace std::chrono_literals;

constexpr auto recordsPerPart = 4;
constexpr auto recordBytes = std::size_t(16);
constexpr auto topRecords = std::size_t(5);
constexpr auto uploadSize = std::size_t(200'000);
constexpr auto requestsPerConnection = 12;
constexpr auto timeLeft = 1500ms;

enum RequestKind : std::uint32_t { Gather, Single, Once, Upload, KindCount };

auto requestText(std::uint32_t kind, const std::string &id) -> std::string
{
    static constexpr auto targets = std::to_array({"/all/x", "/one/x", "/once/x", "/upload/x"});
    const auto hasBody = kind == Once || kind == Upload;
    const auto body
            = kind == Upload ? std::string(uploadSize, 'q') : std::string(hasBody ? "{}" : "");
    return standins::callerRequestText(hasBody ? "POST" : "GET", targets.at(kind), id,
                                       timeLeft.count(), body);
}

// The records that a leaf answers a request with; the stand-in makes the same ones.
auto recordsOf(const std::string &leaf, const std::string &id) -> std::vector<std::string>
{
    auto records = std::vector<std::string>();
    for (auto number = 0; number < recordsPerPart; ++number) {
        auto record = std::to_string(number);
        record.append("|").append(leaf).append("|").append(id);
        record.resize(recordBytes, '.');
        records.push_back(record);
    }
    return records;
}

auto requestFinding(const std::string &id, std::string_view text) -> std::string
{
    auto finding = "request " + id;
    return finding.append(" ").append(text);
}

auto split(std::string_view text) -> std::vector<std::string>
{
    auto items = std::vector<std::string>();
    while (!text.empty()) {
        const auto comma = std::min(text.find(", "), text.size());
        items.emplace_back(text.substr(0, comma));
        text.remove_prefix(std::min(comma + 2, text.size()));
    }
    return items;
}

} // namespace

auto NamedShardSets::add(std::set<std::string> shards) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    this->sets.push_back(std::move(shards));
}

auto NamedShardSets::fits(const std::set<std::string> &parts, std::size_t missing) const -> bool
{
    const auto lock = std::lock_guard(this->mutex);
    return std::any_of(this->sets.begin(), this->sets.end(), [&](const auto &shards) {
        return shards.size() == parts.size() + missing
               && std::includes(shards.begin(), shards.end(), parts.begin(), parts.end());
    });
}

Callers::Callers(std::size_t count, std::uint32_t seed, PickAddress pickAddress,
                 standins::RunLedger &ledger, NamedShardSets &shardSets)
    : pickAddress(std::move(pickAddress))
    , ledger(ledger)
    , shardSets(shardSets)
{
    for (std::size_t number = 0; number < count; ++number)
        this->threads.emplace_back([this, number, seed] { this->run(number, seed); });
}

auto Callers::stop() -> void
{
    this->ending = true;
    for (auto &thread : this->threads)
        thread.join();
    this->threads.clear();
}

auto Callers::find(const std::string &text) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    this->found.push_back(text);
}

auto Callers::findings() const -> std::vector<std::string>
{
    auto all = this->found;
    for (const auto &id : this->onceIds) {
        auto runs = 0;
        for (const auto &[leaf, count] : this->ledger.runsOf(id))
            runs += count;
        if (runs > 1)
            all.push_back("request " + id + " must run once at most and ran " + std::to_string(runs)
                          + " times");
    }
    for (const auto &id : this->refusedOnce) {
        if (!this->ledger.runsOf(id).empty())
            all.push_back("request " + id + " was refused as not run and has run");
    }
    return all;
}

auto Callers::run(std::size_t number, std::uint32_t seed) -> void
{
    auto random = std::mt19937(seed * 100 + static_cast<std::uint32_t>(number));
    auto lastId = 0;
    while (!this->ending) {
        auto client = tests::TestClient(this->pickAddress());
        for (auto request = 0; request < requestsPerConnection && !this->ending; ++request) {
            const auto id = std::to_string(number) + "-" + std::to_string(++lastId);
            if (!this->ask(client, random() % KindCount, id))
                break;
            std::this_thread::sleep_for(std::chrono::milliseconds(random() % 20));
        }
    }
}

// Returns whether the connection takes another request.
auto Callers::ask(tests::TestClient &client, std::uint32_t kind, const std::string &id) -> bool
{
    ++this->counted.asked;
    client.send(requestText(kind, id));
    const auto response = client.receive(timeLeft + 500ms);
    if (kind == Once) {
        const auto lock = std::lock_guard(this->mutex);
        this->onceIds.push_back(id);
        if (response && response->status == 503)
            this->refusedOnce.push_back(id);
    }
    if (!response) {
        ++this->counted.failed;
        return false;
    }
    if (response->status == 200) {
        ++this->counted.served;
        if (kind == Gather)
            this->checkGather(*response, id);
        else
            this->checkSingle(*response, id, kind == Upload);
    } else if (response->status == 503) {
        ++this->counted.refused;
    } else {
        ++this->counted.failed;
        // The routes are there at all times, and the requests are proper.
        if (response->status < 500)
            this->find(requestFinding(id, "got status " + std::to_string(response->status)));
    }
    return response->keepAlive;
}

auto Callers::checkGather(const HttpMessage &response, const std::string &id) -> void
{
    auto records = std::vector<std::string>();
    auto services = std::set<std::string>();
    const auto receipts = split(findHeader(response, standins::partReceiptsHeader).value_or(""));
    for (const auto &receipt : receipts) {
        const auto dot = receipt.rfind('.');
        const auto leaf = receipt.substr(0, dot);
        if (dot == std::string::npos || receipt.substr(dot + 1) != id)
            return this->find(requestFinding(id, "got the part " + receipt));
        services.insert(leaf.substr(0, leaf.find('/')));
        for (auto &record : recordsOf(leaf, id))
            records.push_back(std::move(record));
    }
    const auto missing = std::stoul(
            std::string(findHeader(response, standins::missingPartsHeader).value_or("0")));
    this->counted.partial += missing > 0 ? 1 : 0;
    if (services.size() != receipts.size())
        return this->find(requestFinding(id, "got two parts of one service"));
    if (!this->shardSets.fits(services, missing))
        return this->find(requestFinding(id, "got parts of no single desired state"));
    std::sort(records.begin(), records.end(), std::greater<>());
    auto expected = std::string();
    for (std::size_t index = 0; index < std::min(topRecords, records.size()); ++index)
        expected += records[index];
    if (response.body != expected)
        this->find(requestFinding(id, "got other records than its parts hold"));
}

auto Callers::checkSingle(const HttpMessage &response, const std::string &id, bool isUpload) -> void
{
    const auto receipt = std::string(findHeader(response, standins::receiptHeader).value_or(""));
    const auto dot = receipt.rfind('.');
    if (dot == std::string::npos || receipt.substr(dot + 1) != id)
        return this->find(requestFinding(id, "got the answer " + receipt));
    const auto leaf = receipt.substr(0, dot);
    auto expected = isUpload ? uploadAnswer(leaf, id) : std::string();
    if (!isUpload) {
        for (const auto &record : recordsOf(leaf, id))
            expected += record;
    }
    if (response.body != expected)
        this->find(requestFinding(id, "got " + std::to_string(response.body.size()) + " bytes of "
                                              + std::to_string(expected.size())
                                              + ", or others, from leaf " + leaf));
}

} // namespace crocusreach::soak

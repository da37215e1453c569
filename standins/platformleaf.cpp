#include "platformleaf.h"

namespace crocusreach::standins {

namespace {

constexpr auto recordsPerPart = 4;
constexpr auto recordBytes = std::size_t(16);

} // namespace

auto RunLedger::noteRun(const std::string &requestId, const std::string &leaf) -> void
{
    const auto lock = std::lock_guard(this->mutex);
    ++this->runs[requestId][leaf];
}

auto RunLedger::runsOf(const std::string &requestId) const -> std::map<std::string, int>
{
    const auto lock = std::lock_guard(this->mutex);
    const auto found = this->runs.find(requestId);
    return found == this->runs.end() ? std::map<std::string, int>() : found->second;
}

PlatformLeaf::PlatformLeaf(std::string_view address, std::string id, RunLedger &ledger)
    : leafId(std::move(id))
    , ledger(ledger)
    , server(address, [this](const ExchangePtr &exchange) { this->handle(exchange); })
{ }

auto PlatformLeaf::handle(const ExchangePtr &exchange) -> void
{
    const auto expected = exchange->header("Crocusreach-Expect-Instance");
    if (this->mode == PlatformLeafMode::OtherLeaf
        || (!expected.empty() && expected != this->leafId)) {
        this->reply(exchange, SOUP_STATUS_MISDIRECTED_REQUEST,
                    {{"Crocusreach-Instance-Id", "i-other"}}, {});
        return;
    }
    if (this->mode == PlatformLeafMode::Refuses) {
        this->reply(exchange, SOUP_STATUS_SERVICE_UNAVAILABLE, {{"Crocusreach-Not-Executed", "1"}},
                    {});
        return;
    }
    ++this->runCount;
    this->ledger.noteRun(exchange->header("Crocusreach-Request-Id"), this->leafId);
    if (this->mode == PlatformLeafMode::Fails) {
        this->reply(exchange, SOUP_STATUS_INTERNAL_SERVER_ERROR, {}, {});
        return;
    }
    if (this->mode == PlatformLeafMode::Loses) {
        exchange->closeConnection();
        return;
    }
    if (this->mode == PlatformLeafMode::Silent) {
        this->silenced[exchange.get()] = exchange;
        exchange->onDisconnect([this, key = exchange.get()] { this->silenced.erase(key); });
        return;
    }
    const auto drop = [this, key = exchange.get()] { this->running.erase(key); };
    exchange->onDisconnect(drop);
    this->running[exchange.get()] = callAfter(this->work, [this, exchange, drop] {
        this->answer(exchange);
        drop();
    });
}

auto PlatformLeaf::answer(const ExchangePtr &exchange) -> void
{
    const auto request = exchange->header("Crocusreach-Request-Id");
    auto body = std::string();
    for (auto number = 0; number < recordsPerPart; ++number) {
        auto record = std::to_string(number) + "|" + this->leafId + "|" + request;
        record.resize(recordBytes, '.');
        body += record;
    }
    this->reply(exchange, SOUP_STATUS_OK,
                {{"Crocusreach-Server-Stamp", this->leafId + "." + request},
                 {"Crocusreach-Request-Id", request},
                 {"Crocusreach-Server-Load", std::to_string(this->running.size()) + ",0,4"}},
                body);
}

auto PlatformLeaf::reply(const ExchangePtr &exchange, unsigned status, Headers headers,
                         std::string_view body) -> void
{
    headers.insert(headers.end(), this->statements.begin(), this->statements.end());
    exchange->reply(status, headers, body);
}

} // namespace crocusreach::standins

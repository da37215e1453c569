#pragma once

#include "httpserver.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>

// The users' platform store, in memory, with faults: objects by kind and name, lists, watches and
// conditional writes.

namespace crocusreach::standins {

enum class PlatformAvailability : std::uint8_t {
    Up,
    Busy, // answers 503
    Silent, // accepts and never answers
};

// To be made, used and destroyed in one thread.
class PlatformStore
{
public:
    using Json = nlohmann::json;

    explicit PlatformStore(std::string_view address);

    auto address() const -> const std::string & { return this->server.address(); }
    auto setAvailability(PlatformAvailability changed) -> void;
    // Drops the history, so that watches from before end with 410.
    auto forgetHistory() -> void;
    // Copies the objects, and replaces them by that copy in a new era.
    auto takeCopy() -> void { this->copy = {this->objects, this->revision}; }
    auto restoreCopy() -> void;
    auto calls() const -> std::uint64_t { return this->callCount; }
    auto resetConnections() -> void { this->server.closeConnections(); }

    // Writes of the operator and of leafs, past the faults.
    auto put(const std::string &kind, const std::string &name, Json spec) -> std::uint64_t;
    auto remove(const std::string &kind, const std::string &name) -> void;
    auto count(const std::string &kind) const -> std::size_t;
    // Null if there is none.
    auto status(const std::string &kind, const std::string &name) const -> Json;

private:
    using Key = std::pair<std::string, std::string>;

    struct Object
    {
        Json spec;
        std::uint64_t revision = 0;
        bool deleted = false;
        Json status = {};
    };
    struct Watch
    {
        std::string kind;
        std::uint64_t revision = 0;
        ExchangePtr exchange;
        Source timeout;
    };

    auto handle(const ExchangePtr &exchange) -> void;
    auto list(const ExchangePtr &exchange, const std::string &kind) -> void;
    auto watch(const ExchangePtr &exchange, const std::string &kind) -> void;
    auto create(const ExchangePtr &exchange, const std::string &kind) -> void;
    auto writeStatus(const ExchangePtr &exchange, const Key &key) -> void;
    auto changes(const std::string &kind, std::uint64_t since) const -> Json;
    auto notify(const std::string &kind) -> void;
    auto answerChanges(Exchange &exchange, const std::string &kind, std::uint64_t since) -> void;
    auto toJson(const Key &key, const Object &object) const -> Json;
    auto reply(Exchange &exchange, unsigned status, std::string_view body = {}) const -> void;

    PlatformAvailability availability = PlatformAvailability::Up;
    std::uint64_t revision = 100;
    std::uint64_t historySince = 0;
    std::uint64_t callCount = 0;
    std::map<Key, Object> objects; // deleted ones too
    std::pair<std::map<Key, Object>, std::uint64_t> copy; // with its revision
    std::uint64_t era = 1;
    HttpServer server;
    std::list<Watch> watches; // before the server at destruction, since exchanges refer to it
};

} // namespace crocusreach::standins

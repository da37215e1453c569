#pragma once

#include "httpserver.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

// The platform's instance list, which shows the state of some time ago.

namespace crocusreach::standins {

struct ListEntry
{
    std::string address;
    std::uint64_t incarnation = 0; // 0 isn't shown
    bool leaving = false;
};

using ListEntries = std::map<std::string, ListEntry>; // by name

// To be made, used and destroyed in one thread.
class InstanceList
{
public:
    explicit InstanceList(std::string_view address);

    auto address() const -> const std::string & { return this->server.address(); }
    auto set(const std::string &name, const ListEntry &entry) -> void;
    auto remove(const std::string &name) -> void;
    // Changes become visible this long after they were made. Unavailable answers 503.
    auto setFaults(double milliseconds, bool isUnavailable) -> void;

private:
    struct Snapshot
    {
        std::int64_t at = 0; // monotonic, in microseconds
        ListEntries entries;
    };

    auto record(ListEntries entries) -> void;
    auto visible() -> const ListEntries &;

    double lagMs = 0;
    bool unavailable = false;
    std::deque<Snapshot> history; // newest last; never empty
    HttpServer server;
};

} // namespace crocusreach::standins

#include "instancelist.h"

#include <nlohmann/json.hpp>

namespace crocusreach::standins {

namespace {

auto writeEntries(const ListEntries &entries) -> std::string
{
    auto instances = nlohmann::json::array();
    for (const auto &[name, entry] : entries) {
        auto item = nlohmann::json{{"name", name},
                                   {"address", entry.address},
                                   {"state", entry.leaving ? "leaving" : "live"}};
        if (entry.incarnation != 0)
            item["incarnation"] = entry.incarnation;
        instances.push_back(std::move(item));
    }
    return nlohmann::json{{"instances", instances}}.dump();
}

} // namespace

InstanceList::InstanceList(std::string_view address)
    : history(1)
    , server(address, [this](const ExchangePtr &exchange) {
        if (this->unavailable)
            exchange->reply(SOUP_STATUS_SERVICE_UNAVAILABLE, {}, {});
        else if (exchange->path() == "/v1/instances")
            exchange->reply(SOUP_STATUS_OK, {}, writeEntries(this->visible()));
        else
            exchange->reply(SOUP_STATUS_NOT_FOUND, {}, {});
    })
{ }

auto InstanceList::setFaults(double milliseconds, bool isUnavailable) -> void
{
    this->lagMs = milliseconds;
    this->unavailable = isUnavailable;
}

auto InstanceList::set(const std::string &name, const ListEntry &entry) -> void
{
    auto entries = this->history.back().entries;
    entries.insert_or_assign(name, entry);
    this->record(std::move(entries));
}

auto InstanceList::remove(const std::string &name) -> void
{
    auto entries = this->history.back().entries;
    entries.erase(name);
    this->record(std::move(entries));
}

auto InstanceList::record(ListEntries entries) -> void
{
    this->visible(); // drops what no reader can see any more
    this->history.push_back({g_get_monotonic_time(), std::move(entries)});
}

auto InstanceList::visible() -> const ListEntries &
{
    const auto until = g_get_monotonic_time() - static_cast<std::int64_t>(this->lagMs * 1000);
    while (this->history.size() > 1 && this->history[1].at <= until)
        this->history.pop_front();
    return this->history.front().entries;
}

} // namespace crocusreach::standins

#include "inforce.h"

#include "apicall.h"

#include <map>
#include <thread>

namespace crocusreach::ctl {

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto pollInterval = std::chrono::milliseconds(200);

struct Seen
{
    std::uint64_t revision = 0;
    bool reachable = true;
};

// What an instance says of itself, and the newest that its peers have heard from it.
auto mergeStatus(const Json &status, std::map<std::string, Seen> &seen) -> void
{
    auto &self = seen[status.value("instance", "")];
    self.revision = std::max(self.revision, status.value("revision", std::uint64_t()));
    self.reachable = true;
    for (const auto &member : status.value("members", Json::array())) {
        if (member.value("leaving", false))
            continue;
        const auto revision = member.value("revision", std::uint64_t());
        const auto reachable = member.value("reachable", false);
        const auto [found, isNew]
                = seen.emplace(member.value("instance", ""), Seen{revision, reachable});
        if (!isNew) {
            found->second.revision = std::max(found->second.revision, revision);
            found->second.reachable = found->second.reachable || reachable;
        }
    }
}

auto joinNames(const std::vector<std::string> &names) -> std::string
{
    auto text = std::string();
    for (const auto &name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text.empty() ? "none" : text;
}

} // namespace

auto isEverywhere(const InForce &inForce) -> bool
{
    return !inForce.current.empty() && inForce.behind.empty() && inForce.unanswered.empty();
}

auto findInForce(const Options &options, std::uint64_t revision) -> InForce
{
    auto inForce = InForce();
    auto seen = std::map<std::string, Seen>();
    for (const auto &address : options.addresses) {
        const auto reply = callOne(options, {"GET", "/admin/v1/status"}, address);
        if (reply.status == 200)
            mergeStatus(reply.body, seen);
        else
            inForce.unanswered.push_back(address);
    }
    for (const auto &[name, state] : seen) {
        if (state.revision >= revision)
            inForce.current.push_back(name);
        else
            inForce.behind.push_back({name, state.revision, state.reachable});
    }
    return inForce;
}

auto waitInForce(const Options &options, std::uint64_t revision) -> InForce
{
    const auto deadline = Clock::now() + options.timeout;
    while (true) {
        auto inForce = findInForce(options, revision);
        if (isEverywhere(inForce) || Clock::now() >= deadline)
            return inForce;
        std::this_thread::sleep_for(pollInterval);
    }
}

auto toJson(const InForce &inForce) -> Json
{
    auto json = Json::object();
    json["current"] = inForce.current;
    json["behind"] = Json::array();
    for (const auto &instance : inForce.behind) {
        auto item = Json::object();
        item["instance"] = instance.name;
        item["revision"] = instance.revision;
        item["reachable"] = instance.reachable;
        json["behind"].push_back(std::move(item));
    }
    json["unanswered"] = inForce.unanswered;
    return json;
}

auto toText(const InForce &inForce) -> std::string
{
    auto text = "in force at: " + joinNames(inForce.current) + "\n";
    auto behind = std::vector<std::string>();
    for (const auto &instance : inForce.behind) {
        behind.push_back(instance.name + " (revision " + std::to_string(instance.revision)
                         + (instance.reachable ? ")" : ", not reachable)"));
    }
    if (!behind.empty())
        text += "not yet at: " + joinNames(behind) + "\n";
    if (!inForce.unanswered.empty())
        text += "no status from: " + joinNames(inForce.unanswered) + "\n";
    return text;
}

} // namespace crocusreach::ctl

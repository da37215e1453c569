#include "standins.h"

// After the final fault, entries of another writer are in the store that name a service which no
// desired state names, at the addresses of leafs that run. Are requests served again?

using namespace review;

namespace {

constexpr auto frontCount = std::size_t(3);
constexpr auto leafCount = 4;
constexpr auto downTime = 1100ms; // down_s of kill_all
constexpr auto recoverTime = 12s; // bounds.recovery_s
constexpr auto measureTime = 10s;
constexpr auto requestInterval = 50ms;

struct Count
{
    int sent = 0;
    int served = 0;
};

// Sends requests to all fronts for a time.
auto measure(const std::vector<std::unique_ptr<Front>> &fronts, const std::string &name,
             std::chrono::seconds time) -> Count
{
    auto mutex = std::mutex();
    auto count = Count();
    auto statuses = std::map<int, int>();
    auto callers = std::vector<std::thread>();
    for (const auto &front : fronts) {
        callers.emplace_back([&, place = front->place] {
            const auto until = Clock::now() + time;
            for (auto number = 0; Clock::now() < until; ++number) {
                const auto socket = connectTo(place.front(), 500ms);
                auto buffer = std::string();
                const auto id = name + "-" + place.name + "-" + std::to_string(number);
                const auto sent = socket.isOpen()
                                  && sendAll(socket.get(),
                                             requestText("GET", "/goka/2f", id, 2000));
                const auto answer = sent ? readMessage(socket.get(), buffer, Clock::now() + 2500ms)
                                         : std::nullopt;
                const auto status = answer ? answer->status() : 0;
                {
                    const auto lock = std::lock_guard(mutex);
                    ++count.sent;
                    ++statuses[status];
                    count.served += status == 200 ? 1 : 0;
                }
                std::this_thread::sleep_for(requestInterval);
            }
        });
    }
    for (auto &caller : callers)
        caller.join();
    for (const auto &[status, number] : statuses)
        Record::line(name + ": " + std::to_string(number) + " requests answered with "
                     + std::to_string(status));
    return count;
}

auto desiredState() -> std::string
{
    return R"({"version":7,"routes":[{"name":"order-lookup","hostname":"leno12.example",)"
           R"("path_prefix":"/goka/","type":"safe","timeout_ms":2000,"target_latency_ms":600,)"
           R"("priority":2,"backend":"orderbook","max_attempts":2}],"backends":[{"name":"orderbook",)"
           R"("health_path":"/health","max_conns":48}],"limits":{"max_header_bytes":16384,)"
           R"("max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

} // namespace

auto main(int /*count*/, char **arguments) -> int
{
    ::signal(SIGPIPE, SIG_IGN);
    Record::open(arguments[2]);
    const auto *const value = std::getenv("TROUBLE");
    // With TROUBLE=fault there is the final fault, but no other writer.
    const auto faultOnly = value != nullptr && std::string_view(value) == "fault";
    const auto trouble = wantsTrouble();
    const auto ips = std::vector<std::string>{"127.48.1.9", "127.48.2.9", "127.48.3.9"};
    const auto port = findPorts(ips);
    if (port == 0)
        finish(notRunCode, "no free ports");
    auto store = Store("127.48.200.7");
    auto ran = std::atomic<int>(0);
    auto leafs = std::vector<std::unique_ptr<Leaf>>();
    const auto zones = std::array<std::string, 3>{"muar-a", "muar-b", "batu-pahat"};
    for (std::size_t number = 0; number < leafCount; ++number) {
        leafs.push_back(std::make_unique<Leaf>(
                "127.48.201." + std::to_string(number + 1), "orderbook",
                "i-orderbook" + std::to_string(number), 5ms, 64,
                [&](const std::string &, const std::string &) { ++ran; }));
        store.put("servers", leafs.back()->name(), leafs.back()->entry(zones[number % 3]));
    }
    store.put("config", "main", desiredState());
    auto seeds = std::string();
    auto fronts = std::vector<std::unique_ptr<Front>>();
    for (std::size_t number = 0; number < frontCount; ++number) {
        const auto place = FrontPlace{"front-" + std::to_string(number + 1), ips[number],
                                      zones[number], port};
        fronts.push_back(
                std::make_unique<Front>(place, seeds, store.address(), arguments[1]));
    }
    for (const auto &front : fronts) {
        if (!front->awaitReady())
            finish(notRunCode, front->place.name + " didn't become ready");
    }
    std::this_thread::sleep_for(1s);
    const auto before = measure(fronts, "before", 5s);
    if (trouble) {
        for (auto &front : fronts)
            front->kill();
        Record::line("all fronts are killed");
        if (!faultOnly) {
            for (std::size_t number = 0; number < leafs.size(); ++number) {
                auto entry = leafs[number]->entry(zones[number % 3]);
                const auto service = entry.find("orderbook");
                entry.replace(service, std::string_view("orderbook").size(), "orderbook-old");
                store.put("servers", "inventory-" + std::to_string(number), entry);
                Record::line("another writer puts servers/inventory-" + std::to_string(number)
                             + " " + entry);
            }
        }
        std::this_thread::sleep_for(downTime);
        for (auto &front : fronts)
            front->start();
        Record::line("all fronts are started");
    }
    std::this_thread::sleep_for(recoverTime);
    const auto after = measure(fronts, "after", measureTime);
    fronts.clear();
    const auto text = std::to_string(before.served) + " of " + std::to_string(before.sent)
                      + " requests served before, " + std::to_string(after.served) + " of "
                      + std::to_string(after.sent) + " later than 12 s after the machines are back";
    if (before.sent < 100 || before.served * 4 < before.sent || after.sent < 100)
        finish(notRunCode, text);
    finish(after.served * 4 < after.sent ? brokenCode : heldCode, text);
}

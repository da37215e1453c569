#include "standins.h"

// Two of a zone's three fronts are stopped, one after the other. The balancer then uses all
// of the zone's fronts. Callers send their bodies in two pieces. Is a proper request denied?

using namespace review;

namespace {

constexpr auto frontCount = std::size_t(3);
constexpr auto stoppedCount = std::size_t(2);
constexpr auto stopGap = 1000ms; // gap_s of roll_term
constexpr auto touchTime = 4000ms; // bounds.contact_ms
constexpr auto graceTime = 6000ms; // bounds.grace_s
constexpr auto timeBudget = 4000; // milliseconds, of order-lookup
constexpr auto callerCount = 24;
constexpr auto callerPause = 100ms;
constexpr auto longCallerCount = 20;
constexpr auto longWork = 3200ms; // of a long search
constexpr auto bodyBytes = std::size_t(2000);
constexpr auto pieceDelay = 60ms; // between the two pieces of a body; header_timeout_ms is 3 s

// A front and what the platform knows of it.
struct Node
{
    std::unique_ptr<Front> front;
    std::atomic<bool> inRotation = true;
    int misses = 0;
    std::optional<Time> stopRequestedAt; // guarded by the mutex of Fleet
    Time startedAt = Clock::now(); // guarded by the mutex of Fleet
};

struct Fleet
{
    std::mutex mutex;
    std::vector<std::unique_ptr<Node>> nodes;
    std::atomic<bool> ends = false;
    std::atomic<std::uint32_t> nextNode = 0;
};

struct Result
{
    std::mutex mutex;
    std::map<int, int> answers; // by status; 0: none
    int sent = 0;
    int denied = 0;
    int deniedInTouch = 0;
};

// The platform asks each front once a second whether it is ready. After two misses it gets no new
// connections, until it is ready again.
auto checkReady(Fleet &fleet) -> void
{
    while (!fleet.ends) {
        for (auto &node : fleet.nodes) {
            const auto isReady = node->front->isReady();
            node->misses = isReady ? 0 : node->misses + 1;
            const auto inRotation = isReady || (node->inRotation && node->misses < 2);
            if (inRotation != node->inRotation.exchange(inRotation))
                Record::line(node->front->place.name
                             + (inRotation ? " is in rotation" : " is out of rotation"));
        }
        std::this_thread::sleep_for(1s);
    }
}

// If fewer than half of the zone's fronts are in rotation, the platform uses all of them.
auto chooseNode(Fleet &fleet) -> Node *
{
    auto usable = std::vector<Node *>();
    for (auto &node : fleet.nodes) {
        if (node->inRotation)
            usable.push_back(node.get());
    }
    if (usable.empty())
        return nullptr; // The platform uses other zones then.
    if (usable.size() * 2 < fleet.nodes.size()) {
        usable.clear();
        for (auto &node : fleet.nodes)
            usable.push_back(node.get());
    }
    return usable[fleet.nextNode++ % usable.size()];
}

auto isInTouch(Fleet &fleet, const Node &node) -> bool
{
    const auto lock = std::lock_guard(fleet.mutex);
    const auto now = Clock::now();
    return now - node.startedAt > touchTime
           && (!node.stopRequestedAt || now - *node.stopRequestedAt > touchTime);
}

auto sendRequest(Fleet &fleet, Result &result, const std::string &id) -> void
{
    auto *const node = chooseNode(fleet);
    if (node == nullptr)
        return;
    const auto socket = connectTo(node->front->place.front(), 500ms);
    if (!socket.isOpen())
        return;
    if (id.starts_with("long")) {
        sendAll(socket.get(), requestText("GET", "/long/2f", id, timeBudget));
        auto buffer = std::string();
        const auto answer = readMessage(socket.get(), buffer, Clock::now() + 4500ms);
        Record::line(id + " at " + node->front->place.name + ": "
                     + (answer ? answer->startLine : "no answer"));
        const auto lock = std::lock_guard(result.mutex);
        ++result.sent;
        ++result.answers[answer ? answer->status() : 0];
        return;
    }
    const auto head = "POST /goka/2f HTTP/1.1\r\nHost: leno12.example\r\nCrocusreach-Request-Id: " + id
                      + "\r\nCrocusreach-Deadline-Ms: " + std::to_string(timeBudget)
                      + "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    const auto body = std::string(bodyBytes, 'b');
    const auto inTouch = isInTouch(fleet, *node);
    sendAll(socket.get(), head + body.substr(0, bodyBytes / 2));
    std::this_thread::sleep_for(pieceDelay);
    sendAll(socket.get(), body.substr(bodyBytes / 2));
    auto buffer = std::string();
    const auto answer = readMessage(socket.get(), buffer, Clock::now() + 4500ms);
    const auto status = answer ? answer->status() : 0;
    const auto lock = std::lock_guard(result.mutex);
    ++result.sent;
    ++result.answers[status];
    const auto isDenied = status >= 300 && status < 500 && status != 408 && status != 421
                          && status != 429;
    result.denied += isDenied ? 1 : 0;
    result.deniedInTouch += isDenied && inTouch ? 1 : 0;
    Record::line(id + " at " + node->front->place.name + ": "
                 + (answer ? answer->startLine : "no answer")
                 + (isDenied ? inTouch ? " DENIED, in touch" : " denied, not in touch" : ""));
}

auto desiredState() -> std::string
{
    return R"({"version":7,"routes":[{"name":"order-lookup","hostname":"leno12.example",)"
           R"("path_prefix":"/goka/","type":"unsafe","timeout_ms":4000,"target_latency_ms":600,)"
           R"("priority":2,"backend":"orderbook","max_attempts":2},{"name":"long-search",)"
           R"("hostname":"leno12.example","path_prefix":"/long/","type":"safe","timeout_ms":4000,)"
           R"("target_latency_ms":3300,"priority":2,"backend":"dispatch","max_attempts":2}],)"
           R"("backends":[{"name":"orderbook","health_path":"/health","max_conns":48},)"
           R"({"name":"dispatch","health_path":"/health","max_conns":48}],"limits":{"max_header_bytes":16384,)"
           R"("max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

} // namespace

auto main(int /*count*/, char **arguments) -> int
{
    ::signal(SIGPIPE, SIG_IGN);
    Record::open(arguments[2]);
    const auto trouble = wantsTrouble();
    const auto ips = std::vector<std::string>{"127.47.1.9", "127.47.2.9", "127.47.3.9"};
    const auto port = findPorts(ips);
    if (port == 0)
        finish(notRunCode, "no free ports");
    auto store = Store("127.47.200.7");
    auto ran = std::atomic<int>(0);
    auto leafs = std::vector<std::unique_ptr<Leaf>>();
    for (auto number = 0; number < 8; ++number) {
        const auto isLong = number >= 4;
        const auto *const service = isLong ? "dispatch" : "orderbook";
        leafs.push_back(std::make_unique<Leaf>(
                "127.47.201." + std::to_string(number + 1), service,
                "i-" + std::string(service) + std::to_string(number),
                isLong ? std::chrono::milliseconds(longWork) : 5ms, 64,
                [&](const std::string &, const std::string &) { ++ran; }));
        store.put("servers", leafs.back()->name(), leafs.back()->entry("muar-a"));
    }
    store.put("config", "main", desiredState());
    auto fleet = Fleet();
    for (std::size_t number = 0; number < frontCount; ++number) {
        auto node = std::make_unique<Node>();
        node->front = std::make_unique<Front>(
                FrontPlace{"front-" + std::to_string(number + 1), ips[number], "muar-a", port}, "",
                store.address(), arguments[1]);
        if (!node->front->awaitReady())
            finish(notRunCode, node->front->place.name + " didn't become ready");
        fleet.nodes.push_back(std::move(node));
    }
    auto platform = std::thread([&] { checkReady(fleet); });
    std::this_thread::sleep_for(touchTime + 1s);
    auto result = Result();
    auto callers = std::vector<std::thread>();
    for (auto caller = 0; caller < callerCount + longCallerCount; ++caller) {
        callers.emplace_back([&, caller] {
            // The long searches are spread over the time that one takes.
            if (caller >= callerCount)
                std::this_thread::sleep_for(longWork * (caller - callerCount) / longCallerCount);
            for (auto number = 0; !fleet.ends; ++number) {
                sendRequest(fleet, result,
                            (caller < callerCount ? "caller-" : "long-") + std::to_string(caller) + "-" + std::to_string(number));
                std::this_thread::sleep_for(callerPause);
            }
        });
    }
    // All long callers are under way, and the platform's checks come between the signals.
    std::this_thread::sleep_for(longWork + 1300ms);
    for (std::size_t number = 0; number < stoppedCount && trouble; ++number) {
        auto &node = *fleet.nodes[number];
        {
            const auto lock = std::lock_guard(fleet.mutex);
            node.stopRequestedAt = Clock::now();
        }
        node.front->signal(SIGTERM);
        Record::line(node.front->place.name + " gets SIGTERM");
        std::this_thread::sleep_for(stopGap);
    }
    // A front that has stopped is started again.
    for (const auto until = Clock::now() + graceTime + 3s; Clock::now() < until;
         std::this_thread::sleep_for(20ms)) {
        for (auto &node : fleet.nodes) {
            if (!node->front->ended())
                continue;
            Record::line(node->front->place.name + " has stopped and is started again");
            const auto lock = std::lock_guard(fleet.mutex);
            node->startedAt = Clock::now();
            node->stopRequestedAt.reset();
            node->front->start();
        }
    }
    fleet.ends = true;
    for (auto &caller : callers)
        caller.join();
    platform.join();
    fleet.nodes.clear();
    auto answers = std::string();
    for (const auto &[status, count] : result.answers)
        answers += " " + std::to_string(status) + ": " + std::to_string(count);
    const auto allowed = 5 + result.sent / 500;
    const auto text = std::to_string(result.sent) + " requests sent," + answers + "; "
                      + std::to_string(result.denied) + " proper ones denied, "
                      + std::to_string(result.deniedInTouch)
                      + " of these by machines in touch (allowed: " + std::to_string(allowed) + ")";
    if (result.sent < 1000 || ran < 500)
        finish(notRunCode, text);
    finish(result.deniedInTouch > allowed ? brokenCode : heldCode, text);
}

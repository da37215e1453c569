#include "standins.h"

// Callers on a slow link read long answers while their front is stopped as planned. Does
// each request that was read and passed on get its complete answer?

using namespace review;

namespace {

constexpr auto callerCount = 5;
constexpr auto answerBytes = std::size_t(4'000'000);
constexpr auto work = 160ms; // of order-lookup
constexpr auto timeBudget = 4000; // milliseconds, of order-lookup
constexpr auto readBytes = std::size_t(40'000);
constexpr auto readInterval = 30ms; // 1.33 MB/s

struct Outcome
{
    std::size_t bytes = 0; // of the body
    std::size_t declared = 0;
    int status = 0;
    long took = 0; // milliseconds
    bool complete = false;
    std::string end;
};

// Reads an answer at the speed of a slow link, until it is complete or the connection ends.
auto readSlowly(int socket, Time sentAt) -> Outcome
{
    auto outcome = Outcome();
    auto text = std::string();
    auto space = std::array<char, readBytes>();
    auto bodyStart = std::string::npos;
    auto next = Clock::now();
    while (!outcome.complete && outcome.end.empty()) {
        const auto count = ::recv(socket, space.data(), space.size(), 0);
        if (count <= 0)
            outcome.end = count == 0 ? "end of the connection" : std::strerror(errno);
        else
            text.append(space.data(), static_cast<std::size_t>(count));
        if (bodyStart == std::string::npos && text.find("\r\n\r\n") != std::string::npos) {
            bodyStart = text.find("\r\n\r\n") + 4;
            outcome.status = std::atoi(text.substr(9, 3).c_str());
            const auto length = text.find("Content-Length: ");
            outcome.declared = std::strtoull(text.c_str() + length + 16, nullptr, 10);
        }
        if (bodyStart != std::string::npos)
            outcome.bytes = text.size() - bodyStart;
        outcome.complete = bodyStart != std::string::npos && outcome.bytes >= outcome.declared;
        std::this_thread::sleep_until(next += readInterval);
    }
    outcome.took = millisecondsSince(sentAt);
    return outcome;
}

auto desiredState() -> std::string
{
    return R"({"version":7,"routes":[{"name":"order-lookup","hostname":"leno12.example",)"
           R"("path_prefix":"/goka/","type":"safe","timeout_ms":4000,"target_latency_ms":600,)"
           R"("priority":2,"backend":"orderbook","max_attempts":2}],"backends":[{"name":"orderbook",)"
           R"("health_path":"/health","max_conns":48}],"limits":{"max_header_bytes":16384,)"
           R"("max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

} // namespace

auto main(int /*count*/, char **arguments) -> int
{
    ::signal(SIGPIPE, SIG_IGN);
    Record::open(arguments[2]);
    const auto port = findPorts({"127.45.1.9"});
    if (port == 0)
        finish(notRunCode, "no free ports");
    auto store = Store("127.45.200.7");
    auto ran = std::atomic<int>(0);
    auto leafs = std::vector<std::unique_ptr<Leaf>>();
    for (auto number = 0; number < 2; ++number) {
        leafs.push_back(std::make_unique<Leaf>(
                "127.45.201." + std::to_string(number + 1), "orderbook",
                "i-orderbook" + std::to_string(number), work, answerBytes,
                [&](const std::string &id, const std::string &) {
                    ++ran;
                    Record::line("leaf begins to work on " + id);
                }));
        store.put("servers", leafs.back()->name(), leafs.back()->entry("muar-a"));
    }
    store.put("config", "main", desiredState());
    auto front = Front({"front-1", "127.45.1.9", "muar-a", port}, "", store.address(),
                       arguments[1]);
    if (!front.awaitReady())
        finish(notRunCode, "the front didn't become ready");
    std::this_thread::sleep_for(5s);

    auto outcomes = std::vector<Outcome>(callerCount);
    auto callers = std::vector<std::thread>();
    for (auto number = 0; number < callerCount; ++number) {
        callers.emplace_back([&, number] {
            const auto id = "request-" + std::to_string(number);
            const auto socket = connectTo(front.place.front(), 500ms, {1460, 65536});
            const auto sentAt = Clock::now();
            sendAll(socket.get(), requestText("GET", "/goka/2f", id, timeBudget));
            Record::line(id + " sent");
            auto &outcome = outcomes[static_cast<std::size_t>(number)];
            outcome = readSlowly(socket.get(), sentAt);
            Record::line(id + " status " + std::to_string(outcome.status) + ", "
                         + std::to_string(outcome.bytes) + " of " + std::to_string(outcome.declared)
                         + " bytes after " + std::to_string(outcome.took) + " ms"
                         + (outcome.end.empty() ? "" : "; " + outcome.end));
        });
    }
    std::this_thread::sleep_for(100ms);
    const auto stoppedAt = Clock::now();
    if (wantsTrouble()) {
        front.signal(SIGTERM);
        Record::line("SIGTERM sent");
    }
    for (auto &caller : callers)
        caller.join();
    while (wantsTrouble() && !front.ended() && Clock::now() < stoppedAt + 8s)
        std::this_thread::sleep_for(20ms);
    front.kill();
    // Requests that took all of their time budget don't count.
    const auto inTime = std::count_if(outcomes.begin(), outcomes.end(), [](const Outcome &item) {
        return item.took < timeBudget;
    });
    const auto cut = std::count_if(outcomes.begin(), outcomes.end(), [](const Outcome &item) {
        return !item.complete && item.took < timeBudget;
    });
    const auto text = std::to_string(callerCount) + " requests sent, " + std::to_string(ran)
                      + " run, " + std::to_string(inTime) + " ended within the time budget, "
                      + std::to_string(cut) + " of these with a part of the answer";
    if (ran < callerCount || inTime == 0)
        finish(notRunCode, text);
    finish(cut > 0 ? brokenCode : heldCode, text);
}

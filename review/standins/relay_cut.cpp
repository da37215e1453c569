#include "standins.h"

// Fronts read the store through another front, the seed. That machine is partitioned from the
// store for some seconds, and meanwhile a leaf that doesn't report draining leaves the store. Do the
// other fronts, which all reach the store, stop sending to it in time?

using namespace review;

namespace {

constexpr auto machineCount = 6;
// Machines that were in use before. Their registrations stay in the store.
constexpr auto formerCount = 7;
constexpr auto drainTime = 3000ms; // bounds.drain_ms
constexpr auto touchTime = 4000ms; // bounds.contact_ms
constexpr auto cutTime = 5500ms; // for_s of core_cut
constexpr auto trialCount = 8;
constexpr auto callersPerFront = 4;
constexpr auto requestInterval = 20ms;
constexpr auto work = 20ms;

// The link between one machine and the store. While it is cut, bytes of both directions are held up.
class Link
{
public:
    Link(const std::string &ip, Address target)
        : where{ip, 0}
        , target(std::move(target))
        , listener(listenOn(this->where))
    {
        std::thread([this] { this->accept(); }).detach();
    }

    auto address() const -> const Address & { return this->where; }
    auto setCut(bool value) -> void { this->cut = value; }

private:
    auto accept() -> void
    {
        while (true) {
            const auto accepted = ::accept4(this->listener.get(), nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0)
                std::thread([this, accepted] { this->serve(Socket(accepted)); }).detach();
        }
    }

    auto awaitHealed() const -> void
    {
        while (this->cut)
            std::this_thread::sleep_for(5ms);
    }

    auto serve(Socket near) -> void
    {
        this->awaitHealed();
        const auto far = connectTo(this->target, 500ms);
        if (!far.isOpen())
            return;
        auto space = std::array<char, 65536>();
        auto ends = std::array<pollfd, 2>{pollfd{near.get(), POLLIN, 0}, pollfd{far.get(), POLLIN, 0}};
        while (true) {
            ::poll(ends.data(), ends.size(), 1000);
            for (std::size_t from = 0; from < ends.size(); ++from) {
                if (ends.at(from).revents == 0)
                    continue;
                this->awaitHealed();
                const auto count = ::recv(ends.at(from).fd, space.data(), space.size(), 0);
                if (count <= 0)
                    return;
                sendAll(ends.at(1 - from).fd, {space.data(), static_cast<std::size_t>(count)});
            }
        }
    }

    Address where;
    Address target;
    std::atomic<bool> cut = false;
    Socket listener;
};

struct Sent
{
    std::string front;
    Time at;
};

struct Ledger
{
    std::mutex mutex;
    std::map<std::string, Sent> sent; // by request id
    std::map<std::string, Time> removed; // confirmations, by leaf
    int ran = 0;
    int late = 0;
    long latest = 0; // milliseconds after the confirmation
    std::map<std::string, int> runs; // since the start of the trial, by leaf
    std::map<std::string, int> lateRuns; // by leaf
    std::map<std::string, long> lastRuns; // by leaf, in milliseconds after the confirmation
};

// A request has reached a leaf.
auto noteRun(Ledger &ledger, const std::string &id, const std::string &leaf) -> void
{
    const auto lock = std::lock_guard(ledger.mutex);
    ++ledger.ran;
    ++ledger.runs[leaf];
    const auto removed = ledger.removed.find(leaf);
    if (removed == ledger.removed.end())
        return;
    const auto age = millisecondsSince(removed->second);
    ledger.lastRuns[leaf] = age;
    if (age <= drainTime.count())
        return;
    ++ledger.late;
    ++ledger.lateRuns[leaf];
    ledger.latest = std::max(ledger.latest, age);
    Record::line("LATE request " + id + " reaches " + leaf + " " + std::to_string(age)
                 + " ms after the confirmation that it is gone");
}

auto callFront(const FrontPlace &place, int caller, const std::atomic<bool> &ends) -> void
{
    auto socket = Socket();
    auto buffer = std::string();
    auto answers = std::map<int, int>();
    for (auto number = 0; !ends; ++number, std::this_thread::sleep_for(requestInterval)) {
        if (!socket.isOpen()) {
            socket = connectTo(place.front(), 500ms);
            buffer.clear();
        }
        const auto id = place.name + "-" + std::to_string(caller) + "-" + std::to_string(number);
        const auto sent = socket.isOpen()
                          && sendAll(socket.get(), requestText("GET", "/goka/2f", id, 2000));
        const auto answer = sent ? readMessage(socket.get(), buffer, Clock::now() + 2500ms)
                                 : std::nullopt;
        ++answers[answer ? answer->status() : 0];
        if (!answer || answer->header("connection") == "close")
            socket = Socket();
    }
    for (const auto &[status, count] : answers)
        Record::line(place.name + " answered " + std::to_string(count) + " requests with "
                     + std::to_string(status));
}

auto desiredState() -> std::string
{
    return R"({"version":7,"routes":[{"name":"lookup","hostname":"leno12.example",)"
           R"("path_prefix":"/goka/","type":"safe","timeout_ms":2000,"target_latency_ms":600,)"
           R"("priority":2,"backend":"orderbook","max_attempts":2}],"backends":[{"name":"orderbook",)"
           R"("health_path":"/health","max_conns":48}],"limits":{"max_header_bytes":16384,)"
           R"("max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

} // namespace

auto main(int /*count*/, char **arguments) -> int
{
    ::signal(SIGPIPE, SIG_IGN);
    const auto folder = std::string(arguments[1]);
    Record::open(arguments[2]);
    const auto trouble = wantsTrouble();
    auto ips = std::vector<std::string>();
    for (auto number = 0; number < formerCount + machineCount; ++number)
        ips.push_back("127.46." + std::to_string(number + 1) + ".9");
    const auto port = findPorts(ips);
    if (port == 0)
        finish(notRunCode, "no free ports");
    auto ledger = Ledger();
    auto store = Store("127.46.200.7");
    auto link = Link("127.46.200.8", store.address());
    const auto zones = std::array<std::string, 3>{"muar-a", "muar-b", "batu-pahat"};
    auto leafs = std::vector<std::unique_ptr<Leaf>>();
    const auto addLeaf = [&] {
        const auto number = leafs.size();
        const auto id = "i-orderbook" + std::to_string(number);
        leafs.push_back(std::make_unique<Leaf>(
                "127.46.201." + std::to_string(number + 1), "orderbook", id, work, 64,
                [&ledger, id](const std::string &request, const std::string &) {
                    noteRun(ledger, request, id);
                }));
        store.put("servers", id, leafs.back()->entry(zones[number % zones.size()]));
    };
    for (auto number = 0; number < 3; ++number)
        addLeaf();
    store.put("config", "main", desiredState());

    auto places = std::vector<FrontPlace>();
    for (std::size_t number = 0; number < ips.size(); ++number)
        places.push_back({"front-" + std::to_string(number + 1), ips[number],
                          zones[number % zones.size()], port});
    const auto &seed = places[formerCount];
    const auto seeds = seed.control().text();
    auto fronts = std::vector<std::unique_ptr<Front>>();
    for (const auto &place : places) {
        const auto isSeed = place.name == seed.name;
        fronts.push_back(std::make_unique<Front>(
                place, seeds, isSeed ? link.address() : store.address(), folder));
        if (!fronts.back()->awaitReady())
            finish(notRunCode, place.name + " didn't become ready");
        if (fronts.size() <= formerCount)
            fronts.back()->kill();
    }
    Record::line(std::to_string(machineCount) + " machines in use, "
                 + std::to_string(store.count("crocusreach-instances"))
                 + " that have registered; seed " + seed.name);
    auto ends = std::atomic<bool>(false);
    auto callers = std::vector<std::thread>();
    for (auto number = std::size_t(formerCount) + 1; number < places.size(); ++number)
        for (auto caller = 0; caller < callersPerFront; ++caller)
            callers.emplace_back([&, number, caller] { callFront(places[number], caller, ends); });
    for (auto number = 0; number < trialCount; ++number) {
        addLeaf();
        // The time differs, so that the cut meets the reading at another moment each time.
        std::this_thread::sleep_for(touchTime + 500ms + number * 370ms % 1000ms);
        link.setCut(trouble);
        if (trouble)
            Record::line(seed.name + " is partitioned from the store");
        std::this_thread::sleep_for(100ms);
        {
            // The leaf with the most requests, so that it would get more if it were still used.
            const auto lock = std::lock_guard(ledger.mutex);
            const auto busiest = std::max_element(
                    ledger.runs.begin(), ledger.runs.end(),
                    [](const auto &left, const auto &right) { return left.second < right.second; });
            const auto leaf = busiest->first;
            Record::line(leaf + " leaves the store after " + std::to_string(busiest->second)
                         + " requests");
            ledger.removed[leaf] = store.remove("servers", leaf);
            ledger.runs.clear();
        }
        std::this_thread::sleep_for(cutTime - 100ms);
        link.setCut(false);
        if (trouble)
            Record::line(seed.name + " reaches the store again");
    }
    ends = true;
    for (auto &caller : callers)
        caller.join();
    auto died = 0;
    for (auto number = std::size_t(formerCount); number < fronts.size(); ++number)
        died += fronts[number]->ended() ? 1 : 0;
    fronts.clear();
    const auto lock = std::lock_guard(ledger.mutex);
    for (const auto &[leaf, age] : ledger.lastRuns)
        Record::line("last request at " + leaf + " " + std::to_string(age)
                     + " ms after the confirmation that it is gone");
    const auto text = std::to_string(ledger.ran) + " requests run, " + std::to_string(ledger.late)
                      + " of them at " + std::to_string(ledger.lateRuns.size()) + " of "
                      + std::to_string(trialCount) + " leafs that were gone for more than "
                      + std::to_string(drainTime.count()) + " ms (latest "
                      + std::to_string(ledger.latest) + " ms); " + std::to_string(died)
                      + " fronts ended by themselves";
    if (ledger.lastRuns.size() < trialCount / 2 || died != 0)
        finish(notRunCode, text);
    finish(ledger.late > 0 ? brokenCode : heldCode, text);
}

#include "world.h"

// A tenant with a quota asks for more than it. The machine that grants its requests is partitioned
// from the store while another machine is replaced by one that takes over the grants.

using namespace review;

namespace {

constexpr auto ratePerSecond = 50;
constexpr auto burst = 10;
constexpr auto window = 5s; // quota_window_s
constexpr auto overshoot = 0.1; // quota_overshoot
constexpr auto slack = 20; // quota_slack
constexpr auto cutTime = 5500ms;
constexpr auto usualPerFront = 10; // requests a second of the tenant
constexpr auto hotPerFront = 75;
constexpr auto hotTime = 6500ms;
constexpr auto threadsPerFront = 5;

// Between a front and the store. While it is cut, it holds what both sides send, and delivers it
// later, as a network does that is partitioned for some seconds.
class Partition
{
public:
    Partition(const std::string &ip, std::pair<std::string, int> store)
        : store(std::move(store))
        , server(ip, [this](Socket socket) { this->join(std::move(socket)); })
    { }

    auto address() const -> std::string { return this->server.address(); }
    auto setCut(bool value) -> void { this->cut = value; }

private:
    auto awaitPath() const -> void
    {
        while (this->cut)
            std::this_thread::sleep_for(5ms);
    }

    auto pass(int from, int to) const -> void
    {
        auto space = std::string(65536, '\0');
        while (true) {
            const auto count = ::recv(from, space.data(), space.size(), 0);
            this->awaitPath();
            if (count <= 0 || !sendAll(to, std::string_view(space).substr(0, static_cast<std::size_t>(count))))
                break;
        }
        ::shutdown(from, SHUT_RDWR);
        ::shutdown(to, SHUT_RDWR);
    }

    auto join(Socket front) const -> void
    {
        this->awaitPath();
        const auto back = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        const auto address = toAddress(this->store.first, this->store.second);
        if (::connect(back.get(), reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
            return;
        auto answers = std::thread([&] { this->pass(back.get(), front.get()); });
        this->pass(front.get(), back.get());
        answers.join();
    }

    std::pair<std::string, int> store;
    std::atomic<bool> cut = false;
    Server server;
};

// A request of the tenant that a leaf has run.
struct Run
{
    Clock::time_point sentAt;
    Clock::time_point arrivedAt;
    std::string front;
};

class Runs
{
public:
    auto send(const std::string &id) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        this->sentAt[id] = Clock::now();
    }
    auto arrive(const std::string &id) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        this->runs.push_back({this->sentAt[id], Clock::now(), id.substr(0, id.find('/'))});
    }
    // The window in which most requests were both sent and run.
    auto busiest() -> std::vector<Run>
    {
        const auto lock = std::lock_guard(this->mutex);
        auto best = std::vector<Run>();
        for (const auto &first : this->runs) {
            auto inside = std::vector<Run>();
            for (const auto &run : this->runs) {
                if (run.sentAt >= first.sentAt && run.arrivedAt <= first.sentAt + window)
                    inside.push_back(run);
            }
            if (inside.size() > best.size())
                best = std::move(inside);
        }
        return best;
    }

private:
    std::mutex mutex;
    std::map<std::string, Clock::time_point> sentAt;
    std::vector<Run> runs;
};

auto specWithTenant(const std::string &service) -> std::string
{
    auto spec = configurationSpec(7, service, "safe", 2000);
    const auto tenant = R"("tenants":[{"name":"t-1","api_keys":["key-1"],"rate_per_s":)"
                        + std::to_string(ratePerSecond) + R"(,"burst":)" + std::to_string(burst)
                        + "}],";
    return spec.insert(spec.find(R"("routes")"), tenant);
}

} // namespace

auto main(int argc, char **argv) -> int
{
    ::signal(SIGPIPE, SIG_IGN);
    auto record = Record(argc > 1 ? argv[1] : "record.txt");
    auto runs = Runs();
    auto store = Store("127.0.0.1");
    const auto storeAddress = store.address();
    const auto storePort = std::atoi(storeAddress.c_str() + storeAddress.find(':') + 1);
    auto partition = Partition("127.0.0.1", {"127.0.0.1", storePort});
    const auto leaf = Server("127.0.0.1", [&](Socket socket) {
        auto reader = Reader(socket.get());
        while (const auto request = reader.read()) {
            const auto id = request->header("crocusreach-request-id");
            runs.arrive(id);
            if (!sendAll(socket.get(),
                         responseText(200,
                                      "Crocusreach-Request-Id: " + id
                                              + "\r\nCrocusreach-Server-Stamp: stamp." + id + "\r\n",
                                      "entry\n")))
                return;
        }
    });
    store.put("config", "main", specWithTenant("audit"));
    for (auto number = 1; number <= 3; ++number)
        store.put("servers", "i-" + std::to_string(number), leafSpec("audit", leaf.address()));

    const auto settings = [](const std::string &name, bool isFirstStart) {
        return "node_name=" + name + "\nbootstrap=" + (isFirstStart ? "true" : "false")
               + "\ncontracts=base,drain,config,cost,retry,recover,scatter,places,tenants,quota,"
                 "platform\nbounds.quota_window_s=5\nbounds.quota_overshoot=0.1\n"
                 "bounds.quota_slack=20\n";
    };
    // By the hash of the names, the first one grants the tenant's requests, and the one that joins
    // later takes its place.
    auto first = Front("127.0.0.1", partition.address(), settings("front-colombo-a-1", true));
    auto second = Front("127.0.0.2", storeAddress, settings("front-colombo-a-2", true));
    auto third = Front("127.0.0.3", storeAddress, settings("front-colombo-b-1", true));
    for (const auto *front : {&first, &second, &third})
        awaitReady(*front);

    auto isHot = std::atomic<bool>(false);
    auto stopped = std::atomic<bool>(false);
    auto refused = std::atomic<int>(0);
    auto callers = std::vector<std::thread>();
    const auto call = [&](const Front &front, const std::string &name) {
        for (auto member = 0; member < threadsPerFront; ++member) {
            callers.emplace_back([&, name, member] {
                auto number = 0;
                while (!stopped) {
                    auto caller = Caller(front.callers());
                    std::this_thread::sleep_for(caller.isConnected() ? 0ms : 100ms);
                    for (auto isOpen = caller.isConnected(); isOpen && !stopped;) {
                        const auto interval = std::chrono::microseconds(
                                1'000'000 * threadsPerFront / (isHot ? hotPerFront : usualPerFront));
                        const auto next = Clock::now() + interval;
                        const auto id = name + "/" + std::to_string(member) + "-"
                                        + std::to_string(++number);
                        auto text = requestText("GET", "/ledger/1", id, 2000);
                        text.insert(text.find("\r\n") + 2, "Authorization: Bearer key-1\r\n");
                        runs.send(id);
                        isOpen = caller.send(text);
                        const auto answer = caller.receive();
                        isOpen = isOpen && answer && answer->header("connection") != "close";
                        refused += answer && answer->status() != 200 ? 1 : 0;
                        std::this_thread::sleep_until(next);
                    }
                }
            });
        }
    };
    call(first, "front-colombo-a-1");
    call(second, "front-colombo-a-2");
    call(third, "front-colombo-b-1");
    std::this_thread::sleep_for(8s);

    if (isTrouble()) {
        record.note("front-colombo-a-1: partitioned from the store");
        partition.setCut(true);
    }
    const auto cutAt = Clock::now();
    record.note("platform: stops front-colombo-b-1 for good, and adds front-kelaniya-1");
    third.signal(SIGTERM);
    auto fourth = Front("127.0.0.4", storeAddress, settings("front-kelaniya-1", false));
    awaitReady(fourth);
    record.note("front-kelaniya-1: is ready");
    call(fourth, "front-kelaniya-1");
    std::this_thread::sleep_until(cutAt + 1500ms);
    record.note("tenant: asks for " + std::to_string(3 * hotPerFront) + " requests a second");
    isHot = true;
    std::this_thread::sleep_until(cutAt + cutTime);
    if (isTrouble())
        record.note("front-colombo-a-1: reaches the store again");
    partition.setCut(false);
    std::this_thread::sleep_until(cutAt + 1500ms + hotTime);
    isHot = false;
    record.note("tenant: asks for as much as usual");
    std::this_thread::sleep_for(4s);
    stopped = true;
    for (auto &thread : callers)
        thread.join();

    const auto busiest = runs.busiest();
    auto byFront = std::map<std::string, int>();
    for (const auto &run : busiest)
        ++byFront[run.front];
    const auto allowed
            = (ratePerSecond * static_cast<double>(window.count()) + burst) * (1 + overshoot) + slack;
    auto text = std::string();
    for (const auto &[name, count] : byFront)
        text += ", " + name + " " + std::to_string(count);
    record.note("requests of the tenant that were sent and run in one window of 5 s: "
                + std::to_string(busiest.size()) + " (by the front that took them" + text
                + "), allowed: " + std::to_string(allowed) + "; refused in all: "
                + std::to_string(refused));
    finish(static_cast<double>(busiest.size()) > allowed ? Broken : Held);
}

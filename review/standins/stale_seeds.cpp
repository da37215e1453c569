#include "standins.h"

// The machines of a small deployment are replaced one after the other in the course of time,
// so that the seeds of the settings are stale: nothing answers at their addresses. Does a front that
// runs and reaches the store apply a new desired state in time?

using namespace review;

namespace {

constexpr auto machineCount = 6;
constexpr auto replacedCount = 7;
constexpr auto seedCount = 3;
constexpr auto applyTime = 3000ms; // bounds.config_apply_ms
constexpr auto touchTime = 4000ms; // bounds.contact_ms
constexpr auto changeInterval = 4300ms;
constexpr auto changeCount = 17;
constexpr auto requestInterval = 100ms;

// A machine without power at an address: connections to it hang.
class SilentAddress
{
public:
    explicit SilentAddress(Address address)
        : listener(listenOn(address, 0))
        , filler(connectTo(address, 200ms))
        , second(connectTo(address, 200ms))
    {
        const auto probe = connectTo(address, 300ms);
        this->silent = this->listener.isOpen() && !probe.isOpen();
    }

    auto isSilent() const -> bool { return this->silent; }

private:
    Socket listener;
    Socket filler; // these fill the queue of new connections
    Socket second;
    bool silent = false;
};

struct Sent
{
    std::string front;
    Time at;
};

struct Version
{
    std::string service;
    Time sentAt;
    Time confirmedAt;
};

// What callers sent, what leafs ran, and which desired states there were.
struct Ledger
{
    std::mutex mutex;
    std::map<std::string, Sent> sent; // by request id
    std::vector<Version> versions;
    int late = 0;
    int lateWithin = 0;
    long latest = 0; // milliseconds after the confirmation
    int ran = 0;
};

auto desiredState(std::size_t version, const std::string &service) -> std::string
{
    return R"({"version":)" + std::to_string(version * 3 + 1)
           + R"(,"routes":[{"name":"lookup","hostname":"leno12.example","path_prefix":"/goka/",)"
             R"("type":"safe","timeout_ms":2000,"target_latency_ms":600,"priority":2,"backend":")"
           + service
           + R"(","max_attempts":2}],"backends":[{"name":"orderbook","health_path":"/health",)"
             R"("max_conns":48},{"name":"dispatch","health_path":"/health","max_conns":48}],)"
             R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
             R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

auto setDesiredState(Store &store, Ledger &ledger, const std::string &service) -> void
{
    const auto number = ledger.versions.size() + 1;
    const auto sentAt = Clock::now();
    const auto confirmedAt = store.put("config", "main", desiredState(number, service));
    const auto lock = std::lock_guard(ledger.mutex);
    ledger.versions.push_back({service, sentAt, confirmedAt});
    Record::line("desired state " + std::to_string(number) + " confirmed: /goka/ to " + service);
}

// A leaf has begun to work on a request.
auto noteRun(Ledger &ledger, const std::string &id, const std::string &service) -> void
{
    const auto lock = std::lock_guard(ledger.mutex);
    const auto found = ledger.sent.find(id);
    if (found == ledger.sent.end())
        return;
    ++ledger.ran;
    const auto &[front, at] = found->second;
    // The version that was the newest when the request was sent.
    const auto current = std::find_if(ledger.versions.rbegin(), ledger.versions.rend(),
                                      [at = at](const Version &item) { return item.sentAt <= at; });
    if (current == ledger.versions.rend() || current->service == service)
        return;
    const auto age = millisecondsSince(current->confirmedAt, at);
    if (age <= applyTime.count()) {
        ++ledger.lateWithin;
        return;
    }
    ++ledger.late;
    ledger.latest = std::max(ledger.latest, age);
    Record::line("LATE request " + id + " of " + front + ", sent " + std::to_string(age)
                 + " ms after the confirmation, run by the old service " + service);
}

// Sends a request at each interval to one front.
auto callFront(Ledger &ledger, const FrontPlace &place, const std::atomic<bool> &ends) -> void
{
    auto socket = Socket();
    auto buffer = std::string();
    for (auto number = 0; !ends; ++number, std::this_thread::sleep_for(requestInterval)) {
        if (!socket.isOpen()) {
            socket = connectTo(place.front(), 500ms);
            buffer.clear();
        }
        const auto id = place.name + "-" + std::to_string(number);
        {
            const auto lock = std::lock_guard(ledger.mutex);
            ledger.sent[id] = {place.name, Clock::now()};
        }
        const auto sent = socket.isOpen()
                          && sendAll(socket.get(), requestText("GET", "/goka/2f", id, 2000));
        const auto answer = sent ? readMessage(socket.get(), buffer, Clock::now() + 2500ms)
                                 : std::nullopt;
        Record::line(id + (answer ? " answered " + std::to_string(answer->status()) + " "
                                            + answer->body.substr(0, answer->body.find('|'))
                                  : std::string(" got no answer")));
        if (!answer || answer->header("connection") == "close")
            socket = Socket();
    }
}

} // namespace

auto main(int /*count*/, char **arguments) -> int
{
    ::signal(SIGPIPE, SIG_IGN);
    const auto folder = std::string(arguments[1]);
    Record::open(arguments[2]);
    const auto trouble = wantsTrouble();
    auto ips = std::vector<std::string>();
    for (auto number = 0; number < machineCount + replacedCount; ++number)
        ips.push_back("127.44." + std::to_string(number + 1) + ".9");
    const auto port = findPorts(ips);
    if (port == 0)
        finish(notRunCode, "no free ports");
    auto ledger = Ledger();
    auto store = Store("127.44.200.7");
    const auto ran = [&](const std::string &id, const std::string &service) {
        noteRun(ledger, id, service);
    };
    const auto zones = std::array<std::string, 3>{"muar-a", "muar-b", "batu-pahat"};
    auto leafs = std::vector<std::unique_ptr<Leaf>>();
    for (const auto *service : {"orderbook", "dispatch"}) {
        for (auto number = 0; number < 3; ++number) {
            leafs.push_back(std::make_unique<Leaf>(
                    "127.44.201." + std::to_string(number + 1), service,
                    std::string("i-") + service + std::to_string(number), 5ms, 64, ran));
            store.put("servers", leafs.back()->name(),
                      leafs.back()->entry(zones[static_cast<std::size_t>(number)]));
        }
    }
    setDesiredState(store, ledger, "orderbook");

    auto places = std::vector<FrontPlace>();
    for (std::size_t number = 0; number < ips.size(); ++number)
        places.push_back({"front-" + std::to_string(number + 1), ips[number],
                          zones[number % zones.size()], port});
    auto seeds = std::string();
    for (auto number = 0; number < seedCount; ++number)
        seeds += (number == 0 ? "" : ",")
                 + places[static_cast<std::size_t>(number)].control().text();
    auto fronts = std::vector<std::unique_ptr<Front>>();
    const auto addMachine = [&] {
        const auto &place = places[fronts.size()];
        fronts.push_back(std::make_unique<Front>(place, seeds, store.address(), folder));
        if (!fronts.back()->awaitReady())
            finish(notRunCode, place.name + " didn't become ready");
        Record::line("machine of " + place.name + " added");
    };
    while (fronts.size() < machineCount)
        addMachine();
    // The machines that are in use: all from this one on.
    auto first = std::size_t(0);
    auto silent = std::vector<std::unique_ptr<SilentAddress>>();
    while (trouble && first < replacedCount) {
        addMachine();
        auto &removed = *fronts[first++];
        removed.kill();
        silent.push_back(std::make_unique<SilentAddress>(removed.place.control()));
        if (!silent.back()->isSilent())
            finish(notRunCode, "a connection to a removed machine doesn't hang");
        Record::line("machine of " + removed.place.name + " removed for good");
    }
    Record::line(std::to_string(fronts.size() - first) + " machines in use, "
                 + std::to_string(store.count("crocusreach-instances"))
                 + " that have registered; seeds " + seeds);
    auto ends = std::atomic<bool>(false);
    auto callers = std::vector<std::thread>();
    for (auto number = first; number < fronts.size(); ++number)
        callers.emplace_back([&, number] { callFront(ledger, places[number], ends); });
    std::this_thread::sleep_for(touchTime + 1s);
    for (auto number = 0; number < changeCount; ++number) {
        setDesiredState(store, ledger, number % 2 == 0 ? "dispatch" : "orderbook");
        std::this_thread::sleep_for(changeInterval);
    }
    ends = true;
    for (auto &caller : callers)
        caller.join();
    auto died = 0;
    for (auto number = first; number < fronts.size(); ++number)
        died += fronts[number]->ended() ? 1 : 0;
    fronts.clear();
    const auto lock = std::lock_guard(ledger.mutex);
    const auto text = std::to_string(ledger.ran) + " requests run, " + std::to_string(ledger.late)
                      + " of them by the old service later than "
                      + std::to_string(applyTime.count())
                      + " ms after the confirmation (latest " + std::to_string(ledger.latest)
                      + " ms), " + std::to_string(ledger.lateWithin) + " within that time; "
                      + std::to_string(died) + " fronts ended by themselves";
    if (ledger.ran < 500 || died != 0)
        finish(notRunCode, text);
    finish(ledger.late > 0 ? brokenCode : heldCode, text);
}

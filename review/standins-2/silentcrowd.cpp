#include "world.h"

// A crowd of callers opens more connections than the front keeps, sends nothing on them, and
// connects again whenever one is closed.

using namespace review;

namespace {

constexpr auto descriptors = 4100; // of the front, by its settings
constexpr auto crowdSize = 3300;
constexpr auto calmCrowdSize = 300;
constexpr auto crowdThreads = 3;
constexpr auto requests = 10; // at the leaf when the crowd comes
constexpr auto routeTimeout = 3000; // milliseconds
constexpr auto leafWork = 1500ms;
constexpr auto crowdTime = 20s;

// A part of the crowd. It counts its connections, and stops when told to.
class Crowd
{
public:
    Crowd(std::pair<std::string, int> to, int size)
        : to(std::move(to))
        , size(size)
        , thread([this] { this->run(); })
    { }
    ~Crowd()
    {
        this->stopped = true;
        this->thread.join();
    }
    auto connections() const -> long { return this->opened; }

private:
    auto connect(int epoll) -> void
    {
        const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const auto address = toAddress(this->to.first, this->to.second);
        ::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        auto event = epoll_event{};
        event.events = EPOLLRDHUP;
        event.data.fd = socket;
        ::epoll_ctl(epoll, EPOLL_CTL_ADD, socket, &event);
        ++this->opened;
    }

    auto run() -> void
    {
        const auto epoll = Socket(::epoll_create1(EPOLL_CLOEXEC));
        for (auto count = 0; count < this->size; ++count)
            this->connect(epoll.get());
        auto events = std::vector<epoll_event>(64);
        while (!this->stopped) {
            const auto count = ::epoll_wait(epoll.get(), events.data(), 64, 100);
            for (auto index = 0; index < count; ++index) {
                ::close(events[static_cast<std::size_t>(index)].data.fd);
                this->connect(epoll.get());
            }
        }
    }

    std::pair<std::string, int> to;
    int size;
    std::atomic<bool> stopped = false;
    std::atomic<long> opened = 0;
    std::thread thread;
};

// A request of an ordinary caller, on a connection of its own that was there before the crowd.
struct Request
{
    std::string id;
    std::unique_ptr<Caller> caller;
    Clock::time_point sentAt;
    std::atomic<int> status = 0; // 0 without an answer in time
};

} // namespace

auto main(int argc, char **argv) -> int
{
    ::signal(SIGPIPE, SIG_IGN);
    auto limit = rlimit();
    ::getrlimit(RLIMIT_NOFILE, &limit);
    if (limit.rlim_max < 4000)
        fail("needs 4000 descriptors");
    limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, 8192);
    ::setrlimit(RLIMIT_NOFILE, &limit);
    auto record = Record(argc > 1 ? argv[1] : "record.txt");
    auto store = Store("127.0.0.1");
    auto atLeaf = std::atomic<int>(0);
    const auto leaf = Server("127.0.0.1", [&](Socket socket) {
        auto reader = Reader(socket.get());
        while (const auto request = reader.read()) {
            const auto id = request->header("crocusreach-request-id");
            record.note("leaf: runs " + id);
            ++atLeaf;
            std::this_thread::sleep_for(leafWork);
            const auto sent = sendAll(
                    socket.get(), responseText(200,
                                               "Crocusreach-Request-Id: " + id
                                                       + "\r\nCrocusreach-Server-Stamp: stamp." + id
                                                       + "\r\n",
                                               "entry\n"));
            record.note("leaf: " + std::string(sent ? "has answered " : "could not answer ") + id);
        }
    });
    store.put("config", "main", configurationSpec(7, "audit", "safe", routeTimeout));
    store.put("servers", "i-1", leafSpec("audit", leaf.address()));
    auto front = Front("127.0.0.1", store.address(),
                       "limits.max_fds=" + std::to_string(descriptors) + "\n");
    awaitReady(front);

    auto sent = std::vector<std::unique_ptr<Request>>();
    for (auto number = 1; number <= requests; ++number) {
        auto &request = *sent.emplace_back(std::make_unique<Request>());
        request.id = "request-" + std::to_string(number);
        request.caller = std::make_unique<Caller>(front.callers(),
                                                  std::chrono::milliseconds(routeTimeout) + 500ms);
        request.sentAt = Clock::now();
        request.caller->send(requestText("GET", "/ledger/1", request.id, routeTimeout + 2000));
        record.note("caller: sends " + request.id);
    }
    const auto until = Clock::now() + 2s;
    while (atLeaf < requests && Clock::now() < until)
        std::this_thread::sleep_for(5ms);
    if (atLeaf < requests)
        fail("not all requests have reached the leaf");

    auto waiting = std::vector<std::thread>();
    for (const auto &request : sent) {
        waiting.emplace_back([&record, &request] {
            const auto answer = request->caller->receive();
            request->status = answer ? answer->status() : 0;
            const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
                    Clock::now() - request->sentAt);
            record.note("caller: " + request->id + " got "
                        + (answer ? "status " + std::to_string(answer->status()) : "no answer")
                        + " after " + std::to_string(took.count()) + " ms");
        });
    }
    const auto size = isTrouble() ? crowdSize : calmCrowdSize;
    record.note("crowd: " + std::to_string(size) + " callers connect and send nothing");
    auto crowd = std::vector<std::unique_ptr<Crowd>>();
    for (auto part = 0; part < crowdThreads; ++part)
        crowd.push_back(std::make_unique<Crowd>(front.callers(), size / crowdThreads));
    const auto usedBefore = front.processorTime();
    const auto begin = Clock::now();
    auto asked = 0;
    auto answered = 0;
    while (Clock::now() < begin + crowdTime) {
        const auto status = readyStatus(front);
        ++asked;
        answered += status != 0 ? 1 : 0;
        record.note("platform: asks whether the front is ready, gets "
                    + (status != 0 ? "status " + std::to_string(status)
                                   : std::string("no answer within 1 s")));
        std::this_thread::sleep_for(status != 0 ? 1s : 0s);
    }
    for (auto &thread : waiting)
        thread.join();
    const auto unanswered = std::count_if(sent.begin(), sent.end(), [](const auto &request) {
        return request->status == 0;
    });
    const auto seconds = std::chrono::duration<double>(Clock::now() - begin).count();
    auto connections = 0L;
    for (const auto &part : crowd)
        connections += part->connections();
    record.note("no answer half a second after the route's timeout: " + std::to_string(unanswered)
                + " of " + std::to_string(requests) + " requests");
    record.note("ready questions answered: " + std::to_string(answered) + " of "
                + std::to_string(asked) + "; the front used "
                + std::to_string(front.processorTime() - usedBefore) + " s of processor time in "
                + std::to_string(seconds) + " s; the crowd has connected "
                + std::to_string(connections) + " times");

    // A planned stop, with the crowd still there.
    front.signal(SIGTERM);
    const auto stopAt = Clock::now();
    while (!front.hasEnded() && Clock::now() < stopAt + 6s)
        std::this_thread::sleep_for(50ms);
    record.note(front.hasEnded() ? "front: has ended after SIGTERM"
                                 : "front: still runs 6 s (grace_s) after SIGTERM");
    crowd.clear();
    if (!isTrouble() && unanswered != 0)
        finish(CouldNotRun);
    finish(2 * unanswered > requests ? Broken : Held);
}

#include "world.h"

// A crowd of callers sends requests of legal size that are made of very many short fields, while
// requests of ordinary callers are at a leaf.

using namespace review;

namespace {

constexpr auto crowdSize = 400;
constexpr auto shortFields = 1900;
constexpr auto shortTokens = 4000; // in one field
constexpr auto requests = 10; // at the leaf when the crowd sends
constexpr auto routeTimeout = 3000; // milliseconds
constexpr auto leafWork = 1500ms;
constexpr auto crowdTime = 20s;

auto crowdRequest() -> std::string
{
    auto text = std::string("GET /ledger/1 HTTP/1.1\r\nHost: a.example\r\n"
                            "Crocusreach-Request-Id: crowd\r\nCrocusreach-Deadline-Ms: 3000\r\n");
    if (isTrouble()) {
        for (auto count = 0; count < shortFields; ++count)
            text += "a:\r\n";
        text += "Connection: ";
        for (auto count = 0; count < shortTokens; ++count)
            text += "b,";
        text += "b\r\n";
    }
    return text + "\r\n";
}

// Each member sends its request, and sends it again when it is answered.
class Crowd
{
public:
    explicit Crowd(const Front &front)
    {
        for (auto count = 0; count < crowdSize; ++count) {
            auto &member = *this->members.emplace_back(std::make_unique<Caller>(front.callers()));
            if (!member.isConnected())
                fail("the crowd can't connect");
        }
    }
    ~Crowd()
    {
        this->stopped = true;
        if (this->thread.joinable())
            this->thread.join();
    }
    auto start() -> void
    {
        this->thread = std::thread([this] { this->run(); });
    }
    auto answered() const -> long { return this->answers; }

private:
    auto run() -> void
    {
        const auto text = crowdRequest();
        for (const auto &member : this->members)
            member->send(text);
        while (!this->stopped) {
            auto entries = std::vector<pollfd>();
            for (const auto &member : this->members)
                entries.push_back({member->descriptor(), POLLIN, 0});
            ::poll(entries.data(), entries.size(), 100);
            for (std::size_t index = 0; index < entries.size(); ++index) {
                if ((entries[index].revents & POLLIN) == 0 || !this->members[index]->receive())
                    continue;
                ++this->answers;
                this->members[index]->send(text);
            }
            // An ordinary pace in calm.
            std::this_thread::sleep_for(isTrouble() ? 0ms : 500ms);
        }
    }

    std::vector<std::unique_ptr<Caller>> members;
    std::atomic<bool> stopped = false;
    std::atomic<long> answers = 0;
    std::thread thread;
};

// A request of an ordinary caller, on a connection of its own.
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
    auto record = Record(argc > 1 ? argv[1] : "record.txt");
    auto store = Store("127.0.0.1");
    auto atLeaf = std::atomic<int>(0);
    const auto leaf = Server("127.0.0.1", [&](Socket socket) {
        auto reader = Reader(socket.get());
        while (const auto request = reader.read()) {
            const auto id = request->header("crocusreach-request-id");
            if (id != "crowd") {
                record.note("leaf: runs " + id);
                ++atLeaf;
                std::this_thread::sleep_for(leafWork);
            }
            sendAll(socket.get(), responseText(200,
                                               "Crocusreach-Request-Id: " + id
                                                       + "\r\nCrocusreach-Server-Stamp: stamp." + id
                                                       + "\r\n",
                                               "entry\n"));
            if (id != "crowd")
                record.note("leaf: has answered " + id);
        }
    });
    store.put("config", "main", configurationSpec(7, "audit", "safe", routeTimeout));
    for (auto number = 1; number <= 3; ++number)
        store.put("servers", "i-" + std::to_string(number), leafSpec("audit", leaf.address()));
    auto front = Front("127.0.0.1", store.address());
    awaitReady(front);
    auto crowd = std::make_unique<Crowd>(front);

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
    record.note("crowd: " + std::to_string(crowdSize) + " callers send requests of "
                + std::to_string(crowdRequest().size()) + " bytes");
    crowd->start();
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
    record.note("no answer half a second after the route's timeout: " + std::to_string(unanswered)
                + " of " + std::to_string(requests) + " requests");
    record.note("ready questions answered: " + std::to_string(answered) + " of "
                + std::to_string(asked) + "; the front used "
                + std::to_string(front.processorTime() - usedBefore) + " s of processor time in "
                + std::to_string(seconds) + " s, and answered "
                + std::to_string(crowd->answered()) + " requests of the crowd");
    if (!isTrouble() && unanswered != 0)
        finish(CouldNotRun);
    finish(2 * unanswered > requests ? Broken : Held);
}

#include "world.h"

// A crowd of callers sends bodies of legal size in two pieces, stops short of their end and stays
// open, while long requests of ordinary callers are at a leaf.

using namespace review;

namespace {

constexpr auto crowdSize = 2800;
constexpr auto bodySize = 20'000; // of the crowd's requests; 4,000 bytes of it are never sent
constexpr auto pieceSize = 8'000;
constexpr auto requests = 40;
constexpr auto longBody = std::size_t(200'000);
constexpr auto routeTimeout = 5000; // milliseconds
constexpr auto leafWork = 2500ms;
constexpr auto allowed = 3; // by the rule

// An ordinary caller.
struct Ordinary
{
    std::string id;
    std::unique_ptr<Caller> caller;
    std::atomic<int> status = 0; // 0 without an answer
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
            const auto isLong = request->body.size() == longBody;
            if (isLong) {
                record.note("leaf: runs " + id);
                ++atLeaf;
                std::this_thread::sleep_for(leafWork);
            }
            const auto sent = sendAll(
                    socket.get(), responseText(200,
                                               "Crocusreach-Request-Id: " + id
                                                       + "\r\nCrocusreach-Server-Stamp: stamp." + id
                                                       + "\r\n",
                                               "posted\n"));
            if (isLong)
                record.note("leaf: has run " + id
                            + (sent ? ", answers 200" : ", can't send its answer"));
        }
    });
    store.put("config", "main", configurationSpec(7, "audit", "unsafe", routeTimeout));
    for (auto number = 1; number <= 3; ++number)
        store.put("servers", "i-" + std::to_string(number), leafSpec("audit", leaf.address()));
    auto front = Front("127.0.0.1", store.address());
    awaitReady(front);

    // Each ordinary caller has used its connection before.
    auto callers = std::vector<std::unique_ptr<Ordinary>>();
    for (auto number = 1; number <= requests; ++number) {
        auto &ordinary = *callers.emplace_back(std::make_unique<Ordinary>());
        ordinary.id = "request-" + std::to_string(number);
        ordinary.caller = std::make_unique<Caller>(front.callers(), 8s);
        ordinary.caller->send(requestText("POST", "/ledger/post", ordinary.id + "-before",
                                          routeTimeout, "entry"));
        const auto answer = ordinary.caller->receive();
        if (!answer || answer->status() != 200)
            fail("the front doesn't serve in calm");
    }
    for (const auto &ordinary : callers) {
        ordinary->caller->send(requestText("POST", "/ledger/post", ordinary->id, routeTimeout + 1000,
                                           std::string(longBody, 'e')));
        record.note("caller: has sent " + ordinary->id);
    }
    const auto until = Clock::now() + 2s;
    while (atLeaf < requests && Clock::now() < until)
        std::this_thread::sleep_for(5ms);
    if (atLeaf < requests)
        fail("only " + std::to_string(atLeaf) + " requests have reached the leaf");
    auto waiting = std::vector<std::thread>();
    for (const auto &ordinary : callers) {
        waiting.emplace_back([&record, &ordinary] {
            const auto answer = ordinary->caller->receive();
            ordinary->status = answer ? answer->status() : 0;
            record.note("caller: " + ordinary->id + " got "
                        + (answer ? "status " + std::to_string(answer->status())
                                  : std::string("no answer, its connection was closed")));
        });
    }

    auto crowd = std::vector<std::unique_ptr<Caller>>();
    const auto head = "POST /ledger/post HTTP/1.1\r\nHost: a.example\r\nCrocusreach-Request-Id: crowd\r\n"
                      "Crocusreach-Deadline-Ms: 5000\r\nContent-Length: "
                      + std::to_string(bodySize) + "\r\n\r\n";
    if (isTrouble()) {
        record.note("crowd: " + std::to_string(crowdSize) + " callers connect and send "
                    + std::to_string(pieceSize) + " bytes of a body of " + std::to_string(bodySize));
        for (auto number = 0; number < crowdSize; ++number) {
            crowd.push_back(std::make_unique<Caller>(front.callers(), 1s));
            crowd.back()->send(head + std::string(pieceSize, 'c'));
        }
        std::this_thread::sleep_for(200ms);
        record.note("crowd: each sends " + std::to_string(pieceSize)
                    + " bytes more, and stays open");
        for (const auto &member : crowd)
            member->send(std::string(pieceSize, 'c'));
    }
    std::this_thread::sleep_for(500ms);
    const auto refused = std::count_if(crowd.begin(), crowd.end(), [](const auto &member) {
        auto entry = pollfd{member->descriptor(), POLLIN, 0};
        return ::poll(&entry, 1, 0) > 0;
    });
    if (isTrouble())
        record.note("crowd: " + std::to_string(refused) + " of " + std::to_string(crowdSize)
                    + " were refused or closed by now");
    for (auto &thread : waiting)
        thread.join();
    const auto count = [&callers](int status) {
        return std::count_if(callers.begin(), callers.end(), [status](const auto &ordinary) {
            return ordinary->status == status;
        });
    };
    record.note("requests at a sound leaf whose kept connection was closed without an answer: "
                + std::to_string(count(0)) + " of " + std::to_string(requests)
                + "; answered with 200: " + std::to_string(count(200)) + "; memory of the front "
                + std::to_string(front.memoryMegabytes()) + " MB of 260");
    if (!isTrouble() && count(200) != requests)
        finish(CouldNotRun);
    finish(count(0) > allowed ? Broken : Held);
}

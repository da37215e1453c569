#include "world.h"

// A leaf answers a long request before it has read it all. The answer has no length and ends with
// its connection, which is reset after a part of the answer.

using namespace review;

namespace {

constexpr auto answerSize = std::size_t(40'000);
constexpr auto sentPart = std::size_t(10'000);
constexpr auto bodySize = std::size_t(200'000);
constexpr auto requests = 20;

auto wholeAnswer() -> std::string
{
    auto text = std::string();
    while (text.size() < answerSize)
        text += "entry " + std::to_string(text.size()) + "\n";
    text.resize(answerSize);
    return text;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    ::signal(SIGPIPE, SIG_IGN);
    auto record = Record(argc > 1 ? argv[1] : "record.txt");
    const auto whole = wholeAnswer();
    auto store = Store("127.0.0.1");
    const auto answerEarly = [&](Socket socket) {
        auto reader = Reader(socket.get());
        while (auto request = reader.readHead()) {
            const auto id = request->header("crocusreach-request-id");
            record.note("leaf: runs " + id + ", answers before it has read the body");
            const auto head = "HTTP/1.1 200 OK\r\nCrocusreach-Request-Id: " + id
                              + "\r\nCrocusreach-Server-Stamp: stamp." + id
                              + "\r\nConnection: close\r\n\r\n";
            if (!isTrouble()) {
                sendAll(socket.get(), head + whole);
                reader.readBody(*request);
                record.note("leaf: has sent all " + std::to_string(whole.size())
                            + " bytes and ends the connection in order");
                return;
            }
            sendAll(socket.get(), head + whole.substr(0, sentPart));
            socket.reset();
            record.note("leaf: connection reset after " + std::to_string(sentPart) + " of "
                        + std::to_string(whole.size()) + " bytes");
            return;
        }
    };
    // The link has a small window, and segments of the size of a network's.
    const auto leaf = Server("127.0.0.1", answerEarly, 0, [](int listener) {
        const auto window = 16 * 1024;
        const auto segment = 1400;
        ::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
        ::setsockopt(listener, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    });
    store.put("config", "main", configurationSpec(7, "audit", "safe", 3000));
    store.put("servers", "i-1", leafSpec("audit", leaf.address()));
    auto front = Front("127.0.0.1", store.address());
    awaitReady(front);

    auto wrong = 0;
    auto good = 0;
    for (auto number = 1; number <= requests; ++number) {
        const auto id = "request-" + std::to_string(number);
        auto caller = Caller(front.callers());
        caller.send(requestText("POST", "/ledger/match", id, 3000, std::string(bodySize, 'q')));
        const auto answer = caller.receive();
        const auto status = answer ? answer->status() : 0;
        const auto size = answer ? answer->body.size() : 0;
        record.note("caller: " + id + " got status " + std::to_string(status) + ", "
                    + std::to_string(size) + " bytes, stamp "
                    + (answer ? answer->header("crocusreach-server-stamp") : "-"));
        good += status == 200 && answer->body == whole ? 1 : 0;
        wrong += status == 200 && answer->body != whole ? 1 : 0;
        std::this_thread::sleep_for(100ms);
    }
    record.note("successes with a part of the leaf's body: " + std::to_string(wrong) + " of "
                + std::to_string(requests) + "; with the whole body: " + std::to_string(good));
    if (!isTrouble() && good != requests)
        finish(CouldNotRun);
    finish(wrong > 0 ? Broken : Held);
}

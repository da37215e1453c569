#include <gflags/gflags.h>
#include <libsoup/soup.h>

#include <sys/resource.h>

#include <cstdint>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

// The cost of a leaf request without the query tier: a loop over libsoup that keeps a number of
// requests in flight to targets and does nothing with the replies. To be compared with the CPU time
// per leaf request that crocusreach-load reports of an instance on the same targets.

DEFINE_string(targets, "", "IP:port of targets, separated by commas");
DEFINE_uint32(in_flight, 16, "requests in flight, spread over the targets");
DEFINE_double(seconds, 5, "duration");

namespace {

struct ObjectUnref
{
    auto operator()(gpointer object) const -> void { g_object_unref(object); }
};

template <typename Object>
using ObjectPtr = std::unique_ptr<Object, ObjectUnref>;

struct Loop
{
    GMainLoop *loop = nullptr;
    ObjectPtr<SoupSession> session;
    gint64 end = 0; // monotonic, in us
    std::uint32_t running = 0;
    std::uint64_t replies = 0;
    std::uint64_t errors = 0;
};

// Sends one request after the other to its target.
struct Sender
{
    Loop *loop = nullptr;
    std::string uri;
    std::uint32_t shard = 0;
};

auto onReply(GObject *session, GAsyncResult *result, gpointer data) -> void;

auto sendNext(Sender &sender) -> void
{
    const auto message = ObjectPtr<SoupMessage>(soup_message_new("POST", sender.uri.c_str()));
    soup_message_add_flags(message.get(), SOUP_MESSAGE_IDEMPOTENT);
    const auto deadline = std::to_string(g_get_real_time() / 1000 + 1000);
    auto *headers = soup_message_get_request_headers(message.get());
    soup_message_headers_replace(headers, "X-Deadline-Unix-Ms", deadline.c_str());
    soup_message_headers_replace(headers, "X-Layout", "1");
    soup_message_headers_replace(headers, "X-Shard", std::to_string(sender.shard).c_str());
    auto *body = g_bytes_new_static("teak", 4);
    soup_message_set_request_body_from_bytes(message.get(), "text/plain", body);
    g_bytes_unref(body);
    soup_session_send_and_read_async(sender.loop->session.get(), message.get(), G_PRIORITY_DEFAULT,
                                     nullptr, &onReply, &sender);
}

auto onReply(GObject *session, GAsyncResult *result, gpointer data) -> void
{
    auto &sender = *static_cast<Sender *>(data);
    auto &loop = *sender.loop;
    auto *bytes = soup_session_send_and_read_finish(SOUP_SESSION(session), result, nullptr);
    ++(bytes != nullptr ? loop.replies : loop.errors);
    if (bytes != nullptr)
        g_bytes_unref(bytes);
    if (g_get_monotonic_time() < loop.end)
        return sendNext(sender);
    if (--loop.running == 0)
        g_main_loop_quit(loop.loop);
}

auto cpuMicroseconds() -> double
{
    auto usage = rusage();
    getrusage(RUSAGE_SELF, &usage);
    const auto sum = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_usec);
    };
    return sum(usage.ru_utime) + sum(usage.ru_stime);
}

auto makeSenders(Loop &loop) -> std::vector<Sender>
{
    auto targets = std::vector<std::string>();
    auto *parts = g_strsplit(FLAGS_targets.c_str(), ",", 0);
    for (auto **part = parts; *part != nullptr; ++part)
        targets.emplace_back(*part);
    g_strfreev(parts);
    auto senders = std::vector<Sender>();
    for (std::uint32_t index = 0; index < FLAGS_in_flight; ++index) {
        const auto target = index % targets.size();
        senders.push_back(Sender{&loop, "http://" + targets[target] + "/v1/search",
                                 static_cast<std::uint32_t>(target)});
    }
    return senders;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto loop = Loop{g_main_loop_new(nullptr, FALSE)};
    const auto connections = static_cast<int>(FLAGS_in_flight);
    loop.session.reset(soup_session_new_with_options("max-conns", connections, "max-conns-per-host",
                                                     connections, "proxy-resolver", nullptr,
                                                     nullptr));
    loop.end = g_get_monotonic_time() + static_cast<gint64>(FLAGS_seconds * 1e6);
    auto senders = makeSenders(loop);
    loop.running = FLAGS_in_flight;
    const auto before = cpuMicroseconds();
    for (auto &sender : senders)
        sendNext(sender);
    g_main_loop_run(loop.loop);
    g_main_loop_unref(loop.loop);
    const auto replies = static_cast<double>(loop.replies);
    std::cout << "requests_per_second: " << replies / FLAGS_seconds << '\n'
              << "cpu_us_per_request: " << (cpuMicroseconds() - before) / replies << '\n'
              << "errors: " << loop.errors << '\n';
    return 0;
}

#include <gflags/gflags.h>
#include <libsoup/soup.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

// Open-loop load at a fixed rate on one or more instances. Latency counts from the time at which a
// query was due, so that a stall of the instance isn't hidden by queries sent late.

DEFINE_string(instances, "", "IP:port of caller listeners, separated by commas");
DEFINE_string(services, "", "names of services, separated by commas");
DEFINE_string(control, "", "IP:port of the stand-ins' control API, for the targets' counters");
DEFINE_string(pids, "", "process ids whose CPU time is counted, separated by commas");
DEFINE_double(rate, 100, "queries a second in all");
DEFINE_double(seconds, 10, "duration of the measured part");
DEFINE_double(warmup_seconds, 2, "time before the measured part");
DEFINE_uint32(deadline_ms, 1000, "deadline of each query");
DEFINE_uint64(seed, 1, "seed of arrival times and of the choice of services");
DEFINE_string(json, "", "file for the report as JSON");

namespace {

using Json = nlohmann::json;

// What the callers and the targets saw in the measured part.
struct Report
{
    std::vector<double> latenciesMs; // of complete and partial answers
    std::map<std::string, std::uint64_t> statuses;
    std::map<std::string, std::uint64_t> refusals; // by reason
    std::map<std::string, std::uint64_t> missing; // shards by reason
    std::uint64_t queries = 0;
    std::uint64_t asked = 0; // shards
    std::uint64_t answered = 0;
    std::uint64_t late = 0; // answers later than the deadline plus 250 ms
};

// Counters outside of the callers, read before and after the measured part.
struct Outside
{
    double cpuSeconds = 0;
    Json targets = Json::object();
};

auto split(std::string_view list) -> std::vector<std::string>
{
    auto parts = std::vector<std::string>();
    auto stream = std::istringstream(std::string(list));
    for (auto part = std::string(); std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

// The value below which the given part of the sorted values lies.
auto quantile(const std::vector<double> &sorted, double part) -> double
{
    if (sorted.empty())
        return 0;
    const auto rank
            = static_cast<std::size_t>(std::ceil(part * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

// User and system time of a process, in seconds; see proc(5).
auto cpuSeconds(const std::string &pid) -> double
{
    auto text = std::string();
    std::getline(std::ifstream("/proc/" + pid + "/stat"), text);
    const auto name = text.rfind(')');
    if (name == std::string::npos)
        return 0;
    auto fields = std::istringstream(text.substr(name + 1));
    auto skipped = std::string();
    for (auto index = 0; index < 11; ++index)
        fields >> skipped;
    auto user = 0.0;
    auto system = 0.0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

struct ObjectUnref
{
    auto operator()(gpointer object) const -> void { g_object_unref(object); }
};

template <typename T>
using ObjectPtr = std::unique_ptr<T, ObjectUnref>;

struct BytesUnref
{
    auto operator()(GBytes *bytes) const -> void { g_bytes_unref(bytes); }
};

using BytesPtr = std::unique_ptr<GBytes, BytesUnref>;

auto textOf(GBytes *bytes) -> std::string_view
{
    auto size = gsize();
    const auto *data = static_cast<const char *>(g_bytes_get_data(bytes, &size));
    return {data, size};
}

auto readOutside(SoupSession *session) -> Outside
{
    auto outside = Outside();
    for (const auto &pid : split(FLAGS_pids))
        outside.cpuSeconds += cpuSeconds(pid);
    if (FLAGS_control.empty())
        return outside;
    const auto message = ObjectPtr<SoupMessage>(
            soup_message_new("GET", ("http://" + FLAGS_control + "/control/v1/counters").c_str()));
    const auto bytes
            = BytesPtr(soup_session_send_and_read(session, message.get(), nullptr, nullptr));
    if (bytes != nullptr)
        outside.targets = Json::parse(textOf(bytes.get()), nullptr, false).value("targets", Json());
    return outside;
}

// Adds one answer to the report.
auto record(Report &report, const Json &answer, double latencyMs) -> void
{
    const auto status = answer.is_object() ? answer.value("status", "no_answer") : "no_answer";
    ++report.statuses[status];
    report.late += latencyMs > FLAGS_deadline_ms + 250.0 ? 1 : 0;
    if (status == "refused" || status == "no_answer") {
        ++report.refusals[answer.is_object() ? answer.value("reason", status) : status];
        return;
    }
    report.latenciesMs.push_back(latencyMs);
    const auto coverage = answer.value("coverage", Json::object());
    const auto answered = coverage.value("answered", std::uint64_t(0));
    report.asked += coverage.value("asked", std::uint64_t(0));
    report.answered += answered;
    for (const auto &shard : coverage.value("missing", Json::array()))
        ++report.missing[shard.value("reason", "")];
}

// Sends queries at random times of a Poisson process with the given rate.
class LoadRun
{
public:
    LoadRun()
        : loop(g_main_loop_new(nullptr, FALSE))
        , random(FLAGS_seed)
        , instances(split(FLAGS_instances))
        , services(split(FLAGS_services))
    {
        constexpr auto connections = 2000;
        this->session.reset(soup_session_new_with_options("max-conns", connections,
                                                          "max-conns-per-host", connections,
                                                          "timeout", 10, nullptr));
    }
    LoadRun(const LoadRun &) = delete;
    auto operator=(const LoadRun &) -> LoadRun & = delete;
    ~LoadRun() { g_main_loop_unref(this->loop); }

    auto run() -> Json;

private:
    struct Query
    {
        LoadRun *run;
        std::int64_t due;
        bool measured;
        ObjectPtr<SoupMessage> message;
    };

    auto sendDue() -> void;
    auto send(std::int64_t due) -> void;
    auto finish(const Query &query, GBytes *bytes) -> void;
    auto summary(const Outside &before, const Outside &after) -> Json;

    GMainLoop *loop; // owned
    ObjectPtr<SoupSession> session;
    std::mt19937_64 random;
    std::vector<std::string> instances;
    std::vector<std::string> services;
    Report report;
    Outside before;
    std::int64_t nextDue = 0; // monotonic, in microseconds
    std::int64_t measureFrom = 0;
    std::int64_t measureUntil = 0;
    bool measuring = false;
    std::size_t sent = 0;
    std::size_t open = 0;
};

auto LoadRun::run() -> Json
{
    constexpr auto micros = 1e6;
    this->nextDue = g_get_monotonic_time();
    this->measureFrom = this->nextDue + static_cast<std::int64_t>(FLAGS_warmup_seconds * micros);
    this->measureUntil = this->measureFrom + static_cast<std::int64_t>(FLAGS_seconds * micros);
    g_timeout_add(
            1,
            [](gpointer data) -> gboolean {
                static_cast<LoadRun *>(data)->sendDue();
                return G_SOURCE_CONTINUE;
            },
            this);
    g_main_loop_run(this->loop);
    return this->summary(this->before, readOutside(this->session.get()));
}

auto LoadRun::sendDue() -> void
{
    const auto now = g_get_monotonic_time();
    if (!this->measuring && now >= this->measureFrom) {
        this->measuring = true;
        this->before = readOutside(this->session.get());
    }
    auto gap = std::exponential_distribution<double>(FLAGS_rate / 1e6);
    while (this->nextDue <= now && this->nextDue < this->measureUntil) {
        this->send(this->nextDue);
        this->nextDue += static_cast<std::int64_t>(gap(this->random)) + 1;
    }
    if (this->nextDue >= this->measureUntil && this->open == 0)
        g_main_loop_quit(this->loop);
}

auto LoadRun::send(std::int64_t due) -> void
{
    const auto &instance = this->instances[this->sent % this->instances.size()];
    const auto &service = this->services[this->random() % this->services.size()];
    const auto url = "http://" + instance + "/v1/services/" + service + "/query";
    const auto body
            = Json{{"query", "q" + std::to_string(this->sent)}, {"deadline_ms", FLAGS_deadline_ms}}
                      .dump();
    ++this->sent;
    ++this->open;
    auto query = std::make_unique<Query>(
            Query{this, due, due >= this->measureFrom,
                  ObjectPtr<SoupMessage>(soup_message_new("POST", url.c_str()))});
    auto *message = query->message.get();
    // Without this flag libsoup opens a connection for each POST.
    soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
    const auto bytes = BytesPtr(g_bytes_new(body.data(), body.size()));
    soup_message_set_request_body_from_bytes(message, "application/json", bytes.get());
    soup_session_send_and_read_async(
            this->session.get(), message, G_PRIORITY_DEFAULT, nullptr,
            [](GObject *source, GAsyncResult *result, gpointer data) {
                const auto done = std::unique_ptr<Query>(static_cast<Query *>(data));
                const auto answer = BytesPtr(
                        soup_session_send_and_read_finish(SOUP_SESSION(source), result, nullptr));
                done->run->finish(*done, answer.get());
            },
            query.release());
}

auto LoadRun::finish(const Query &query, GBytes *bytes) -> void
{
    --this->open;
    if (!query.measured)
        return;
    const auto latencyMs = static_cast<double>(g_get_monotonic_time() - query.due) / 1000;
    ++this->report.queries;
    record(this->report, bytes == nullptr ? Json() : Json::parse(textOf(bytes), nullptr, false),
           latencyMs);
}

auto LoadRun::summary(const Outside &earlier, const Outside &later) -> Json
{
    auto &latencies = this->report.latenciesMs;
    std::ranges::sort(latencies);
    const auto asked = static_cast<double>(std::max<std::uint64_t>(this->report.asked, 1));
    auto runs = 0.0;
    auto requests = 0.0;
    auto violations = std::uint64_t(0);
    auto peaks = std::map<std::string, std::uint32_t>();
    for (const auto &[name, target] : later.targets.items()) {
        const auto former = earlier.targets.value(name, Json::object());
        runs += target.value("runs", 0.0) - former.value("runs", 0.0);
        requests += target.value("requests", 0.0) - former.value("requests", 0.0);
        for (const auto *limit : {"over_slots", "over_cold", "over_connections"})
            violations += target.value(limit, std::uint64_t(0));
        const auto service = name.substr(0, name.find('/'));
        const auto group = service.substr(0, service.find_last_not_of("-0123456789") + 1);
        auto &peak = peaks[group];
        peak = std::max(peak, target.value("peak_running", std::uint32_t(0)));
    }
    return {{"queries", this->report.queries},
            {"rate", FLAGS_rate},
            {"p50_ms", quantile(latencies, 0.5)},
            {"p99_ms", quantile(latencies, 0.99)},
            {"p999_ms", quantile(latencies, 0.999)},
            {"coverage", static_cast<double>(this->report.answered) / asked},
            {"statuses", this->report.statuses},
            {"refusals", this->report.refusals},
            {"missing", this->report.missing},
            {"late", this->report.late},
            {"requests_per_leaf_request", requests / asked},
            {"runs_per_leaf_request", runs / asked},
            {"cpu_us_per_leaf_request", (later.cpuSeconds - earlier.cpuSeconds) * 1e6 / asked},
            {"peak_running", peaks},
            {"limit_violations", violations}};
}

} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("open-loop load on instances");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_instances.empty() || FLAGS_services.empty() || FLAGS_rate <= 0) {
        std::cerr << "--instances, --services and a --rate above 0 are needed\n";
        return 2;
    }
    auto run = LoadRun();
    const auto report = run.run();
    if (!FLAGS_json.empty())
        std::ofstream(FLAGS_json) << report.dump(2) << '\n';
    for (const auto &[name, value] : report.items())
        std::cout << name << ": " << value.dump() << '\n';
    return 0;
}

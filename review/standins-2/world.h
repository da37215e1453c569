#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

// Stand-ins for the platform's store, for leafs and for callers, and a front as a process. They use
// sockets only, so that a script needs nothing but a compiler. Everything is on loopback addresses.

namespace review {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

enum ExitCode { Held = 0, Broken = 1, CouldNotRun = 2 };

// The script's record: one line an event, with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : file(path)
        , begin(Clock::now())
    { }

    auto note(const std::string &text) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now()
                                                                                  - this->begin);
        this->file << since.count() << " ms  " << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
    Clock::time_point begin;
};

// Processes that the script has started and that still run, with their folders.
inline auto startedProcesses() -> std::map<pid_t, std::string> &
{
    static auto processes = std::map<pid_t, std::string>();
    return processes;
}

inline auto endProcess(pid_t process) -> void
{
    const auto found = startedProcesses().find(process);
    if (found == startedProcesses().end())
        return;
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
    for (const auto *const name : {"/settings.conf", "/log"})
        ::unlink((found->second + name).c_str());
    ::rmdir(found->second.c_str());
    startedProcesses().erase(found);
}

// Ends the script. The threads of the stand-ins still run, so nothing is destroyed.
[[noreturn]] inline auto finish(ExitCode code) -> void
{
    while (!startedProcesses().empty())
        endProcess(startedProcesses().begin()->first);
    std::cout.flush();
    std::_Exit(code);
}

[[noreturn]] inline auto fail(const std::string &text) -> void
{
    std::cerr << text << std::endl;
    finish(CouldNotRun);
}

inline auto isTrouble() -> bool
{
    const auto *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

// A socket that is closed with its owner.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int descriptor)
        : descriptor(descriptor)
    { }
    Socket(Socket &&other) noexcept
        : descriptor(std::exchange(other.descriptor, -1))
    { }
    auto operator=(Socket &&other) noexcept -> Socket &
    {
        std::swap(this->descriptor, other.descriptor);
        return *this;
    }
    ~Socket() { this->close(); }

    auto get() const -> int { return this->descriptor; }
    auto isOpen() const -> bool { return this->descriptor >= 0; }
    auto close() -> void
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
        this->descriptor = -1;
    }
    // Closes with a reset instead of an orderly end.
    auto reset() -> void
    {
        const auto noLinger = linger{1, 0};
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
        this->close();
    }

private:
    int descriptor = -1;
};

inline auto toAddress(const std::string &ip, int port) -> sockaddr_in
{
    auto address = sockaddr_in();
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline auto portOf(int descriptor) -> int
{
    auto address = sockaddr_in();
    auto size = socklen_t(sizeof address);
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

inline auto freePort(const std::string &ip) -> int
{
    const auto probe = Socket(::socket(AF_INET, SOCK_STREAM, 0));
    const auto address = toAddress(ip, 0);
    if (::bind(probe.get(), reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        fail("no free port at " + ip);
    return portOf(probe.get());
}

inline auto sendAll(int descriptor, std::string_view text) -> bool
{
    while (!text.empty()) {
        const auto sent = ::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        text.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

inline auto setTimeout(int descriptor, std::chrono::milliseconds time) -> void
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
    auto value = timeval{seconds.count(), (time - seconds).count() * 1000};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof value);
}

// A message of HTTP/1.1: its first line, its headers by lower-case name and its body.
struct Message
{
    std::string start;
    std::map<std::string, std::string> headers;
    std::string body;

    auto header(const std::string &name) const -> std::string
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }
    auto status() const -> int { return std::atoi(this->start.substr(this->start.find(' ')).c_str()); }
    // Of a request.
    auto target() const -> std::string
    {
        const auto from = this->start.find(' ') + 1;
        return this->start.substr(from, this->start.find(' ', from) - from);
    }
    auto method() const -> std::string { return this->start.substr(0, this->start.find(' ')); }
};

// Reads messages of one connection; they have a length.
class Reader
{
public:
    explicit Reader(int descriptor)
        : descriptor(descriptor)
    { }

    auto readHead() -> std::optional<Message>
    {
        auto end = std::string::npos;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->readMore())
                return {};
        }
        auto lines = std::istringstream(this->buffer.substr(0, end));
        this->buffer.erase(0, end + 4);
        auto message = Message();
        std::getline(lines, message.start);
        for (auto line = std::string(); std::getline(lines, line);) {
            if (line.ends_with('\r'))
                line.pop_back();
            const auto colon = std::min(line.find(':'), line.size() - 1);
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), ::tolower);
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers[name] = value == std::string::npos ? "" : line.substr(value);
        }
        return message;
    }

    auto readBody(Message &message) -> bool
    {
        const auto size
                = static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
        while (this->buffer.size() < size) {
            if (!this->readMore())
                return false;
        }
        message.body = this->buffer.substr(0, size);
        this->buffer.erase(0, size);
        return true;
    }

    auto read() -> std::optional<Message>
    {
        auto message = this->readHead();
        if (!message || !this->readBody(*message))
            return {};
        return message;
    }

private:
    auto readMore() -> bool
    {
        auto space = std::string(65536, '\0');
        const auto count = ::recv(this->descriptor, space.data(), space.size(), 0);
        if (count <= 0)
            return false;
        this->buffer.append(space.data(), static_cast<std::size_t>(count));
        return true;
    }

    int descriptor;
    std::string buffer;
};

// A server with a thread for each connection.
class Server
{
public:
    using Serve = std::function<auto(Socket)->void>;

    Server(std::string ip, Serve serve, int port = 0, const std::function<auto(int)->void> &prepare = {})
        : ip(std::move(ip))
        , serve(std::move(serve))
        , listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto on = 1;
        ::setsockopt(this->listener.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        if (prepare)
            prepare(this->listener.get());
        const auto address = toAddress(this->ip, port);
        if (::bind(this->listener.get(), reinterpret_cast<const sockaddr *>(&address), sizeof address)
                    != 0
            || ::listen(this->listener.get(), 512) != 0)
            fail("can't listen at " + this->ip);
        this->port = portOf(this->listener.get());
        std::thread([this] { this->run(); }).detach();
    }

    auto address() const -> std::string { return this->ip + ":" + std::to_string(this->port); }

private:
    auto run() -> void
    {
        while (true) {
            auto accepted
                    = Socket(::accept4(this->listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
            if (!accepted.isOpen())
                continue;
            const auto on = 1;
            ::setsockopt(accepted.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, owned = std::make_shared<Socket>(std::move(accepted))] {
                this->serve(std::move(*owned));
            }).detach();
        }
    }

    std::string ip;
    int port = 0;
    Serve serve;
    Socket listener;
};

inline auto responseText(int status, const std::string &headers, std::string_view body)
        -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

// The platform's store: lists, watches, and the writes that a front makes.
class Store
{
public:
    explicit Store(const std::string &ip)
        : server(ip, [this](Socket socket) { this->serve(std::move(socket)); })
    { }

    auto address() const -> std::string { return this->server.address(); }

    auto put(const std::string &kind, const std::string &name, const std::string &spec) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        this->objects[{kind, name}] = {spec, ++this->revision, false};
        this->changed.notify_all();
    }
    auto remove(const std::string &kind, const std::string &name) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        auto &object = this->objects[{kind, name}];
        object.revision = ++this->revision;
        object.deleted = true;
        this->changed.notify_all();
    }

private:
    struct Object
    {
        std::string spec;
        long revision = 0;
        bool deleted = false;
    };

    static auto queryNumber(const std::string &target, const std::string &key) -> long
    {
        const auto found = target.find(key + "=");
        return found == std::string::npos
                       ? -1
                       : std::atol(target.c_str() + found + key.size() + 1);
    }

    static auto textOf(const std::string &name, const Object &object) -> std::string
    {
        return R"({"meta":{"name":")" + name + R"(","revision":)" + std::to_string(object.revision)
               + R"(,"create_revision":1,"finalizers":[],"deleting":false},"spec":)" + object.spec
               + R"(,"status":null})";
    }

    auto answer(const Message &request) -> std::string
    {
        const auto target = request.target();
        const auto path = target.substr(0, target.find('?'));
        const auto prefix = std::string("/api/objects/");
        if (!path.starts_with(prefix))
            return responseText(404, this->era, "{}");
        const auto rest = path.substr(prefix.size());
        const auto kind = rest.substr(0, rest.find('/'));
        auto lock = std::unique_lock(this->mutex);
        if (request.method() != "GET")
            return this->write(request, kind);
        const auto since = queryNumber(target, "watch");
        const auto wait = std::chrono::milliseconds(std::max(0L, queryNumber(target, "wait_ms")));
        const auto hasNews = [&] {
            return std::any_of(this->objects.begin(), this->objects.end(), [&](const auto &item) {
                return item.first.first == kind && item.second.revision > since;
            });
        };
        if (since >= 0)
            this->changed.wait_for(lock, wait, hasNews);
        auto text = std::string(since >= 0 ? R"({"events":[)" : R"({"items":[)");
        for (const auto &[key, object] : this->objects) {
            if (key.first != kind || (since < 0 && object.deleted)
                || (since >= 0 && object.revision <= since))
                continue;
            text += text.ends_with('[') ? "" : ",";
            text += since < 0 ? textOf(key.second, object)
                              : std::string(R"({"deleted":)") + (object.deleted ? "true" : "false")
                                        + R"(,"object":)" + textOf(key.second, object) + "}";
        }
        text += since >= 0 ? "]" : R"(],"more":false)";
        text += R"(,"current_rev":)" + std::to_string(this->revision) + "}";
        return responseText(200, this->era, text);
    }

    // The text of an object in a body, up to its end.
    static auto memberText(const std::string &body, const std::string &key) -> std::string
    {
        const auto from = body.find("\"" + key + "\":");
        const auto begin = body.find('{', from);
        if (from == std::string::npos || begin == std::string::npos)
            return "{}";
        auto depth = 0;
        for (auto at = begin; at < body.size(); ++at) {
            depth += body[at] == '{' ? 1 : body[at] == '}' ? -1 : 0;
            if (depth == 0)
                return body.substr(begin, at - begin + 1);
        }
        return "{}";
    }

    // POST creates an object, and PUT replaces the one of the revision in its meta data.
    auto write(const Message &request, const std::string &kind) -> std::string
    {
        const auto meta = memberText(request.body, "meta");
        const auto from = meta.find(R"("name":")") + 8;
        const auto name = meta.substr(from, meta.find('"', from) - from);
        const auto found = this->objects.find({kind, name});
        const auto exists = found != this->objects.end() && !found->second.deleted;
        const auto at = meta.find(R"("revision":)");
        const auto isStale = exists && at != std::string::npos
                             && std::atol(meta.c_str() + at + 11) != found->second.revision;
        if ((request.method() == "POST" && exists) || isStale)
            return responseText(409, this->era, textOf(name, found->second));
        if (request.method() == "PUT" && !exists)
            return responseText(404, this->era, "{}");
        auto &object = this->objects[{kind, name}];
        object = {memberText(request.body, "spec"), ++this->revision, false};
        this->changed.notify_all();
        return responseText(200, this->era, textOf(name, object));
    }

    auto serve(Socket socket) -> void
    {
        auto reader = Reader(socket.get());
        while (const auto request = reader.read()) {
            if (!sendAll(socket.get(), this->answer(*request)))
                return;
        }
    }

    const std::string era = "Content-Type: application/json\r\nStore-Era: 1\r\n";
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::pair<std::string, std::string>, Object> objects;
    long revision = 100;
    Server server;
};

inline auto leafSpec(const std::string &service, const std::string &address,
                     const std::string &state = "ready") -> std::string
{
    return R"({"backend":")" + service + R"(","address":")" + address
           + R"(","zone":"colombo-a","version":"v1","slots":3,"state":")" + state
           + R"(","warmup_left_ms":0,"seq":4,"born":1790000000000})";
}

// One route to one service.
inline auto configurationSpec(int version, const std::string &service, const std::string &type,
                              int timeout) -> std::string
{
    return R"({"version":)" + std::to_string(version)
           + R"(,"routes":[{"name":"r-1","hostname":"a.example","path_prefix":"/ledger/","type":")"
           + type + R"(","timeout_ms":)" + std::to_string(timeout)
           + R"(,"target_latency_ms":500,"priority":1,"backend":")" + service
           + R"(","max_attempts":2}],"backends":[{"name":")" + service
           + R"(","health_path":"/health","max_conns":100,"protocol":"h1","tls":false,)"
           + R"("warmup_s":3.0,"warmup_per_s":0.0}],"limits":{"max_header_bytes":16384,)"
           + R"("max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

// A front as a process of its own, with the settings of a small deployment.
class Front
{
public:
    Front(std::string ip, const std::string &store, const std::string &changes = {})
        : ip(std::move(ip))
    {
        auto name = std::string("/tmp/crocusreach-review-XXXXXX");
        if (::mkdtemp(name.data()) == nullptr)
            fail("no temporary folder");
        this->folder = name;
        this->callerPort = freePort(this->ip);
        this->readyPort = freePort(this->ip);
        const auto controlPort = freePort(this->ip);
        const auto at = [this](int port) { return this->ip + ":" + std::to_string(port); };
        std::ofstream(this->folder + "/settings.conf")
                << "node_name=front-colombo-a-1\nrole=front\nmachine_class=front\n"
                << "serves=front,control\nip=" << this->ip << "\nzone=colombo-a\nregion=lk-west\n"
                << "zones.colombo-a=lk-west\nlisten_addrs.front=" << at(this->callerPort)
                << "\nlisten_addrs.ready=" << at(this->readyPort)
                << "\nlisten_addrs.control=" << at(controlPort) << "\nseeds=" << at(controlPort)
                << "\nbootstrap=true\ncounts_as_loss=false\nlimits.cpu_share=0.25\nlimits.cores=1\n"
                << "limits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n"
                << "limits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n"
                << "contracts=base,drain,config,cost,retry,recover,scatter,places,platform\n"
                << "bounds.addr_reuse_s=2\nbounds.contact_ms=4000\nbounds.ack_ms=5000\n"
                << "bounds.drain_ms=3000\nbounds.grace_s=6\nbounds.loss_slack_ms=200\n"
                << "bounds.config_apply_ms=3000\nbounds.back_ms=250\nbounds.evacuate_ms=5000\n"
                << "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
                << "bounds.retry_slack=54\nbounds.warmup_overshoot=1.5\nbounds.warmup_slack=5\n"
                << "platform.address=" << store << "\nplatform.form=objects\n"
                << changes;
        this->start();
    }
    Front(const Front &) = delete;
    auto operator=(const Front &) -> Front & = delete;
    ~Front() { this->end(); }

    auto id() const -> pid_t { return this->process; }
    auto signal(int number) const -> void { ::kill(this->process, number); }
    auto callers() const -> std::pair<std::string, int> { return {this->ip, this->callerPort}; }
    auto ready() const -> std::pair<std::string, int> { return {this->ip, this->readyPort}; }
    auto log() const -> std::string
    {
        auto text = std::ostringstream();
        text << std::ifstream(this->folder + "/log").rdbuf();
        return text.str();
    }
    auto hasEnded() -> bool
    {
        // The process stays a zombie until it is ended, so that its id isn't given out again.
        auto info = siginfo_t();
        const auto found = ::waitid(P_PID, static_cast<id_t>(this->process), &info,
                                    WEXITED | WNOHANG | WNOWAIT);
        return found == 0 && info.si_pid == this->process;
    }
    auto end() -> void { endProcess(this->process); }
    // Seconds of processor time that it has used.
    auto processorTime() const -> double
    {
        auto text = std::ostringstream();
        text << std::ifstream("/proc/" + std::to_string(this->process) + "/stat").rdbuf();
        const auto all = text.str();
        auto fields = std::istringstream(all.substr(std::min(all.rfind(')') + 2, all.size())));
        auto skipped = std::string();
        for (auto count = 0; count < 11; ++count)
            fields >> skipped;
        auto user = 0.0;
        auto system = 0.0;
        fields >> user >> system;
        return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    }
    auto memoryMegabytes() const -> double
    {
        auto file = std::ifstream("/proc/" + std::to_string(this->process) + "/status");
        for (auto line = std::string(); std::getline(file, line);) {
            if (line.starts_with("VmRSS:"))
                return std::atof(line.c_str() + 6) * 1024 / 1e6;
        }
        return 0;
    }

private:
    auto start() -> void
    {
        const auto log = this->folder + "/log";
        const auto settings = "CROCUSREACH_SETTINGS=" + this->folder + "/settings.conf";
        const auto *const path = std::getenv("PATH");
        const auto pathText = std::string("PATH=") + (path == nullptr ? "" : path);
        this->process = ::fork();
        if (this->process > 0)
            startedProcesses().emplace(this->process, this->folder);
        if (this->process == 0) {
            const auto output = ::open(log.c_str(), O_CREAT | O_TRUNC | O_WRONLY, 0600);
            ::dup2(output, 1);
            ::dup2(output, 2);
            const char *arguments[] = {"target/instance/crocusreach", "--platform", nullptr};
            const char *environment[]
                    = {settings.c_str(), pathText.c_str(), "HOME=/tmp", "LANG=C", nullptr};
            ::execve(arguments[0], const_cast<char **>(arguments),
                     const_cast<char **>(environment));
            ::_exit(127);
        }
    }

    std::string ip;
    std::string folder;
    int callerPort = 0;
    int readyPort = 0;
    pid_t process = 0;
};

// A caller's connection.
class Caller
{
public:
    explicit Caller(const std::pair<std::string, int> &to,
                    std::chrono::milliseconds timeout = 5s)
        : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        , reader(socket.get())
    {
        setTimeout(this->socket.get(), timeout);
        const auto address = toAddress(to.first, to.second);
        this->connected = ::connect(this->socket.get(),
                                    reinterpret_cast<const sockaddr *>(&address), sizeof address)
                          == 0;
    }

    auto isConnected() const -> bool { return this->connected; }
    auto descriptor() const -> int { return this->socket.get(); }
    auto send(const std::string &text) -> bool { return sendAll(this->socket.get(), text); }
    auto receive() -> std::optional<Message> { return this->reader.read(); }
    auto reset() -> void { this->socket.reset(); }

private:
    Socket socket;
    bool connected = false;
    Reader reader;
};

inline auto requestText(const std::string &method, const std::string &target,
                        const std::string &id, int deadline, const std::string &body = {})
        -> std::string
{
    return method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nCrocusreach-Request-Id: " + id
           + "\r\nCrocusreach-Deadline-Ms: " + std::to_string(deadline) + "\r\n"
           + (method == "GET" ? std::string()
                              : "Content-Length: " + std::to_string(body.size()) + "\r\n")
           + "\r\n" + body;
}

inline auto readyStatus(const Front &front, std::chrono::milliseconds timeout = 1s) -> int
{
    auto caller = Caller(front.ready(), timeout);
    if (!caller.isConnected() || !caller.send("GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n"))
        return 0;
    const auto answer = caller.receive();
    return answer ? answer->status() : 0;
}

inline auto awaitReady(const Front &front) -> void
{
    const auto until = Clock::now() + 10s;
    while (readyStatus(front) != 200) {
        if (Clock::now() > until)
            fail("the front doesn't become ready:\n" + front.log());
        std::this_thread::sleep_for(50ms);
    }
}

} // namespace review

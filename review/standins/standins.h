#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

// Small stand-ins for the scripts of the review: the platform's store, leafs, callers, and fronts as
// processes of their own. Everything speaks HTTP/1.1 on loopback addresses.

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using namespace std::chrono_literals;

inline const Time startedAt = Clock::now();

inline auto millisecondsSince(Time from, Time to = Clock::now()) -> long
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

// Exit codes of a script.
constexpr int heldCode = 0;
constexpr int brokenCode = 1;
constexpr int notRunCode = 2;

// The file that tells what was sent, answered and run.
class Record
{
public:
    static auto open(const std::string &path) -> void { instance().stream.open(path); }

    static auto line(const std::string &text) -> void
    {
        auto &record = instance();
        const auto lock = std::lock_guard(record.mutex);
        auto time = std::array<char, 32>();
        std::snprintf(time.data(), time.size(), "%7.3f ",
                      static_cast<double>(millisecondsSince(startedAt)) / 1000);
        record.stream << time.data() << text << '\n' << std::flush;
    }

private:
    static auto instance() -> Record &
    {
        static auto record = Record();
        return record;
    }

    std::mutex mutex;
    std::ofstream stream;
};

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    auto text() const -> std::string { return this->ip + ":" + std::to_string(this->port); }

    auto native() const -> sockaddr_in
    {
        auto address = sockaddr_in();
        address.sin_family = AF_INET;
        address.sin_port = htons(this->port);
        inet_pton(AF_INET, this->ip.c_str(), &address.sin_addr);
        return address;
    }
};

// A socket that is closed with its owner.
class Socket
{
public:
    explicit Socket(int descriptor = -1)
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
    ~Socket()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
    }

    auto get() const -> int { return this->descriptor; }
    auto isOpen() const -> bool { return this->descriptor >= 0; }

private:
    int descriptor;
};

inline auto makeSocket() -> Socket
{
    return Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
}

// A listening socket; closed if the address is in use.
inline auto listenOn(Address &address, int backlog = 256) -> Socket
{
    auto socket = makeSocket();
    const auto on = 1;
    ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto native = address.native();
    auto size = socklen_t(sizeof(native));
    if (::bind(socket.get(), reinterpret_cast<sockaddr *>(&native), size) != 0
        || ::listen(socket.get(), backlog) != 0)
        return Socket();
    ::getsockname(socket.get(), reinterpret_cast<sockaddr *>(&native), &size);
    address.port = ntohs(native.sin_port);
    return socket;
}

// Options of a caller's connection; a size of 0 leaves the default.
struct LinkOptions
{
    int segmentBytes = 0;
    int receiveBytes = 0;
};

inline auto connectTo(const Address &address, std::chrono::milliseconds timeout,
                      LinkOptions options = {}) -> Socket
{
    auto socket = makeSocket();
    if (options.segmentBytes != 0)
        ::setsockopt(socket.get(), IPPROTO_TCP, TCP_MAXSEG, &options.segmentBytes, sizeof(int));
    if (options.receiveBytes != 0)
        ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVBUF, &options.receiveBytes, sizeof(int));
    const auto flags = ::fcntl(socket.get(), F_GETFL);
    ::fcntl(socket.get(), F_SETFL, flags | O_NONBLOCK);
    const auto native = address.native();
    if (::connect(socket.get(), reinterpret_cast<const sockaddr *>(&native), sizeof(native)) != 0) {
        auto waiting = pollfd{socket.get(), POLLOUT, 0};
        if (errno != EINPROGRESS || ::poll(&waiting, 1, static_cast<int>(timeout.count())) != 1)
            return Socket();
        auto error = 0;
        auto size = socklen_t(sizeof(error));
        ::getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0)
            return Socket();
    }
    ::fcntl(socket.get(), F_SETFL, flags);
    const auto on = 1;
    ::setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

inline auto sendAll(int descriptor, std::string_view bytes) -> bool
{
    while (!bytes.empty()) {
        const auto count = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

struct Message
{
    std::string startLine;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    auto header(const std::string &name) const -> std::string
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }
    auto status() const -> int { return std::atoi(this->startLine.substr(9).c_str()); }
    auto method() const -> std::string { return this->startLine.substr(0, this->startLine.find(' ')); }
    auto target() const -> std::string
    {
        const auto start = this->startLine.find(' ') + 1;
        return this->startLine.substr(start, this->startLine.find(' ', start) - start);
    }
};

// Bytes that were read ahead stay in the buffer. Nothing if the connection ends or the time is over.
inline auto readMessage(int descriptor, std::string &buffer, Time until) -> std::optional<Message>
{
    const auto more = [&] {
        auto waiting = pollfd{descriptor, POLLIN, 0};
        const auto left = std::max(0L, millisecondsSince(Clock::now(), until));
        if (::poll(&waiting, 1, static_cast<int>(left)) != 1)
            return false;
        auto space = std::array<char, 65536>();
        const auto count = ::recv(descriptor, space.data(), space.size(), 0);
        if (count > 0)
            buffer.append(space.data(), static_cast<std::size_t>(count));
        return count > 0;
    };
    auto end = std::string::npos;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return {};
    }
    auto message = Message();
    auto position = buffer.find("\r\n");
    message.startLine = buffer.substr(0, position);
    while (position < end) {
        const auto start = position + 2;
        position = buffer.find("\r\n", start);
        auto name = buffer.substr(start, buffer.find(':', start) - start);
        auto value = buffer.substr(start + name.size() + 1, position - start - name.size() - 1);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        value.erase(0, value.find_first_not_of(' '));
        message.headers[name] = value;
    }
    const auto length = std::strtoull(message.header("content-length").c_str(), nullptr, 10);
    buffer.erase(0, end + 4);
    while (buffer.size() < length) {
        if (!more())
            return {};
    }
    message.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return message;
}

inline auto responseText(int status, const std::string &headers, std::string_view body) -> std::string
{
    auto text = "HTTP/1.1 " + std::to_string(status) + " -\r\n" + headers;
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
    return text.append(body);
}

// Serves each connection in a thread of its own, until the process ends. The handler sends the
// answer itself; it returns false to close the connection.
class Server
{
public:
    using Handler = std::function<auto(int, const Message &)->bool>;

    Server(const std::string &ip, Handler handler)
        : where{ip, 0}
        , handler(std::move(handler))
        , listener(listenOn(this->where))
    {
        std::thread([this] { this->accept(); }).detach();
    }

    auto address() const -> const Address & { return this->where; }

private:
    auto accept() -> void
    {
        while (true) {
            const auto accepted = ::accept4(this->listener.get(), nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const auto on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([this, accepted] { this->serve(Socket(accepted)); }).detach();
        }
    }

    auto serve(Socket socket) -> void
    {
        auto buffer = std::string();
        while (const auto request = readMessage(socket.get(), buffer, Clock::now() + 120s)) {
            if (!this->handler(socket.get(), *request))
                return;
        }
    }

    Address where;
    Handler handler;
    Socket listener;
};

// The platform's store: objects by kind and name, lists, watches, and creation of objects.
class Store
{
public:
    explicit Store(const std::string &ip)
        : server(ip, [this](int socket, const Message &call) { return this->handle(socket, call); })
    { }

    auto address() const -> const Address & { return this->server.address(); }

    // Writes of the operator and of leafs. Returns the time of the confirmation.
    auto put(const std::string &kind, const std::string &name, const std::string &spec) -> Time
    {
        {
            const auto lock = std::lock_guard(this->mutex);
            auto &object = this->objects[{kind, name}];
            object = {spec, ++this->revision, false};
        }
        this->changed.notify_all();
        return Clock::now();
    }

    auto remove(const std::string &kind, const std::string &name) -> Time
    {
        {
            const auto lock = std::lock_guard(this->mutex);
            auto &object = this->objects[{kind, name}];
            object.revision = ++this->revision;
            object.deleted = true;
        }
        this->changed.notify_all();
        return Clock::now();
    }

    auto count(const std::string &kind) -> std::size_t
    {
        const auto lock = std::lock_guard(this->mutex);
        return static_cast<std::size_t>(
                std::count_if(this->objects.begin(), this->objects.end(), [&](const auto &item) {
                    return item.first.first == kind && !item.second.deleted;
                }));
    }

private:
    struct Object
    {
        std::string spec;
        long revision = 0;
        bool deleted = false;
    };

    static auto parameter(const std::string &target, const std::string &name)
            -> std::optional<std::string>
    {
        const auto start = std::min(target.find("?" + name + "="), target.find("&" + name + "="));
        if (start == std::string::npos)
            return {};
        const auto value = start + name.size() + 2;
        return target.substr(value, target.find('&', value) - value);
    }

    static auto toText(const std::string &name, const Object &object) -> std::string
    {
        return R"({"meta":{"name":")" + name + R"(","revision":)" + std::to_string(object.revision)
               + R"(,"create_revision":1,"finalizers":[],"deleting":false},"spec":)" + object.spec
               + R"(,"status":null})";
    }

    auto changesOf(const std::string &kind, long since) const -> std::string
    {
        auto events = std::string();
        for (const auto &[key, object] : this->objects) {
            if (key.first == kind && object.revision > since)
                events += (events.empty() ? "" : ",") + std::string(R"({"deleted":)")
                          + (object.deleted ? "true" : "false") + R"(,"object":)"
                          + toText(key.second, object) + "}";
        }
        return events;
    }

    auto watch(const std::string &kind, long since, std::chrono::milliseconds wait) -> std::string
    {
        auto lock = std::unique_lock(this->mutex);
        this->changed.wait_for(lock, wait,
                               [&] { return !this->changesOf(kind, since).empty(); });
        return R"({"events":[)" + this->changesOf(kind, since) + R"(],"current_rev":)"
               + std::to_string(this->revision) + "}";
    }

    auto list(const std::string &kind) -> std::string
    {
        const auto lock = std::lock_guard(this->mutex);
        auto items = std::string();
        for (const auto &[key, object] : this->objects) {
            if (key.first == kind && !object.deleted)
                items += (items.empty() ? "" : ",") + toText(key.second, object);
        }
        return R"({"items":[)" + items + R"(],"more":false,"current_rev":)"
               + std::to_string(this->revision) + "}";
    }

    auto handle(int socket, const Message &call) -> bool
    {
        const auto json = std::string("Content-Type: application/json\r\n");
        const auto target = call.target();
        const auto prefix = std::string("/api/objects/");
        if (!target.starts_with(prefix))
            return sendAll(socket, responseText(404, {}, {}));
        const auto kind = target.substr(prefix.size(), target.find('?') - prefix.size());
        if (call.method() == "POST") {
            const auto label = std::string(R"("name":")");
            const auto start = call.body.find(label) + label.size();
            const auto name = call.body.substr(start, call.body.find('"', start) - start);
            const auto exists = this->exists(kind, name);
            if (!exists)
                this->put(kind, name, "{}");
            return sendAll(socket, responseText(exists ? 409 : 200, json, "{}"));
        }
        if (const auto since = parameter(target, "watch")) {
            const auto wait = std::atol(parameter(target, "wait_ms").value_or("0").c_str());
            return sendAll(socket, responseText(200, json,
                                                this->watch(kind, std::atol(since->c_str()),
                                                            std::chrono::milliseconds(wait))));
        }
        return sendAll(socket, responseText(200, json, this->list(kind)));
    }

    auto exists(const std::string &kind, const std::string &name) -> bool
    {
        const auto lock = std::lock_guard(this->mutex);
        const auto found = this->objects.find({kind, name});
        return found != this->objects.end() && !found->second.deleted;
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::pair<std::string, std::string>, Object> objects;
    long revision = 100;
    Server server;
};

// A leaf as the platform's pages describe it. It answers a request with its receipt and a body that
// names its service.
class Leaf
{
public:
    using Ran = std::function<auto(const std::string &requestId, const std::string &service)->void>;

    Leaf(const std::string &ip, std::string service, std::string id, std::chrono::milliseconds work,
         std::size_t bodyBytes, Ran ran)
        : service(std::move(service))
        , id(std::move(id))
        , work(work)
        , bodyBytes(bodyBytes)
        , ran(std::move(ran))
        , bornAt(std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count())
        , server(ip, [this](int socket, const Message &call) { return this->handle(socket, call); })
    { }

    auto name() const -> const std::string & { return this->id; }

    auto entry(const std::string &zone, const std::string &state = "ready") const -> std::string
    {
        return R"({"backend":")" + this->service + R"(","address":")"
               + this->server.address().text() + R"(","zone":")" + zone
               + R"(","version":"v1","slots":6,"state":")" + state
               + R"(","warmup_left_ms":0,"seq":4,"born":)" + std::to_string(this->bornAt) + "}";
    }

private:
    auto handle(int socket, const Message &call) -> bool
    {
        const auto request = call.header("crocusreach-request-id");
        const auto expected = call.header("crocusreach-expect-instance");
        const auto echo = "Crocusreach-Request-Id: " + request + "\r\n";
        if (!expected.empty() && expected != this->id)
            return sendAll(socket, responseText(421, echo, {}));
        if (call.target() == "/health")
            return sendAll(socket,
                           responseText(200, "Crocusreach-Instance-Id: " + this->id + "\r\n", {}));
        this->ran(request, this->service);
        std::this_thread::sleep_for(this->work);
        auto body = this->service + "|" + request + "|";
        body.resize(std::max(body.size(), this->bodyBytes), '.');
        return sendAll(socket, responseText(200,
                                            echo + "Crocusreach-Server-Stamp: " + this->id + "."
                                                    + request + "\r\n",
                                            body));
    }

    std::string service;
    std::string id;
    std::chrono::milliseconds work;
    std::size_t bodyBytes;
    Ran ran;
    long bornAt;
    Server server;
};

struct FrontPlace
{
    std::string name;
    std::string ip;
    std::string zone;
    std::uint16_t basePort = 0; // front, then ready and control

    auto front() const -> Address { return {this->ip, this->basePort}; }
    auto ready() const -> Address { return {this->ip, std::uint16_t(this->basePort + 1)}; }
    auto control() const -> Address { return {this->ip, std::uint16_t(this->basePort + 2)}; }
};

// Three free ports in a row, the same on all the given addresses; 0 if there are none.
inline auto findPorts(const std::vector<std::string> &ips) -> std::uint16_t
{
    const auto isFree = [](const std::string &ip, std::uint16_t port) {
        auto address = Address{ip, port};
        return listenOn(address).isOpen();
    };
    auto port = std::uint16_t(20000 + ::getpid() % 10000);
    for (auto tries = 0; tries < 200; ++tries, port = std::uint16_t(port + 7)) {
        const auto free = std::all_of(ips.begin(), ips.end(), [&](const std::string &ip) {
            return isFree(ip, port) && isFree(ip, std::uint16_t(port + 1))
                   && isFree(ip, std::uint16_t(port + 2));
        });
        if (free)
            return port;
    }
    return 0;
}

// The settings that DEPLOY.md shows, with the bounds of the small deployments.
inline auto settingsText(const FrontPlace &place, const std::string &seeds, const Address &store)
        -> std::string
{
    return "node_name=" + place.name + "\nrole=front\nmachine_class=front\nserves=front,control\nip="
           + place.ip + "\nzone=" + place.zone
           + "\nregion=johor\nzones.muar-a=johor\nzones.muar-b=johor\nzones.batu-pahat=johor"
             "\nlisten_addrs.front="
           + place.front().text() + "\nlisten_addrs.ready=" + place.ready().text()
           + "\nlisten_addrs.control=" + place.control().text() + "\nseeds=" + seeds
           + "\nbootstrap=true\ncounts_as_loss=false\nlimits.cpu_share=0.25\nlimits.cores=1"
             "\nlimits.memory_mb=260\nlimits.max_fds=4100\nlimits.link_mbps=1000.0"
             "\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200"
             "\ncontracts=base,drain,config,cost,retry,recover,scatter,places,platform"
             "\nfault_tolerance.machines=1\nfault_tolerance.zones=1\nfault_tolerance.regions=0"
             "\nbounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.contact_ms=4000"
             "\nbounds.ack_ms=5000\nbounds.catch_up_s=4\nbounds.drain_ms=3000\nbounds.grace_s=6"
             "\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\nbounds.back_ms=250"
             "\nbounds.outer_ms=12000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10"
             "\nbounds.retry_slack=52\nbounds.warmup_overshoot=1.5\nbounds.warmup_slack=5"
             "\nbounds.evacuate_ms=5000\nbounds.recovery_s=12\nplatform.address="
           + store.text()
           + "\nplatform.form=objects\nplatform.writes_per_s=400\nplatform.reads_per_s=2000"
             "\nplatform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
}

// A front, started with the command of deploy/system.toml. It is killed with its owner.
class Front
{
public:
    Front(FrontPlace place, const std::string &seeds, const Address &store,
          const std::string &folder)
        : place(std::move(place))
        , settingsPath(folder + "/" + this->place.name + ".conf")
        , logPath(folder + "/" + this->place.name + ".log")
    {
        std::ofstream(this->settingsPath) << settingsText(this->place, seeds, store);
        this->start();
    }
    Front(const Front &) = delete;
    auto operator=(const Front &) -> Front & = delete;
    ~Front() { this->kill(); }

    auto start() -> void
    {
        const auto parent = ::getpid();
        const auto variable = "CROCUSREACH_SETTINGS=" + this->settingsPath;
        this->pid = ::fork();
        if (this->pid != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(127);
        const auto log = ::open(this->logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        const char *const arguments[] = {"target/instance/crocusreach", "--platform", nullptr};
        const char *const environment[] = {variable.c_str(), nullptr};
        ::execve(arguments[0], const_cast<char *const *>(arguments),
                 const_cast<char *const *>(environment));
        ::_exit(127);
    }

    auto signal(int number) const -> void
    {
        if (this->pid > 0)
            ::kill(this->pid, number);
    }

    auto kill() -> void
    {
        if (this->pid <= 0)
            return;
        ::kill(this->pid, SIGCONT);
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        this->pid = 0;
    }

    // The wait status, if the process has ended by itself.
    auto ended() -> std::optional<int>
    {
        auto status = 0;
        if (this->pid <= 0 || ::waitpid(this->pid, &status, WNOHANG) != this->pid)
            return {};
        this->pid = 0;
        return status;
    }

    auto isReady() const -> bool
    {
        const auto socket = connectTo(this->place.ready(), 200ms);
        auto buffer = std::string();
        if (!socket.isOpen()
            || !sendAll(socket.get(), "GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n"))
            return false;
        const auto answer = readMessage(socket.get(), buffer, Clock::now() + 500ms);
        return answer && answer->status() == 200;
    }

    auto awaitReady(std::chrono::seconds time = 10s) const -> bool
    {
        for (const auto until = Clock::now() + time; Clock::now() < until;
             std::this_thread::sleep_for(50ms)) {
            if (this->isReady())
                return true;
        }
        return false;
    }

    const FrontPlace place;

private:
    std::string settingsPath;
    std::string logPath;
    pid_t pid = 0;
};

inline auto requestText(const std::string &method, const std::string &target, const std::string &id,
                        int timeLeft) -> std::string
{
    return method + " " + target + " HTTP/1.1\r\nHost: leno12.example\r\nCrocusreach-Request-Id: " + id
           + "\r\nCrocusreach-Deadline-Ms: " + std::to_string(timeLeft)
           + (method == "POST" ? "\r\nContent-Length: 2\r\n\r\n{}" : "\r\n\r\n");
}

inline auto wantsTrouble() -> bool
{
    const auto *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

// Prints and records the result, and ends the process without waiting for the stand-ins' threads.
[[noreturn]] inline auto finish(int code, const std::string &text) -> void
{
    Record::line("result " + std::to_string(code) + ": " + text);
    std::printf("result %d: %s\n", code, text.c_str());
    std::fflush(stdout);
    std::_Exit(code);
}

} // namespace review

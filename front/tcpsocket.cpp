#include "tcpsocket.h"

#include "core/text.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <limits>
#include <optional>

namespace crocusreach {

namespace {

constexpr std::size_t readSize = std::size_t(64) * 1024;
// Connections that wait to be accepted. After a restart many callers connect at once.
constexpr int backlog = 512;
// Otherwise the kernel lets a fast sender's buffer grow to some megabytes, which count towards the
// machine's memory.
constexpr int callerBufferBytes = 64 * 1024;
constexpr int probeSeconds = 1;
constexpr int unansweredProbes = 2;

auto parseAddress(std::string_view text) -> std::optional<sockaddr_in>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return {};
    const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
    auto address = sockaddr_in();
    address.sin_family = AF_INET;
    address.sin_port = htons(port.value_or(0));
    const auto host = std::string(text.substr(0, colon));
    const auto valid = port && inet_pton(AF_INET, host.c_str(), &address.sin_addr) == 1;
    return valid ? std::optional(address) : std::nullopt;
}

auto setOption(int descriptor, int level, int option, int value) -> void
{
    ::setsockopt(descriptor, level, option, &value, sizeof(value));
}

auto failure(std::string_view address, Step step, std::string_view what) -> Error
{
    return {step, std::string(address), std::string(what) + ": " + std::strerror(errno)};
}

auto openSocket() -> FileHandle
{
    return FileHandle(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

auto applyKeepAlive(int descriptor, const KeepAlive &keepAlive) -> void
{
    if (keepAlive.silence > Duration()) {
        const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(keepAlive.silence);
        setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(time.count()));
    }
    if (keepAlive.probeIdle) {
        setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, probeSeconds);
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probeSeconds);
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, unansweredProbes);
    }
}

auto endOfError(int error) -> ConnectionEnd
{
    switch (error) {
    case ECONNREFUSED:
        return ConnectionEnd::Refused;
    case ECONNRESET:
        return ConnectionEnd::Reset;
    // Linux reports a reset this way if the other side had closed the connection in order before.
    case EPIPE:
        return ConnectionEnd::Closed;
    case ETIMEDOUT:
        return ConnectionEnd::TimedOut;
    case EHOSTUNREACH:
    case ENETUNREACH:
    case ENETDOWN:
        return ConnectionEnd::Unreachable;
    default:
        return ConnectionEnd::Failed;
    }
}

// Keeps the first end of a stream that a call was told.
auto recordEnd(TcpStream &stream, ConnectionEnd end) -> void
{
    if (stream.end == ConnectionEnd::Open)
        stream.end = end;
}

auto statusOfError() -> IoStatus
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? IoStatus::WouldBlock
                                                                     : IoStatus::Broken;
}

} // namespace

auto isTcpAddress(std::string_view text) -> bool
{
    const auto address = parseAddress(text);
    return address && address->sin_port != 0;
}

auto listenTcp(std::string_view address) -> Result<FileHandle>
{
    const auto parsed = parseAddress(address);
    if (!parsed)
        return Error{Step::Accept, std::string(address), "is not an IP:port"};
    auto socket = openSocket();
    setOption(socket.get(), SOL_SOCKET, SO_REUSEADDR, 1);
    if (::bind(socket.get(), reinterpret_cast<const sockaddr *>(&*parsed), sizeof(*parsed)) != 0
        || ::listen(socket.get(), backlog) != 0)
        return failure(address, Step::Accept, "can't listen");
    return socket;
}

auto localAddress(int descriptor) -> std::string
{
    auto address = sockaddr_in();
    auto size = socklen_t(sizeof(address));
    if (::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        return {};
    auto text = std::array<char, INET_ADDRSTRLEN>();
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(ntohs(address.sin_port));
}

auto descriptorLimit() -> std::size_t
{
    auto limit = rlimit();
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return std::numeric_limits<std::size_t>::max();
    return limit.rlim_cur;
}

auto acceptTcp(int listener) -> FileHandle
{
    auto accepted = FileHandle(::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (accepted.isOpen())
        setOption(accepted.get(), IPPROTO_TCP, TCP_NODELAY, 1);
    return accepted;
}

auto acceptCaller(int listener) -> AcceptedSocket
{
    auto address = sockaddr_in();
    auto size = socklen_t(sizeof(address));
    auto accepted = AcceptedSocket();
    accepted.socket = FileHandle(::accept4(listener, reinterpret_cast<sockaddr *>(&address), &size,
                                           SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!accepted.socket.isOpen()) {
        accepted.lacksResources
                = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
        return accepted;
    }
    accepted.address = ntohl(address.sin_addr.s_addr);
    setOption(accepted.socket.get(), IPPROTO_TCP, TCP_NODELAY, 1);
    return accepted;
}

auto boundBuffers(int listener) -> void
{
    setOption(listener, SOL_SOCKET, SO_RCVBUF, callerBufferBytes);
    setOption(listener, IPPROTO_TCP, TCP_NOTSENT_LOWAT, callerBufferBytes);
}

auto connectTcp(std::string_view address, const KeepAlive &keepAlive) -> Result<FileHandle>
{
    const auto parsed = parseAddress(address);
    if (!parsed)
        return Error{Step::Connect, std::string(address), "is not an IP:port"};
    auto socket = openSocket();
    if (!socket.isOpen())
        return failure(address, Step::Connect, "can't open a socket");
    setOption(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1);
    applyKeepAlive(socket.get(), keepAlive);
    const auto result = ::connect(socket.get(), reinterpret_cast<const sockaddr *>(&*parsed),
                                  sizeof(*parsed));
    if (result != 0 && errno != EINPROGRESS)
        return failure(address, Step::Connect, "can't connect");
    return socket;
}

auto resetOnClose(int descriptor) -> void
{
    const auto noLinger = linger{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &noLinger, sizeof(noLinger));
}

auto isEstablished(TcpStream &stream) -> bool
{
    auto error = 0;
    auto size = socklen_t(sizeof(error));
    if (::getsockopt(stream.socket.get(), SOL_SOCKET, SO_ERROR, &error, &size) != 0)
        error = errno;
    if (error != 0)
        recordEnd(stream, endOfError(error));
    return error == 0;
}

auto readSome(int descriptor, std::string &buffer) -> IoStatus
{
    static thread_local auto space = std::array<char, readSize>();
    const auto count = ::recv(descriptor, space.data(), space.size(), 0);
    if (count < 0)
        return statusOfError();
    if (count == 0)
        return IoStatus::Ended;
    buffer.append(space.data(), static_cast<std::size_t>(count));
    return IoStatus::Ok;
}

auto readSome(TcpStream &stream, std::string &buffer) -> IoStatus
{
    const auto status = readSome(stream.socket.get(), buffer);
    if (status == IoStatus::Broken)
        recordEnd(stream, endOfError(errno));
    if (status != IoStatus::Ended)
        return status;
    recordEnd(stream, ConnectionEnd::Closed);
    return stream.end == ConnectionEnd::Closed ? IoStatus::Ended : IoStatus::Broken;
}

auto isReadable(int descriptor) -> bool
{
    auto entry = pollfd{descriptor, POLLIN, 0};
    return ::poll(&entry, 1, 0) > 0;
}

auto hasEnded(int descriptor) -> bool
{
    auto byte = char();
    const auto count = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && statusOfError() == IoStatus::Broken);
}

auto writeSome(int descriptor, std::string_view bytes, std::size_t &position) -> IoStatus
{
    while (position < bytes.size()) {
        const auto count = ::send(descriptor, bytes.data() + position, bytes.size() - position,
                                  MSG_NOSIGNAL);
        if (count < 0)
            return statusOfError();
        position += static_cast<std::size_t>(count);
    }
    return IoStatus::Ok;
}

auto writeSome(TcpStream &stream, std::string_view bytes, std::size_t &position) -> IoStatus
{
    const auto status = writeSome(stream.socket.get(), bytes, position);
    if (status == IoStatus::Broken)
        recordEnd(stream, endOfError(errno));
    return status;
}

} // namespace crocusreach

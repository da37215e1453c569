#pragma once

#include "core/connectionend.h"
#include "core/types.h"
#include "reactor.h"

#include <cstddef>
#include <string>
#include <string_view>

// Non-blocking TCP sockets over IPv4.

namespace crocusreach {

struct KeepAlive
{
    // A peer that acknowledges nothing for this time is given up; 0: never.
    Duration silence = {};
    // Probes are sent on an idle connection.
    bool probeIdle = false;
};

// Listens on IP:port. Port 0 lets the kernel choose.
auto listenTcp(std::string_view address) -> Result<FileHandle>;

// The IP:port that a socket is bound to.
auto localAddress(int descriptor) -> std::string;

// How many descriptors the process may have open.
auto descriptorLimit() -> std::size_t;

// A connection that waits at a listener; closed if there is none.
auto acceptTcp(int listener) -> FileHandle;

struct AcceptedSocket
{
    FileHandle socket; // closed if there is none
    std::uint32_t address = 0; // IPv4 of the other side
    bool lacksResources = false; // the process or the machine has no descriptor or memory for it
};

// Likewise, with where it comes from or why there is none.
auto acceptCaller(int listener) -> AcceptedSocket;

// Bounds what the kernel keeps for each connection that a listener accepts: received bytes that
// wait to be read, and sent ones that haven't left.
auto boundBuffers(int listener) -> void;

// True for IP:port with a port that connections can be opened to.
auto isTcpAddress(std::string_view text) -> bool;

// Starts a connection to IP:port. The socket turns writable once it is established.
auto connectTcp(std::string_view address, const KeepAlive &keepAlive) -> Result<FileHandle>;

// Makes the close of a socket a reset, so that bytes that are still on their way are dropped. Bytes
// that a partition holds up would otherwise arrive when it ends, long after they were given up.
auto resetOnClose(int descriptor) -> void;

// A connection that this side has opened, and how it ended. The kernel reports a connection's error
// once, to whichever call comes first, and a later receive returns 0 as after an orderly end.
struct TcpStream
{
    FileHandle socket;
    ConnectionEnd end = ConnectionEnd::Open; // as the first call that met it reported
};

// True once a stream that turned writable is established; false if it could not be.
auto isEstablished(TcpStream &stream) -> bool;

enum class IoStatus : std::uint8_t { Ok, WouldBlock, Ended, Broken };

// Appends what is there to the buffer, up to a bound per call.
auto readSome(int descriptor, std::string &buffer) -> IoStatus;
// Likewise. Ended means that the other side has closed the connection in order, even if an earlier
// call was told of an error.
auto readSome(TcpStream &stream, std::string &buffer) -> IoStatus;

// True if something can be read, or accepted, at once.
auto isReadable(int descriptor) -> bool;

// True if the other side has closed the connection and all that it sent was read.
auto hasEnded(int descriptor) -> bool;

// Writes from the position on and moves it.
auto writeSome(int descriptor, std::string_view bytes, std::size_t &position) -> IoStatus;
// Likewise. What was received before a write breaks can still be read.
auto writeSome(TcpStream &stream, std::string_view bytes, std::size_t &position) -> IoStatus;

} // namespace crocusreach

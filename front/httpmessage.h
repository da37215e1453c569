#pragma once

#include "core/types.h"

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Messages of HTTP/1.1 as both sides of this program read and write them.

namespace crocusreach {

struct HttpHeader
{
    std::string name;
    std::string value;
};

// A request or a response, whole.
struct HttpMessage
{
    std::string method; // of a request
    std::string target; // of a request: path and query
    std::uint32_t status = 0; // of a response
    std::vector<HttpHeader> headers;
    std::string body; // decoded from chunks
    bool keepAlive = false; // the connection may take another message
    bool endsWithConnection = false; // of a response: it states no length
};

// The first value of a header; names are compared without case.
auto findHeader(const HttpMessage &message, std::string_view name)
        -> std::optional<std::string_view>;

// How long the other side keeps the connection open while it is idle; 0 if it doesn't say.
auto keepAliveTimeoutOf(const HttpMessage &message) -> Duration;

auto sameHeaderName(std::string_view left, std::string_view right) -> bool;

enum class HttpSide : std::uint8_t { Request, Response };

enum class HttpFault : std::uint8_t {
    None,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
};

// Sizes in bytes.
struct HttpReadLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = std::size_t(8) * 1024 * 1024;
};

// Reads the messages of one connection one after the other.
class HttpReader
{
public:
    HttpReader(HttpSide side, HttpReadLimits limits);
    HttpReader(const HttpReader &) = delete;
    auto operator=(const HttpReader &) -> HttpReader & = delete;

    // Reads until the end of a message or of the bytes. Returns how many bytes were taken.
    auto feed(std::string_view bytes) -> std::size_t;
    // The connection has ended in order. Ends a response that has no length.
    auto feedEnd() -> void;

    // A message that has ended, once.
    auto take() -> std::optional<HttpMessage>;

    // A response to a request without a body in its answer, whatever the headers say.
    auto expectNoBody(bool expect) -> void { this->noBody = expect; }
    auto setLimits(HttpReadLimits newLimits) -> void { this->limits = newLimits; }

    auto fault() const -> HttpFault { return this->currentFault; }
    // True from the first byte of a message to its end.
    auto isInMessage() const -> bool { return this->inMessage; }
    auto hasHeaders() const -> bool { return this->headersComplete; }
    // Bytes that the message in progress holds.
    auto heldBytes() const -> std::size_t { return this->headerSize + this->message.body.size(); }
    // Memory that its head and body take, with what their buffers have in reserve.
    auto headMemory() const -> std::size_t
    {
        return this->fields.capacity() + this->message.target.capacity();
    }
    auto bodyMemory() const -> std::size_t { return this->message.body.capacity(); }
    // The first value of a header of the message in progress.
    auto header(std::string_view name) const -> std::optional<std::string_view>;
    // Frees what the message in progress holds. No further message can be read.
    auto discard() -> void;

private:
    static auto self(http_parser *parser) -> HttpReader &;
    static auto settings() -> const http_parser_settings &;
    auto addHeaderText(std::string_view text, bool isValue) -> int;
    auto takeHeaders() -> std::vector<HttpHeader>;
    auto completeHeaders() -> int;

    http_parser parser = {};
    HttpSide side;
    HttpReadLimits limits;
    HttpMessage message; // without its headers until it is taken
    // Headers of the message in progress as lines "name:value". Two strings for each header would
    // take up to 64 times the bytes that a caller has sent.
    std::string fields;
    std::size_t fieldStart = 0; // of the last line
    std::size_t fieldCount = 0;
    bool complete = false;
    bool inMessage = false;
    bool headersComplete = false;
    bool lastWasValue = true;
    bool hasEncoding = false; // a header Transfer-Encoding has come
    bool noBody = false;
    std::size_t headerSize = 0;
    std::uint32_t interimResponses = 0; // before the message in progress
    HttpFault currentFault = HttpFault::None;
};

// The request line or status line, the headers and an empty line. Adds the length of the body.
auto writeRequestHead(std::string_view method, std::string_view target,
                      std::span<const HttpHeader> headers, std::size_t bodySize) -> std::string;
auto writeResponse(std::uint32_t status, std::span<const HttpHeader> headers, std::string_view body,
                   bool close) -> std::string;

} // namespace crocusreach

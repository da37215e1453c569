#include "httpmessage.h"

#include <algorithm>
#include <charconv>
#include <climits>
#include <utility>

namespace crocusreach {

namespace {

// Before one response. A server that sends more doesn't come to an end.
constexpr std::uint32_t maxInterimResponses = 16;
// What each header has besides its name and its value: a colon and the end of the line.
constexpr std::size_t fieldSeparators = 3;
// The buffer of the headers is kept for the next message of the connection up to this size.
constexpr std::size_t keptFieldMemory = 2048;

auto lower(char character) -> char
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character + ('a' - 'A'))
                                                : character;
}

// Calls the function with name and value of each line "name:value" until it returns false.
template <typename Function>
auto forEachField(std::string_view fields, Function function) -> void
{
    while (!fields.empty()) {
        const auto end = std::min(fields.find('\n'), fields.size());
        const auto line = fields.substr(0, end);
        const auto colon = std::min(line.find(':'), line.size());
        if (!function(line.substr(0, colon), line.substr(std::min(colon + 1, line.size()))))
            return;
        fields.remove_prefix(std::min(end + 1, fields.size()));
    }
}

// False for a status that no caller can take for an answer, and for a 204 that states a body: what
// follows it would be taken for the next answer.
auto isUsableStatus(const http_parser &parser) -> bool
{
    const auto status = parser.status_code;
    const auto hasLength = parser.content_length != 0 && parser.content_length != ULLONG_MAX;
    const auto hasBody = hasLength || (parser.flags & F_CHUNKED) != 0;
    return status >= 100 && status < 600 && status != HTTP_STATUS_SWITCHING_PROTOCOLS
           && (status != HTTP_STATUS_NO_CONTENT || !hasBody);
}

auto appendHeaders(std::string &text, std::span<const HttpHeader> headers) -> void
{
    for (const auto &header : headers)
        text.append(header.name).append(": ").append(header.value).append("\r\n");
}

} // namespace

auto sameHeaderName(std::string_view left, std::string_view right) -> bool
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

auto findHeader(const HttpMessage &message, std::string_view name)
        -> std::optional<std::string_view>
{
    for (const auto &header : message.headers) {
        if (sameHeaderName(header.name, name))
            return header.value;
    }
    return {};
}

auto keepAliveTimeoutOf(const HttpMessage &message) -> Duration
{
    constexpr auto key = std::string_view("timeout=");
    const auto value = findHeader(message, "Keep-Alive");
    const auto start = value ? value->find(key) : std::string_view::npos;
    if (start == std::string_view::npos)
        return {};
    const auto text = value->substr(start + key.size());
    auto seconds = std::int64_t(0);
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds(std::clamp<std::int64_t>(seconds, 0, 3600));
}

HttpReader::HttpReader(HttpSide side, HttpReadLimits limits)
    : side(side)
    , limits(limits)
{
    http_parser_init(&this->parser, side == HttpSide::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    this->parser.data = this;
}

auto HttpReader::self(http_parser *parser) -> HttpReader &
{
    return *static_cast<HttpReader *>(parser->data);
}

auto HttpReader::addHeaderText(std::string_view text, bool isValue) -> int
{
    const auto isNew = !isValue && this->lastWasValue;
    this->headerSize += text.size() + (isNew ? fieldSeparators : 0);
    if (this->headerSize > this->limits.maxHeaderBytes) {
        this->currentFault = HttpFault::HeaderTooLarge;
        return 1;
    }
    // The parser ignores a space before the colon when it looks for the body's length. Whoever
    // reads the message next may not, and take the body for a request.
    if (!isValue && text.find(' ') != std::string_view::npos) {
        this->currentFault = HttpFault::Malformed;
        return 1;
    }
    if (isNew) {
        if (this->fieldCount++ != 0)
            this->fields += '\n';
        this->fieldStart = this->fields.size();
    }
    // The parser sets this for each name that begins with Transfer-Encoding, and then refuses a
    // Content-Length beside it.
    if (isValue && !this->lastWasValue) {
        const auto name = std::string_view(this->fields).substr(this->fieldStart);
        this->hasEncoding = this->hasEncoding || sameHeaderName(name, "Transfer-Encoding");
        this->parser.uses_transfer_encoding = this->hasEncoding ? 1 : 0;
        this->fields += ':';
    }
    this->lastWasValue = isValue;
    this->fields += text;
    return 0;
}

auto HttpReader::header(std::string_view name) const -> std::optional<std::string_view>
{
    auto found = std::optional<std::string_view>();
    forEachField(this->fields, [&](std::string_view field, std::string_view value) {
        if (sameHeaderName(field, name))
            found = value;
        return !found;
    });
    return found;
}

auto HttpReader::takeHeaders() -> std::vector<HttpHeader>
{
    auto headers = std::vector<HttpHeader>();
    headers.reserve(this->fieldCount);
    forEachField(this->fields, [&](std::string_view name, std::string_view value) {
        headers.push_back({std::string(name), std::string(value)});
        return true;
    });
    return headers;
}

auto HttpReader::discard() -> void
{
    // An assignment would keep the buffers.
    std::string().swap(this->message.target);
    std::string().swap(this->message.body);
    std::string().swap(this->fields);
    if (this->currentFault == HttpFault::None)
        this->currentFault = HttpFault::Malformed;
}

auto HttpReader::completeHeaders() -> int
{
    this->headersComplete = true;
    this->message.status = this->parser.status_code;
    if (this->side == HttpSide::Request)
        this->message.method = http_method_str(static_cast<http_method>(this->parser.method));
    const auto length = this->parser.content_length;
    if (this->side == HttpSide::Response && !isUsableStatus(this->parser)) {
        this->currentFault = HttpFault::Malformed;
        return -1;
    }
    if (length != ULLONG_MAX && length > this->limits.maxBodyBytes) {
        this->currentFault = HttpFault::BodyTooLarge;
        return -1;
    }
    return this->noBody ? 1 : 0;
}

auto HttpReader::settings() -> const http_parser_settings &
{
    static const auto made = [] {
        auto callbacks = http_parser_settings();
        http_parser_settings_init(&callbacks);
        callbacks.on_message_begin = [](http_parser *parser) {
            auto &reader = self(parser);
            reader.message = {};
            reader.fields.clear();
            reader.fieldStart = 0;
            reader.fieldCount = 0;
            reader.inMessage = true;
            reader.headersComplete = false;
            reader.lastWasValue = true;
            reader.hasEncoding = false;
            reader.headerSize = 0;
            return 0;
        };
        callbacks.on_url = [](http_parser *parser, const char *at, std::size_t length) {
            auto &reader = self(parser);
            reader.message.target.append(at, length);
            reader.headerSize += length;
            return 0;
        };
        callbacks.on_header_field = [](http_parser *parser, const char *at, std::size_t length) {
            return self(parser).addHeaderText({at, length}, false);
        };
        callbacks.on_header_value = [](http_parser *parser, const char *at, std::size_t length) {
            return self(parser).addHeaderText({at, length}, true);
        };
        callbacks.on_headers_complete
                = [](http_parser *parser) { return self(parser).completeHeaders(); };
        callbacks.on_body = [](http_parser *parser, const char *at, std::size_t length) {
            auto &reader = self(parser);
            if (reader.message.body.size() + length > reader.limits.maxBodyBytes) {
                reader.currentFault = HttpFault::BodyTooLarge;
                return 1;
            }
            reader.message.body.append(at, length);
            return 0;
        };
        callbacks.on_message_complete = [](http_parser *parser) {
            auto &reader = self(parser);
            reader.message.keepAlive = http_should_keep_alive(parser) != 0;
            reader.inMessage = false;
            // Interim responses announce the real one.
            const auto interim = reader.side == HttpSide::Response && parser->status_code >= 100
                                 && parser->status_code < 200;
            reader.complete = !interim;
            reader.interimResponses = interim ? reader.interimResponses + 1 : 0;
            if (reader.interimResponses > maxInterimResponses) {
                reader.currentFault = HttpFault::Malformed;
                return 1;
            }
            if (reader.complete)
                http_parser_pause(parser, 1);
            return 0;
        };
        return callbacks;
    }();
    return made;
}

auto HttpReader::feed(std::string_view bytes) -> std::size_t
{
    if (this->complete || this->currentFault != HttpFault::None)
        return 0;
    const auto taken = http_parser_execute(&this->parser, &settings(), bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&this->parser);
    if (this->complete) {
        http_parser_pause(&this->parser, 0);
        // The parser stops at the last byte of a message, or before it reads on.
        return taken;
    }
    if (this->parser.upgrade != 0 || (error != HPE_OK && error != HPE_PAUSED)) {
        if (this->currentFault == HttpFault::None)
            this->currentFault = error == HPE_HEADER_OVERFLOW ? HttpFault::HeaderTooLarge
                                                              : HttpFault::Malformed;
    }
    return taken;
}

auto HttpReader::feedEnd() -> void
{
    if (this->complete || this->currentFault != HttpFault::None)
        return;
    http_parser_execute(&this->parser, &settings(), nullptr, 0);
    if (!this->complete)
        return;
    http_parser_pause(&this->parser, 0);
    this->message.endsWithConnection = true;
}

auto HttpReader::take() -> std::optional<HttpMessage>
{
    if (!std::exchange(this->complete, false))
        return {};
    this->message.headers = this->takeHeaders();
    if (this->fields.capacity() > keptFieldMemory)
        std::string().swap(this->fields);
    return std::exchange(this->message, {});
}

auto writeRequestHead(std::string_view method, std::string_view target,
                      std::span<const HttpHeader> headers, std::size_t bodySize) -> std::string
{
    auto text = std::string();
    text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    appendHeaders(text, headers);
    const auto mayHaveBody = method != "GET" && method != "HEAD";
    if (bodySize != 0 || mayHaveBody)
        text.append("Content-Length: ").append(std::to_string(bodySize)).append("\r\n");
    text.append("\r\n");
    return text;
}

auto writeResponse(std::uint32_t status, std::span<const HttpHeader> headers, std::string_view body,
                   bool close) -> std::string
{
    auto text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(http_status_str(static_cast<http_status>(status))).append("\r\n");
    appendHeaders(text, headers);
    if (close)
        text.append("Connection: close\r\n");
    const auto bodiless = status == 204 || status == 304;
    if (!bodiless)
        text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    text.append("\r\n");
    if (!bodiless)
        text.append(body);
    return text;
}

} // namespace crocusreach

#include "protocol/http.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace ivyrill::protocol {

namespace {

std::string lower(std::string_view text) {
    std::string out(text);
    for (char& character : out)
        if (character >= 'A' && character <= 'Z') character = static_cast<char>(character - 'A' + 'a');
    return out;
}

std::string_view trimmed(std::string_view text) {
    const auto begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos) return {};
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

bool read_size(std::string_view text, int base, std::size_t& size) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), size, base);
    return error == std::errc{} && end == text.data() + text.size() && !text.empty();
}

bool is_token(std::string_view text) { // RFC 9110, 5.6.2
    constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::ranges::all_of(text, [&](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
               (character >= 'A' && character <= 'Z') ||
               kTokenPunctuation.find(character) != std::string_view::npos;
    });
}

bool is_printable(std::string_view text, bool allow_blanks) { // no control characters
    return std::ranges::all_of(text, [&](unsigned char character) {
        return character > 0x20 ? character != 0x7F : allow_blanks && (character == ' ' || character == '\t');
    });
}

bool list_contains(std::string_view values, std::string_view wanted) { // in a comma-separated list
    for (std::size_t begin = 0; begin <= values.size();) {
        const std::size_t end = std::min(values.find(',', begin), values.size());
        if (lower(trimmed(values.substr(begin, end - begin))) == wanted) return true;
        begin = end + 1;
    }
    return false;
}

std::string_view reason(int status) {
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 412:
        return "Precondition Failed";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace

std::string_view HttpMessage::header(std::string_view name) const {
    const auto found = std::ranges::find(headers, name, &std::pair<std::string, std::string>::first);
    return found == headers.end() ? std::string_view{} : std::string_view(found->second);
}

std::size_t HttpMessage::header_count(std::string_view name) const {
    return std::ranges::count(headers, name, &std::pair<std::string, std::string>::first);
}

std::size_t HttpParser::feed(std::string_view bytes) {
    std::size_t consumed = 0;
    while (consumed < bytes.size() && stage_ != Stage::kComplete && stage_ != Stage::kBroken) {
        begun_ = true;
        if (stage_ == Stage::kBody || stage_ == Stage::kChunk || stage_ == Stage::kUntilClose) {
            consumed += take_body(bytes.substr(consumed));
            continue;
        }
        const std::size_t end = bytes.find('\n', consumed);
        const std::size_t line_end = end == std::string_view::npos ? bytes.size() : end + 1;
        head_size_ += line_end - consumed;
        if (head_size_ > limits_.head) {
            fail(431);
            break;
        }
        line_.append(bytes.substr(consumed, line_end - consumed));
        consumed = line_end;
        if (end != std::string_view::npos) finish_line();
    }
    return consumed;
}

// What was received of a malformed request is of no more use; of an answer, the part before the fault may be.
void HttpParser::fail(int status) {
    stage_ = Stage::kBroken, error_ = status;
    if (side_ == Side::kResponses) return;
    message_.body = {};
    line_ = {};
}

void HttpParser::limit_body(std::size_t max_bytes) {
    max_body_ = std::min(max_body_, max_bytes);
    const bool has_announced = stage_ == Stage::kBody || stage_ == Stage::kChunk;
    const std::size_t announced = has_announced ? remaining_ : 0;
    if (stage_ != Stage::kBroken && message_.body.size() + announced > max_body_) fail(413);
}

std::size_t HttpParser::buffered_bytes() const {
    constexpr std::size_t kAllocationOverhead = 32; // of each short string
    const std::size_t field = sizeof(message_.headers[0]) + 2 * kAllocationOverhead;
    return message_.headers.capacity() * field + header_bytes_ + message_.body.capacity() + line_.capacity();
}

std::size_t HttpParser::take_body(std::string_view bytes) {
    const std::size_t size = stage_ == Stage::kUntilClose ? bytes.size() : std::min(remaining_, bytes.size());
    if (message_.body.size() + size > max_body_) {
        fail(413);
        return size;
    }
    message_.body.append(bytes.substr(0, size));
    if (stage_ == Stage::kUntilClose) return size;
    remaining_ -= size;
    if (remaining_ == 0) stage_ = stage_ == Stage::kChunk ? Stage::kChunkEnd : Stage::kComplete;
    return size;
}

void HttpParser::finish_line() {
    std::string line_text = std::move(line_);
    line_.clear();
    std::string_view line(line_text);
    line.remove_suffix(1);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    else if (side_ == Side::kRequests) // a bare LF that only some parsers accept allows request smuggling
        return fail(400);
    switch (stage_) {
    case Stage::kHead:
        if (line.empty() && first_line_) return void(begun_ = false); // blank lines before a message
        return line.empty() ? finish_head() : parse_head_line(line);
    case Stage::kChunkSize: {
        head_size_ = 0;
        if (const std::size_t extension = line.find(';'); extension != std::string_view::npos) {
            line = line.substr(0, extension);
            line = line.substr(0, line.find_last_not_of(" \t") + 1);
        }
        if (!read_size(line, 16, remaining_)) return fail(400);
        if (side_ == Side::kRequests && remaining_ > max_body_ - message_.body.size()) return fail(413);
        stage_ = remaining_ == 0 ? Stage::kTrailers : Stage::kChunk;
        return;
    }
    case Stage::kChunkEnd:
        if (!line.empty()) return fail(400);
        stage_ = Stage::kChunkSize;
        return;
    case Stage::kTrailers:
        if (line.empty()) stage_ = Stage::kComplete;
        return;
    default:
        return;
    }
}

void HttpParser::parse_head_line(std::string_view line) {
    if (first_line_) {
        first_line_ = false;
        const std::size_t first_space = line.find(' ');
        if (first_space == std::string_view::npos) return fail(400);
        const std::string_view rest = line.substr(first_space + 1);
        if (side_ == Side::kResponses) {
            std::size_t status = 0;
            if (!line.starts_with("HTTP/1.") || !read_size(rest.substr(0, 3), 10, status)) return fail(400);
            message_.status = static_cast<int>(status);
            is_http_1_0_ = line.substr(0, first_space) == "HTTP/1.0";
            return;
        }
        const std::size_t second_space = rest.find(' ');
        const std::string_view version =
            second_space == std::string_view::npos ? "" : rest.substr(second_space + 1);
        if (version != "HTTP/1.1" && version != "HTTP/1.0") return fail(400);
        if (!is_token(line.substr(0, first_space)) || second_space == 0 ||
            !is_printable(rest.substr(0, second_space), false))
            return fail(400);
        message_.method = line.substr(0, first_space), message_.target = rest.substr(0, second_space);
        is_http_1_0_ = version == "HTTP/1.0";
        return;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon)) ||
        !is_printable(line.substr(colon + 1), true))
        return fail(400);
    header_bytes_ += line.size();
    message_.headers.emplace_back(lower(line.substr(0, colon)), trimmed(line.substr(colon + 1)));
}

void HttpParser::finish_head() {
    const std::string_view connection = message_.header("connection");
    message_.close =
        list_contains(connection, "close") || (is_http_1_0_ && !list_contains(connection, "keep-alive"));
    const std::string_view transfer_encoding = message_.header("transfer-encoding");
    const std::string_view content_length = message_.header("content-length");
    const std::size_t transfer_encodings = message_.header_count("transfer-encoding");
    const std::size_t content_lengths = message_.header_count("content-length");
    // Several framing headers, or an ambiguous one, allow request smuggling: parsers may disagree on where
    // the body ends.
    if (transfer_encodings + content_lengths > 1 ||
        (transfer_encodings > 0 && (is_http_1_0_ || transfer_encoding.empty())))
        return fail(400);
    if (transfer_encodings > 0) {
        if (lower(transfer_encoding) != "chunked") return fail(501);
        stage_ = Stage::kChunkSize, head_size_ = 0;
        return;
    }
    const bool interim = message_.status >= 100 && message_.status < 200;
    const bool without_body = interim || message_.status == 204 || message_.status == 304;
    if (content_lengths == 0) {
        stage_ = side_ == Side::kRequests || without_body ? Stage::kComplete : Stage::kUntilClose;
        return;
    }
    if (!read_size(content_length, 10, remaining_)) return fail(400);
    if (side_ == Side::kRequests && remaining_ > max_body_) return fail(413);
    content_length_ = remaining_;
    stage_ = remaining_ == 0 || without_body ? Stage::kComplete : Stage::kBody;
}

void HttpParser::end() {
    if (stage_ == Stage::kUntilClose) stage_ = Stage::kComplete, message_.close = true;
}

HttpMessage HttpParser::take() {
    HttpMessage message = std::move(message_);
    *this = HttpParser(side_, limits_);
    return message;
}

std::string HttpParser::take_body() { return std::exchange(message_.body, {}); }

std::string http_response(int status, std::string_view fields, std::string_view body, bool close) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out.append(reason(status)).append("\r\n").append(fields);
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (close) out += "Connection: close\r\n";
    return out.append("\r\n").append(body);
}

std::string http_request(std::string_view method, std::string_view target, std::string_view host) {
    std::string out(method);
    out.append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host);
    return out.append("\r\nContent-Length: 0\r\n\r\n");
}

} // namespace ivyrill::protocol

#include "protocol/http.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace ivyrill::protocol {

namespace {

std::string lower(std::string_view text) {
    std::string out(text);
    for (char& letter : out)
        if (letter >= 'A' && letter <= 'Z') letter = static_cast<char>(letter - 'A' + 'a');
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
    constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::ranges::all_of(text, [&](char letter) {
        return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'z') ||
               (letter >= 'A' && letter <= 'Z') || kMarks.find(letter) != std::string_view::npos;
    });
}

bool is_printed(std::string_view text, bool blanks) { // no control characters
    return std::ranges::all_of(text, [&](unsigned char letter) {
        return letter > 0x20 ? letter != 0x7F : blanks && (letter == ' ' || letter == '\t');
    });
}

bool lists(std::string_view values, std::string_view wanted) { // a comma-separated list of words
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

std::size_t HttpMessage::times(std::string_view name) const {
    return std::ranges::count(headers, name, &std::pair<std::string, std::string>::first);
}

std::size_t HttpParser::feed(std::string_view bytes) {
    std::size_t taken = 0;
    while (taken < bytes.size() && stage_ != Stage::kComplete && stage_ != Stage::kBroken) {
        begun_ = true;
        if (stage_ == Stage::kBody || stage_ == Stage::kChunk || stage_ == Stage::kToEnd) {
            taken += take_body(bytes.substr(taken));
            continue;
        }
        const std::size_t end = bytes.find('\n', taken);
        const std::size_t upto = end == std::string_view::npos ? bytes.size() : end + 1;
        head_size_ += upto - taken;
        if (head_size_ > limits_.head) {
            fail(431);
            break;
        }
        line_.append(bytes.substr(taken, upto - taken));
        taken = upto;
        if (end != std::string_view::npos) line_done();
    }
    return taken;
}

std::size_t HttpParser::take_body(std::string_view bytes) {
    const std::size_t size = stage_ == Stage::kToEnd ? bytes.size() : std::min(left_, bytes.size());
    if (message_.body.size() + size > limits_.body) return fail(413), size;
    message_.body.append(bytes.substr(0, size));
    if (stage_ == Stage::kToEnd) return size;
    left_ -= size;
    if (left_ == 0) stage_ = stage_ == Stage::kChunk ? Stage::kChunkEnd : Stage::kComplete;
    return size;
}

void HttpParser::line_done() {
    std::string held = std::move(line_);
    line_.clear();
    std::string_view line(held);
    line.remove_suffix(1);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    else if (side_ == Side::kRequests) // where one reads a line end and another none, a request can hide
        return fail(400);
    switch (stage_) {
    case Stage::kHead:
        if (line.empty() && first_line_) return void(begun_ = false); // blank lines before a message
        return line.empty() ? head_done() : head_line(line);
    case Stage::kChunkSize: {
        head_size_ = 0;
        if (const std::size_t more = line.find(';'); more != std::string_view::npos) {
            line = line.substr(0, more);
            line = line.substr(0, line.find_last_not_of(" \t") + 1);
        }
        if (!read_size(line, 16, left_)) return fail(400);
        if (side_ == Side::kRequests && left_ > limits_.body) return fail(413);
        stage_ = left_ == 0 ? Stage::kTrailers : Stage::kChunk;
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

void HttpParser::head_line(std::string_view line) {
    if (first_line_) {
        first_line_ = false;
        const std::size_t one = line.find(' ');
        if (one == std::string_view::npos) return fail(400);
        const std::string_view rest = line.substr(one + 1);
        if (side_ == Side::kResponses) {
            std::size_t status = 0;
            if (!line.starts_with("HTTP/1.") || !read_size(rest.substr(0, 3), 10, status)) return fail(400);
            message_.status = static_cast<int>(status);
            old_version_ = line.substr(0, one) == "HTTP/1.0";
            return;
        }
        const std::size_t two = rest.find(' ');
        const std::string_view version = two == std::string_view::npos ? "" : rest.substr(two + 1);
        if (version != "HTTP/1.1" && version != "HTTP/1.0") return fail(400);
        if (!is_token(line.substr(0, one)) || two == 0 || !is_printed(rest.substr(0, two), false))
            return fail(400);
        message_.method = line.substr(0, one), message_.target = rest.substr(0, two);
        old_version_ = version == "HTTP/1.0";
        return;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon)) ||
        !is_printed(line.substr(colon + 1), true))
        return fail(400);
    message_.headers.emplace_back(lower(line.substr(0, colon)), trimmed(line.substr(colon + 1)));
}

void HttpParser::head_done() {
    const std::string_view connection = message_.header("connection");
    message_.close = lists(connection, "close") || (old_version_ && !lists(connection, "keep-alive"));
    const std::string_view coding = message_.header("transfer-encoding");
    const std::string_view length = message_.header("content-length");
    const std::size_t codings = message_.times("transfer-encoding");
    const std::size_t lengths = message_.times("content-length");
    // Two words on where the body ends, or one that others may read another way, can hide a request in it.
    if (codings + lengths > 1 || (codings > 0 && (old_version_ || coding.empty()))) return fail(400);
    if (codings > 0) {
        if (lower(coding) != "chunked") return fail(501);
        stage_ = Stage::kChunkSize, head_size_ = 0;
        return;
    }
    const bool interim = message_.status >= 100 && message_.status < 200;
    const bool bare = interim || message_.status == 204 || message_.status == 304;
    if (lengths == 0) {
        stage_ = side_ == Side::kRequests || bare ? Stage::kComplete : Stage::kToEnd;
        return;
    }
    if (!read_size(length, 10, left_)) return fail(400);
    if (side_ == Side::kRequests && left_ > limits_.body) return fail(413);
    stated_ = left_;
    stage_ = left_ == 0 || bare ? Stage::kComplete : Stage::kBody;
}

void HttpParser::end() {
    if (stage_ == Stage::kToEnd) stage_ = Stage::kComplete, message_.close = true;
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

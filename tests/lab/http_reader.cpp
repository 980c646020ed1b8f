#include "lab/http_reader.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace ivyrill::lab {

namespace {

struct Reason {
    int status;
    std::string_view text;
};

constexpr std::array kReasons = {Reason{200, "OK"},
                                 Reason{202, "Accepted"},
                                 Reason{400, "Bad Request"},
                                 Reason{404, "Not Found"},
                                 Reason{409, "Conflict"},
                                 Reason{412, "Precondition Failed"},
                                 Reason{421, "Misdirected Request"},
                                 Reason{500, "Internal Server Error"},
                                 Reason{503, "Service Unavailable"},
                                 Reason{504, "Gateway Timeout"}};

std::string lower(std::string_view text) {
    std::string out(text);
    for (char& letter : out)
        if (letter >= 'A' && letter <= 'Z') letter = static_cast<char>(letter - 'A' + 'a');
    return out;
}

std::string_view trimmed(std::string_view text) {
    const std::size_t begin = text.find_first_not_of(" \t");
    if (begin == std::string_view::npos) return {};
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

} // namespace

std::optional<std::int64_t> whole_number(std::string_view text, int base) {
    std::int64_t number = 0;
    const char* const stop = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), stop, number, base);
    if (error != std::errc{} || end != stop || number < 0) return std::nullopt;
    return number;
}

std::string_view HttpHead::field(std::string_view name) const {
    const auto found = std::ranges::find(fields, name, &HttpField::name);
    return found == fields.end() ? std::string_view{} : std::string_view(found->value);
}

bool HttpHead::has(std::string_view name) const {
    return std::ranges::find(fields, name, &HttpField::name) != fields.end();
}

std::optional<std::int64_t> HttpHead::number(std::string_view name) const {
    return whole_number(field(name));
}

bool HttpHead::closes() const { return lower(field("connection")) == "close"; }

std::size_t HttpReader::feed(std::string_view bytes) {
    std::size_t taken = 0;
    while (taken < bytes.size() && !complete() && !broken()) {
        begun_ = true;
        if (stage_ == Stage::kLength || stage_ == Stage::kToEnd || stage_ == Stage::kChunk) {
            taken += take_bytes(bytes.substr(taken));
            continue;
        }
        const std::size_t end = bytes.find('\n', taken);
        const std::size_t upto = end == std::string_view::npos ? bytes.size() : end + 1;
        line_.append(bytes.substr(taken, upto - taken));
        taken = upto;
        if (end == std::string_view::npos) break;
        const std::string line = std::exchange(line_, {});
        if (line.ends_with("\r\n"))
            line_done(std::string_view(line).substr(0, line.size() - 2));
        else
            stage_ = Stage::kBroken; // these programs end their lines as the standard requires
    }
    return taken;
}

std::size_t HttpReader::take_bytes(std::string_view bytes) {
    const std::size_t size = stage_ == Stage::kToEnd ? bytes.size() : std::min(left_, bytes.size());
    body_.append(bytes.substr(0, size));
    if (stage_ == Stage::kToEnd) return size;
    left_ -= size;
    if (left_ == 0) stage_ = stage_ == Stage::kChunk ? Stage::kChunkEnd : Stage::kComplete;
    return size;
}

void HttpReader::line_done(std::string_view line) {
    switch (stage_) {
    case Stage::kHead:
        return line.empty() ? head_done() : head_line(line);
    case Stage::kChunkSize:
        return chunk_size(line);
    case Stage::kChunkEnd:
        stage_ = line.empty() ? Stage::kChunkSize : Stage::kBroken;
        return;
    default:
        if (line.empty()) stage_ = Stage::kComplete; // the end of the trailers
    }
}

void HttpReader::head_line(std::string_view line) {
    if (!std::exchange(first_line_, false)) {
        const std::size_t colon = line.find(':');
        if (colon == 0 || colon == std::string_view::npos) return void(stage_ = Stage::kBroken);
        head_.fields.push_back({lower(line.substr(0, colon)), std::string(trimmed(line.substr(colon + 1)))});
        return;
    }
    const std::size_t one = line.find(' ');
    const std::string_view rest = one == std::string_view::npos ? "" : line.substr(one + 1);
    if (side_ == Side::kResponses) {
        const auto status = whole_number(rest.substr(0, 3));
        if (!line.starts_with("HTTP/1.1 ") || !status) return void(stage_ = Stage::kBroken);
        head_.status = static_cast<int>(*status);
        return;
    }
    const std::size_t two = rest.find(' ');
    if (two == std::string_view::npos || rest.substr(two + 1) != "HTTP/1.1")
        return void(stage_ = Stage::kBroken);
    head_.method = line.substr(0, one);
    head_.target = rest.substr(0, two);
}

void HttpReader::head_done() {
    if (first_line_) return void(stage_ = Stage::kBroken);
    if (lower(head_.field("transfer-encoding")) == "chunked") return void(stage_ = Stage::kChunkSize);
    if (!head_.has("content-length")) {
        const bool to_end = side_ == Side::kResponses && head_.status != 204 && head_.status != 304;
        stage_ = to_end ? Stage::kToEnd : Stage::kComplete;
        return;
    }
    const auto length = head_.number("content-length");
    if (!length) return void(stage_ = Stage::kBroken);
    left_ = static_cast<std::size_t>(*length);
    stage_ = left_ == 0 ? Stage::kComplete : Stage::kLength;
}

void HttpReader::chunk_size(std::string_view line) {
    const auto size = whole_number(trimmed(line.substr(0, line.find(';'))), 16);
    if (!size) return void(stage_ = Stage::kBroken);
    left_ = static_cast<std::size_t>(*size);
    stage_ = left_ == 0 ? Stage::kTrailers : Stage::kChunk;
}

void HttpReader::end() {
    if (complete()) return;
    stage_ = stage_ == Stage::kToEnd ? Stage::kComplete : Stage::kBroken;
}

std::string HttpReader::take_body() { return std::exchange(body_, {}); }

std::string http_message(std::string_view first_line, const std::vector<HttpField>& fields,
                         std::string_view body) {
    std::string out(first_line);
    out += "\r\n";
    for (const HttpField& field : fields) out += field.name + ": " + field.value + "\r\n";
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return out.append(body);
}

std::string status_line(int status) {
    const auto found = std::ranges::find(kReasons, status, &Reason::status);
    const std::string_view text = found == kReasons.end() ? std::string_view("Status") : found->text;
    return "HTTP/1.1 " + std::to_string(status) + " " + std::string(text);
}

std::string chunk(std::string_view bytes) {
    std::array<char, 16> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    return std::string(size.data(), end) + "\r\n" + std::string(bytes) + "\r\n";
}

} // namespace ivyrill::lab

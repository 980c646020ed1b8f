// An incremental parser of HTTP/1.1 messages for the stand-ins. It is independent of the parsers under test,
// passes on a body as it arrives, and records whether the body is complete.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ivyrill::lab {

struct HttpField {
    std::string name, value; // the name in lower case
    friend bool operator==(const HttpField&, const HttpField&) = default;
};

struct HttpHead {
    std::string method, target; // of a request
    int status = 0;             // of a response
    std::vector<HttpField> fields;

    std::string_view field(std::string_view name) const; // name in lower case; empty if absent
    bool has(std::string_view name) const;
    std::optional<std::int64_t> number(std::string_view name) const; // a whole number in decimal digits
    bool closes() const;                                             // `Connection: close`
};

class HttpReader {
  public:
    enum class Side : std::uint8_t { kRequests, kResponses };
    explicit HttpReader(Side side) : side_(side) {}

    std::size_t feed(std::string_view bytes); // takes bytes until the message is complete or malformed
    void end();                               // the sender has closed; completes a body without a length
    bool begun() const { return begun_; }
    bool head_complete() const { return stage_ != Stage::kHead && stage_ != Stage::kBroken; }
    bool complete() const { return stage_ == Stage::kComplete; }
    bool broken() const { return stage_ == Stage::kBroken; }
    const HttpHead& head() const { return head_; }
    std::string take_body(); // bytes of the body received since the last call
    void restart() { *this = HttpReader(side_); }

  private:
    enum class Stage : std::uint8_t {
        kHead,
        kLength,
        kToEnd,
        kChunkSize,
        kChunk,
        kChunkEnd,
        kTrailers,
        kComplete,
        kBroken
    };
    void line_done(std::string_view line);
    void head_line(std::string_view line);
    void head_done();
    void chunk_size(std::string_view line);
    std::size_t take_bytes(std::string_view bytes);

    Side side_;
    Stage stage_ = Stage::kHead;
    HttpHead head_;
    std::string line_, body_;
    std::size_t left_ = 0; // of the body with a length, or of the chunk
    bool begun_ = false, first_line_ = true;
};

// The value as a whole number in that base; no value if it is anything else.
std::optional<std::int64_t> whole_number(std::string_view text, int base = 10);

// A message with a Content-Length. `fields` may hold any number of further fields.
std::string http_message(std::string_view first_line, const std::vector<HttpField>& fields,
                         std::string_view body);
// `HTTP/1.1 STATUS REASON`, without a line end.
std::string status_line(int status);
std::string chunk(std::string_view bytes); // of a chunked body; empty bytes make the last one

} // namespace ivyrill::lab

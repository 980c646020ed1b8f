// Incremental HTTP/1.1 parser and writer. No I/O: the parser accepts bytes split at any position and reports
// how many it consumed; bytes of a following message are not consumed.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ivyrill::protocol {

struct HttpMessage {
    std::string method, target;                               // of a request
    int status = 0;                                           // of a response
    std::vector<std::pair<std::string, std::string>> headers; // names in lower case
    std::string body;
    bool close = false; // the sender closes the connection after this message

    std::string_view header(std::string_view name) const;  // empty where absent
    std::size_t header_count(std::string_view name) const; // number of header lines with this name
};

class HttpParser {
  public:
    enum class Side { kRequests, kResponses };
    struct Limits { // bytes; `body` limits what is buffered at once
        std::size_t head = 16 * 1024, body = 64 * 1024;
    };
    explicit HttpParser(Side side) : HttpParser(side, Limits{}) {}
    HttpParser(Side side, Limits limits) : side_(side), limits_(limits), max_body_(limits.body) {}

    std::size_t feed(std::string_view bytes); // returns the bytes consumed: up to the end of the message or
                                              // the first error
    void end();                               // the sender has closed the connection
    bool complete() const { return stage_ == Stage::kComplete; }
    int broken() const { return error_; } // the HTTP status of the error, 0 if there is none
    bool begun() const { return begun_; }
    HttpMessage take(); // the complete message; resets the parser
    // Lowers the limit of the message that is being parsed; fails with 413 if its body is known to exceed it.
    void limit_body(std::size_t max_bytes);
    std::size_t buffered_bytes() const; // memory of what was received of the message so far

    // For bodies that are forwarded while they are received.
    bool head_complete() const { return stage_ > Stage::kHead && stage_ != Stage::kBroken; }
    const HttpMessage& message() const { return message_; } // as received so far
    std::string take_body();                                // body bytes received since the last call
    bool ends_with_connection() const { return stage_ == Stage::kUntilClose; }
    // The Content-Length of the body; empty if the message has none.
    std::optional<std::size_t> stated_length() const { return content_length_; }

  private:
    enum class Stage {
        kHead,
        kBody,
        kUntilClose,
        kChunkSize,
        kChunk,
        kChunkEnd,
        kTrailers,
        kComplete,
        kBroken
    };
    void fail(int status);
    void finish_line();
    void parse_head_line(std::string_view line);
    void finish_head();
    std::size_t take_body(std::string_view bytes);

    Side side_;
    Limits limits_;
    std::size_t max_body_; // of this message
    std::optional<std::size_t> content_length_;
    Stage stage_ = Stage::kHead;
    HttpMessage message_;
    std::string line_;
    std::size_t head_size_ = 0,
                remaining_ = 0;    // bytes of the head so far; bytes of the body or chunk not yet received
    std::size_t header_bytes_ = 0; // of names and values
    bool begun_ = false, first_line_ = true, is_http_1_0_ = false;
    int error_ = 0;
};

// Writes a response with Content-Length; `fields` are further header lines, each ending in CRLF.
std::string http_response(int status, std::string_view fields, std::string_view body, bool close);
std::string http_request(std::string_view method, std::string_view target, std::string_view host);

} // namespace ivyrill::protocol

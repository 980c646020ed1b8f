// HTTP/1.1 messages out of bytes that come in any split, and back. Pure: it is handed bytes and says how many
// it took; those of a following message are left.
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
    bool close = false; // the sender closes after it

    std::string_view header(std::string_view name) const; // empty where absent
    std::size_t times(std::string_view name) const;       // so often it stands there
};

class HttpParser {
  public:
    enum class Side { kRequests, kResponses };
    struct Limits { // bytes; of a body, what is held at once
        std::size_t head = 16 * 1024, body = 64 * 1024;
    };
    explicit HttpParser(Side side) : side_(side) {}
    HttpParser(Side side, Limits limits) : side_(side), limits_(limits) {}

    std::size_t feed(std::string_view bytes); // takes bytes until the message is complete or broken
    void end();                               // the sender has closed
    bool complete() const { return stage_ == Stage::kComplete; }
    int broken() const { return error_; } // the status to answer with, 0 while sound
    bool begun() const { return begun_; }
    HttpMessage take(); // the complete message; the parser starts anew

    // For bodies that are passed on while they come.
    bool head_complete() const { return stage_ > Stage::kHead && stage_ != Stage::kBroken; }
    const HttpMessage& message() const { return message_; } // as far as it has come
    std::string take_body();                                // what has come since the last call
    bool ends_with_connection() const { return stage_ == Stage::kToEnd; }
    // Of a body with a stated length, what is still to come; nothing for one without.
    std::optional<std::size_t> stated_length() const { return stated_; }

  private:
    enum class Stage { kHead, kBody, kToEnd, kChunkSize, kChunk, kChunkEnd, kTrailers, kComplete, kBroken };
    void fail(int status) { stage_ = Stage::kBroken, error_ = status; }
    void line_done();
    void head_line(std::string_view line);
    void head_done();
    std::size_t take_body(std::string_view bytes);

    Side side_;
    Limits limits_;
    std::optional<std::size_t> stated_;
    Stage stage_ = Stage::kHead;
    HttpMessage message_;
    std::string line_;
    std::size_t head_size_ = 0, left_ = 0; // bytes of the head so far; of the body or chunk to come
    bool begun_ = false, first_line_ = true, old_version_ = false;
    int error_ = 0;
};

// A message with a length; `fields` are further header lines, each with its line end.
std::string http_response(int status, std::string_view fields, std::string_view body, bool close);
std::string http_request(std::string_view method, std::string_view target, std::string_view host);

} // namespace ivyrill::protocol

// Frames between front nodes and index servers: a four-byte big-endian length, one byte for the frame type,
// and the payload. No I/O.
#pragma once
#include "search_scheduler.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace ivyrill::protocol {

inline constexpr std::size_t kMaxFrameBytes = 256 * 1024; // type byte and payload
inline constexpr std::size_t kMaxLineBytes = 1024;        // bytes in the first line of a response

struct Frame {
    char type = 0;
    std::string payload;
};

class FrameParser {
  public:
    std::size_t feed(std::string_view bytes); // returns how many bytes it consumed: up to the end of the
                                              // frame or the first error
    bool complete() const { return !broken_ && header_received_ == 4 && frame_remaining_ == 0; }
    bool broken() const { return broken_; } // the stream is malformed and cannot be resumed
    bool midway() const { return header_received_ > 0 && !complete() && !broken_; }
    Frame take();

  private:
    Frame frame_;
    std::size_t header_received_ = 0,
                frame_remaining_ = 0; // bytes of the length received; bytes of the frame not yet received
    bool broken_ = false;
};

struct PartRequest { // the request for one part of a search
    std::string_view id;
    int shard = 0;
    std::int64_t timeout_ms = 0;
    std::string_view query;
};
std::string part_request_frame(const std::vector<PartRequest>& parts);
std::string cancel_frame(std::string_view id);
std::string load_probe_frame();

struct PartResponse { // an index server's response for one part
    std::string id;
    Outcome outcome = Outcome::kError;
    LoadReport report;
    std::string value;
};
struct LoadResponse {
    bool passed = false;
    LoadReport report;
};
PartResponse read_part_response(std::string_view payload); // throws ProtocolError
std::string_view read_part_id(std::string_view payload);   // of a malformed response, as far as it is present
LoadResponse read_load_response(std::string_view payload);
// Comma-separated name=value pairs, or `-`. A malformed report yields an empty one: the report is optional,
// so it does not invalidate the response that carries it.
LoadReport read_load_report(std::string_view text);

} // namespace ivyrill::protocol

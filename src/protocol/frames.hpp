// The frames between front nodes and index servers: four bytes of length, a letter, the rest. Pure.
#pragma once
#include "search_scheduler.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace ivyrill::protocol {

inline constexpr std::size_t kMaxFrameBytes = 256 * 1024; // bytes that one frame may claim
inline constexpr std::size_t kMaxLineBytes = 1024;        // bytes in an answer's line

struct Frame {
    char letter = 0;
    std::string rest;
};

class FrameParser {
  public:
    std::size_t feed(std::string_view bytes); // takes bytes until a frame is complete or broken
    bool complete() const { return !broken_ && header_ == 4 && frame_left_ == 0; }
    bool broken() const { return broken_; } // no frame, whatever may follow
    bool midway() const { return header_ > 0 && !complete() && !broken_; }
    Frame take();

  private:
    Frame frame_;
    std::size_t header_ = 0, frame_left_ = 0; // bytes of the length that are in; of the frame to come
    bool broken_ = false;
};

struct PartRequest { // a part as it is sent
    std::string_view id;
    int shard = 0;
    std::int64_t wait_ms = 0;
    std::string_view query;
};
std::string part_request_frame(const std::vector<PartRequest>& parts);
std::string cancel_frame(std::string_view id);
std::string load_probe_frame();

struct PartResponse { // what an index server says about one part
    std::string id;
    Outcome outcome = Outcome::kError;
    LoadReport report;
    std::string value;
};
struct LoadResponse {
    bool passed = false;
    LoadReport report;
};
PartResponse read_part_response(std::string_view rest); // throws ProtocolError
std::string_view read_part_id(std::string_view rest);   // by an answer that cannot be read, as far as it says
LoadResponse read_load_response(std::string_view rest);
// Pairs name=value set apart by commas, or -. What cannot be read is no report, and no fault of the answer.
LoadReport read_load_report(std::string_view text);

} // namespace ivyrill::protocol

// Frames between ivyrill's own processes: a four-byte big-endian length, one byte of protocol version, and
// one CBOR value. Versions must match exactly: processes of different versions reject each other's frames and
// log it.
#pragma once
#include "base/result.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ivyrill::wire {

inline constexpr std::uint8_t kProtocolVersion = 4;
inline constexpr std::size_t kMaxFrameBytes = 16 * 1024 * 1024; // fits a full configuration and all servers

std::string frame(std::string_view cbor);

// Incremental reader of one frame at a time; accepts bytes split at any position.
class FrameReader {
  public:
    std::size_t
    feed(std::string_view bytes); // returns the bytes consumed: up to the end of the frame or the first error
    bool complete() const { return complete_; }
    const std::optional<Error>& broken() const { return error_; }
    std::string take(); // the CBOR value of the complete frame; resets the reader

  private:
    static constexpr std::size_t kHeadBytes = 5;
    std::string head_, body_;
    std::size_t remaining_ = 0;
    bool complete_ = false;
    std::optional<Error> error_;
};

} // namespace ivyrill::wire

// Frames between ivyrill's own processes: four bytes of length (big-endian), one byte of protocol version,
// then one CBOR value. The version is exact: processes of two versions refuse each other and say so in their
// logs.
#pragma once
#include "base/result.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ivyrill::wire {

inline constexpr std::uint8_t kProtocolVersion = 4;
inline constexpr std::size_t kMaxFrameBytes = 16 * 1024 * 1024; // a whole configuration and all servers fit

std::string frame(std::string_view cbor);

// Out of bytes that come in any split; one frame at a time.
class FrameReader {
  public:
    std::size_t feed(std::string_view bytes); // takes bytes until a frame is whole or broken
    bool complete() const { return complete_; }
    const std::optional<Error>& broken() const { return error_; }
    std::string take(); // the CBOR value of the complete frame; the reader starts anew

  private:
    static constexpr std::size_t kHeadBytes = 5;
    std::string head_, body_;
    std::size_t left_ = 0;
    bool complete_ = false;
    std::optional<Error> error_;
};

} // namespace ivyrill::wire

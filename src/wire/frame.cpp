#include "wire/frame.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::wire {

std::string frame(std::string_view cbor) {
    const auto size = static_cast<std::uint32_t>(cbor.size());
    std::string out;
    out.reserve(cbor.size() + 5);
    for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(size >> shift & 0xFFU));
    out.push_back(static_cast<char>(kProtocolVersion));
    out.append(cbor);
    return out;
}

std::size_t FrameReader::feed(std::string_view bytes) {
    std::size_t consumed = 0;
    while (consumed < bytes.size() && !complete_ && !error_) {
        if (head_.size() < kHeadBytes) {
            head_.push_back(bytes[consumed++]);
            if (head_.size() < kHeadBytes) continue;
            std::size_t size = 0;
            for (std::size_t i = 0; i < 4; ++i) size = size << 8 | static_cast<unsigned char>(head_[i]);
            if (static_cast<std::uint8_t>(head_[4]) != kProtocolVersion)
                error_ = error(ErrorKind::kOtherVersion,
                               "peer uses another protocol version: run the same version on every node");
            else if (size > kMaxFrameBytes || size == 0)
                error_ = error(ErrorKind::kProtocol,
                               "frame is empty or larger than 16 MiB: the sender is not an ivyrill peer");
            remaining_ = size;
            continue;
        }
        const std::size_t count = std::min(remaining_, bytes.size() - consumed);
        body_.append(bytes.substr(consumed, count));
        consumed += count, remaining_ -= count;
        complete_ = remaining_ == 0;
    }
    return consumed;
}

std::string FrameReader::take() {
    std::string body = std::exchange(body_, {});
    head_.clear(), complete_ = false;
    return body;
}

} // namespace ivyrill::wire

// Encodes datagrams between members as CBOR (RFC 8949) followed by a MAC (HMAC-SHA256) with the secret that
// all members share. Free of I/O. Datagrams without a valid MAC are never parsed. Duplicated and delayed
// datagrams are harmless: updates carry incarnations, acknowledgements the serial number of their probe.
#pragma once
#include "access/signature.hpp"
#include "membership/member_list.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace ivyrill::membership {

inline constexpr std::size_t kMaxDatagramBytes = 1400; // avoids IP fragmentation
inline constexpr std::size_t kMaxNameBytes = 64;       // of a name or an address

struct CodecCounts {
    std::uint64_t accepted = 0, too_long = 0;
    std::uint64_t unauthenticated = 0; // no valid MAC
    std::uint64_t malformed = 0;       // valid MAC but not decodable: another version or a faulty member
};

class DatagramCodec {
  public:
    explicit DatagramCodec(std::string_view secret); // at least 32 bytes; throws AccessError
    // Nothing where a name is too long. Updates beyond the size limit are left out, the last ones first.
    std::optional<std::string> encode(const Datagram& datagram) const;
    std::optional<Datagram> decode(std::string_view bytes);
    // For other messages between members: any bytes followed by the MAC.
    static constexpr std::size_t kMacBytes = 32;
    std::string sign(std::string bytes) const;
    // The bytes without the MAC, or nothing (which is counted) where it is not valid.
    std::optional<std::string_view> verify(std::string_view bytes);
    void count_malformed() { ++counts_.malformed; }
    void count_accepted() { ++counts_.accepted; }
    const CodecCounts& counts() const { return counts_; }

  private:
    access::SigningKey key_;
    CodecCounts counts_;
};

} // namespace ivyrill::membership

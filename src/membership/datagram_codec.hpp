// Datagrams between members as bytes: CBOR (RFC 8949) by nlohmann's library, behind it a MAC (HMAC-SHA256)
// with the secret that all members share. Free of I/O. What is not sealed with the secret is never parsed. A
// datagram heard twice or late does no harm: words carry incarnations, answers the serial of their probe.
#pragma once
#include "access/signature.hpp"
#include "membership/member_list.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace ivyrill::membership {

inline constexpr std::size_t kMaxDatagramBytes = 1400; // of a datagram, so that no link takes it apart
inline constexpr std::size_t kMaxNameBytes = 64;       // bytes of a name, or of an address

struct CodecCounts {
    std::uint64_t accepted = 0, too_long = 0;
    std::uint64_t unauthenticated = 0; // not sealed with our secret
    std::uint64_t malformed = 0;       // sealed, and not to be read: another version, or a member gone wrong
};

class DatagramCodec {
  public:
    explicit DatagramCodec(std::string_view secret); // at least 32 bytes; throws AccessError
    // Nothing where a name is too long. Rumours that find no room are left out, the last ones first.
    std::optional<std::string> encode(const Datagram& datagram) const;
    std::optional<Datagram> decode(std::string_view bytes);
    // Any bytes, for what else goes between members; the MAC stands behind them.
    static constexpr std::size_t kMacBytes = 32;
    std::string sign(std::string bytes) const;
    std::optional<std::string_view> verify(std::string_view bytes); // what was sealed; counts what was not
    void count_malformed() { ++counts_.malformed; }
    void count_accepted() { ++counts_.accepted; }
    const CodecCounts& counts() const { return counts_; }

  private:
    access::SigningKey key_;
    CodecCounts counts_;
};

} // namespace ivyrill::membership

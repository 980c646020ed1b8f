// Client certificates: verifies a peer's chain against the configured authorities, CRLs (RFC 5280) and rules
// that map certificate names to callers. The TLS layer proves only that the peer holds the leaf's private
// key; every other check is made here for a given time and can be repeated.
#pragma once
#include "access/types.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ivyrill::access {

struct Chain { // DER, leaf first, as sent by the peer
    std::vector<std::string> certificates;
    friend bool operator==(const Chain&, const Chain&) = default;
};

// Maps a subject alternative name, a URI (including `spiffe://`) or a DNS name, to a caller. A pattern that
// ends in * matches every name with that prefix; `{rest}` in the member's name is replaced by the part that *
// matched.
struct NameRule {
    std::string uri, dns; // exactly one is set
    std::string club, member;
    Rights rights;
    std::vector<std::string> owned;
};

struct LeafNames {
    std::vector<std::string> uris, dns;
    std::string serial; // lower-case hexadecimal without leading zeros
    Ticks not_after = 0;
};
LeafNames read_leaf(const Chain& chain); // throws AccessError

// The caller that the names map to; kNoRight if no rule matches, kMalformed if the certificate has no names
// or maps to two callers.
struct MappedCaller {
    Reason reason = Reason::kNoRight;
    Caller caller;
};
MappedCaller map_names(const LeafNames& names, const std::vector<NameRule>& rules);

class Authorities {
  public:
    // Reads PEM files. Throws AccessError if a file holds no certificate, a CRL is not signed by one of the
    // authorities, a CRL has been out of date for longer than `grace`, or a CRL is older than the one it
    // would replace.
    static std::shared_ptr<const Authorities> read(const std::vector<NamedText>& certificates,
                                                   const std::vector<NamedText>& crls, Ticks now, Ticks grace,
                                                   const Authorities* previous);
    // Returns kAdmitted if the chain leads to an authority and none of its certificates is revoked.
    Reason verify(const Chain& chain, Ticks now) const;
    // The next time after `after` at which a CRL and its grace period expire. From then on, every certificate
    // of its authority is rejected.
    Ticks next_change(Ticks after) const;
    std::size_t certificates() const;
    std::size_t crls() const;

  private:
    struct State;
    std::shared_ptr<const State> state_;
};

inline constexpr std::size_t kMaxChainCertificates = 4; // of a peer's chain
inline constexpr std::size_t kMaxCertificateBytes = 16384;

} // namespace ivyrill::access
